//! The set of a job's completed tasks and its encoding in progress records.

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;

/// Number of tasks in one progress record. Their bits take 683 characters of base64, which is within the smallest
/// size limit for values.
pub const TASKS_PER_PROGRESS_RECORD: u32 = 4096;

const BYTES_PER_PROGRESS_RECORD: usize = TASKS_PER_PROGRESS_RECORD as usize / 8;

/// The completed tasks of a job, as a bitmap.
///
/// Task `i` is bit `i % 8` (the lowest is 0) of byte `i / 8`. The bitmap is stored in chunks of
/// [`TASKS_PER_PROGRESS_RECORD`] tasks, each under a [`ProgressKey`](super::ProgressKey), as base64 without padding.
/// A bit that is set is never cleared. Written by the leader, read by a new leader.
#[derive(Clone, Debug, Default)]
pub struct CompletedTasks {
    /// The number of tasks of the job.
    tasks: u32,
    /// The bitmap up to the last byte with a set bit; the bits after it are not set.
    bits: Vec<u8>,
    count: u32,
}

impl CompletedTasks {
    /// Returns an empty set for a job with the given number of tasks.
    pub fn new(tasks: u32) -> Self {
        CompletedTasks {
            tasks,
            bits: Vec::new(),
            count: 0,
        }
    }

    /// Whether the task is completed.
    pub fn contains(&self, task: u32) -> bool {
        self.bits
            .get(task as usize / 8)
            .is_some_and(|byte| byte & (1 << (task % 8)) != 0)
    }

    /// Adds a task. Returns whether it was newly added; an index out of range is ignored.
    pub fn insert(&mut self, task: u32) -> bool {
        if task >= self.tasks {
            return false;
        }
        let index = task as usize / 8;
        if index >= self.bits.len() {
            self.bits.resize(index + 1, 0);
        }
        let byte = &mut self.bits[index];
        let mask = 1 << (task % 8);
        let is_new = *byte & mask == 0;
        *byte |= mask;
        self.count += u32::from(is_new);
        is_new
    }

    /// Returns the number of completed tasks.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the base64 encoding of one chunk.
    pub fn encode_chunk(&self, chunk: u32) -> String {
        let start = chunk as usize * BYTES_PER_PROGRESS_RECORD;
        let all_bytes = (self.tasks as usize).div_ceil(8);
        let bytes = all_bytes
            .saturating_sub(start)
            .min(BYTES_PER_PROGRESS_RECORD);
        let stored = self.bits.iter().skip(start);
        let unset = std::iter::repeat(&0);
        let chunk: Vec<u8> = stored.chain(unset).take(bytes).copied().collect();
        STANDARD_NO_PAD.encode(chunk)
    }

    /// Adds the tasks of an encoded chunk. Text that can't be decoded is ignored, so the tasks of that chunk run
    /// again.
    pub fn load_chunk(&mut self, chunk: u32, text: &str) {
        let Ok(bytes) = STANDARD_NO_PAD.decode(text) else {
            return;
        };
        let tasks = CompletedTasks::tasks_of_chunk(chunk);
        for (task, index) in tasks.zip(0..) {
            let byte = bytes.get(index / 8).copied().unwrap_or(0);
            if byte & (1 << (index % 8)) != 0 {
                self.insert(task);
            }
        }
    }

    /// Returns the tasks whose bits are in a chunk; none if there can't be such a chunk.
    pub fn tasks_of_chunk(chunk: u32) -> std::ops::Range<u32> {
        let first = chunk.saturating_mul(TASKS_PER_PROGRESS_RECORD);
        first..first.saturating_add(TASKS_PER_PROGRESS_RECORD)
    }
}
