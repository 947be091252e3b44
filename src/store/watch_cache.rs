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

/// A copy of the watched keys as of `revision`.
#[derive(Debug, Default)]
pub struct WatchCache {
    revision: u64,
    /// Whether a full read has succeeded and no changes have been missed since.
    complete: bool,
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
    /// The full read in progress, if any.
    full_read: Option<FullRead>,
}

/// A full read of the watched keys that is in progress.
#[derive(Debug)]
struct FullRead {
    /// The revision of the first page.
    revision: u64,
    /// The keys read so far, represented as puts.
    events: Vec<WatchEvent>,
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
        self.complete
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

    /// Adds one page of a full read. Applies the read and returns the changes if it is the last
    /// page, and returns `None` otherwise.
    pub fn apply_page(&mut self, keys: &Keys, page: Page) -> Option<Vec<WatchedChange>> {
        let full_read = self.full_read.get_or_insert_with(|| FullRead {
            revision: page.revision,
            events: Vec::new(),
        });
        full_read.events.extend(page.items.into_iter().map(|entry| WatchEvent {
            put: Some(entry.key),
            delete: None,
            value: entry.value,
            version: entry.version,
        }));
        if page.more {
            return None;
        }
        let full_read = self.full_read.take()?;
        Some(self.replace_all(keys, full_read))
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
        let removed = before.into_keys().filter(|id| !self.jobs.contains_key(id));
        changes.extend(removed.map(WatchedChange::JobRemoved));
        // Later pages may be newer than the first one. Applying the log from the revision of
        // the first page makes the cache consistent.
        self.revision = full_read.revision;
        self.complete = true;
        changes
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

    /// Marks the cache as incomplete, so that a full read is started, because changes have been
    /// missed or a full read has failed.
    pub fn invalidate(&mut self) {
        self.complete = false;
        self.full_read = None;
    }

    /// Applies all changes after a revision that the cache has already reached, up to `revision`.
    /// Returns the changes that the controller may have to react to.
    pub fn apply_log(&mut self, keys: &Keys, revision: u64, events: Vec<WatchEvent>) -> Vec<WatchedChange> {
        let known = self.revision;
        let mut changes = Vec::new();
        for event in events {
            // The replies to two requests may overlap. Older changes must not overwrite newer ones.
            if event.version > known {
                changes.extend(self.apply(keys, event));
            }
        }
        self.revision = self.revision.max(revision);
        changes
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
