//! The links between controllers: who is in reach, who leads the shard, and
//! what is forwarded or relayed.

use crate::Millis;
use crate::store::JobKey;
use crate::wire::{DirectCommands, Report, ReportAnswer};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub const HEARTBEAT_EVERY_MS: Millis = 500;
const HEARD_MS: Millis = 2_000;

/// What a user asks, as one controller forwards it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum UserRequest {
    Submit(String),
    Show(String),
    Cancel(String),
}

/// An answer to a user.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub retry_after_s: Option<u32>,
}

/// How a relayed report was taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReportReply {
    #[serde(rename = "Taken")]
    Accepted(ReportAnswer),
    /// Go to this controller, or (`None`) to any other.
    #[serde(rename = "Elsewhere")]
    Redirected(Option<String>),
}

/// What came of commands sent straight to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkerReply {
    /// Executed; the worker's report after the commands.
    #[serde(rename = "Done")]
    Executed(Box<Report>),
    /// Not executed: the fencing token is too low or the agent epoch another.
    Refused(Box<Report>),
    /// Surely not delivered, now or later.
    #[serde(rename = "NotSent")]
    NotDelivered,
    /// Sent and not answered: perhaps executed, perhaps later.
    #[serde(rename = "Lost")]
    Unanswered,
}

/// Messages between controllers. Each says which shard it is about.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sent all the time: who is there, and what it can reach.
    Heartbeat {
        node: String,
        shard: String,
        leads_term: Option<u64>,
        store_ok: bool,
    },
    #[serde(rename = "Forward")]
    ForwardRequest {
        shard: String,
        id: u64,
        user_request: UserRequest,
    },
    #[serde(rename = "Forwarded")]
    ForwardReply { id: u64, answer: Answer },
    /// Reports of workers, many at once, for the leader to answer.
    #[serde(rename = "Relay")]
    RelayReports { shard: String, reports: Vec<(u64, Report)> },
    #[serde(rename = "Relayed")]
    ReportReplies { answers: Vec<(u64, ReportReply)> },
    /// Commands for the peer to hand to workers: id, address, commands.
    #[serde(rename = "Push")]
    DeliverCommands {
        shard: String,
        commands: Vec<(u64, String, DirectCommands)>,
    },
    #[serde(rename = "Pushed")]
    CommandReplies { replies: Vec<(u64, WorkerReply)> },
    /// A leader that can't reach the state service asks all others not to claim
    /// for a while. `asked`: by its clock, which means nothing to another incarnation of
    /// it, hence the term; `revision`: what its watch cache holds.
    #[serde(rename = "Hold")]
    RequestLeaseExtension {
        shard: String,
        term: u64,
        asked: u64,
        revision: u64,
    },
    /// They won't, nor can they reach it; and these were cancelled since.
    #[serde(rename = "Held")]
    GrantLeaseExtension {
        term: u64,
        asked: u64,
        cancelled: Vec<(JobKey, u64)>,
    },
    /// Task counts of unfinished jobs, for display: id, done, running.
    #[serde(rename = "Counts")]
    TaskCounts {
        shard: String,
        counts: Vec<(String, u32, u32)>,
    },
}

#[derive(Clone, Debug, Default)]
pub struct Link {
    /// When it was asked, by the leader's clock, what it last promised.
    extension_granted_at: Millis,
    heard_at: Option<Millis>,
    leads_term: Option<u64>,
    store_ok: bool,
}

#[derive(Debug, Default)]
pub struct Peers {
    links: BTreeMap<String, Link>,
    pub heartbeat_at: Millis,
    pub counts: BTreeMap<String, (u32, u32)>,
}

impl Peers {
    pub fn new(nodes: impl IntoIterator<Item = String>) -> Peers {
        Peers {
            links: nodes.into_iter().map(|node| (node, Link::default())).collect(),
            ..Peers::default()
        }
    }

    pub fn names(&self) -> Vec<String> {
        self.links.keys().cloned().collect()
    }

    pub fn heartbeat(&mut self, now: Millis, node: &str, leads_term: Option<u64>, store_ok: bool) {
        if let Some(link) = self.links.get_mut(node) {
            link.heard_at = Some(now);
            link.leads_term = leads_term;
            link.store_ok = store_ok;
        }
    }

    pub fn in_reach(&self, now: Millis, node: &str) -> bool {
        self.links.get(node).is_some_and(|link| heard(link, now))
    }

    pub fn any_in_reach(&self, now: Millis) -> bool {
        self.links.values().any(|link| heard(link, now))
    }

    /// Whether at least half of the other controllers are in reach.
    pub fn most_in_reach(&self, now: Millis) -> bool {
        let reached = self.links.values().filter(|link| heard(link, now)).count();
        reached * 2 >= self.links.len()
    }

    pub fn is_alone(&self) -> bool {
        self.links.is_empty()
    }

    /// When the last heartbeat of any other controller came.
    pub fn last_heard(&self) -> Millis {
        self.links.values().filter_map(|link| link.heard_at).max().unwrap_or(0)
    }

    /// The controller in reach that says it leads the shard, under the highest term.
    pub fn leader(&self, now: Millis) -> Option<&str> {
        self.links
            .iter()
            .filter(|(_, link)| heard(link, now) && link.leads_term.is_some())
            .max_by_key(|(_, link)| link.leads_term)
            .map(|(node, _)| node.as_str())
    }

    pub fn in_reach_now(&self, now: Millis) -> Vec<&str> {
        let links = self.links.iter().filter(|(_, link)| heard(link, now));
        links.map(|(node, _)| node.as_str()).collect()
    }

    /// It promised not to claim.
    pub fn extension_granted(&mut self, node: &str, asked: Millis) {
        if let Some(link) = self.links.get_mut(node) {
            link.extension_granted_at = link.extension_granted_at.max(asked);
        }
    }

    /// When the controller was asked whose promise is the oldest.
    pub fn all_granted_at(&self) -> Option<Millis> {
        self.links.values().map(|link| link.extension_granted_at).min()
    }

    /// A controller in reach that can use the state service.
    pub fn with_store(&self, now: Millis) -> Option<&str> {
        self.links
            .iter()
            .find(|(_, link)| heard(link, now) && link.store_ok)
            .map(|(node, _)| node.as_str())
    }
}

fn heard(link: &Link, now: Millis) -> bool {
    link.heard_at.is_some_and(|at| now < at + HEARD_MS)
}

#[cfg(test)]
mod tests;
