//! The events of the simulation, and the requests that wait for an answer.

use super::*;

/// Identifies a call to the state service, the cloud or a worker, for its reply.
#[derive(Clone, Copy)]
pub(super) struct Caller {
    /// The index of the controller that made the call.
    pub node: usize,
    /// The run of the controller that made the call; later runs don't get the reply.
    pub incarnation: u64,
    /// The number that the controller gave the call.
    pub call: u64,
}

/// An event that is due at a given time. `node` is the index of a controller; `reply` is
/// whether the reply reaches the caller.
pub(super) enum ScheduledEvent {
    /// The timer of a controller fires.
    Tick(usize),
    /// An input reaches a run of a controller.
    Input {
        node: usize,
        incarnation: u64,
        input: Input,
    },
    /// A request reaches the state service.
    Store {
        caller: Caller,
        request: StoreRequest,
        reply: bool,
    },
    /// A request reaches the cloud.
    Cloud {
        caller: Caller,
        request: CloudRequest,
        reply: bool,
    },
    /// Direct commands reach a worker.
    Direct {
        caller: Caller,
        machine: String,
        commands: DirectCommands,
        reply: bool,
    },
    /// A message reaches a controller once more, whichever run of it is under way.
    RepeatedMessage { node: usize, input: Input },
    /// A heartbeat report reaches a controller.
    ReportArrives {
        node: usize,
        machine: String,
        report: Box<Report>,
        id: u64,
    },
    /// The answer to a heartbeat report reaches the worker.
    ReportAnswered { machine: String, id: u64, answer: Answer },
    /// A cluster step: every 100 ms, it advances the services and workers and runs the checks.
    ClusterStep,
    /// The periodic request of a job's user.
    UserTurn(usize),
    /// A single request of a job's user between the periodic ones.
    ExtraUserRequest(usize),
    /// A job's user asks this controller about the job.
    PollAt { node: usize, job: usize },
    /// The answer to a request reaches the user.
    UserAnswered {
        job: usize,
        kind: RequestKind,
        /// When the controller sent the answer.
        sent_at: u64,
        answer: Answer,
    },
    /// A fault is injected.
    Fault(Fault),
    /// A controller starts.
    Restart(usize),
    /// An output that a frozen controller sends when it resumes.
    DelayedOutput {
        node: usize,
        incarnation: u64,
        output: Output,
    },
}

/// A request to a controller that waits for its answer.
pub(super) enum PendingRequest {
    /// A health check by the load balancer.
    Health,
    /// A request of a job's user.
    User { job: usize, kind: RequestKind },
    /// A heartbeat report.
    Report { machine: String, id: u64 },
}
