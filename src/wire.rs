//! The messages of the outside world. Wire names live only in the renames here.

use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "low")]
    Low,
    #[serde(rename = "standard")]
    Standard,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "prod")]
    Production,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    #[serde(rename = "array")]
    Array,
}

/// A job as its user submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub id: String,
    #[serde(rename = "lotType")]
    pub class: String,
    #[serde(rename = "consignor")]
    pub team: String,
    #[serde(rename = "saleFormat")]
    pub kind: Kind,
    #[serde(rename = "bidRank")]
    pub priority: Priority,
    #[serde(rename = "lots")]
    pub tasks: u32,
    #[serde(rename = "cores")]
    pub cpus: f64,
    #[serde(rename = "cards")]
    pub gpus: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    #[serde(rename = "rigs", default)]
    pub types: Option<Vec<String>>,
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    #[serde(rename = "oneZone")]
    pub one_zone: bool,
    #[serde(rename = "scatter")]
    pub spread: bool,
    #[serde(rename = "loaner")]
    pub spot: bool,
    #[serde(rename = "catalog")]
    pub image: String,
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    #[serde(rename = "appraisedS")]
    pub estimate_s: f64,
    #[serde(rename = "tallyS")]
    pub checkpoint_s: f64,
    #[serde(rename = "ledgerS")]
    pub save_s: f64,
    #[serde(rename = "hammerS", default)]
    pub deadline_s: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    #[serde(rename = "queued")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to a submission, a poll or a cancellation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    pub id: String,
    #[serde(rename = "standing")]
    pub state: JobState,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    #[serde(rename = "fetching")]
    Fetching,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
    #[serde(other)]
    Other,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
    #[serde(other)]
    Other,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "lot")]
    pub task: String,
    #[serde(rename = "relist")]
    pub attempt: u64,
    #[serde(rename = "standing")]
    pub state: TaskState,
    #[serde(rename = "passReason", default)]
    pub exit_reason: Option<ExitReason>,
}

/// What a worker says of itself and its tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    #[serde(rename = "stall")]
    pub machine: String,
    pub address: String,
    #[serde(rename = "rig")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaner")]
    pub spot: bool,
    #[serde(rename = "saleDay")]
    pub agent_epoch: u64,
    #[serde(rename = "paddleCount")]
    pub seq: u64,
    #[serde(rename = "gavel")]
    pub fencing_token: u64,
    #[serde(rename = "recallS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "lots")]
    pub tasks: Vec<TaskReport>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call")]
pub enum Command {
    #[serde(rename = "run")]
    Start {
        #[serde(rename = "lot")]
        task: String,
        #[serde(rename = "relist")]
        attempt: u64,
    },
    #[serde(rename = "kill")]
    Stop {
        #[serde(rename = "lot")]
        task: String,
        #[serde(rename = "relist")]
        attempt: u64,
        #[serde(rename = "closingS")]
        grace_s: f64,
    },
    #[serde(rename = "reap")]
    Forget {
        #[serde(rename = "lot")]
        task: String,
        #[serde(rename = "relist")]
        attempt: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportAnswer {
    #[serde(rename = "gavel")]
    pub fencing_token: u64,
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "auctioneer", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Commands sent straight to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    #[serde(rename = "gavel")]
    pub fencing_token: u64,
    #[serde(rename = "saleDay")]
    pub agent_epoch: u64,
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    #[serde(rename = "cores")]
    pub cpus: f64,
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    #[serde(rename = "cacheGb")]
    pub cache_gb: f64,
    #[serde(rename = "pullGbPerS")]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly")]
    pub price: f64,
    #[serde(rename = "spotPrice", default)]
    pub spot_price: Option<f64>,
    #[serde(rename = "bootS")]
    pub boot_s: f64,
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRequest {
    #[serde(rename = "hireSlip")]
    pub request: String,
    #[serde(rename = "rig")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaner")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

/// Machine names: what a machine request returns and a deletion asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "stalls")]
    pub machines: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    #[serde(rename = "starting")]
    Starting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    pub id: String,
    #[serde(default)]
    pub address: Option<String>,
    #[serde(rename = "rig")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaner")]
    pub spot: bool,
    #[serde(rename = "standing")]
    pub state: MachineState,
    #[serde(rename = "heldS")]
    pub age_s: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "stalls")]
    pub machines: Vec<ListedMachine>,
    #[serde(default)]
    pub more: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: Value,
    #[serde(rename = "entryRev")]
    pub version: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page {
    pub items: Vec<Entry>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "bookRev")]
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "entryRev")]
    pub version: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    Put {
        put: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "consignment", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        delete: String,
    },
}

impl Change {
    pub fn put(key: impl Into<String>, value: Value) -> Change {
        Change::Put {
            put: key.into(),
            value,
            lease: None,
        }
    }

    pub fn delete(key: impl Into<String>) -> Change {
        Change::Delete { delete: key.into() }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    #[serde(rename = "bookRev")]
    pub revision: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    #[serde(rename = "lifeMs")]
    pub ttl_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    #[serde(rename = "consignment")]
    pub lease: u64,
}

/// One change seen by a watch: a put, or (without `put`) a removal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    #[serde(rename = "v", default)]
    pub value: Value,
    #[serde(rename = "entryRev")]
    pub version: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Log {
    #[serde(rename = "bookRev")]
    pub revision: u64,
    #[serde(rename = "log")]
    pub events: Vec<Event>,
}

#[cfg(test)]
mod tests;
