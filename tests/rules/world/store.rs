//! A simulated state service that follows the published protocol.

use std::collections::{BTreeMap, VecDeque};
use sumacbend::store::{StoreReply, StoreRequest};
use sumacbend::wire::{Change, Entry, Page, Transaction, WatchEvent, WatchLog};

/// The number of changes that the service keeps. It is small, so that controllers that were down or
/// cut off for some seconds have to read the keys again.
const KEPT_CHANGES: usize = 200;

/// The contents of the state service: keys, leases and the log of changes.
#[derive(Default)]
pub struct Store {
    /// Value, version and lease of each key; the key is deleted when its lease expires.
    entries: BTreeMap<String, (serde_json::Value, u64, Option<u64>)>,
    /// The revision of the last change. Each transaction and each expired key increments it.
    pub revision: u64,
    /// The last changes, oldest first.
    log: VecDeque<WatchEvent>,
    /// The revision of the last change that is no longer kept.
    forgotten_revision: u64,
    /// Time to live and expiry time of each lease, in milliseconds.
    leases: BTreeMap<u64, (u64, u64)>,
    /// The id of the lease granted last.
    last_lease: u64,
    /// Keys whose changes are rejected, each with the time until which this lasts.
    rejected: Vec<(String, u64)>,
}

impl Store {
    /// Returns the number of keys that start with `prefix`.
    pub fn count_keys(&self, prefix: &str) -> usize {
        self.entries.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// Rejects changes of this key and of those below it until the given time.
    pub fn reject_writes(&mut self, key: String, until: u64) {
        self.rejected.push((key, until));
    }

    /// Whether the transaction changes a key whose changes are rejected now.
    fn is_rejected(&self, now: u64, transaction: &Transaction) -> bool {
        transaction.changes.iter().any(|change| {
            let (Change::Put { put: changed, .. } | Change::Delete { delete: changed }) = change;
            let mut rejected = self.rejected.iter().filter(|&&(_, until)| now < until);
            rejected.any(|(key, _)| changed == key || changed.starts_with(&format!("{key}/")))
        })
    }

    /// Removes expired leases and deletes their keys.
    pub fn expire_leases(&mut self, now: u64) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| now > *until)
            .map(|(&id, _)| id)
            .collect();
        for lease in expired {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .entries
                .iter()
                .filter(|(_, e)| e.2 == Some(lease))
                .map(|(k, _)| k.clone())
                .collect();
            for key in keys {
                self.revision += 1;
                self.delete(&key);
            }
        }
    }

    /// Renews every lease for its full time, as the service does after an outage.
    pub fn refresh_leases(&mut self, now: u64) {
        for (ttl, until) in self.leases.values_mut() {
            *until = now + *ttl;
        }
    }

    /// Deletes a key, if it exists, at the current revision.
    fn delete(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.append_to_log(WatchEvent {
                put: None,
                delete: Some(key.into()),
                value: serde_json::Value::Null,
                version: self.revision,
            });
        }
    }

    /// Adds a change to the log, and drops the oldest one if there are too many.
    fn append_to_log(&mut self, event: WatchEvent) {
        self.log.push_back(event);
        if self.log.len() > KEPT_CHANGES
            && let Some(oldest) = self.log.pop_front()
        {
            self.forgotten_revision = oldest.version;
        }
    }

    /// Executes one request at `now` and returns the reply.
    pub fn execute(&mut self, now: u64, request: &StoreRequest) -> StoreReply {
        self.expire_leases(now);
        match request {
            StoreRequest::Get(key) => match self.entries.get(key) {
                Some((value, version, _)) => StoreReply::Found {
                    value: value.clone(),
                    version: *version,
                },
                None => StoreReply::Missing,
            },
            StoreRequest::List { prefix, after } => self.list(prefix, after),
            StoreRequest::Transact(transaction) if self.is_rejected(now, transaction) => StoreReply::Rejected {
                reason: "a change is not accepted".into(),
            },
            StoreRequest::Transact(transaction) => self.transact(transaction),
            StoreRequest::Grant { ttl_ms } => {
                self.last_lease += 1;
                self.leases.insert(self.last_lease, (*ttl_ms, now + ttl_ms));
                StoreReply::Granted { lease: self.last_lease }
            }
            StoreRequest::Renew(lease) => match self.leases.get_mut(lease) {
                Some((ttl, until)) => {
                    *until = now + *ttl;
                    StoreReply::Renewed
                }
                None => StoreReply::LeaseExpired,
            },
            StoreRequest::Watch { prefix, since, .. } => self.changes_since(prefix, *since),
        }
    }

    /// Returns one page of the keys that start with `prefix` and come after `after`.
    fn list(&self, prefix: &str, after: &str) -> StoreReply {
        let mut items = Vec::new();
        let mut more = false;
        for (key, (value, version, _)) in self.entries.range(prefix.to_string()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= after {
                continue;
            }
            // A small page size makes the controllers read several pages.
            if items.len() == 7 {
                more = true;
                break;
            }
            items.push(Entry {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            });
        }
        StoreReply::Page(Page {
            items,
            more,
            revision: self.revision,
        })
    }

    /// Returns the changes after revision `since` to keys that start with `prefix`, if all changes
    /// after that revision are still kept.
    fn changes_since(&self, prefix: &str, since: u64) -> StoreReply {
        if since < self.forgotten_revision {
            return StoreReply::TooOld;
        }
        let events = self.log.iter().filter(|event| event.version > since);
        let events = events.filter(|event| {
            let key = event.put.as_ref().or(event.delete.as_ref());
            key.is_some_and(|key| key.starts_with(prefix))
        });
        StoreReply::WatchLog(WatchLog {
            revision: self.revision,
            events: events.cloned().collect(),
        })
    }

    /// Fails the test if a transaction exceeds the protocol's limits on its size.
    fn check_size(transaction: &Transaction) {
        assert!(
            transaction.changes.len() <= 48 && transaction.conditions.len() <= 192,
            "a transaction has too many changes or conditions"
        );
        let bytes = serde_json::to_vec(transaction).expect("json").len();
        assert!(bytes <= 64 * 1024, "a transaction of {bytes} bytes");
    }

    /// Applies all changes of a transaction if all its conditions hold and its leases have not
    /// expired, and none otherwise.
    fn transact(&mut self, transaction: &Transaction) -> StoreReply {
        Store::check_size(transaction);
        for change in &transaction.changes {
            if let Change::Put { value, lease, .. } = change {
                assert!(
                    serde_json::to_vec(value).expect("json").len() <= 16 * 1024,
                    "a value is longer than 16 KiB"
                );
                if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
                    return StoreReply::LeaseExpired;
                }
            }
        }
        let failed: Vec<String> = transaction
            .conditions
            .iter()
            .filter(|condition| self.entries.get(&condition.key).map_or(0, |e| e.1) != condition.version)
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            return StoreReply::Conflict { failed };
        }
        self.revision += 1;
        self.apply(&transaction.changes);
        StoreReply::Committed {
            revision: self.revision,
        }
    }

    /// Applies the changes of a transaction at the current revision.
    fn apply(&mut self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Put { put, value, lease } => {
                    self.entries.insert(put.clone(), (value.clone(), self.revision, *lease));
                    self.append_to_log(WatchEvent {
                        put: Some(put.clone()),
                        delete: None,
                        value: value.clone(),
                        version: self.revision,
                    });
                }
                Change::Delete { delete } => self.delete(delete),
            }
        }
    }
}
