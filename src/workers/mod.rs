//! Machines and the attempts on them: merging reports, proving attempts over,
//! deriving commands.
//!
//! An attempt stays open, and counts against its team and its machine, until it
//! is proven over: listed as ended by the newest report, its agent epoch gone, its
//! machine deleted, or its worker's lease surely expired. Commands are always
//! derived from what is open, so repeating them needs no memory of its own.

mod attribution;
mod drain;
mod merge;
mod registry;

pub use merge::{Merged, ReportPath};
pub use registry::Workers;

use crate::Millis;
use crate::ids::{AttemptIx, GroupIx, ImageIx, Index, JobIx, MachineIx, TypeIx, ZoneIx};
use crate::resources::Resources;
use crate::topology::Offer;
use crate::wire::{Command, TaskReport, TaskState};

/// How an attempt was proven over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    Error,
    /// Refused by the worker.
    Refused,
    /// Stopped by command.
    Stopped,
    /// Gone with its machine or its agent epoch, or never started.
    Lost,
}

#[derive(Debug)]
pub struct Attempt {
    pub job: JobIx,
    pub task: u32,
    pub number: u64,
    pub machine: MachineIx,
    pub agent_epoch: u64,
    /// Its firing is known to be in the state service; only then may it start.
    pub written: bool,
    /// In the transaction now in flight.
    pub writing: bool,
    /// State in the newest report; `None` while no report has shown it.
    pub observed_state: Option<TaskState>,
    pub running_since: Option<Millis>,
    /// When a start command last left, by a report's answer or directly.
    pub start_sent: Option<Millis>,
    /// One left in the answer to the last report.
    pub start_answered: bool,
    /// Asked to stop, with this much time to save.
    pub stop: Option<f64>,
    /// Proven never to start. It keeps its room until its record is gone from the
    /// state service: a new leader would read it there and start it.
    pub withdrawn: bool,
}

/// Reports without effect of the answers before them, after which a machine
/// gets no more tasks, and after which it is given up: it is heard, but neither
/// answers nor commands reach it.
pub const MISSED_ANSWERS_TO_CORDON: u32 = 2;
pub const MISSED_ANSWERS_TO_DECOMMISSION: u32 = 4;

/// Commands sent straight to a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delivery {
    pub in_flight: bool,
    pub has_starts: bool,
    pub not_before: Millis,
}

#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub address: Option<String>,
    pub type_ix: TypeIx,
    pub zone: ZoneIx,
    pub spot: bool,
    /// Its group in the inventory, and whether the group's key names it yet.
    pub group: Option<GroupIx>,
    pub written: bool,
    pub requested_at: Millis,
    /// In the cloud's list now being read; in any; missing from the last one.
    pub listed: bool,
    pub once_listed: bool,
    pub unlisted: bool,
    pub agent_epoch: u64,
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
    pub silent: bool,
    /// Given up: no new tasks; to be deleted.
    pub decommissioned: bool,
    pub delivery: Delivery,
    /// The peer that relayed its last report.
    pub relayed_by: Option<String>,
    /// Images it holds or fetches, the latest last, with their sizes.
    pub images: Vec<(ImageIx, f64)>,
    pub open: Vec<AttemptIx>,
    /// Tasks in its newest report that no open attempt stands for.
    pub unmatched_tasks: Vec<TaskReport>,
    pub used: Resources,
    pub idle_since: Millis,
    /// Jobs whose tasks failed here since the last success.
    pub failing: Vec<JobIx>,
    /// Failures since then of jobs that got on elsewhere.
    pub failures: u32,
    pub cordoned_until: Millis,
}

impl Machine {
    pub fn new(name: &str, type_ix: TypeIx, zone: ZoneIx, spot: bool, now: Millis) -> Machine {
        Machine {
            name: name.into(),
            address: None,
            type_ix,
            zone,
            spot,
            group: None,
            written: false,
            requested_at: now,
            listed: false,
            once_listed: false,
            unlisted: false,
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
            silent: false,
            decommissioned: false,
            delivery: Delivery::default(),
            relayed_by: None,
            images: Vec::new(),
            open: Vec::new(),
            unmatched_tasks: Vec::new(),
            used: Resources::default(),
            idle_since: now,
            failing: Vec::new(),
            failures: 0,
            cordoned_until: 0,
        }
    }

    /// May be given new tasks: the inventory names it (a successor must know of
    /// it), it was heard by this leader, and nothing speaks against it.
    pub fn usable(&self, now: Millis) -> bool {
        self.written
            && self.heard_at.is_some()
            && now <= self.report_due
            && !self.has_unanswered_command
            && self.spot_reclaim_at.is_none()
            && !self.decommissioned
            && self.missed_answers < MISSED_ANSWERS_TO_CORDON
            && now >= self.cordoned_until
    }

    /// When it was last known to be up, in this term or before.
    pub fn last_sign(&self) -> Option<Millis> {
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

    pub fn holds(&self, image: ImageIx) -> bool {
        self.images.iter().any(|&(held, _)| held == image)
    }

    /// Notes that an image is there, dropping the least recently used ones.
    pub fn touch(&mut self, image: ImageIx, gb: f64, cache_gb: f64) {
        self.images.retain(|&(held, _)| held != image);
        self.images.push((image, gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).1;
        }
    }
}

/// Attempts by a reusable index.
#[derive(Debug, Default)]
pub struct Attempts {
    slots: Vec<Option<Attempt>>,
    free: Vec<AttemptIx>,
}

impl Attempts {
    pub fn insert(&mut self, attempt: Attempt) -> AttemptIx {
        let ix = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            AttemptIx::from_usize(self.slots.len() - 1)
        });
        self.slots[ix.usize()] = Some(attempt);
        ix
    }

    pub fn remove(&mut self, ix: AttemptIx) -> Option<Attempt> {
        let attempt = self.slots.get_mut(ix.usize())?.take();
        if attempt.is_some() {
            self.free.push(ix);
        }
        attempt
    }

    pub fn get(&self, ix: AttemptIx) -> Option<&Attempt> {
        self.slots.get(ix.usize())?.as_ref()
    }

    pub fn get_mut(&mut self, ix: AttemptIx) -> Option<&mut Attempt> {
        self.slots.get_mut(ix.usize())?.as_mut()
    }

    pub fn iter(&self) -> impl Iterator<Item = (AttemptIx, &Attempt)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(ix, slot)| slot.as_ref().map(|attempt| (AttemptIx::from_usize(ix), attempt)))
    }
}

/// `job/task` as the protocol writes it.
pub fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}

pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((job, task.parse().ok()?))
}

/// The command that an open attempt calls for, if any.
pub fn command_for(job: &str, attempt: &Attempt) -> Option<Command> {
    let task = task_name(job, attempt.task);
    match (attempt.observed_state, attempt.stop) {
        (None, None) => Some(Command::Start {
            task,
            attempt: attempt.number,
        }),
        // Not yet seen and not wanted any more: nothing is sent until it shows
        // up or is proven never to start.
        (None, Some(_)) => None,
        (Some(TaskState::Saving), Some(grace_s)) if grace_s > 0.0 => None,
        (Some(_), Some(grace_s)) => Some(Command::Stop {
            task,
            attempt: attempt.number,
            grace_s,
        }),
        (Some(_), None) => None,
    }
}

#[cfg(test)]
mod tests;
