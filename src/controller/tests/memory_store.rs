//! A state service in memory, for tests of several controllers.

use super::*;
use crate::wire::{Change, WatchEvent, WatchLog};
use std::collections::BTreeMap;

/// A state service. It executes requests immediately.
#[derive(Default)]
pub struct MemoryStore {
    /// Value, version and lease of each key.
    entries: BTreeMap<String, (serde_json::Value, u64, Option<u64>)>,
    log: Vec<WatchEvent>,
    pub revision: u64,
    /// Time to live and expiry time of each lease.
    leases: BTreeMap<u64, (Millis, Millis)>,
    last_lease: u64,
}

impl MemoryStore {
    pub fn execute(&mut self, now: Millis, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Get(key) => match self.entries.get(key) {
                Some((value, version, _)) => StoreReply::Found {
                    value: value.clone(),
                    version: *version,
                },
                None => StoreReply::Missing,
            },
            StoreRequest::List { prefix, after } => self.list(prefix, after),
            StoreRequest::Transact(transaction) => self.transact(transaction),
            StoreRequest::Grant { ttl_ms } => {
                self.last_lease += 1;
                self.leases.insert(self.last_lease, (*ttl_ms, now + ttl_ms));
                StoreReply::Granted { lease: self.last_lease }
            }
            StoreRequest::Renew(lease) => match self.leases.get_mut(lease) {
                Some((ttl_ms, until)) => {
                    *until = now + *ttl_ms;
                    StoreReply::Renewed
                }
                None => StoreReply::LeaseExpired,
            },
            StoreRequest::Watch { prefix, since, .. } => {
                let events = self.log.iter().filter(|event| event.version > *since);
                let events = events.filter(|event| {
                    let key = event.put.as_ref().or(event.delete.as_ref());
                    key.is_some_and(|key| key.starts_with(prefix))
                });
                StoreReply::WatchLog(WatchLog {
                    revision: self.revision,
                    events: events.cloned().collect(),
                })
            }
        }
    }

    fn list(&self, prefix: &str, after: &str) -> StoreReply {
        let entries = self.entries.range(prefix.to_owned()..);
        let entries = entries.take_while(|(key, _)| key.starts_with(prefix));
        let items = entries
            .filter(|(key, _)| key.as_str() > after)
            .map(|(key, (value, version, _))| Entry {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            });
        StoreReply::Page(Page {
            items: items.collect(),
            more: false,
            revision: self.revision,
        })
    }

    fn transact(&mut self, transaction: &Transaction) -> StoreReply {
        let version_of = |key: &String| self.entries.get(key).map_or(0, |(_, version, _)| *version);
        let failed = transaction.conditions.iter();
        let failed = failed.filter(|condition| version_of(&condition.key) != condition.version);
        let failed: Vec<String> = failed.map(|condition| condition.key.clone()).collect();
        if !failed.is_empty() {
            return StoreReply::Conflict { failed };
        }
        self.revision += 1;
        for change in &transaction.changes {
            match change {
                Change::Put { put, value, lease } => self.put(put, value.clone(), *lease),
                Change::Delete { delete } => self.delete(delete),
            }
        }
        StoreReply::Committed {
            revision: self.revision,
        }
    }

    pub fn put(&mut self, key: &str, value: serde_json::Value, lease: Option<u64>) {
        self.entries.insert(key.into(), (value.clone(), self.revision, lease));
        self.log.push(WatchEvent {
            put: Some(key.into()),
            delete: None,
            value,
            version: self.revision,
        });
    }

    fn delete(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.log.push(WatchEvent {
                put: None,
                delete: Some(key.into()),
                value: serde_json::Value::Null,
                version: self.revision,
            });
        }
    }

    pub fn expire_leases(&mut self, now: Millis) {
        self.leases.retain(|_, (_, until)| now <= *until);
        let is_expired = |lease: &Option<u64>| lease.is_some_and(|lease| !self.leases.contains_key(&lease));
        let expired = self.entries.iter().filter(|(_, (_, _, lease))| is_expired(lease));
        let expired: Vec<String> = expired.map(|(key, _)| key.clone()).collect();
        for key in expired {
            self.revision += 1;
            self.delete(&key);
        }
    }
}
