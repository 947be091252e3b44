//! Confirmation of the ends of jobs by the other controllers before any user is told.
//!
//! Another controller may have read the job's state before it ended, and may still answer with it,
//! because the reply to the read is slow or the controller was suspended. Therefore an end is told
//! only when each of the other controllers
//!
//! - has confirmed it: from then on it knows of the end, with which it replaces older answers, and
//!   the older answers that it gave to other controllers' requests are no longer passed on; or
//! - is no member, as of the revision at which the end can be read, so it gives no answer that could
//!   be older (see [`crate::membership`]); or
//! - has had time to notice that what it read is too old (see the module `evidence`).
//!
//! A controller of a version that does not know this exchange is never a member. If it is reachable,
//! it is asked for the job's state instead, and only an answer that shows the end proves something.

use super::end_cache::KnownEnd;
use super::evidence::MEMBER_ANSWER_LIFETIME_MS;
use super::pending::{Awaited, POLL_TIMEOUT_MS};
use super::{Admission, AdmissionContext, AdmissionEffect, answers};
use crate::Millis;
use crate::peers::UserRequest;
use crate::store::EndValue;

/// How long a controller that is not a member may answer polls that it received before the end
/// could be read: until they have timed out there by the next tick.
const OLDER_VERSION_LIFETIME_MS: Millis = POLL_TIMEOUT_MS + 100;
/// The maximum number of confirmations that wait until older answers are no longer passed on.
const MAX_DELAYED_CONFIRMATIONS: usize = 4_000;

/// What another controller may still do after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Participation {
    /// It is a member.
    Member,
    /// It is reachable and has never been a member: it may be of an older version.
    OlderVersion,
    /// It was no member as of an earlier revision, and may have become one.
    Unknown,
    /// It gives no answers of its own.
    Absent,
}

impl Participation {
    fn of(context: &AdmissionContext<'_>, node: &str, revision: u64) -> Participation {
        let watch_cache = context.watch_cache;
        let is_recent = watch_cache.is_complete() && watch_cache.revision() >= revision;
        let is_reachable = context.peers.is_peer_reachable(context.now, node);
        if watch_cache.member_version(node).is_some() {
            Participation::Member
        } else if is_reachable && !watch_cache.was_member(node) {
            Participation::OlderVersion
        } else if is_recent {
            Participation::Absent
        } else {
            Participation::Unknown
        }
    }

    /// Returns for how long after an end an older answer may be given without a confirmation.
    fn answer_lifetime_ms(self) -> Millis {
        match self {
            Participation::Member => MEMBER_ANSWER_LIFETIME_MS,
            Participation::OlderVersion | Participation::Unknown => OLDER_VERSION_LIFETIME_MS,
            Participation::Absent => 0,
        }
    }
}

/// A confirmation that is sent later.
#[derive(Debug)]
pub(super) struct DelayedConfirmation {
    node: String,
    job_id: String,
}

impl Admission {
    /// Records how a job ended, as of a revision of the store.
    pub fn note_end(&mut self, now: Millis, job_id: &str, end: EndValue, revision: u64) {
        let known_since = now;
        self.end_cache.insert(
            job_id,
            KnownEnd {
                end,
                revision,
                known_since,
            },
        );
    }

    /// Answers a request with the end of its job if it may be told, and otherwise asks the other
    /// controllers to confirm it. The end is known.
    pub(super) fn report_end(&mut self, context: &AdmissionContext<'_>, request_id: u64) -> Vec<AdmissionEffect> {
        let Some(request) = self.pending.get_mut(&request_id) else {
            return Vec::new();
        };
        request.awaited = Awaited::EndConfirmation;
        let job_id = request.job_request.job_id.clone();
        if self.may_tell_end(context, &job_id) {
            return self.answer_end(request_id, &job_id);
        }
        self.ask_to_confirm_end(context, request_id, &job_id)
    }

    /// Returns whether users may be told of the job's end.
    pub(super) fn may_tell_end(&mut self, context: &AdmissionContext<'_>, job_id: &str) -> bool {
        let Some(known) = self.end_cache.get(job_id) else {
            return false;
        };
        if self.end_cache.is_confirmed(job_id) {
            return true;
        }
        if self.relayed_answers.holds(context.now, job_id) || self.denial_promises.holds(context.now, job_id) {
            return false;
        }
        let may_tell = context.peers.names().iter().all(|node| {
            let lifetime = Participation::of(context, node, known.revision).answer_lifetime_ms();
            self.end_cache.is_confirmed_by(job_id, node) || context.now >= known.known_since + lifetime
        });
        if may_tell {
            self.end_cache.confirm_completely(job_id);
        }
        may_tell
    }

    /// Asks the controllers that have not confirmed the end yet.
    fn ask_to_confirm_end(
        &self,
        context: &AdmissionContext<'_>,
        request_id: u64,
        job_id: &str,
    ) -> Vec<AdmissionEffect> {
        let Some(known) = self.end_cache.get(job_id) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        for node in context.peers.names() {
            if self.end_cache.is_confirmed_by(job_id, &node) {
                continue;
            }
            match Participation::of(context, &node, known.revision) {
                Participation::Member => effects.push(AdmissionEffect::ConfirmEnd {
                    node,
                    job_id: job_id.into(),
                    end: known.end,
                    revision: known.revision,
                }),
                Participation::OlderVersion => effects.push(AdmissionEffect::Forward {
                    request_id,
                    node,
                    user_request: UserRequest::Show(job_id.into()),
                }),
                Participation::Unknown | Participation::Absent => {}
            }
        }
        effects
    }

    /// Answers a request with the end of its job.
    pub(super) fn answer_end(&mut self, request_id: u64, job_id: &str) -> Vec<AdmissionEffect> {
        let (Some(known), Some(request)) = (self.end_cache.get(job_id), self.pending.remove(&request_id)) else {
            return Vec::new();
        };
        vec![AdmissionEffect::Answer(
            request.requester,
            answers::ended(job_id, known.end),
        )]
    }

    /// Handles another controller's confirmation of an end.
    pub fn on_end_confirmed(
        &mut self,
        context: &AdmissionContext<'_>,
        node: &str,
        job_id: &str,
    ) -> Vec<AdmissionEffect> {
        self.end_cache.confirm(job_id, node);
        if !self.may_tell_end(context, job_id) {
            return Vec::new();
        }
        let waiting = self.pending.iter().filter(|(_, request)| {
            matches!(request.awaited, Awaited::EndConfirmation) && request.job_request.job_id == job_id
        });
        let waiting: Vec<u64> = waiting.map(|(&request_id, _)| request_id).collect();
        let answers = waiting
            .into_iter()
            .map(|request_id| self.answer_end(request_id, job_id));
        answers.flatten().collect()
    }

    /// Handles the announcement of an end by another controller, which is about to tell it. It is
    /// confirmed once no older answer that this controller gave to another one can be passed on.
    pub fn on_end_announced(
        &mut self,
        context: &AdmissionContext<'_>,
        node: String,
        job_id: String,
        end: EndValue,
        revision: u64,
    ) -> Vec<AdmissionEffect> {
        self.note_end(context.now, &job_id, end, revision);
        if !self.relayed_answers.holds(context.now, &job_id) {
            return vec![AdmissionEffect::EndConfirmed { node, job_id }];
        }
        if self.delayed_confirmations.len() < MAX_DELAYED_CONFIRMATIONS {
            self.delayed_confirmations.push(DelayedConfirmation { node, job_id });
        }
        Vec::new()
    }

    /// Sends the delayed confirmations that are due.
    pub(super) fn send_delayed_confirmations(&mut self, now: Millis) -> Vec<AdmissionEffect> {
        let delayed = std::mem::take(&mut self.delayed_confirmations);
        let (waiting, due) = delayed
            .into_iter()
            .partition(|delayed| self.relayed_answers.holds(now, &delayed.job_id));
        self.delayed_confirmations = waiting;
        let due: Vec<DelayedConfirmation> = due;
        let effects = due
            .into_iter()
            .map(|DelayedConfirmation { node, job_id }| AdmissionEffect::EndConfirmed { node, job_id });
        effects.collect()
    }
}
