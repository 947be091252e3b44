//! The faults that can be injected, and how long each lasts.

/// A fault that a test injects at a given time.
///
/// `ms` is the duration in milliseconds. `node` is the index of a controller; an index out of
/// range stands for the leader at the time of the fault.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The controller ends and restarts four seconds later.
    Crash { node: usize },
    /// The controller can't reach the state service.
    CutFromStore { node: usize, ms: u64 },
    /// The controller can't exchange messages with other controllers.
    CutFromPeers { node: usize, ms: u64 },
    /// The controller and the workers can't reach each other.
    CutFromWorkers { node: usize, ms: u64 },
    /// The state service is unavailable to all controllers and keeps their watches open. Its
    /// leases are renewed for their full time when the outage ends.
    StoreOutage { ms: u64 },
    /// The cloud refuses every request.
    CloudOutage { ms: u64 },
    /// One random machine and the controllers can't reach each other.
    MachineCut { ms: u64 },
    /// All machines of the zone `south` and the controllers can't reach each other.
    ZoneCut { ms: u64 },
    /// The cloud takes one random machine away half a second later, spot or not.
    MachineReclaimed,
    /// Every task that starts on one random machine fails from now on.
    MachineFailsTasks,
    /// Reports of one random machine arrive, but answers and commands don't reach it.
    MachineReceivesNothing { ms: u64 },
    /// The agent on one random machine restarts at once in its next agent epoch, without its
    /// tasks.
    AgentRestarts,
    /// Copies of reports arrive one second to several lease times late.
    DelayedDuplicateReports { ms: u64 },
    /// The controller can't reach the state service and other controllers, while workers and
    /// users reach it.
    CutFromAllButWorkers { node: usize, ms: u64 },
    /// The controller ends and restarts within less than a second.
    QuickRestart { node: usize },
    /// The controller process is suspended while its clocks run on. Outputs that it produced
    /// just before are sent only when it resumes.
    Freeze { node: usize, ms: u64 },
    /// Controllers can't exchange messages with each other.
    PeerMessagesDropped { ms: u64 },
    /// The state service answers requests of this controller alone with 503 and keeps its
    /// watches open.
    StoreRefuses { node: usize, ms: u64 },
    /// Reads of the state service by this controller get no answer, while its transactions and
    /// lease renewals do.
    ReadsLost { node: usize, ms: u64 },
    /// Every task that starts on a machine rented before the fault fails.
    AllMachinesFailTasks { ms: u64 },
    /// A third of the transactions get no answer and are applied seconds later, after newer
    /// ones.
    DelayedTransactions { ms: u64 },
    /// One random machine reaches no controller, while direct commands reach it.
    MachineReachesNoController { ms: u64 },
    /// One random machine executes and answers nothing, and resumes before its lease expires.
    MachineHangs { ms: u64 },
    /// Half of the direct commands, or their answers, are delayed for seconds.
    DelayedCommands { ms: u64 },
    /// Users cancel all running jobs at once; the machines of some of them hang for `hang_ms`.
    CancelRunningJobs { hang_ms: u64 },
    /// Users cancel half of the jobs at the moment their last task ends.
    CancelAtEnd { ms: u64 },
    /// All controllers are down.
    AllControllersDown { ms: u64 },
    /// The machines of the zone `south` and one controller are cut off from the state service,
    /// the users and everything in the other zone.
    SouthIsolated { ms: u64 },
    /// Users repeat submissions, cancel jobs that are done, and submit jobs that can't run or
    /// lack a field.
    InvalidRequests { ms: u64 },
    /// Requests take 15 times as long to reach the state service.
    StoreSlow { ms: u64 },
    /// New machines take up to several times as long to boot, and about a third never come up.
    SlowBoots { ms: u64 },
}

impl Fault {
    /// Returns the milliseconds from the start of the fault until its effects are over,
    /// including late messages.
    pub(super) fn duration_ms(&self) -> u64 {
        match self {
            Fault::CutFromStore { ms, .. }
            | Fault::CutFromPeers { ms, .. }
            | Fault::CutFromWorkers { ms, .. }
            | Fault::CutFromAllButWorkers { ms, .. }
            | Fault::Freeze { ms, .. }
            | Fault::StoreOutage { ms }
            | Fault::CloudOutage { ms }
            | Fault::MachineCut { ms }
            | Fault::ZoneCut { ms }
            | Fault::MachineReceivesNothing { ms }
            | Fault::DelayedDuplicateReports { ms }
            | Fault::PeerMessagesDropped { ms }
            | Fault::StoreRefuses { ms, .. }
            | Fault::ReadsLost { ms, .. }
            | Fault::AllMachinesFailTasks { ms }
            | Fault::MachineReachesNoController { ms }
            | Fault::MachineHangs { ms }
            | Fault::CancelAtEnd { ms }
            | Fault::AllControllersDown { ms }
            | Fault::SouthIsolated { ms }
            | Fault::InvalidRequests { ms }
            | Fault::StoreSlow { ms } => *ms,
            // By then, the last machine requested during the fault is up or has been given up.
            Fault::SlowBoots { ms } => ms + 40_000,
            Fault::DelayedTransactions { ms } | Fault::DelayedCommands { ms } => ms + 12_000,
            Fault::CancelRunningJobs { hang_ms } => *hang_ms,
            _ => 5_000,
        }
    }
}
