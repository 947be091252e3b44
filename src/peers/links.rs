//! What is known of the other controllers: when each was last heard, whether it leads
//! the shard, whether it can use the state service, and which lease extension it last granted.

use super::JobTaskCounts;
use crate::Millis;
use crate::pipeline::TaskCounts;
use std::collections::BTreeMap;

/// How often controllers send heartbeats.
pub const HEARTBEAT_INTERVAL_MS: Millis = 500;
/// A controller is in reach for this long after its last heartbeat.
const IN_REACH_MS: Millis = 2_000;

/// What a heartbeat says of its sender.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeartbeatState {
    /// The term under which it leads the shard, if it does.
    pub leading_term: Option<u64>,
    /// Whether it can use the state service.
    pub store_reachable: bool,
}

#[derive(Clone, Debug, Default)]
struct PeerLink {
    heard_at: Option<Millis>,
    state: HeartbeatState,
    /// When the leader asked, by its own clock, for the newest extension granted.
    granted_extension_requested_at: Millis,
}

impl PeerLink {
    fn is_peer_reachable(&self, now: Millis) -> bool {
        self.heard_at.is_some_and(|at| now < at + IN_REACH_MS)
    }
}

/// The links to all other controllers.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: BTreeMap<String, PeerLink>,
    heartbeat_sent_at: Millis,
    /// Of the controllers in reach, which to choose next.
    next_choice: usize,
    /// What the leader last told, by job: tasks done and running.
    task_counts: BTreeMap<String, TaskCounts>,
}

impl JobTaskCounts {
    fn into_entry(self) -> (String, TaskCounts) {
        let counts = TaskCounts {
            done: self.done,
            running: self.running,
        };
        (self.job, counts)
    }
}

impl PeerLinks {
    /// Links to these controllers, none of them heard yet.
    pub fn new(nodes: impl IntoIterator<Item = String>) -> PeerLinks {
        PeerLinks {
            links: nodes.into_iter().map(|node| (node, PeerLink::default())).collect(),
            ..PeerLinks::default()
        }
    }

    /// The names of all other controllers.
    pub fn names(&self) -> Vec<String> {
        self.links.keys().cloned().collect()
    }

    /// Whether to send a heartbeat now, which then counts as sent.
    pub fn take_heartbeat_due(&mut self, now: Millis) -> bool {
        let due = now >= self.heartbeat_sent_at + HEARTBEAT_INTERVAL_MS;
        if due {
            self.heartbeat_sent_at = now;
        }
        due
    }

    /// Notes a heartbeat of another controller.
    pub fn on_heartbeat(&mut self, now: Millis, node: &str, state: HeartbeatState) {
        if let Some(link) = self.links.get_mut(node) {
            link.heard_at = Some(now);
            link.state = state;
        }
    }

    /// Whether this controller is in reach.
    pub fn is_peer_reachable(&self, now: Millis, node: &str) -> bool {
        self.links.get(node).is_some_and(|link| link.is_peer_reachable(now))
    }

    /// Whether any other controller is in reach.
    pub fn any_peer_reachable(&self, now: Millis) -> bool {
        self.links.values().any(|link| link.is_peer_reachable(now))
    }

    /// Whether at least half of the other controllers are in reach.
    pub fn has_reachable_majority(&self, now: Millis) -> bool {
        self.reachable_peer_count(now) * 2 >= self.links.len()
    }

    /// Whether there are no other controllers at all.
    pub fn has_no_peers(&self) -> bool {
        self.links.is_empty()
    }

    /// When the last heartbeat of any other controller came.
    pub fn last_heard_at(&self) -> Millis {
        self.links.values().filter_map(|link| link.heard_at).max().unwrap_or(0)
    }

    /// The controller in reach that says it leads the shard, under the highest term.
    pub fn leader(&self, now: Millis) -> Option<&str> {
        self.links
            .iter()
            .filter(|(_, link)| link.is_peer_reachable(now) && link.state.leading_term.is_some())
            .max_by_key(|(_, link)| link.state.leading_term)
            .map(|(node, _)| node.as_str())
    }

    /// How many controllers are in reach.
    pub fn reachable_peer_count(&self, now: Millis) -> usize {
        self.links.values().filter(|link| link.is_peer_reachable(now)).count()
    }

    /// The controllers in reach, one after the other.
    pub fn next_reachable_peer(&mut self, now: Millis) -> Option<String> {
        self.next_choice = self.next_choice.wrapping_add(1);
        let index = self.next_choice % self.reachable_peer_count(now).max(1);
        let mut in_reach = self.links.iter().filter(|(_, link)| link.is_peer_reachable(now));
        in_reach.nth(index).map(|(node, _)| node.clone())
    }

    /// A controller in reach that can use the state service.
    pub fn first_with_store_access(&self, now: Millis) -> Option<&str> {
        self.links
            .iter()
            .find(|(_, link)| link.is_peer_reachable(now) && link.state.store_reachable)
            .map(|(node, _)| node.as_str())
    }

    /// Notes that a controller granted the lease extension requested then.
    pub fn on_extension_granted(&mut self, node: &str, requested_at: Millis) {
        if let Some(link) = self.links.get_mut(node) {
            link.granted_extension_requested_at = link.granted_extension_requested_at.max(requested_at);
        }
    }

    /// When the newest lease extension was requested that *every* controller granted.
    pub fn extension_granted_by_all(&self) -> Option<Millis> {
        let links = self.links.values();
        links.map(|link| link.granted_extension_requested_at).min()
    }

    /// Takes the leader's task counts in place of all earlier ones.
    pub fn set_task_counts(&mut self, counts: Vec<JobTaskCounts>) {
        let counts = counts.into_iter();
        self.task_counts = counts.map(JobTaskCounts::into_entry).collect();
    }

    /// Tasks done and running of a job, as the leader last told.
    pub fn task_counts(&self, job: &str) -> Option<TaskCounts> {
        self.task_counts.get(job).copied()
    }

    /// Forgets the task counts of a job that was removed.
    pub fn forget_task_counts(&mut self, job: &str) {
        self.task_counts.remove(job);
    }
}
