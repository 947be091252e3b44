//! A chunk of a job's tasks, which share one key in the state service.

use crate::Millis;
use serde::{Deserialize, Serialize, Serializer};

/// The share of the state service's size limit for a value that a chunk's value is planned to
/// fill. The rest is a margin for long machine names.
const VALUE_FILL_SHARE: f64 = 0.8;
/// The assumed size of one open attempt in a chunk's value, in bytes.
const OPEN_RECORD_BYTES: f64 = 52.0;
const MIN_TASKS_PER_CHUNK: u32 = 8;
const MAX_TASKS_PER_CHUNK: u32 = 240;

/// Returns how many tasks a chunk holds, so that its value stays within the size limit of the
/// state service even if all of them are open. `value_kb` is that limit in KiB.
pub fn tasks_per_chunk(value_kb: f64) -> u32 {
    let tasks = value_kb * 1024.0 * VALUE_FILL_SHARE / OPEN_RECORD_BYTES;
    (tasks as u32).clamp(MIN_TASKS_PER_CHUNK, MAX_TASKS_PER_CHUNK)
}

/// The fields of an [`OpenAttemptRecord`], in the order in which they are stored.
type StoredRecord = (u32, u64, String, u64);

/// An open attempt in a chunk's value. It is stored as an array.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "StoredRecord")]
pub struct OpenAttemptRecord {
    /// The number of the task within its job.
    pub task: u32,
    /// The attempt number, unique within the chunk.
    pub attempt: u64,
    /// The name of the machine on which the attempt was placed.
    pub machine: String,
    /// The epoch of the machine's worker agent when the attempt was placed.
    pub agent_epoch: u64,
}

impl From<StoredRecord> for OpenAttemptRecord {
    fn from((task, attempt, machine, agent_epoch): StoredRecord) -> OpenAttemptRecord {
        OpenAttemptRecord {
            task,
            attempt,
            machine,
            agent_epoch,
        }
    }
}

/// Implemented by hand, since `serde(into)` would copy the machine name of every record.
impl Serialize for OpenAttemptRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.task, self.attempt, &self.machine, self.agent_epoch).serialize(serializer)
    }
}

/// The value of a chunk's key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkValue {
    /// The next attempt number. Numbers increase within a chunk and are never reused.
    #[serde(rename = "next")]
    pub next_attempt: u64,
    /// The tasks that are done, as [`TaskSet::format_ranges`](super::TaskSet::format_ranges) writes them.
    pub done: String,
    /// The attempts that are not known for certain to have ended.
    pub open: Vec<OpenAttemptRecord>,
}

/// Whether a chunk's key holds the leader's current state of the chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    /// The key holds the current state.
    Written,
    /// The chunk has changed since its last write was built, and no write is in flight.
    Changed,
    /// The current state is in the transaction in flight.
    InFlight,
    /// The chunk is in the transaction in flight, and has changed since that was built.
    ChangedInFlight,
}

/// The leader's state of a chunk and its key.
#[derive(Clone, Debug)]
pub struct Chunk {
    /// The version of the chunk's key; 0 while the key does not exist.
    pub version: u64,
    /// The next attempt number, which is stored in [`ChunkValue::next_attempt`].
    pub next_attempt: u64,
    /// Whether the state service rejected the chunk's last write because of the chunk's value.
    is_rejected: bool,
    /// The most open attempts that the chunk's value may list, once a value has been rejected.
    max_open_attempts: Option<u32>,
    state: WriteState,
    /// When the last write of the chunk was built, in milliseconds of the monotonic clock; 0
    /// before the first.
    last_write_built_at: Millis,
}

impl Chunk {
    /// Creates a chunk without a key, which need not be written before it changes.
    pub fn new() -> Chunk {
        Chunk {
            version: 0,
            next_attempt: 1,
            is_rejected: false,
            max_open_attempts: None,
            state: WriteState::Written,
            last_write_built_at: 0,
        }
    }

    /// Records that the state service rejected the chunk's value, which listed this many open
    /// attempts. From now on it may list half as many, and at least one.
    pub fn write_rejected(&mut self, open_attempts: u32) {
        self.is_rejected = true;
        self.max_open_attempts = Some((open_attempts / 2).max(1));
    }

    /// Whether another attempt may be opened. The open ones are counted only if their number
    /// matters.
    pub fn accepts_attempt(&self, count_open_attempts: impl FnOnce() -> u32) -> bool {
        !self.is_rejected && self.max_open_attempts.is_none_or(|max| count_open_attempts() < max)
    }

    /// Whether the key holds the current state, so that nothing has to be written.
    pub fn is_written(&self) -> bool {
        self.state == WriteState::Written
    }

    /// Returns when the last write of the chunk was built, in milliseconds of the monotonic
    /// clock; 0 before the first.
    pub fn last_write_built_at(&self) -> Millis {
        self.last_write_built_at
    }

    /// Records a change that has to be written to the key.
    pub fn mark_changed(&mut self) {
        self.state = match self.state {
            WriteState::Written | WriteState::Changed => WriteState::Changed,
            WriteState::InFlight | WriteState::ChangedInFlight => WriteState::ChangedInFlight,
        };
    }

    /// Discards changes that need not be written anymore, because the record of the job's end
    /// supersedes them.
    pub fn discard_changes(&mut self) {
        self.state = match self.state {
            WriteState::Written | WriteState::Changed => WriteState::Written,
            WriteState::InFlight | WriteState::ChangedInFlight => WriteState::InFlight,
        };
    }

    /// Records that the chunk's value is part of the transaction being built.
    pub fn write_started(&mut self, now: Millis) {
        self.state = WriteState::InFlight;
        self.last_write_built_at = now;
    }

    /// Records that the transaction with the chunk's value was applied, which gave the key this
    /// version.
    pub fn write_committed(&mut self, version: u64) {
        self.version = version;
        self.is_rejected = false;
        self.state = match self.state {
            WriteState::Written | WriteState::InFlight => WriteState::Written,
            WriteState::Changed | WriteState::ChangedInFlight => WriteState::Changed,
        };
    }

    /// Records that the transaction with the chunk's value was not applied, so that the chunk
    /// has to be written again.
    pub fn write_failed(&mut self) {
        self.state = WriteState::Changed;
    }
}

impl Default for Chunk {
    fn default() -> Chunk {
        Chunk::new()
    }
}

#[cfg(test)]
mod tests;
