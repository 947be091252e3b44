//! One machine and its worker, as its reports and the cloud's lists show it.

use super::{CloudListing, Delivery, FailureRecord};
use crate::Millis;
use crate::ids::{AttemptIx, GroupIx, ImageIx, TypeIx, ZoneIx};
use crate::resources::Offer;
use crate::resources::Resources;
use crate::wire::{ListedMachine, MachineState, TaskReport};

/// Reports without effect of the answers before them, after which a machine
/// gets no more tasks.
pub const MISSED_ANSWERS_TO_CORDON: u32 = 2;
/// The same, after which it is given up: it is heard, but neither answers nor
/// commands reach it.
pub const MISSED_ANSWERS_TO_DECOMMISSION: u32 = 4;

/// A rented machine with its worker.
#[derive(Debug)]
pub struct Machine {
    /// Its name in the cloud.
    pub name: String,
    /// Where its worker takes direct commands, once known.
    pub address: Option<String>,
    /// Its type in the cloud's catalogue.
    pub type_ix: TypeIx,
    /// Its zone of the cloud.
    pub zone: ZoneIx,
    /// Rented at the spot price: the cloud may take it away.
    pub spot: bool,
    /// Its group in the inventory.
    pub group: Option<GroupIx>,
    /// The key of its group names it.
    pub is_persisted: bool,
    /// When it was asked of the cloud, as far as is known.
    pub requested_at: Millis,
    /// Whether the cloud's lists name it.
    pub cloud_listing: CloudListing,
    /// The highest agent epoch that its worker reported in.
    pub agent_epoch: u64,
    /// The number of its newest report within that epoch.
    pub seq: u64,
    /// Highest fencing token that its worker has been seen to hold.
    pub fencing_token: u64,
    /// Last report that surely was sent in this term: it carried our fencing token, or
    /// answered a direct command. Anything else may be a late copy.
    pub heard_at: Option<Millis>,
    /// Its next report comes by then at the latest. A later one means that it
    /// hangs or is cut off, and it gets nothing new to run.
    pub report_due: Millis,
    /// A direct command since its last report went unanswered.
    pub has_unanswered_command: bool,
    /// Known to have been up at this time, though not heard in this term.
    pub known_up_at: Option<Millis>,
    /// The last answer called for something that the next report must show.
    pub expects_effect: bool,
    /// Reports in a row that showed no effect of the answer before.
    pub missed_answers: u32,
    /// Last time at which an answer may have renewed its worker's lease.
    pub answered_at: Millis,
    /// Highest term under which a direct start went unanswered: it may still
    /// arrive until the worker has been seen to hold a higher fencing token.
    pub unconfirmed_start_term: u64,
    /// When the cloud takes it away, if it said so.
    pub spot_reclaim_at: Option<Millis>,
    /// Not heard for so long that it counts for nothing until it is again.
    pub marked_unresponsive: bool,
    /// Given up: no new tasks; to be deleted.
    pub decommissioned: bool,
    /// The direct commands to it.
    pub delivery: Delivery,
    /// The peer that relayed its last report.
    pub relayed_by: Option<String>,
    /// Images it holds or fetches, the latest last, with their sizes.
    pub images: Vec<(ImageIx, f64)>,
    /// Open attempts placed on it.
    pub open: Vec<AttemptIx>,
    /// Tasks in its newest report that no open attempt stands for.
    pub unmatched_tasks: Vec<TaskReport>,
    /// What its open attempts take of it.
    pub used: Resources,
    /// Since when it has had no open attempt, if it has none.
    pub idle_since: Millis,
    /// The failures that count against it.
    pub failures: FailureRecord,
    /// Until then it gets no new tasks.
    pub cordoned_until: Millis,
}

impl Machine {
    /// A machine rented in this way, of which nothing has been heard yet.
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
            fencing_token: 0,
            heard_at: None,
            report_due: 0,
            has_unanswered_command: false,
            known_up_at: None,
            expects_effect: false,
            missed_answers: 0,
            answered_at: now,
            unconfirmed_start_term: 0,
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

    /// May be given new tasks: the inventory names it (a successor must know of
    /// it), it was heard by this leader, and no fault of it is known.
    pub fn usable(&self, now: Millis) -> bool {
        self.is_persisted
            && self.heard_at.is_some()
            && now <= self.report_due
            && !self.has_unanswered_command
            && self.spot_reclaim_at.is_none()
            && !self.decommissioned
            && self.missed_answers < MISSED_ANSWERS_TO_CORDON
            && now >= self.cordoned_until
    }

    /// A direct start of this term went unanswered and may still arrive. Only a higher
    /// term ends that; starts of earlier terms are withdrawn once the worker has seen
    /// this one.
    pub fn has_unconfirmed_start_of(&self, term: u64) -> bool {
        self.unconfirmed_start_term >= term
    }

    /// When it was last known to be up, in this term or before.
    pub fn last_known_up_at(&self) -> Option<Millis> {
        self.heard_at.or(self.known_up_at)
    }

    /// How it is rented.
    pub fn offer(&self) -> Offer {
        Offer {
            type_ix: self.type_ix,
            zone: self.zone,
            spot: self.spot,
        }
    }

    /// Sets the address. Returns the inventory group to be written again, if its key
    /// has another one.
    pub(super) fn set_address(&mut self, address: &str) -> Option<GroupIx> {
        if self.address.as_deref() == Some(address) {
            return None;
        }
        self.address = Some(address.to_owned());
        self.group
    }

    /// Takes what the cloud's list says of it. Returns the inventory group to be
    /// written again, if the list told an address that was not known.
    pub(super) fn note_listed(&mut self, now: Millis, listed: &ListedMachine) -> Option<GroupIx> {
        self.cloud_listing.named();
        if self.heard_at.is_none() {
            self.requested_at = now.saturating_sub(crate::millis(listed.age_s));
        }
        if listed.state == MachineState::Failed && !self.decommissioned {
            tracing::info!(machine = self.name, "decommissioning a failed machine");
            self.decommissioned = true;
        }
        // What its reports say is newer than any list.
        match (&self.address, &listed.address) {
            (None, Some(address)) => self.set_address(address),
            _ => None,
        }
    }

    /// An attempt on it is over: what that took is free again.
    pub fn release(&mut self, now: Millis, attempt: AttemptIx, resources: Resources) {
        self.open.retain(|&other| other != attempt);
        self.used.subtract(resources);
        if self.open.is_empty() {
            // Exactly nothing, whatever the rounding of the sums has left.
            self.used = Resources::default();
            self.idle_since = now;
        }
    }
}
