//! A periodic log line that shows how the rented machines are used.

use crate::coordination::machines::machine::MachineState;
use crate::coordination::{ClusterView, Scheduler};
use crate::time::{Instant, TimeSpan};

/// Interval between two log lines.
const LOG_INTERVAL: TimeSpan = TimeSpan(10_000);

/// Counts over all machines.
#[derive(Debug, Default)]
struct MachineCounts {
    up: u32,
    booting: u32,
    idle: u32,
    spot: u32,
    draining: u32,
    /// GPUs of the machines that are up.
    gpus: f64,
    free_gpus: f64,
    /// GPUs of running task attempts.
    running_gpus: f64,
    /// GPUs of task attempts that are not running yet.
    starting_gpus: f64,
}

impl MachineCounts {
    fn of(cluster: &ClusterView<'_>) -> MachineCounts {
        let mut counts = MachineCounts::default();
        for machine in cluster.machines.values() {
            counts.booting += u32::from(machine.state == MachineState::Booting);
            counts.spot += u32::from(machine.spot);
            counts.draining += u32::from(machine.is_draining_or_reclaimed());
            if machine.state != MachineState::Up {
                continue;
            }
            counts.up += 1;
            counts.idle += u32::from(machine.attempts.live_count() == 0);
            counts.gpus += cluster.machines.capacity(&machine.machine_type).gpus;
            counts.free_gpus += machine.free().gpus.max(0.0);
            for attempt in machine.live_attempts() {
                if attempt.running_since.is_some() {
                    counts.running_gpus += attempt.request.gpus;
                } else {
                    counts.starting_gpus += attempt.request.gpus;
                }
            }
        }
        counts
    }
}

fn pending_tasks(cluster: &ClusterView<'_>) -> usize {
    let pending = cluster.jobs.pending();
    pending.map(|(_, job)| job.pending().len()).sum()
}

impl Scheduler {
    /// Logs the state of the cluster and why jobs are pending, once per [`LOG_INTERVAL`].
    pub(crate) fn log_cluster_state(&mut self, now: Instant) {
        if now - self.autoscaler.last_logged_at < LOG_INTERVAL {
            return;
        }
        self.autoscaler.last_logged_at = now;
        let cluster = self.view(now);
        let machines = MachineCounts::of(&cluster);
        let intent_pages = self.writer.intent_page_count();
        let unwritten_intents = self.writer.queued_intent_count();
        tracing::info!(
            up = machines.up,
            booting = machines.booting,
            idle = machines.idle,
            spot = machines.spot,
            draining = machines.draining,
            warm_pool = self.autoscaler.warm_pool.len(),
            scale_out_requests = self.autoscaler.requests.len(),
            forecast_starts = self.autoscaler.last_forecast_starts,
            gpus = machines.gpus,
            free_gpus = machines.free_gpus,
            running_gpus = machines.running_gpus,
            starting_gpus = machines.starting_gpus,
            jobs = self.jobs.len(),
            pending_tasks = pending_tasks(&cluster),
            intent_pages,
            unwritten_intents,
            denied_launches = self.denied_launch_count,
            "cluster state"
        );
        self.log_pending_jobs(now);
    }
}
