//! The watch cache: a copy of the watched keys, kept by every controller.

mod full_read;

pub use full_read::{FullReadId, PageOutcome};

use super::{JobKey, Keys, LeaderValue, TermValue};
use crate::wire::WatchEvent;
use full_read::FullRead;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

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
#[derive(Debug, Default)]
pub struct WatchCache {
    revision: u64,
    contents: Contents,
    /// The full read that was started last.
    last_full_read: FullReadId,
    /// The leader's claim and the version of its key.
    leader: Option<(LeaderValue, u64)>,
    /// The last fencing token that any term has reserved, and the version of its key.
    term: (u64, u64),
    catalogue: Option<Value>,
    /// The version of the key of each member, by the name of the controller.
    members: BTreeMap<String, u64>,
    /// The names of all controllers that have been members since this process started.
    past_members: BTreeSet<String>,
    /// The jobs by id, each with the version of its key.
    jobs: BTreeMap<String, (JobKey, u64)>,
    /// The total number of tasks of these jobs.
    tasks: u64,
    /// The total size of the names in the descriptions of these jobs, in bytes.
    name_bytes: usize,
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

    /// Returns the last fencing token that any term has reserved and the version of its key, or
    /// zeros if the key does not exist.
    pub fn term(&self) -> (u64, u64) {
        self.term
    }

    /// Returns the stored catalogue of machine types, not yet parsed.
    pub fn catalogue(&self) -> Option<&Value> {
        self.catalogue.as_ref()
    }

    /// Returns the version of a member's key, or `None` if this controller is not a member.
    pub fn member_version(&self, node: &str) -> Option<u64> {
        self.members.get(node).copied()
    }

    /// Returns whether this controller is or was a member, as far as this process has seen.
    pub fn was_member(&self, node: &str) -> bool {
        self.past_members.contains(node)
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

    /// Returns whether the cache was last read as a whole before `position`, so that it continues from
    /// there.
    pub fn continues_from(&self, position: WatchPosition) -> bool {
        position.full_read == self.last_full_read
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
        if !self.is_complete() || !self.continues_from(position) {
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
        if let Some(node) = key.strip_prefix(&keys.members()) {
            self.members.insert(node.into(), version);
            self.past_members.insert(node.into());
            return None;
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
        if let Some(node) = key.strip_prefix(&keys.members()) {
            self.members.remove(node);
            return None;
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
