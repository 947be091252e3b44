//! Keeps the watch cache up to date and passes its changes on to the other parts of the controller.

use super::{Controller, Purpose};
use crate::Millis;
use crate::store::{FullReadId, PageOutcome, StoreReply, StoreRequest, WatchPosition, WatchedChange};
use crate::wire::Catalogue;

/// How long the state service holds a watch request open while there are no changes.
const WATCH_WAIT_MS: u64 = 10_000;
/// Pause between two watch requests, so that changes close together arrive in one reply.
const WATCH_PAUSE_MS: Millis = 150;
/// Delay before a failed read or watch is retried.
const RETRY_MS: Millis = 300;

/// What the reply to a watch request did to the watch cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchOutcome {
    /// The watch cache holds all changes that were made before the request was executed.
    UpToDate,
    /// The state service answered, but the watch cache does not continue from where the request
    /// asked for changes.
    Superseded,
    /// The state service did not answer, or refused the request.
    Failed,
}

impl Controller {
    /// Sends the requests for the watch cache that are due.
    pub(super) fn advance_watch_cache(&mut self) {
        let Some(position) = self.watch_cache.position() else {
            self.advance_full_read();
            return;
        };
        if self.watch_state.take_watch_due(self.now) {
            self.enqueue(Purpose::Watch(position), self.watch_request(position, WATCH_WAIT_MS));
        }
        if self.watch_state.is_refresh_due(self.now) {
            self.refresh_watch_cache();
        }
    }

    /// Starts a full read of the watched keys if none is in progress and one is due.
    fn advance_full_read(&mut self) {
        if !self.watch_cache.is_being_read() && self.watch_state.is_read_due(self.now) {
            let read = self.watch_cache.begin_full_read();
            self.read_watch_cache_page(read, String::new());
        }
    }

    /// Requests the page of a full read that follows the key `after`.
    fn read_watch_cache_page(&mut self, read: FullReadId, after: String) {
        let prefix = self.keys.watched();
        self.enqueue(Purpose::ReadWatchCache(read), StoreRequest::List { prefix, after });
    }

    /// Requests the latest changes for the watch cache. While it is not complete, the full read
    /// that is due or in progress brings it up to date instead.
    pub(super) fn refresh_watch_cache(&mut self) {
        if let Some(position) = self.watch_cache.position() {
            self.send_refresh(position, None);
        }
    }

    /// Sends the confirming read that admission waits for, if any. It waits until the watch cache is
    /// complete, since changes alone don't bring an incomplete one up to date, and for the end of a
    /// registration as a member, since an answer may not be based on an earlier read.
    pub(super) fn send_confirming_read(&mut self) {
        if self.membership.is_registering() {
            return;
        }
        if let Some(position) = self.watch_cache.position()
            && let Some(read) = self.admission.take_confirming_read()
        {
            self.send_refresh(position, Some(read));
        }
    }

    fn send_refresh(&mut self, position: WatchPosition, admission_read: Option<u64>) {
        self.watch_state.refresh_sent(self.now);
        let purpose = Purpose::RefreshWatchCache {
            position,
            admission_read,
            sent_at: self.now,
        };
        self.enqueue(purpose, self.watch_request(position, 0));
    }

    /// Builds a request for the changes to the watched keys since this position. The service waits
    /// up to `wait_ms` for a change if there is none yet.
    pub(super) fn watch_request(&self, position: WatchPosition, wait_ms: u64) -> StoreRequest {
        StoreRequest::Watch {
            prefix: self.keys.watched(),
            since: position.revision(),
            wait_ms,
        }
    }

    /// Handles the reply to a watch. One that was sent before a full read says nothing about the watch
    /// that was sent after it.
    pub(super) fn on_watch_reply(&mut self, position: WatchPosition, reply: StoreReply) {
        if !self.watch_cache.continues_from(position) {
            return;
        }
        let pause = match self.apply_watch_log(position, reply) {
            WatchOutcome::UpToDate => WATCH_PAUSE_MS,
            WatchOutcome::Superseded | WatchOutcome::Failed => RETRY_MS,
        };
        self.watch_state.watch_answered(self.now + pause);
    }

    /// Handles the reply to the refresh that was sent at `sent_at`. User requests may wait for it
    /// if it is a confirming read of admission.
    pub(super) fn on_refreshed(
        &mut self,
        position: WatchPosition,
        admission_read: Option<u64>,
        sent_at: Millis,
        reply: StoreReply,
    ) {
        let outcome = self.apply_watch_log(position, reply);
        if outcome == WatchOutcome::UpToDate {
            self.on_watch_cache_read(sent_at);
        }
        let Some(read) = admission_read else {
            return;
        };
        let effects = self.with_admission(|admission, context| match outcome {
            WatchOutcome::UpToDate => admission.confirming_read_done(context, read, sent_at),
            WatchOutcome::Superseded => {
                admission.confirming_read_superseded(read);
                Vec::new()
            }
            WatchOutcome::Failed => admission.confirming_read_failed(context, read),
        });
        self.apply_effects(effects);
    }

    /// Handles a page of a full read, and requests the next one if there is one.
    pub(super) fn on_watch_cache_page(&mut self, read: FullReadId, reply: StoreReply) {
        let StoreReply::Page(page) = reply else {
            if self.watch_cache.fail_full_read(read) {
                self.on_full_read_failed();
            }
            return;
        };
        self.load_progress.reply_received(self.now);
        match self.watch_cache.apply_page(&self.keys, read, page) {
            PageOutcome::Abandoned => {}
            PageOutcome::Continues { after } => self.read_watch_cache_page(read, after),
            PageOutcome::Malformed => {
                tracing::error!("received an empty page that is marked as not the last");
                self.on_full_read_failed();
            }
            PageOutcome::Complete(changes) => {
                // An earlier watch may be open for seconds, and its reply will be ignored.
                self.watch_state.watch_answered(self.now);
                tracing::info!(
                    revision = self.watch_cache.revision(),
                    jobs = self.watch_cache.jobs().len(),
                    "read all watched keys"
                );
                self.on_watched_changes(changes);
            }
        }
    }

    /// Schedules the next full read. Requests that wait for the watch cache are answered now, since
    /// the state service can't be read at present.
    fn on_full_read_failed(&mut self) {
        self.watch_state.read_failed(self.now + RETRY_MS);
        let effects = self.with_admission(|admission, context| admission.full_read_failed(context));
        self.apply_effects(effects);
    }

    /// Applies the reply to a watch request to the watch cache.
    pub(super) fn apply_watch_log(&mut self, position: WatchPosition, reply: StoreReply) -> WatchOutcome {
        match reply {
            StoreReply::WatchLog(log) => {
                let applied = self
                    .watch_cache
                    .apply_log(&self.keys, position, log.revision, log.events);
                let Some(changes) = applied else {
                    return WatchOutcome::Superseded;
                };
                self.on_watched_changes(changes);
                WatchOutcome::UpToDate
            }
            StoreReply::TooOld => {
                self.watch_cache.too_old(position);
                WatchOutcome::Superseded
            }
            _ => WatchOutcome::Failed,
        }
    }

    /// Passes the changes in the watch cache on to the parts of the controller that they concern.
    fn on_watched_changes(&mut self, changes: Vec<WatchedChange>) {
        for change in changes {
            match change {
                WatchedChange::Leader => self.on_claim_changed(),
                WatchedChange::Catalogue => self.apply_stored_catalogue(),
                WatchedChange::Job(id) => {
                    self.note_end(&id);
                    self.job_changed(&id);
                }
                WatchedChange::JobRemoved(id) => self.job_removed(id),
            }
        }
    }

    /// Lets admission know if the watch cache shows that this job has ended.
    fn note_end(&mut self, id: &str) {
        self.with_admission(|admission, context| admission.learn_end(context, id));
    }

    /// Applies the catalogue that is stored in the state service.
    fn apply_stored_catalogue(&mut self) {
        let value = self.watch_cache.catalogue().cloned();
        match value.map(serde_json::from_value::<Catalogue>) {
            Some(Ok(catalogue)) => self.set_catalogue(catalogue),
            Some(Err(error)) => tracing::error!(%error, "cannot parse the stored catalogue"),
            None => {}
        }
    }

    /// Sets the catalogue for this controller and the shard.
    pub(super) fn set_catalogue(&mut self, catalogue: Catalogue) {
        if let Some(shard) = &mut self.shard {
            shard.set_catalogue(&catalogue);
        }
        self.catalogue = Some(catalogue);
        self.placement_rounds.request();
    }

    /// Passes a changed job from the watch cache on to the shard, if this controller has loaded or
    /// is loading it.
    pub(super) fn job_changed(&mut self, id: &str) {
        if let (Some(shard), Some((key, version))) = (&mut self.shard, self.watch_cache.jobs().get(id)) {
            shard.job_changed(self.now, id, key, *version);
            self.placement_rounds.request();
        }
    }

    /// Handles the removal of a job's key.
    fn job_removed(&mut self, id: String) {
        self.peers.forget_task_counts(&id);
        if let Some(shard) = &mut self.shard {
            shard.jobs.note_deleted(id);
        }
    }
}
