//! The set of a job's completed tasks, and its stored form.

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;

/// Tasks in one progress record. Their bits take 683 characters of base64, which is within the smallest limit on
/// values.
pub const TASKS_PER_PROGRESS_RECORD: u32 = 4096;

const BYTES_PER_PROGRESS_RECORD: usize = TASKS_PER_PROGRESS_RECORD as usize / 8;

/// The completed tasks of a job, a bit for each task.
///
/// Task `i` is bit `i % 8` (the lowest is 0) of byte `i / 8`. It is stored in chunks of
/// [`TASKS_PER_PROGRESS_RECORD`] tasks under a [`ProgressKey`](super::ProgressKey) each, as base64 without padding.
/// A bit that is set is never cleared. Written by the leader, read by a new one.
#[derive(Clone, Debug, Default)]
pub struct CompletedTasks {
    bits: Vec<u8>,
    count: u32,
}

impl CompletedTasks {
    /// An empty set for a job of so many tasks.
    pub fn new(tasks: u32) -> Self {
        CompletedTasks {
            bits: vec![0; (tasks as usize).div_ceil(8)],
            count: 0,
        }
    }

    /// Whether the task is completed.
    pub fn contains(&self, task: u32) -> bool {
        self.bits
            .get(task as usize / 8)
            .is_some_and(|byte| byte & (1 << (task % 8)) != 0)
    }

    /// Adds a task; true if it was not in the set. Numbers out of range are ignored.
    pub fn insert(&mut self, task: u32) -> bool {
        let Some(byte) = self.bits.get_mut(task as usize / 8) else {
            return false;
        };
        let mask = 1 << (task % 8);
        let is_new = *byte & mask == 0;
        *byte |= mask;
        self.count += u32::from(is_new);
        is_new
    }

    /// How many tasks are completed.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// The stored form of one chunk.
    pub fn encode_chunk(&self, chunk: u32) -> String {
        let start = chunk as usize * BYTES_PER_PROGRESS_RECORD;
        let end = (start + BYTES_PER_PROGRESS_RECORD).min(self.bits.len());
        STANDARD_NO_PAD.encode(self.bits.get(start..end).unwrap_or(&[]))
    }

    /// Adds the tasks of a stored chunk. Text that isn't one adds nothing: its tasks run again.
    pub fn load_chunk(&mut self, chunk: u32, text: &str) {
        let Ok(bytes) = STANDARD_NO_PAD.decode(text) else {
            return;
        };
        let first_task = chunk * TASKS_PER_PROGRESS_RECORD;
        for (i, byte) in bytes.iter().enumerate() {
            for bit in (0..8).filter(|bit| byte & (1 << bit) != 0) {
                self.insert(first_task + i as u32 * 8 + bit);
            }
        }
    }
}
