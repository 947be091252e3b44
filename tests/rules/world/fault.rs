//! The faults that can be injected, and how long each lasts.

/// A fault that a test injects at a given time.
///
/// `ms` is the duration in milliseconds. `node` is the index of a controller; an index out of
/// range stands for the leader at the time of the fault.
///
/// While a machine and a controller can't reach each other, reports and direct commands between
/// them are held back until after the fault, and answers to reports are lost. The same holds for
/// commands and answers to a machine that hangs or receives nothing. While a controller can't
/// reach the state service, half of the transactions that it sends are held back in the same way,
/// and all its other requests are lost. A message that is under way when such a fault begins still
/// arrives, except an answer to a report if the machine is cut off, hangs or receives nothing.
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
    /// leases are renewed for their full time at the first cluster step after the outage.
    StoreOutage { ms: u64 },
    /// The cloud refuses every request.
    CloudOutage { ms: u64 },
    /// One random machine and the controllers can't reach each other.
    MachineCut { ms: u64 },
    /// All machines of the zone `south` that were rented before the fault and the controllers
    /// can't reach each other.
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
    /// Copies of 30 % of the reports arrive at random controllers, 1 to 90 s late.
    DelayedDuplicateReports { ms: u64 },
    /// The controller can't reach the state service and other controllers, while it still
    /// exchanges messages with workers, users and the cloud.
    CutFromAllButWorkers { node: usize, ms: u64 },
    /// The controller ends and restarts within less than a second.
    QuickRestart { node: usize },
    /// The controller process is suspended while its clocks run on. It still processes three
    /// inputs, but their outputs are sent only when it resumes, and its answers to users are
    /// lost.
    Freeze { node: usize, ms: u64 },
    /// Controllers can't exchange messages with each other.
    PeerMessagesDropped { ms: u64 },
    /// The state service answers requests of this controller alone with 503 and keeps its
    /// watches open.
    StoreRefuses { node: usize, ms: u64 },
    /// Reads of the state service by this controller get no answer, while its transactions,
    /// lease requests and lease renewals do.
    ReadsLost { node: usize, ms: u64 },
    /// Every task that starts on a machine rented before the fault fails.
    AllMachinesFailTasks { ms: u64 },
    /// A third of the transactions get no answer and are applied 2 to 12 s late, possibly after
    /// newer ones.
    DelayedTransactions { ms: u64 },
    /// One random machine reaches no controller, while direct commands reach it.
    MachineReachesNoController { ms: u64 },
    /// One random machine hangs: it sends nothing, receives no answers, and its tasks make no
    /// progress. It resumes at the latest when its lease expires.
    MachineHangs { ms: u64 },
    /// Half of the direct commands to reachable machines get no answer, and half of these arrive 1
    /// to 9 s late.
    DelayedCommands { ms: u64 },
    /// Half of the direct commands that a worker has answered reach it once more, 0.3 to 120 s later.
    RepeatedCommands { ms: u64 },
    /// A third of the transactions, lease requests and cloud requests that were answered reach their
    /// service once more, 0.3 to 20 s later.
    RepeatedRequests { ms: u64 },
    /// A tenth of the messages between controllers reach the receiver once more, 0.1 to 20 s later, also
    /// if it has restarted meanwhile.
    RepeatedMessages { ms: u64 },
    /// Half of the answers to reports arrive up to 3.9 s late, when their workers still wait for
    /// them.
    DelayedAnswers { ms: u64 },
    /// Users cancel all running jobs within 200 ms; the machines of some of them hang for
    /// `hang_ms`.
    CancelRunningJobs { hang_ms: u64 },
    /// Users cancel half of the jobs within 600 ms after their last task ends.
    CancelAtEnd { ms: u64 },
    /// All controllers are down.
    AllControllersDown { ms: u64 },
    /// The machines of the zone `south` and controller 1 reach each other, but nothing else:
    /// neither the state service, users, other controllers nor machines of the other zone. Only
    /// the cloud still answers controller 1.
    SouthIsolated { ms: u64 },
    /// Users repeat submissions, cancel jobs that are done, and submit jobs that can't run or
    /// lack a field.
    InvalidRequests { ms: u64 },
    /// The state service rejects every transaction that changes this key or one below it.
    WritesRejected { key: String, ms: u64 },
    /// Requests take 15 times as long to reach the state service.
    StoreSlow { ms: u64 },
    /// The state service's replies to this controller take `delay_ms` longer.
    StoreRepliesSlow { node: usize, delay_ms: u64, ms: u64 },
    /// Users ask all running controllers about accepted jobs again and again, and at once when the
    /// state that they know of a job changes.
    CloseLooks { ms: u64 },
    /// New machines boot in 8 to 40 s instead of 0.5 to 8 s, and 30 % instead of 5 % of them
    /// never come up.
    SlowBoots { ms: u64 },
}

impl Fault {
    /// Returns the milliseconds from the start of the fault until it counts as over.
    ///
    /// Afterwards, [`Fault::MachineFailsTasks`] continues, and reports, direct commands and
    /// transactions that were held back or copied may still arrive.
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
            | Fault::WritesRejected { ms, .. }
            | Fault::StoreSlow { ms }
            | Fault::RepeatedCommands { ms }
            | Fault::StoreRepliesSlow { ms, .. }
            | Fault::CloseLooks { ms } => *ms,
            // Boots take at most 40 s. By then, the controllers have given up machines that never
            // come up.
            Fault::SlowBoots { ms } => ms + 40_000,
            // Delayed transactions are applied up to 12 s late, delayed commands arrive up to 9 s
            // late.
            Fault::DelayedTransactions { ms } | Fault::DelayedCommands { ms } => ms + 12_000,
            Fault::RepeatedRequests { ms } | Fault::RepeatedMessages { ms } => ms + 20_000,
            Fault::DelayedAnswers { ms } => ms + 4_000,
            Fault::CancelRunningJobs { hang_ms } => *hang_ms,
            _ => 5_000,
        }
    }
}
