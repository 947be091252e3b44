//! Messages between users and controllers: jobs and their states.

use serde::{Deserialize, Serialize};

/// Priority of a job, from the lowest to the highest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Work that anything else may preempt.
    #[serde(rename = "low")]
    Low,
    /// Ordinary work.
    #[serde(rename = "standard")]
    Standard,
    /// Work that has priority over ordinary work.
    #[serde(rename = "high")]
    High,
    /// Production work: the highest priority.
    #[serde(rename = "prod")]
    Production,
}

/// How the tasks of a job relate to one another.
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
    /// Class of the job. The settings define objectives for classes.
    #[serde(rename = "lotType")]
    pub class: String,
    /// Team whose guaranteed resources and limits apply.
    #[serde(rename = "consignor")]
    pub team: String,
    /// How the tasks of the job relate to one another.
    #[serde(rename = "saleFormat")]
    pub kind: JobKind,
    /// Priority of all tasks of the job.
    #[serde(rename = "bidRank")]
    pub priority: Priority,
    /// Number of tasks, which are numbered from 0.
    #[serde(rename = "lots")]
    pub tasks: u32,
    /// CPUs that each task uses on its machine.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs that each task uses on its machine.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory that each task uses on its machine, in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Allowed machine types; all are allowed if there is no list.
    #[serde(rename = "rigs", default)]
    pub types: Option<Vec<String>>,
    /// The only allowed zone; all are allowed if none is named.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// Whether all tasks must be in the same zone.
    #[serde(rename = "oneZone")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// Whether the tasks may run on spot machines.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Image that a machine must have before a task can start on it.
    #[serde(rename = "catalog")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// The submitter's estimate of the run time of a task, without the image fetch, in seconds.
    #[serde(rename = "appraisedS")]
    pub estimate_s: f64,
    /// Seconds of progress after which a running task saves a checkpoint. With 0 a task never
    /// saves one, and its work is lost when it is stopped.
    #[serde(rename = "tallyS")]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save its progress when it is stopped.
    #[serde(rename = "ledgerS")]
    pub save_s: f64,
    /// Deadline for completing the job, in seconds from its submission; absent if it has none.
    #[serde(rename = "hammerS", default)]
    pub deadline_s: Option<f64>,
}

/// Bytes that an allowed machine type takes in addition to the letters of its name: the string in
/// the list, and its allocation.
const NAME_OVERHEAD_BYTES: usize = 40;

impl JobSpec {
    /// Returns the bytes that the names in this description take on the heap. They are the only
    /// part of a description whose size its user chooses.
    pub fn name_bytes(&self) -> usize {
        let names = [&self.id, &self.class, &self.team, &self.image];
        let names = names.into_iter().chain(&self.zone).map(String::len);
        let types = self.types.iter().flatten();
        let types = types.map(|name| name.len() + NAME_OVERHEAD_BYTES);
        names.chain(types).sum()
    }
}

/// State of a job.
// The variants are renamed to the protocol's names, which are also stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; no task is running.
    #[serde(rename = "queued")]
    Queued,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done. This state is final.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by the user. This state is final.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to a submission, a poll or a cancellation.
// The state is renamed to the protocol's name; absent counts are left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id of the job.
    pub id: String,
    /// State of the job.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// Number of tasks that are done, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of tasks that are running, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
