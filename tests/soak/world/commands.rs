//! How a worker executes commands.

use super::{attempt_on, TaskKey, World};
use crate::task::{Phase, Task};
use chalklug::protocol::users::Shape;
use serde_json::Value;
use std::time::{Duration, Instant};

impl World {
    /// Executes the commands of a heartbeat response or a push, in order.
    pub(super) fn execute(&mut self, now: Instant, id: &str, body: &Value) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let token = body["baton"].as_u64().unwrap_or(0);
        machine.has_changes |= token > machine.token;
        machine.token = token;
        for command in body["orders"].as_array().into_iter().flatten() {
            let Some((job, index)) = command["piece"].as_str().and_then(|t| t.split_once('/'))
            else {
                continue;
            };
            let task_key = (job.to_owned(), index.parse().unwrap_or(u32::MAX));
            let key = (task_key, command["try"].as_u64().unwrap_or(0));
            match command["verb"].as_str() {
                Some("launch") => self.launch(now, id, key),
                Some("stop") => self.stop(now, id, &key, command["windDownS"].as_f64()),
                _ => self.clear(id, &key),
            }
        }
    }

    fn launch(&mut self, now: Instant, id: &str, key: (TaskKey, u64)) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.tasks.contains_key(&key) {
            return;
        }
        machine.has_changes = true;
        let is_busy = machine
            .tasks
            .iter()
            .any(|((task, _), other)| *task == key.0 && !other.has_ended());
        let task = match self.jobs.get(&key.0 .0) {
            None => return,
            Some(_) if is_busy => Task::ended("busy"),
            Some(job) if machine.fitting_tasks(&job.spec, &self.jobs) == 0 => Task::ended("full"),
            Some(job) if machine.images.contains(job.spec.image.as_str()) => Task::fetching(now),
            Some(job) => Task::fetching(now + job.fetch_time),
        };
        machine.tasks.insert(key, task);
    }

    fn stop(&mut self, now: Instant, id: &str, key: &(TaskKey, u64), grace_s: Option<f64>) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(task) = machine.tasks.get_mut(key).filter(|task| !task.has_ended()) else {
            return;
        };
        let Some(job) = self.jobs.get(&key.0 .0) else {
            return;
        };
        machine.has_changes = true;
        let saves_checkpoint =
            job.spec.checkpoint_interval_s > 0.0 && grace_s >= Some(job.spec.checkpoint_duration_s);
        match task.phase {
            Phase::Running { ends_at: Some(at) }
                if saves_checkpoint && job.spec.shape == Shape::Array =>
            {
                let remaining = at.saturating_duration_since(now);
                self.remaining.insert(key.0.clone(), remaining);
                let until = now + Duration::from_secs_f64(job.spec.checkpoint_duration_s);
                task.phase = Phase::Saving { until };
            }
            Phase::Saving { .. } if grace_s != Some(0.0) => {}
            _ => {
                task.end("halted", false);
                self.checker.task_ended(&attempt_on(id, key));
            }
        }
    }

    fn clear(&mut self, id: &str, key: &(TaskKey, u64)) {
        if let Some(machine) = self.machines.get_mut(id) {
            if machine.tasks.get(key).is_some_and(Task::has_ended) {
                machine.tasks.remove(key);
            }
        }
    }
}
