//! The watch cache: a copy of the watched keys, kept by every controller.

use super::{JobKey, Keys, LeaderValue, TermValue};
use crate::wire::{Page, WatchEvent};
use serde_json::Value;
use std::collections::BTreeMap;

/// A change in the watch cache that the controller may have to react to.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchedChange {
    /// The leader's claim was created, changed or removed.
    Leader,
    /// The catalogue of machine types was created or changed.
    Catalogue,
    /// The key of the job with this id was created or changed.
    Job(String),
    /// The key of the job with this id was removed.
    JobRemoved(String),
}

/// The number of a full read of the watched keys. Every page belongs to the read that requested
/// it, and every watch to the read whose result it continues from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FullReadId(u64);

/// A state of the watch cache, from which a watch request asks for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchPosition {
    full_read: FullReadId,
    revision: u64,
}

impl WatchPosition {
    /// Returns the revision after which changes are requested.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}

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

/// How much of the watched keys the cache holds.
#[derive(Debug, Default)]
enum Contents {
    /// Changes may have been missed, and no full read is in progress.
    #[default]
    Outdated,
    /// A full read is in progress.
    Reading(FullRead),
    /// A full read has succeeded and no changes have been missed since.
    Complete,
}

/// A copy of the watched keys as of `revision`.
///
/// A full read takes several requests. It is abandoned when the cache is invalidated, and the
/// replies that arrive for it afterwards must not count for the next one: its pages, and the
/// replies to watches that continued from an earlier read, are recognized by their
/// [`FullReadId`] and ignored.
#[derive(Debug, Default)]
pub struct WatchCache {
    revision: u64,
    contents: Contents,
    /// The full read that was started last.
    last_full_read: FullReadId,
    /// The leader's claim and the version of its key.
    leader: Option<(LeaderValue, u64)>,
    /// The highest term and the version of its key.
    term: (u64, u64),
    catalogue: Option<Value>,
    /// The jobs by id, each with the version of its key.
    jobs: BTreeMap<String, (JobKey, u64)>,
    /// The total number of tasks of these jobs.
    tasks: u64,
    /// The total size of the names in the descriptions of these jobs, in bytes.
    name_bytes: usize,
}

/// A full read of the watched keys that is in progress.
#[derive(Debug, Default)]
struct FullRead {
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

/// A change of a key: a put or a removal.
enum KeyChange {
    Put { key: String, value: Value },
    Removed { key: String },
}

impl KeyChange {
    /// Returns the change that an event describes, or `None` if it names no key.
    fn from_event(event: WatchEvent) -> Option<KeyChange> {
        match (event.put, event.delete) {
            (Some(key), _) => Some(KeyChange::Put {
                key,
                value: event.value,
            }),
            (None, Some(key)) => Some(KeyChange::Removed { key }),
            (None, None) => None,
        }
    }
}

impl WatchCache {
    /// Returns the store revision up to which all changes have been applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether the cache holds all watched keys. False until the first full read, and
    /// again after [`WatchCache::invalidate`].
    pub fn is_complete(&self) -> bool {
        matches!(self.contents, Contents::Complete)
    }

    /// Returns whether a full read is in progress.
    pub fn is_being_read(&self) -> bool {
        matches!(self.contents, Contents::Reading(_))
    }

    /// Returns the position from which changes can be requested, or `None` while the cache is
    /// not complete.
    pub fn position(&self) -> Option<WatchPosition> {
        self.is_complete().then_some(WatchPosition {
            full_read: self.last_full_read,
            revision: self.revision,
        })
    }

    /// Returns the leader's claim, if there is one, and the version of its key.
    pub fn leader(&self) -> Option<&(LeaderValue, u64)> {
        self.leader.as_ref()
    }

    /// Returns the highest term and the version of its key, or zeros if the key does not exist.
    pub fn term(&self) -> (u64, u64) {
        self.term
    }

    /// Returns the stored catalogue of machine types, not yet parsed.
    pub fn catalogue(&self) -> Option<&Value> {
        self.catalogue.as_ref()
    }

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

    /// Returns, by id, the unfinished jobs and the ended jobs that have not been cleaned up yet,
    /// each with the version of its key.
    pub fn jobs(&self) -> &BTreeMap<String, (JobKey, u64)> {
        &self.jobs
    }

    /// Returns the total number of tasks of all [`WatchCache::jobs`].
    pub fn tasks(&self) -> u64 {
        self.tasks
    }

    /// Returns the total size of the names in the descriptions of all [`WatchCache::jobs`], in
    /// bytes.
    pub fn name_bytes(&self) -> usize {
        self.name_bytes
    }

    /// Sets the value of a job's key and its version.
    pub fn record_job(&mut self, id: &str, key: JobKey, version: u64) {
        self.remove_job(id);
        self.tasks += u64::from(key.spec.tasks);
        self.name_bytes += key.spec.name_bytes();
        self.jobs.insert(id.into(), (key, version));
    }

    fn remove_job(&mut self, id: &str) {
        if let Some((key, _)) = self.jobs.remove(id) {
            self.tasks -= u64::from(key.spec.tasks);
            self.name_bytes -= key.spec.name_bytes();
        }
    }

    /// Marks the cache as incomplete, because changes may have been missed, and abandons the full
    /// read in progress, if any.
    pub fn invalidate(&mut self) {
        self.contents = Contents::Outdated;
    }

    /// Handles the reply that the service no longer keeps all changes after `position`. Only a
    /// cache that is still there has missed changes: since the request was sent, another reply or
    /// a full read may have brought it past them.
    pub fn too_old(&mut self, position: WatchPosition) {
        if self.position() == Some(position) {
            self.invalidate();
        }
    }

    /// Applies all changes after `position`, up to `revision`. Returns the changes that the
    /// controller may have to react to, or `None` if the cache does not continue from that
    /// position any more, because a full read was started since.
    pub fn apply_log(
        &mut self,
        keys: &Keys,
        position: WatchPosition,
        revision: u64,
        events: Vec<WatchEvent>,
    ) -> Option<Vec<WatchedChange>> {
        if !self.is_complete() || position.full_read != self.last_full_read {
            return None;
        }
        let known = self.revision;
        let mut changes = Vec::new();
        for event in events {
            // The replies to two requests may overlap. Older changes must not overwrite newer ones.
            if event.version > known {
                changes.extend(self.apply(keys, event));
            }
        }
        self.revision = self.revision.max(revision);
        Some(changes)
    }

    fn apply(&mut self, keys: &Keys, event: WatchEvent) -> Option<WatchedChange> {
        let version = event.version;
        match KeyChange::from_event(event)? {
            KeyChange::Put { key, value } => self.apply_put(keys, &key, value, version),
            KeyChange::Removed { key } => self.apply_removal(keys, &key),
        }
    }

    fn apply_put(&mut self, keys: &Keys, key: &str, value: Value, version: u64) -> Option<WatchedChange> {
        if let Some(id) = key.strip_prefix(&keys.jobs()) {
            return self.apply_job(id, value, version);
        }
        if key == keys.leader() {
            self.leader = serde_json::from_value(value).ok().map(|leader| (leader, version));
            return Some(WatchedChange::Leader);
        }
        if key == keys.term() {
            let term = serde_json::from_value::<TermValue>(value).map_or(0, |stored| stored.term);
            self.term = (term, version);
            return None;
        }
        if key == keys.catalogue() {
            self.catalogue = Some(value);
            return Some(WatchedChange::Catalogue);
        }
        None
    }

    fn apply_job(&mut self, id: &str, value: Value, version: u64) -> Option<WatchedChange> {
        match serde_json::from_value(value) {
            Ok(job) => {
                self.record_job(id, job, version);
                Some(WatchedChange::Job(id.into()))
            }
            Err(error) => {
                tracing::error!(job = id, %error, "cannot parse the value of a job key");
                None
            }
        }
    }

    /// Applies the removal of a key. The term and the catalogue are never removed by
    /// controllers, and the cache keeps them even if their keys are removed.
    fn apply_removal(&mut self, keys: &Keys, key: &str) -> Option<WatchedChange> {
        if let Some(id) = key.strip_prefix(&keys.jobs()) {
            self.remove_job(id);
            return Some(WatchedChange::JobRemoved(id.into()));
        }
        if key == keys.leader() {
            self.leader = None;
            return Some(WatchedChange::Leader);
        }
        None
    }
}

#[cfg(test)]
mod tests;
