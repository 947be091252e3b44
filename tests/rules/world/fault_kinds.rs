//! The faults that can be injected, and how long each lasts.

/// A trouble, from a time on and for a while.
#[derive(Clone, Debug)]
pub enum Trouble {
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
    MachineTaken,
    MachineSick,
    /// Its reports arrive; answers and commands don't reach it.
    MachineDeaf {
        ms: u64,
    },
    /// Back at once, its tasks gone, in its next agent epoch.
    MachineBlinks,
    /// Copies of reports come seconds to several leases late.
    LateCopies {
        ms: u64,
    },
    /// Cut from the state service and the other controllers, not from workers.
    CutFromAllButWorkers {
        node: usize,
        ms: u64,
    },
    /// Back within a fraction of a second.
    Blink {
        node: usize,
    },
    /// Stands still while its clocks run on; what it had worked out just before
    /// leaves only when it wakes.
    Freeze {
        node: usize,
        ms: u64,
    },
    PeersRefuse {
        ms: u64,
    },
    /// Refused by the state service alone; its open watches wait.
    Refused {
        node: usize,
        ms: u64,
    },
    /// Its reads of the state service get no answer, while writes and renewals do.
    ReadsLost {
        node: usize,
        ms: u64,
    },
    /// All machines fail what they run.
    AllSick {
        ms: u64,
    },
    /// A third of the transactions get no answer and are carried out seconds
    /// later, after newer ones.
    LateWrites {
        ms: u64,
    },
    /// Reaches no controller, while direct commands reach it.
    MachineMute {
        ms: u64,
    },
    /// Executes nothing and answers nothing, and goes on within its lease.
    MachineHangs {
        ms: u64,
    },
    /// Direct commands, or their answers, are held up for seconds.
    HeldCommands {
        ms: u64,
    },
    /// Users call off all that runs at once; the machines of some hang then.
    CancelNow {
        hang_ms: u64,
    },
    /// Half of the jobs that end are called off at the moment of their end.
    CancelAtEnd {
        ms: u64,
    },
    /// All controllers are gone for this long.
    AllAway {
        ms: u64,
    },
    /// The south is cut off, with its machines and one controller.
    SouthAlone {
        ms: u64,
    },
    /// Users repeat submissions, cancel what is done, and send jobs that can't
    /// run or lack a field.
    OddRequests {
        ms: u64,
    },
    StoreSlow {
        ms: u64,
    },
    /// New machines take several boot times, and a third never come up.
    LateBoots {
        ms: u64,
    },
}

impl Trouble {
    /// Until all of it is over, late messages included.
    pub(super) fn lasts(&self) -> u64 {
        match self {
            Trouble::CutFromStore { ms, .. }
            | Trouble::CutFromPeers { ms, .. }
            | Trouble::CutFromWorkers { ms, .. }
            | Trouble::CutFromAllButWorkers { ms, .. }
            | Trouble::Freeze { ms, .. }
            | Trouble::StoreOutage { ms }
            | Trouble::CloudOutage { ms }
            | Trouble::MachineCut { ms }
            | Trouble::ZoneCut { ms }
            | Trouble::MachineDeaf { ms }
            | Trouble::LateCopies { ms }
            | Trouble::PeersRefuse { ms }
            | Trouble::Refused { ms, .. }
            | Trouble::ReadsLost { ms, .. }
            | Trouble::AllSick { ms }
            | Trouble::MachineMute { ms }
            | Trouble::MachineHangs { ms }
            | Trouble::CancelAtEnd { ms }
            | Trouble::AllAway { ms }
            | Trouble::SouthAlone { ms }
            | Trouble::OddRequests { ms }
            | Trouble::StoreSlow { ms } => *ms,
            // The last of them is up, or given up, by then.
            Trouble::LateBoots { ms } => ms + 40_000,
            Trouble::LateWrites { ms } | Trouble::HeldCommands { ms } => ms + 12_000,
            Trouble::CancelNow { hang_ms } => *hang_ms,
            _ => 5_000,
        }
    }
}
