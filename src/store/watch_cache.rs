//! The watch cache: a copy of the watched keys, kept by every controller.

use super::{JobKey, Keys, LeaderValue, TermValue};
use crate::wire::{Event, Page};
use serde_json::Value;
use std::collections::BTreeMap;

/// A change of the watch cache that others may have to act on.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchedChange {
    /// The leader's claim appeared, changed or went.
    Leader,
    /// The catalogue of machine types appeared or changed.
    Catalogue,
    /// The job of this id appeared or changed.
    Job(String),
    /// The key of the job of this id was removed.
    JobGone(String),
}

/// A copy of the watched keys as of `revision`.
#[derive(Debug, Default)]
pub struct WatchCache {
    revision: u64,
    complete: bool,
    /// With the version of its key.
    leader: Option<(LeaderValue, u64)>,
    /// With the version of its key.
    term: (u64, u64),
    catalogue: Option<Value>,
    /// Each with the version of its key.
    jobs: BTreeMap<String, (JobKey, u64)>,
    /// Tasks of all these jobs.
    tasks: u64,
    full_read: Option<FullRead>,
}

/// A full read of the watched keys that is under way.
#[derive(Debug)]
struct FullRead {
    /// Revision of the first page.
    revision: u64,
    /// The keys read so far, as if they had just been put.
    events: Vec<Event>,
}

/// A change of a key, told apart by what happened.
enum KeyChange {
    Put { key: String, value: Value },
    Removed { key: String },
}

impl KeyChange {
    fn of(event: Event) -> Option<KeyChange> {
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
    /// Revision of the store up to which all changes are taken in.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// False until the first full read, and again when a watch fell too far behind.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// The leader's claim, with the version of its key.
    pub fn leader(&self) -> Option<&(LeaderValue, u64)> {
        self.leader.as_ref()
    }

    /// The highest term, with the version of its key.
    pub fn term(&self) -> (u64, u64) {
        self.term
    }

    /// The catalogue of machine types, as it is stored.
    pub fn catalogue(&self) -> Option<&Value> {
        self.catalogue.as_ref()
    }

    /// Takes in one page of a full read; gives the changes once it is the last.
    pub fn apply_page(&mut self, keys: &Keys, page: Page) -> Option<Vec<WatchedChange>> {
        let full_read = self.full_read.get_or_insert_with(|| FullRead {
            revision: page.revision,
            events: Vec::new(),
        });
        full_read.events.extend(page.items.into_iter().map(|entry| Event {
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

    /// Replaces the jobs and the claim by those of a full read.
    fn replace_all(&mut self, keys: &Keys, full_read: FullRead) -> Vec<WatchedChange> {
        let mut changes: Vec<WatchedChange> = Vec::new();
        if self.leader.take().is_some() {
            changes.push(WatchedChange::Leader);
        }
        let before = std::mem::take(&mut self.jobs);
        self.tasks = 0;
        for event in full_read.events {
            changes.extend(self.apply(keys, event));
        }
        let gone = before.into_keys().filter(|id| !self.jobs.contains_key(id));
        changes.extend(gone.map(WatchedChange::JobGone));
        // Later pages may be newer than the first; the log from the first
        // page's revision on puts that right.
        self.revision = full_read.revision;
        self.complete = true;
        changes
    }

    /// Unfinished jobs, and ended ones that are not cleaned up yet, each with the
    /// version of its key.
    pub fn jobs(&self) -> &BTreeMap<String, (JobKey, u64)> {
        &self.jobs
    }

    /// Tasks of all of [`WatchCache::jobs`].
    pub fn tasks(&self) -> u64 {
        self.tasks
    }

    /// Records a job's key, as it is from this version on.
    pub fn record_job(&mut self, id: &str, key: JobKey, version: u64) {
        self.remove_job(id);
        self.tasks += u64::from(key.spec.tasks);
        self.jobs.insert(id.into(), (key, version));
    }

    fn remove_job(&mut self, id: &str) {
        if let Some((key, _)) = self.jobs.remove(id) {
            self.tasks -= u64::from(key.spec.tasks);
        }
    }

    /// Asks for a full read: changes have been missed, or a full read failed.
    pub fn invalidate(&mut self) {
        self.complete = false;
        self.full_read = None;
    }

    /// Applies a log that begins at or before our revision.
    pub fn apply_log(&mut self, keys: &Keys, revision: u64, events: Vec<Event>) -> Vec<WatchedChange> {
        let known = self.revision;
        let mut changes = Vec::new();
        for event in events {
            // Two requests may overlap; what was applied must not be undone.
            if event.version > known {
                changes.extend(self.apply(keys, event));
            }
        }
        self.revision = self.revision.max(revision);
        changes
    }

    fn apply(&mut self, keys: &Keys, event: Event) -> Option<WatchedChange> {
        let version = event.version;
        match KeyChange::of(event)? {
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
                tracing::error!(job = id, %error, "a job key can't be read");
                None
            }
        }
    }

    /// The term and the catalogue are never removed, and stay known if they should be.
    fn apply_removal(&mut self, keys: &Keys, key: &str) -> Option<WatchedChange> {
        if let Some(id) = key.strip_prefix(&keys.jobs()) {
            self.remove_job(id);
            return Some(WatchedChange::JobGone(id.into()));
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
