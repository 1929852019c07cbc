//! Sets of task indices that take memory for the gaps between tasks, not for the tasks.

use std::collections::BTreeMap;
use std::ops::Range;

/// A set of task indices, stored as ranges of consecutive ones.
///
/// Guards against jobs of very many tasks that don't run yet: with an entry for each task, some hundred jobs of 100,000
/// tasks exceeded the memory of a controller, and of each one that read them afterwards.
#[derive(Clone, Debug, Default)]
pub struct TaskSet {
    /// The end (exclusive) of each range, by its start. No two ranges touch.
    ranges: BTreeMap<u32, u32>,
    len: usize,
}

impl TaskSet {
    /// Returns the set of the first `count` tasks.
    pub fn first(count: u32) -> TaskSet {
        TaskSet {
            ranges: (count > 0).then_some((0, count)).into_iter().collect(),
            len: count as usize,
        }
    }

    /// Returns the number of tasks.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the set has no task.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the tasks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.ranges.iter().flat_map(|(start, end)| *start..*end)
    }

    /// Whether the set has the task.
    pub fn contains(&self, task: u32) -> bool {
        self.range_of(task).is_some()
    }

    /// Adds a task. Returns whether it was newly added.
    pub fn insert(&mut self, task: u32) -> bool {
        if self.contains(task) {
            return false;
        }
        let next = task.saturating_add(1);
        let end = self.ranges.remove(&next).unwrap_or(next);
        let before = self.ranges.range(..task).next_back();
        let start = match before {
            Some((start, before_end)) if *before_end == task => *start,
            _ => task,
        };
        self.ranges.insert(start, end);
        self.len += 1;
        true
    }

    /// Removes a task. Returns whether it was in the set.
    pub fn remove(&mut self, task: u32) -> bool {
        let Some(range) = self.range_of(task) else {
            return false;
        };
        self.ranges.remove(&range.start);
        if range.start < task {
            self.ranges.insert(range.start, task);
        }
        if task + 1 < range.end {
            self.ranges.insert(task + 1, range.end);
        }
        self.len -= 1;
        true
    }

    /// Removes all tasks.
    pub fn clear(&mut self) {
        *self = TaskSet::default();
    }

    /// Returns the range that contains the task.
    fn range_of(&self, task: u32) -> Option<Range<u32>> {
        let (start, end) = self.ranges.range(..=task).next_back()?;
        (task < *end).then_some(*start..*end)
    }
}
