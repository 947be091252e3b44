//! Full reads of the watched keys, which take several requests.
//!
//! A full read is abandoned when the cache is invalidated, and the replies that arrive for it
//! afterwards must not count for the next one: every page names the read that requested it.

use super::{Contents, WatchCache, WatchedChange};
use crate::store::{JobKey, Keys};
use crate::wire::{Page, WatchEvent};

/// The number of a full read of the watched keys. Every page belongs to the read that requested
/// it, and every watch to the read whose result it continues from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FullReadId(u64);

/// What follows from a page of a full read.
#[derive(Debug, PartialEq)]
pub enum PageOutcome {
    /// The read was abandoned before the page arrived, so the page was ignored.
    Abandoned,
    /// The read goes on with the page after this key.
    Continues {
        /// The last key of the page.
        after: String,
    },
    /// The page has no keys, although it is marked as not the last one. The read was abandoned.
    Malformed,
    /// The read is complete and the cache holds its result.
    Complete(Vec<WatchedChange>),
}

/// A full read of the watched keys that is in progress.
#[derive(Debug, Default)]
pub(super) struct FullRead {
    /// The revision of the first page, once it has been read.
    first_revision: Option<u64>,
    /// The keys read so far, represented as puts.
    events: Vec<WatchEvent>,
}

impl FullRead {
    fn add(&mut self, page: Page) {
        self.first_revision.get_or_insert(page.revision);
        self.events.extend(page.items.into_iter().map(|entry| WatchEvent {
            put: Some(entry.key),
            delete: None,
            value: entry.value,
            version: entry.version,
        }));
    }
}

impl WatchCache {
    /// Starts a full read, and abandons the one in progress, if any.
    pub fn begin_full_read(&mut self) -> FullReadId {
        self.last_full_read.0 += 1;
        self.contents = Contents::Reading(FullRead::default());
        self.last_full_read
    }

    /// Adds one page of a full read, and applies the read if it is the last page.
    pub fn apply_page(&mut self, keys: &Keys, read: FullReadId, page: Page) -> PageOutcome {
        let Contents::Reading(full_read) = &mut self.contents else {
            return PageOutcome::Abandoned;
        };
        if read != self.last_full_read {
            return PageOutcome::Abandoned;
        }
        let more = page.more;
        let last_key = page.items.last().map(|entry| entry.key.clone());
        full_read.add(page);
        match last_key {
            Some(after) if more => PageOutcome::Continues { after },
            None if more => {
                self.invalidate();
                PageOutcome::Malformed
            }
            _ => {
                let full_read = std::mem::take(full_read);
                PageOutcome::Complete(self.replace_all(keys, full_read))
            }
        }
    }

    /// Abandons a full read of which a page could not be read. Returns whether it was in progress.
    pub fn fail_full_read(&mut self, read: FullReadId) -> bool {
        let was_in_progress = self.is_being_read() && read == self.last_full_read;
        if was_in_progress {
            self.contents = Contents::Outdated;
        }
        was_in_progress
    }

    /// Replaces the cached jobs and claim with those of a full read, and returns the changes.
    fn replace_all(&mut self, keys: &Keys, full_read: FullRead) -> Vec<WatchedChange> {
        let mut changes: Vec<WatchedChange> = Vec::new();
        if self.leader.take().is_some() {
            changes.push(WatchedChange::Leader);
        }
        self.members.clear();
        let before = std::mem::take(&mut self.jobs);
        self.tasks = 0;
        self.name_bytes = 0;
        for event in full_read.events {
            changes.extend(self.apply(keys, event));
        }
        // Later pages may be newer than the first one. Applying the log from the revision of
        // the first page makes the cache consistent.
        self.revision = full_read.first_revision.unwrap_or(self.revision);
        self.contents = Contents::Complete;
        for (id, (key, version)) in before {
            changes.extend(self.keep_or_remove(id, key, version));
        }
        changes
    }

    /// Keeps a job that was cached before a full read and is newer than what the read shows: this
    /// controller wrote it while the pages were being read. A job that the read lacks for another
    /// reason was removed.
    fn keep_or_remove(&mut self, id: String, key: JobKey, version: u64) -> Option<WatchedChange> {
        let read_version = self.jobs.get(&id).map(|&(_, version)| version);
        if version > self.revision && read_version.is_none_or(|read_version| read_version < version) {
            self.record_job(&id, key, version);
            return None;
        }
        read_version.is_none().then_some(WatchedChange::JobRemoved(id))
    }

    /// Marks the cache as incomplete, because changes may have been missed, and abandons the full
    /// read in progress, if any.
    pub fn invalidate(&mut self) {
        self.contents = Contents::Outdated;
    }
}
