//! Keeps the watch cache new, and tells the other parts what has changed in it.

use super::{Controller, Purpose};
use crate::Millis;
use crate::store::{StoreReply, StoreRequest, WatchedChange};
use crate::wire::Catalogue;

const CHECK_STORE_MS: Millis = 1_000;
const WATCH_WAIT_MS: u64 = 10_000;
/// Changes that come close together are taken in one answer.
const WATCH_PAUSE_MS: Millis = 150;
/// Pause before a failed read or watch is tried again.
const RETRY_MS: Millis = 300;

impl Controller {
    pub(super) fn advance_watch_cache(&mut self) {
        if !self.watch_cache.complete {
            if !self.reading && self.now >= self.read_not_before {
                self.reading = true;
                self.enqueue(
                    Purpose::ReadWatchCache,
                    StoreRequest::List {
                        prefix: self.keys.watched(),
                        after: String::new(),
                    },
                );
            }
            return;
        }
        if !self.watching && self.now >= self.watch_not_before {
            self.watching = true;
            self.enqueue(Purpose::Watch, self.watch(WATCH_WAIT_MS));
        }
        // Without other traffic, a look now and then tells whether the state
        // service can be reached, and keeps the watch cache fresh.
        if self.now >= self.store_asked_at + CHECK_STORE_MS {
            self.sync(0);
        }
    }

    pub(super) fn sync(&mut self, number: u64) {
        self.store_asked_at = self.now;
        let sent = self.now;
        self.enqueue(Purpose::Sync { number, sent }, self.watch(0));
    }

    /// What has changed of the watched keys since the watch cache's revision.
    pub(super) fn watch(&self, wait_ms: u64) -> StoreRequest {
        StoreRequest::Watch {
            prefix: self.keys.watched(),
            since: self.watch_cache.revision,
            wait_ms,
        }
    }

    pub(super) fn watch_answered(&mut self, reply: StoreReply) {
        self.watching = false;
        let taken = self.take_log(reply);
        self.watch_not_before = self.now + if taken { WATCH_PAUSE_MS } else { RETRY_MS };
    }

    /// The read sent then came back; questions of admission wait for it, if it has a
    /// number.
    pub(super) fn synced(&mut self, number: u64, sent: Millis, reply: StoreReply) {
        let ok = self.take_log(reply);
        if ok {
            self.watch_cache_read(sent);
        }
        if number > 0 {
            let wants = self.with_admission(|admission, context, _| {
                if ok {
                    admission.synced(context, number)
                } else {
                    admission.sync_failed(number)
                }
            });
            self.apply_effects(wants);
        }
    }

    pub(super) fn watch_cache_page(&mut self, request: &StoreRequest, reply: StoreReply) {
        let StoreReply::Page(page) = reply else {
            self.reading = false;
            self.watch_cache.restart();
            self.read_not_before = self.now + RETRY_MS;
            return;
        };
        let next = page.items.last().map(|entry| entry.key.clone());
        let prefix = self.keys.watched();
        match (self.watch_cache.take_page(&self.keys, page), next) {
            (Some(changes), _) => {
                self.reading = false;
                self.watch_cache_changed(changes);
            }
            (None, Some(after)) => self.enqueue(Purpose::ReadWatchCache, StoreRequest::List { prefix, after }),
            (None, None) => tracing::error!(?request, "an empty page says that there is more"),
        }
    }

    pub(super) fn take_log(&mut self, reply: StoreReply) -> bool {
        match reply {
            StoreReply::Log(log) if self.watch_cache.complete => {
                let changes = self.watch_cache.take_log(&self.keys, log.revision, log.events);
                self.watch_cache_changed(changes);
                true
            }
            StoreReply::TooOld => {
                self.watch_cache.restart();
                false
            }
            _ => false,
        }
    }

    pub(super) fn watch_cache_changed(&mut self, changes: Vec<WatchedChange>) {
        for change in changes {
            match change {
                WatchedChange::Leader => self.leader_changed(),
                WatchedChange::Catalogue => {
                    let value = self.watch_cache.catalogue.as_ref().map(|(value, _)| value.clone());
                    match value.map(serde_json::from_value::<Catalogue>) {
                        Some(Ok(catalogue)) => self.set_catalogue(catalogue),
                        Some(Err(error)) => tracing::error!(%error, "the stored catalogue can't be read"),
                        None => {}
                    }
                }
                WatchedChange::Job(id) => self.job_changed(&id),
                WatchedChange::JobGone(id) => {
                    self.peers.forget_task_counts(&id);
                    if let Some(shard) = &mut self.shard {
                        shard.jobs.deleted_jobs.push(id);
                    }
                }
            }
        }
    }

    pub(super) fn set_catalogue(&mut self, catalogue: Catalogue) {
        if let Some(shard) = &mut self.shard {
            shard.set_catalogue(&catalogue);
        }
        self.catalogue = Some(catalogue);
        self.place_wanted = true;
    }

    pub(super) fn job_changed(&mut self, id: &str) {
        if let (Some(shard), Some((key, version))) = (&mut self.shard, self.watch_cache.jobs().get(id)) {
            shard.job_changed(self.now, id, key, *version);
            self.place_wanted = true;
        }
    }
}
