//! The harness's state service, which answers requests immediately.

use super::Harness;
use sumacbend::store::{StoreReply, StoreRequest};
use sumacbend::wire::{Change, Entry, Page, Transaction, WatchLog};

impl Harness {
    /// Returns the reply to a request, or `None` for a watch that waits for changes, which is never
    /// answered.
    pub(super) fn reply_to(&mut self, request: &StoreRequest) -> Option<StoreReply> {
        Some(match request {
            StoreRequest::Grant { .. } => StoreReply::Granted { lease: 1 },
            StoreRequest::Renew(_) => StoreReply::Renewed,
            StoreRequest::Get(key) => {
                self.entries
                    .get(key)
                    .map_or(StoreReply::Missing, |(value, version)| StoreReply::Found {
                        value: value.clone(),
                        version: *version,
                    })
            }
            StoreRequest::List { prefix, after } => {
                let items = self.entries.range(prefix.clone()..);
                let items = items.take_while(|(key, _)| key.starts_with(prefix));
                let items = items
                    .filter(|(key, _)| *key > after)
                    .map(|(key, (value, version))| Entry {
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
            StoreRequest::Transact(transaction) => self.transact(transaction),
            StoreRequest::Watch { wait_ms: 0, .. } => StoreReply::WatchLog(WatchLog {
                revision: self.revision,
                events: Vec::new(),
            }),
            StoreRequest::Watch { .. } => return None,
        })
    }

    /// Applies a transaction without checking its conditions.
    fn transact(&mut self, transaction: &Transaction) -> StoreReply {
        self.revision += 1;
        for change in &transaction.changes {
            match change {
                Change::Put { put, value, .. } => {
                    self.entries.insert(put.clone(), (value.clone(), self.revision));
                }
                Change::Delete { delete } => {
                    self.entries.remove(delete);
                }
            }
        }
        StoreReply::Committed {
            revision: self.revision,
        }
    }
}
