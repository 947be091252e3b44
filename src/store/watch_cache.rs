use super::Keys;
use crate::wire::{Event, JobSpec, JobState, Page};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The claim of a shard's leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderValue {
    pub node: String,
    /// Tells one incarnation of a process from the next.
    #[serde(rename = "life")]
    pub incarnation: u64,
    pub term: u64,
}

/// The value of a job key: the job, when it was accepted (time of day), and,
/// from its end until everything else of it is cleaned up, how it ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobKey {
    pub spec: JobSpec,
    pub accepted_ms: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<JobState>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum WatchedChange {
    Leader,
    Catalogue,
    Job(String),
    JobGone(String),
}

/// A copy of the watched keys as of `revision`.
#[derive(Debug, Default)]
pub struct WatchCache {
    pub revision: u64,
    /// False until the first full read, and again when a watch fell too far behind.
    pub complete: bool,
    pub leader: Option<(LeaderValue, u64)>,
    pub term: (u64, u64),
    pub catalogue: Option<(serde_json::Value, u64)>,
    /// Each with the version of its key.
    jobs: BTreeMap<String, (JobKey, u64)>,
    /// Tasks of all these jobs.
    tasks: u64,
    /// Keys read so far, and the revision of the first page, during a full read.
    reading: Option<(u64, Vec<Event>)>,
}

impl WatchCache {
    /// Takes one page of a full read; gives the changes once it is the last.
    pub fn take_page(&mut self, keys: &Keys, page: Page) -> Option<Vec<WatchedChange>> {
        let (_, events) = self.reading.get_or_insert((page.revision, Vec::new()));
        events.extend(page.items.into_iter().map(|entry| Event {
            put: Some(entry.key),
            delete: None,
            value: entry.value,
            version: entry.version,
        }));
        if page.more {
            return None;
        }
        let (revision, events) = self.reading.take()?;
        let mut changes: Vec<WatchedChange> = Vec::new();
        if self.leader.take().is_some() {
            changes.push(WatchedChange::Leader);
        }
        let before = std::mem::take(&mut self.jobs);
        self.tasks = 0;
        for event in events {
            changes.extend(self.apply(keys, event));
        }
        for id in before.into_keys() {
            if !self.jobs.contains_key(&id) {
                changes.push(WatchedChange::JobGone(id));
            }
        }
        // Later pages may be newer than the first; the log from the first
        // page's revision on puts that right.
        self.revision = revision;
        self.complete = true;
        Some(changes)
    }

    /// Unfinished jobs, and ended ones that are not cleaned up yet.
    pub fn jobs(&self) -> &BTreeMap<String, (JobKey, u64)> {
        &self.jobs
    }

    /// Tasks of all of [`WatchCache::jobs`].
    pub fn tasks(&self) -> u64 {
        self.tasks
    }

    /// Takes in a job's key.
    pub fn learn(&mut self, id: &str, key: JobKey, version: u64) {
        self.forget(id);
        self.tasks += u64::from(key.spec.tasks);
        self.jobs.insert(id.into(), (key, version));
    }

    fn forget(&mut self, id: &str) {
        if let Some((key, _)) = self.jobs.remove(id) {
            self.tasks -= u64::from(key.spec.tasks);
        }
    }

    pub fn restart(&mut self) {
        self.complete = false;
        self.reading = None;
    }

    /// Applies a log that begins at or before our revision.
    pub fn take_log(&mut self, keys: &Keys, revision: u64, events: Vec<Event>) -> Vec<WatchedChange> {
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
        let (key, gone) = match (event.put, event.delete) {
            (Some(key), _) => (key, false),
            (None, Some(key)) => (key, true),
            (None, None) => return None,
        };
        let version = event.version;
        if let Some(id) = key.strip_prefix(&keys.jobs()) {
            if gone {
                self.forget(id);
                return Some(WatchedChange::JobGone(id.into()));
            }
            match serde_json::from_value(event.value) {
                Ok(job) => self.learn(id, job, version),
                Err(error) => {
                    tracing::error!(job = id, %error, "a job key can't be read");
                    return None;
                }
            };
            return Some(WatchedChange::Job(id.into()));
        }
        if key == keys.leader() {
            self.leader = if gone {
                None
            } else {
                serde_json::from_value(event.value).ok().map(|leader| (leader, version))
            };
            return Some(WatchedChange::Leader);
        }
        if key == keys.term() && !gone {
            let term = event.value.get("term").and_then(|term| term.as_u64());
            self.term = (term.unwrap_or(0), version);
        }
        if key == keys.catalogue() && !gone {
            self.catalogue = Some((event.value, version));
            return Some(WatchedChange::Catalogue);
        }
        None
    }
}
