//! What is scheduled to happen in the simulation, and who waits for an answer.

use super::*;

/// The controller that made a call, in one of its runs, and the call's number.
#[derive(Clone, Copy)]
pub(super) struct Caller {
    pub node: usize,
    pub incarnation: u64,
    pub call: u64,
}

pub(super) enum ScheduledEvent {
    Tick(usize),
    Input {
        node: usize,
        incarnation: u64,
        input: Input,
    },
    Store {
        caller: Caller,
        request: StoreRequest,
        reply: bool,
    },
    Cloud {
        caller: Caller,
        request: CloudRequest,
        reply: bool,
    },
    Direct {
        caller: Caller,
        machine: String,
        commands: DirectCommands,
        reply: bool,
    },
    ReportArrives {
        node: usize,
        machine: String,
        report: Box<Report>,
        id: u64,
    },
    ReportAnswered {
        machine: String,
        id: u64,
        answer: Answer,
    },
    /// A step of simulated time for machines, services and checks.
    ClusterStep,
    User(usize),
    /// A request of a user out of turn.
    UserNow(usize),
    UserAnswered {
        job: usize,
        kind: RequestKind,
        /// When the controller gave it.
        given: u64,
        answer: Answer,
    },
    Fault(Fault),
    Restart(usize),
    /// What a controller that stood still sends when it wakes.
    Thawed {
        node: usize,
        incarnation: u64,
        output: Output,
    },
}

pub(super) enum Waiting {
    Health,
    User { job: usize, kind: RequestKind },
    Report { machine: String, id: u64 },
}
