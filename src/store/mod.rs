//! The state service: key names, the rate budget, and a watch cache of the watched
//! keys (claim, term, catalogue, unfinished jobs) that every controller holds.

mod budget;
mod watch_cache;

pub use budget::TokenBucket;
pub use watch_cache::{JobKey, LeaderValue, WatchCache, WatchedChange};

use crate::wire::{Entry, Log, Page, Transaction};
use serde_json::Value;
use std::sync::Arc;

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    Get(String),
    List {
        prefix: String,
        after: String,
    },
    /// Shared, since it is kept until it is answered and may be sent again.
    Transact(Arc<Transaction>),
    Grant {
        ttl_ms: u64,
    },
    Renew(u64),
    Watch {
        prefix: String,
        since: u64,
        wait_ms: u64,
    },
}

impl StoreRequest {
    /// Puts and deletes that the service counts against the write rate.
    pub fn writes(&self) -> u32 {
        match self {
            StoreRequest::Transact(transaction) => transaction.changes.len() as u32,
            _ => 0,
        }
    }
}

/// What came of it. `Unanswered` means that it may or may not have been executed, or
/// may yet be; `Unavailable` and `Throttled` that it was not.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    Found { value: Value, version: u64 },
    Missing,
    Page(Page),
    Committed { revision: u64 },
    Conflict { failed: Vec<String> },
    Granted { lease: u64 },
    Renewed,
    LeaseGone,
    Log(Log),
    TooOld,
    Throttled,
    Unavailable,
    Unanswered,
}

/// Key names. The watched prefix stays small: whatever every controller must
/// hear of. The rest is read only by a leader taking over, or one key at a time.
#[derive(Clone, Debug)]
pub struct Keys {
    shard: String,
}

impl Keys {
    pub fn new(shard: &str) -> Keys {
        Keys { shard: shard.into() }
    }

    pub fn watched(&self) -> String {
        format!("live/{}/", self.shard)
    }

    pub fn leader(&self) -> String {
        format!("live/{}/owner", self.shard)
    }

    pub fn term(&self) -> String {
        format!("live/{}/term", self.shard)
    }

    pub fn catalogue(&self) -> String {
        format!("live/{}/catalogue", self.shard)
    }

    pub fn jobs(&self) -> String {
        format!("live/{}/job/", self.shard)
    }

    pub fn job(&self, id: &str) -> String {
        format!("live/{}/job/{id}", self.shard)
    }

    pub fn ends(&self) -> String {
        format!("kept/{}/end/", self.shard)
    }

    pub fn end(&self, id: &str) -> String {
        format!("kept/{}/end/{id}", self.shard)
    }

    pub fn firings(&self) -> String {
        format!("kept/{}/firing/", self.shard)
    }

    pub fn firing(&self, id: &str, chunk: u32) -> String {
        format!("kept/{}/firing/{id}/{chunk}", self.shard)
    }

    pub fn inventories(&self) -> String {
        format!("kept/{}/roster/", self.shard)
    }

    pub fn inventory(&self, group: &str) -> String {
        format!("kept/{}/roster/{group}", self.shard)
    }

    pub fn machine_requests(&self) -> String {
        format!("kept/{}/hire/", self.shard)
    }

    pub fn machine_request(&self, request: &str) -> String {
        format!("kept/{}/hire/{request}", self.shard)
    }
}

/// The tail of a key below a prefix.
pub fn tail<'a>(entry: &'a Entry, prefix: &str) -> &'a str {
    entry.key.strip_prefix(prefix).unwrap_or(&entry.key)
}
