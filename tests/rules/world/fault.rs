//! The faults that can be injected, and how long each lasts.

/// A fault, from a time on and for a while.
#[derive(Clone, Debug)]
pub enum Fault {
    Crash {
        node: usize,
    },
    CutFromStore {
        node: usize,
        ms: u64,
    },
    CutFromPeers {
        node: usize,
        ms: u64,
    },
    CutFromWorkers {
        node: usize,
        ms: u64,
    },
    StoreOutage {
        ms: u64,
    },
    CloudOutage {
        ms: u64,
    },
    MachineCut {
        ms: u64,
    },
    /// All machines of one zone at once.
    ZoneCut {
        ms: u64,
    },
    MachineReclaimed,
    MachineFailsTasks,
    /// Its reports arrive; answers and commands don't reach it.
    MachineReceivesNothing {
        ms: u64,
    },
    /// Back at once, its tasks gone, in its next agent epoch.
    AgentRestarts,
    /// Copies of reports come seconds to several leases late.
    DelayedDuplicateReports {
        ms: u64,
    },
    /// Cut from the state service and the other controllers, not from workers.
    CutFromAllButWorkers {
        node: usize,
        ms: u64,
    },
    /// Back within a fraction of a second.
    QuickRestart {
        node: usize,
    },
    /// Stands still while its clocks run on; what it had worked out just before
    /// leaves only when it wakes.
    Freeze {
        node: usize,
        ms: u64,
    },
    PeerMessagesDropped {
        ms: u64,
    },
    /// Refused by the state service alone; its open watches wait.
    StoreRefuses {
        node: usize,
        ms: u64,
    },
    /// Its reads of the state service get no answer, while writes and renewals do.
    ReadsLost {
        node: usize,
        ms: u64,
    },
    /// All machines fail what they run.
    AllMachinesFailTasks {
        ms: u64,
    },
    /// A third of the transactions get no answer and are carried out seconds
    /// later, after newer ones.
    DelayedTransactions {
        ms: u64,
    },
    /// Reaches no controller, while direct commands reach it.
    MachineReachesNoController {
        ms: u64,
    },
    /// Executes nothing and answers nothing, and goes on within its lease.
    MachineHangs {
        ms: u64,
    },
    /// Direct commands, or their answers, are held up for seconds.
    DelayedCommands {
        ms: u64,
    },
    /// Users cancel all running jobs at once; the machines of some hang then.
    CancelRunningJobs {
        hang_ms: u64,
    },
    /// Half of the jobs that end are cancelled at the moment of their end.
    CancelAtEnd {
        ms: u64,
    },
    /// All controllers are gone for this long.
    AllControllersDown {
        ms: u64,
    },
    /// The south is cut off, with its machines and one controller.
    SouthIsolated {
        ms: u64,
    },
    /// Users repeat submissions, cancel what is done, and send jobs that can't
    /// run or lack a field.
    InvalidRequests {
        ms: u64,
    },
    StoreSlow {
        ms: u64,
    },
    /// New machines take several boot times, and a third never come up.
    SlowBoots {
        ms: u64,
    },
}

impl Fault {
    /// Until all of it is over, late messages included.
    pub(super) fn lasts(&self) -> u64 {
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
            // The last of them is up, or given up, by then.
            Fault::SlowBoots { ms } => ms + 40_000,
            Fault::DelayedTransactions { ms } | Fault::DelayedCommands { ms } => ms + 12_000,
            Fault::CancelRunningJobs { hang_ms } => *hang_ms,
            _ => 5_000,
        }
    }
}
