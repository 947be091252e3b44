//! A chunk of a job's tasks, which share one key of the state service.

use crate::Millis;
use serde::{Deserialize, Serialize, Serializer};

/// What a chunk's value takes of the size that the service allows; the rest is left
/// for names that are longer than usual.
const VALUE_SHARE: f64 = 0.8;
/// Bytes of one open attempt in a chunk's value.
const OPEN_RECORD_BYTES: f64 = 52.0;
const FEWEST_TASKS: u32 = 8;
const MOST_TASKS: u32 = 240;

/// How many tasks a chunk holds, so that its value stays within the size limit of the
/// service while all of them are open.
pub fn tasks_per_chunk(value_kb: f64) -> u32 {
    let tasks = value_kb * 1024.0 * VALUE_SHARE / OPEN_RECORD_BYTES;
    (tasks as u32).clamp(FEWEST_TASKS, MOST_TASKS)
}

/// The fields of an [`OpenAttemptRecord`] in the order in which they are stored.
type StoredRecord = (u32, u64, String, u64);

/// An open attempt in a chunk's value; stored as an array.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "StoredRecord")]
pub struct OpenAttemptRecord {
    /// The number of the task within its job.
    pub task: u32,
    /// The attempt number.
    pub attempt: u64,
    /// The name of the machine that it was placed on.
    pub machine: String,
    /// The epoch of the worker agent that it was placed with.
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

/// By hand, since `serde(into)` would copy every name of a machine.
impl Serialize for OpenAttemptRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.task, self.attempt, &self.machine, self.agent_epoch).serialize(serializer)
    }
}

/// The value of a chunk's key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkValue {
    /// The next attempt number. Numbers rise within a chunk and are never reused.
    #[serde(rename = "next")]
    pub next_attempt: u64,
    /// The tasks that are done, as [`TaskSet::format_ranges`](super::TaskSet::format_ranges) writes them.
    pub done: String,
    /// The attempts that are not proven over.
    pub open: Vec<OpenAttemptRecord>,
}

/// How the key of a chunk stands to what the leader knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    /// The key says all.
    Written,
    /// Changed since its last write was built.
    Changed,
    /// In the transaction in flight.
    InFlight,
    /// In the transaction in flight, and changed since that was built.
    ChangedInFlight,
}

/// What the leader knows of a chunk's key.
#[derive(Clone, Debug)]
pub struct Chunk {
    /// The version of its key; 0 while there is none.
    pub version: u64,
    /// The next attempt number.
    pub next_attempt: u64,
    state: WriteState,
    /// When its last write was built.
    last_write_built_at: Millis,
}

impl Chunk {
    /// A chunk of which nothing has been written yet.
    pub fn new() -> Chunk {
        Chunk {
            version: 0,
            next_attempt: 1,
            state: WriteState::Written,
            last_write_built_at: 0,
        }
    }

    /// Whether its key says all that the leader knows of it.
    pub fn is_written(&self) -> bool {
        self.state == WriteState::Written
    }

    /// When its last write was built.
    pub fn last_write_built_at(&self) -> Millis {
        self.last_write_built_at
    }

    /// Something changed that its key does not say.
    pub fn mark_changed(&mut self) {
        self.state = match self.state {
            WriteState::Written | WriteState::Changed => WriteState::Changed,
            WriteState::InFlight | WriteState::ChangedInFlight => WriteState::ChangedInFlight,
        };
    }

    /// Its changes need not be written: another key says all there is to say.
    pub fn discard_changes(&mut self) {
        self.state = match self.state {
            WriteState::Written | WriteState::Changed => WriteState::Written,
            WriteState::InFlight | WriteState::ChangedInFlight => WriteState::InFlight,
        };
    }

    /// Its value goes into the transaction that is built now.
    pub fn write_started(&mut self, now: Millis) {
        self.state = WriteState::InFlight;
        self.last_write_built_at = now;
    }

    /// The transaction with its value was applied.
    pub fn write_committed(&mut self, version: u64) {
        self.version = version;
        self.state = match self.state {
            WriteState::Written | WriteState::InFlight => WriteState::Written,
            WriteState::Changed | WriteState::ChangedInFlight => WriteState::Changed,
        };
    }

    /// The transaction with its value was not applied.
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
