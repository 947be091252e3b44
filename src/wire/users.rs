//! Messages between users and controllers: jobs and their states.

use serde::{Deserialize, Serialize};

/// Priority of a job, from the lowest to the highest.
// The variants are renamed to the protocol's names of the ranks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Work that anything else may preempt.
    #[serde(rename = "low")]
    Low,
    /// Ordinary work.
    #[serde(rename = "standard")]
    Standard,
    /// Work that goes before ordinary work.
    #[serde(rename = "high")]
    High,
    /// Production work: the highest priority.
    #[serde(rename = "prod")]
    Production,
}

/// How the tasks of a job relate to one another.
// Renamed to the protocol's lower-case name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "array")]
    Array,
}

/// A job as its user submits it. It is also stored in this form.
// The fields are renamed to the protocol's names, which users send and job keys in the
// state service hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id, chosen by the user: `j-` and digits.
    pub id: String,
    /// Class of jobs that it belongs to, for which the settings name objectives.
    #[serde(rename = "lotType")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "consignor")]
    pub team: String,
    /// How its tasks relate to one another.
    #[serde(rename = "saleFormat")]
    pub kind: JobKind,
    /// Priority of all its tasks.
    #[serde(rename = "bidRank")]
    pub priority: Priority,
    /// Number of tasks, which are numbered from 0.
    #[serde(rename = "lots")]
    pub tasks: u32,
    /// CPUs that each task takes of its machine.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs that each task takes of its machine.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory that each task takes of its machine, in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Allowed machine types; any if there is no list.
    #[serde(rename = "rigs", default)]
    pub types: Option<Vec<String>>,
    /// The only allowed zone; any if none is named.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// Whether all tasks must be in the same zone.
    #[serde(rename = "oneZone")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// Whether its tasks may run on spot machines.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Image that a machine must have before a task can start on it.
    #[serde(rename = "catalog")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// The owner's estimate of a task's run time, without the image fetch, in seconds.
    #[serde(rename = "appraisedS")]
    pub estimate_s: f64,
    /// Seconds of progress after which a running task saves a checkpoint. With 0 a
    /// task never saves, and its work is lost when it is stopped.
    #[serde(rename = "tallyS")]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save its progress when it is stopped.
    #[serde(rename = "ledgerS")]
    pub save_s: f64,
    /// When the job should be complete, in seconds from its submission, if it has a deadline.
    #[serde(rename = "hammerS", default)]
    pub deadline_s: Option<f64>,
}

/// State of a job.
// The variants are renamed to the protocol's names, which are also stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; none of its tasks runs.
    #[serde(rename = "queued")]
    Queued,
    /// At least one of its tasks runs.
    #[serde(rename = "running")]
    Running,
    /// All its tasks are done. Final.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user. Final.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to a submission, a poll or a cancellation.
// The state is renamed to the protocol's name; what is not given is left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id of the job.
    pub id: String,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// Tasks that are done, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks that run, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
