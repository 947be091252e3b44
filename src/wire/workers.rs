//! Messages between workers and controllers: reports, commands and redirects.

use serde::{Deserialize, Serialize};

/// The greatest length of a worker's address: an IP address with a scope, and a port.
pub const MAX_ADDRESS_BYTES: usize = 64;

/// State of an attempt at a task, as its worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waiting for its image to be fetched.
    #[serde(rename = "fetching")]
    Fetching,
    /// Running.
    #[serde(rename = "running")]
    Running,
    /// Saving its progress after a command to stop.
    #[serde(rename = "saving")]
    Saving,
    /// No longer running, or never started; [`TaskReport::exit_reason`] says why.
    #[serde(rename = "ended")]
    Exited,
    /// A state that this version of the protocol does not define.
    #[serde(other)]
    Other,
}

/// Why an attempt exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// Completed; its result is kept.
    #[serde(rename = "done")]
    Done,
    /// Stopped by a command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Failed because of a fault of the machine or an error in the job.
    #[serde(rename = "error")]
    Error,
    /// Start refused: not enough free resources on the machine.
    #[serde(rename = "no_room")]
    NoRoom,
    /// Start refused: the machine holds another attempt at the same task.
    #[serde(rename = "in_use")]
    Busy,
    /// Start refused: the worker knows no such job or task.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// A reason that this version of the protocol does not define.
    #[serde(other)]
    Other,
}

/// An attempt at a task, as its worker reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Name of the task: the job's id, a slash and the task's number.
    #[serde(rename = "lot")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "relist")]
    pub attempt: u64,
    /// State of the attempt.
    #[serde(rename = "standing")]
    pub state: TaskState,
    /// Why the attempt exited; absent until it has.
    #[serde(rename = "passReason", default)]
    pub exit_reason: Option<ExitReason>,
}

/// A worker's heartbeat: the state of its machine and of the attempts on it. A worker also
/// answers direct commands with a report. Of two reports, the one with the larger
/// (`agent_epoch`, `seq`) is newer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the machine.
    #[serde(rename = "stall")]
    pub machine: String,
    /// Address at which the worker takes direct commands.
    pub address: String,
    /// Type of the machine.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Agent epoch: the number of the worker's session. It starts at 1 and increases whenever the
    /// worker's lease expires.
    #[serde(rename = "saleDay")]
    pub agent_epoch: u64,
    /// Sequence number, which increases with every report of the worker.
    #[serde(rename = "paddleCount")]
    pub seq: u64,
    /// Highest fencing token that the worker has received.
    #[serde(rename = "gavel")]
    pub fencing_token: u64,
    /// Seconds until the cloud reclaims the machine; absent if it has not announced that.
    #[serde(rename = "recallS", default)]
    pub reclaim_in_s: Option<f64>,
    /// All attempts on the machine, including exited ones without a [`Command::Forget`] so far.
    #[serde(rename = "lots")]
    pub tasks: Vec<TaskReport>,
}

/// A command to a worker. Every command may be repeated safely, with one exception: a start
/// after a forget runs the attempt again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call")]
pub enum Command {
    /// Starts an attempt. Has no effect if the worker has this attempt in any state.
    #[serde(rename = "run")]
    Start {
        /// Name of the task.
        #[serde(rename = "lot")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "relist")]
        attempt: u64,
    },
    /// Stops an attempt.
    #[serde(rename = "kill")]
    Stop {
        /// Name of the task.
        #[serde(rename = "lot")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "relist")]
        attempt: u64,
        /// Seconds that the task may take to save its progress; with 0 it is stopped at once.
        #[serde(rename = "closingS")]
        grace_s: f64,
    },
    /// Omits an exited attempt from all further reports.
    #[serde(rename = "reap")]
    Forget {
        /// Name of the task.
        #[serde(rename = "lot")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "relist")]
        attempt: u64,
    },
}

impl Command {
    /// Returns the name of the task that the command concerns.
    pub fn task(&self) -> &str {
        match self {
            Command::Start { task, .. } | Command::Stop { task, .. } | Command::Forget { task, .. } => task,
        }
    }
}

/// The answer to a report. It renews the worker's lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportAnswer {
    /// Identifies the leader's term. A worker drops answers with a lower token than the highest
    /// that it has received.
    #[serde(rename = "gavel")]
    pub fencing_token: u64,
    /// Commands, which the worker executes in this order.
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}

/// The answer to a report that this controller does not accept.
// The field is renamed to the protocol's name, and is left out if it is absent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// The controller to which to report from now on. Without one, the worker tries the next
    /// controller.
    #[serde(rename = "auctioneer", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Commands sent directly to a worker. They do not renew its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Identifies the leader's term. The worker refuses the commands if it has received a higher
    /// token.
    #[serde(rename = "gavel")]
    pub fencing_token: u64,
    /// Agent epoch of the worker for which the commands are meant. The worker refuses them if it
    /// is in another agent epoch when they arrive.
    #[serde(rename = "saleDay")]
    pub agent_epoch: u64,
    /// Commands, which the worker executes in this order.
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}
