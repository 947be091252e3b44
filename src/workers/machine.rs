//! State of one machine and its worker, as known from its reports and the cloud's lists.

use super::{AnsweredStarts, CloudListing, Delivery, FailureRecord, WorkerTokens};
use crate::Millis;
use crate::ids::{AttemptIx, GroupIx, ImageIx, TypeIx, ZoneIx};
use crate::resources::Offer;
use crate::resources::Resources;
use crate::wire::{ListedMachine, MAX_ADDRESS_BYTES, MachineState, TaskReport};

/// Consecutive missed answers after which a machine is cordoned and gets no new tasks. An
/// answer counts as missed if the next report shows no effect of it.
pub const MISSED_ANSWERS_TO_CORDON: u32 = 2;
/// Consecutive missed answers after which a machine is decommissioned: its reports arrive,
/// but neither answers nor commands reach it.
pub const MISSED_ANSWERS_TO_DECOMMISSION: u32 = 4;

/// A rented machine and the state of its worker.
#[derive(Debug)]
pub struct Machine {
    /// Name of the machine in the cloud.
    pub name: String,
    /// Address at which the worker accepts direct commands, once known.
    pub address: Option<String>,
    /// Machine type from the cloud's catalogue.
    pub type_ix: TypeIx,
    /// Zone of the cloud in which the machine runs.
    pub zone: ZoneIx,
    /// Whether it is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Inventory group under which the machine is written to the state service.
    pub group: Option<GroupIx>,
    /// Whether the stored value of the inventory group names the machine.
    pub is_persisted: bool,
    /// When the machine was requested from the cloud, estimated if this is not known exactly.
    pub requested_at: Millis,
    /// Whether the cloud's machine lists name the machine.
    pub cloud_listing: CloudListing,
    /// Highest agent epoch in which the worker has reported.
    pub agent_epoch: u64,
    /// Sequence number of the newest report in that agent epoch.
    pub seq: u64,
    /// Fencing tokens that the worker has seen and has been sent.
    pub tokens: WorkerTokens,
    /// When the last report arrived that was provably sent under this leader: it carried the
    /// fencing token of the leader's term or replied to a direct command. Any other report may
    /// be a delayed copy and is not counted here. `None` until there is such a report.
    pub last_report_at: Option<Millis>,
    /// Latest time at which the next report is expected. After this time the worker may hang
    /// or be disconnected, so the machine gets no new tasks.
    pub report_due: Millis,
    /// Whether a direct command has gone unanswered or undelivered since the last report.
    pub has_unanswered_command: bool,
    /// When the machine was first known to be up without a report of this term: a report arrived
    /// that may have been sent earlier, or the stored inventory contained the worker's address
    /// at takeover.
    pub known_up_at: Option<Millis>,
    /// Whether the next report must show an effect of the last answer.
    pub expects_effect: bool,
    /// Number of consecutive reports that did not show the expected effect of the previous
    /// answer.
    pub missed_answers: u32,
    /// Last time at which an answer may have renewed the worker's lease. A new agent epoch also
    /// counts, since it starts with a full lease.
    pub answered_at: Millis,
    /// Start commands in answers that the worker may still execute.
    pub answered_starts: AnsweredStarts,
    /// When the cloud will reclaim the machine, if the cloud has given notice.
    pub spot_reclaim_at: Option<Millis>,
    /// Whether the last health check found the machine unresponsive. It does not count as
    /// capacity until it reports again.
    pub marked_unresponsive: bool,
    /// Whether the machine gets no new tasks and is to be deleted.
    pub decommissioned: bool,
    /// State of the direct commands to the worker.
    pub delivery: Delivery,
    /// Peer controller that relayed the last report; `None` if the report came directly or a
    /// direct command has failed since.
    pub relayed_by: Option<String>,
    /// Images that the machine holds or fetches, with their sizes in GB. The most recently
    /// used image comes last.
    pub images: Vec<(ImageIx, f64)>,
    /// Open attempts placed on the machine.
    pub open: Vec<AttemptIx>,
    /// Tasks in the newest report that match no open attempt. Exited tasks are included, since
    /// the report that lists them closes their attempts.
    pub unmatched_tasks: Vec<TaskReport>,
    /// Resources reserved for the open attempts.
    pub used: Resources,
    /// Since when the machine has had no open attempts; meaningful only if it has none.
    pub idle_since: Millis,
    /// Task failures that count against the machine.
    pub failures: FailureRecord,
    /// Time until which the machine gets no new tasks.
    pub cordoned_until: Millis,
}

impl Machine {
    /// Returns a machine of the given offer that has not reported yet.
    pub fn new(name: &str, offer: Offer, now: Millis) -> Machine {
        Machine {
            name: name.into(),
            address: None,
            type_ix: offer.type_ix,
            zone: offer.zone,
            spot: offer.spot,
            group: None,
            is_persisted: false,
            requested_at: now,
            cloud_listing: CloudListing::default(),
            agent_epoch: 0,
            seq: 0,
            tokens: WorkerTokens::default(),
            last_report_at: None,
            report_due: 0,
            has_unanswered_command: false,
            known_up_at: None,
            expects_effect: false,
            missed_answers: 0,
            answered_at: now,
            answered_starts: AnsweredStarts::default(),
            spot_reclaim_at: None,
            marked_unresponsive: false,
            decommissioned: false,
            delivery: Delivery::default(),
            relayed_by: None,
            images: Vec::new(),
            open: Vec::new(),
            unmatched_tasks: Vec::new(),
            used: Resources::default(),
            idle_since: now,
            failures: FailureRecord::default(),
            cordoned_until: 0,
        }
    }

    /// Whether the machine may be given new tasks: the stored inventory names it, so that the
    /// next leader will know of it; it has reported to this leader and is not late; answers and
    /// commands reach it; and it is neither cordoned nor decommissioned nor to be reclaimed.
    pub fn usable(&self, now: Millis) -> bool {
        self.is_persisted
            && self.last_report_at.is_some()
            && now <= self.report_due
            && !self.has_unanswered_command
            && self.spot_reclaim_at.is_none()
            && !self.decommissioned
            && self.missed_answers < MISSED_ANSWERS_TO_CORDON
            && now >= self.cordoned_until
    }

    /// Returns when the last report that was provably sent under this leader arrived, or, if
    /// there is none, when the machine was first known to be up.
    pub fn last_known_up_at(&self) -> Option<Millis> {
        self.last_report_at.or(self.known_up_at)
    }

    /// Returns the type, zone and spot status under which the machine is rented.
    pub fn offer(&self) -> Offer {
        Offer {
            type_ix: self.type_ix,
            zone: self.zone,
            spot: self.spot,
        }
    }

    /// Sets the worker's address. If the address changed, returns the inventory group to
    /// write again. An address that is too long to be one is ignored.
    pub(super) fn set_address(&mut self, address: &str) -> Option<GroupIx> {
        if self.address.as_deref() == Some(address) || address.len() > MAX_ADDRESS_BYTES {
            return None;
        }
        self.address = Some(address.to_owned());
        self.group
    }

    /// Updates the machine from its entry in the cloud's list. If the entry contains an
    /// address that was not known, returns the inventory group to write again.
    pub(super) fn note_listed(&mut self, now: Millis, listed: &ListedMachine) -> Option<GroupIx> {
        self.cloud_listing.note_named();
        if self.last_report_at.is_none() {
            self.requested_at = now.saturating_sub(crate::millis(listed.age_s));
        }
        if listed.state == MachineState::Failed && !self.decommissioned {
            tracing::info!(machine = self.name, "decommissioning a failed machine");
            self.decommissioned = true;
        }
        // An address from a report is newer than one from a list.
        match (&self.address, &listed.address) {
            (None, Some(address)) => self.set_address(address),
            _ => None,
        }
    }

    /// Releases the resources of an attempt that has ended.
    pub fn release(&mut self, now: Millis, attempt: AttemptIx, resources: Resources) {
        self.open.retain(|&other| other != attempt);
        self.used.subtract(resources);
        if self.open.is_empty() {
            // Clears rounding errors left by repeated additions and subtractions.
            self.used = Resources::default();
            self.idle_since = now;
        }
    }
}
