//! Keeps the watch cache up to date and passes its changes on to the other parts of the controller.

use super::{Controller, Purpose};
use crate::Millis;
use crate::store::{StoreReply, StoreRequest, WatchedChange};
use crate::wire::Catalogue;

/// How long the state service holds a watch request open while there are no changes.
const WATCH_WAIT_MS: u64 = 10_000;
/// Pause between two watch requests, so that changes close together arrive in one reply.
const WATCH_PAUSE_MS: Millis = 150;
/// Delay before a failed read or watch is retried.
const RETRY_MS: Millis = 300;

impl Controller {
    /// Sends the requests for the watch cache that are due.
    pub(super) fn advance_watch_cache(&mut self) {
        if !self.watch_cache.is_complete() {
            if self.watch_state.take_read_due(self.now) {
                self.read_watch_cache(String::new());
            }
            return;
        }
        if self.watch_state.take_watch_due(self.now) {
            self.enqueue(Purpose::Watch, self.watch_request(WATCH_WAIT_MS));
        }
        if self.watch_state.is_refresh_due(self.now) {
            self.refresh_watch_cache();
        }
    }

    /// Requests the page of a full read that follows the key `after`.
    fn read_watch_cache(&mut self, after: String) {
        let prefix = self.keys.watched();
        self.enqueue(Purpose::ReadWatchCache, StoreRequest::List { prefix, after });
    }

    /// Requests the latest changes for the watch cache.
    pub(super) fn refresh_watch_cache(&mut self) {
        self.send_refresh(None);
    }

    /// Requests the latest changes for the watch cache as the confirming read with number `read`
    /// of admission.
    pub(super) fn refresh_for_admission(&mut self, read: u64) {
        self.send_refresh(Some(read));
    }

    fn send_refresh(&mut self, admission_read: Option<u64>) {
        self.watch_state.refresh_sent(self.now);
        let purpose = Purpose::RefreshWatchCache {
            admission_read,
            sent_at: self.now,
        };
        self.enqueue(purpose, self.watch_request(0));
    }

    /// Builds a request for the changes to the watched keys since the watch cache's revision. The
    /// service waits up to `wait_ms` for a change if there is none yet.
    pub(super) fn watch_request(&self, wait_ms: u64) -> StoreRequest {
        StoreRequest::Watch {
            prefix: self.keys.watched(),
            since: self.watch_cache.revision(),
            wait_ms,
        }
    }

    /// Handles the reply to a watch.
    pub(super) fn on_watch_reply(&mut self, reply: StoreReply) {
        let is_up_to_date = self.apply_watch_log(reply);
        let pause = if is_up_to_date { WATCH_PAUSE_MS } else { RETRY_MS };
        self.watch_state.watch_answered(self.now + pause);
    }

    /// Handles the reply to the refresh that was sent at `sent_at`. User requests may wait for it
    /// if it is a confirming read of admission.
    pub(super) fn on_refreshed(&mut self, admission_read: Option<u64>, sent_at: Millis, reply: StoreReply) {
        let is_up_to_date = self.apply_watch_log(reply);
        if is_up_to_date {
            self.on_watch_cache_read(sent_at);
        }
        if let Some(read) = admission_read {
            let effects = self.with_admission(|admission, context| {
                if is_up_to_date {
                    admission.confirming_read_done(context, read)
                } else {
                    admission.confirming_read_failed(context, read)
                }
            });
            self.apply_effects(effects);
        }
    }

    /// Handles a page of a full read, and requests the next one if there is one.
    pub(super) fn on_watch_cache_page(&mut self, request: &StoreRequest, reply: StoreReply) {
        let StoreReply::Page(page) = reply else {
            self.watch_cache.invalidate();
            self.watch_state.read_failed(self.now + RETRY_MS);
            return;
        };
        let last_key = page.items.last().map(|entry| entry.key.clone());
        match (self.watch_cache.apply_page(&self.keys, page), last_key) {
            (Some(changes), _) => {
                self.watch_state.read_complete();
                self.on_watched_changes(changes);
            }
            (None, Some(after)) => self.read_watch_cache(after),
            (None, None) => tracing::error!(?request, "received an empty page that is marked as not the last"),
        }
    }

    /// Applies the reply to a watch request to the watch cache. Returns whether the watch cache is
    /// up to date.
    pub(super) fn apply_watch_log(&mut self, reply: StoreReply) -> bool {
        match reply {
            StoreReply::WatchLog(log) if self.watch_cache.is_complete() => {
                let changes = self.watch_cache.apply_log(&self.keys, log.revision, log.events);
                self.on_watched_changes(changes);
                true
            }
            StoreReply::TooOld => {
                self.watch_cache.invalidate();
                false
            }
            _ => false,
        }
    }

    /// Passes the changes in the watch cache on to the parts of the controller that they concern.
    fn on_watched_changes(&mut self, changes: Vec<WatchedChange>) {
        for change in changes {
            match change {
                WatchedChange::Leader => self.on_claim_changed(),
                WatchedChange::Catalogue => self.apply_stored_catalogue(),
                WatchedChange::Job(id) => self.job_changed(&id),
                WatchedChange::JobRemoved(id) => self.job_removed(id),
            }
        }
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
