//! The known state of the other controllers: when each last sent a heartbeat, whether it
//! leads the shard, whether it can use the state service, and which lease extension it
//! granted last.

use super::JobTaskCounts;
use crate::Millis;
use crate::pipeline::TaskCounts;
use std::collections::BTreeMap;

/// How often controllers send heartbeats, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: Millis = 500;
/// How long a controller counts as reachable after its last heartbeat.
const HEARTBEAT_TIMEOUT_MS: Millis = 2_000;

/// The state of a controller that its heartbeats report.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeartbeatState {
    /// The term under which the sender leads the shard, or `None` if it does not lead it.
    pub leading_term: Option<u64>,
    /// Whether the sender can use the state service.
    pub store_reachable: bool,
}

/// The known state of one other controller.
#[derive(Clone, Debug, Default)]
struct PeerLink {
    /// When the last heartbeat was received, or `None` before the first one.
    heartbeat_received_at: Option<Millis>,
    state: HeartbeatState,
    /// When the leader requested the newest extension that this controller granted, on the
    /// leader's monotonic clock.
    granted_extension_requested_at: Millis,
}

impl PeerLink {
    /// Whether a heartbeat was received within the heartbeat timeout.
    fn is_reachable(&self, now: Millis) -> bool {
        self.heartbeat_received_at
            .is_some_and(|at| now < at + HEARTBEAT_TIMEOUT_MS)
    }
}

/// The known states of all other controllers.
#[derive(Debug, Default)]
pub struct PeerLinks {
    /// Keyed by the name of the controller.
    links: BTreeMap<String, PeerLink>,
    /// When this controller last sent heartbeats.
    heartbeat_sent_at: Millis,
    /// The number of calls of [`PeerLinks::next_reachable_peer`] so far, for its round-robin
    /// choice.
    round_robin_counter: usize,
    /// Task counts by job id, as last reported by the leader.
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
    /// Returns the state before any heartbeat has been received. `nodes` are the names of all other
    /// controllers.
    pub fn new(nodes: impl IntoIterator<Item = String>) -> PeerLinks {
        PeerLinks {
            links: nodes.into_iter().map(|node| (node, PeerLink::default())).collect(),
            ..PeerLinks::default()
        }
    }

    /// Returns the names of all other controllers.
    pub fn names(&self) -> Vec<String> {
        self.links.keys().cloned().collect()
    }

    /// Returns whether to send a heartbeat now, and if so marks it as sent.
    pub fn take_heartbeat_due(&mut self, now: Millis) -> bool {
        let due = now >= self.heartbeat_sent_at + HEARTBEAT_INTERVAL_MS;
        if due {
            self.heartbeat_sent_at = now;
        }
        due
    }

    /// Records a heartbeat of another controller. Heartbeats of unknown senders are ignored.
    pub fn on_heartbeat(&mut self, now: Millis, node: &str, state: HeartbeatState) {
        if let Some(link) = self.links.get_mut(node) {
            link.heartbeat_received_at = Some(now);
            link.state = state;
        }
    }

    /// Returns whether the controller with this name is reachable.
    pub fn is_peer_reachable(&self, now: Millis, node: &str) -> bool {
        self.links.get(node).is_some_and(|link| link.is_reachable(now))
    }

    /// Returns whether any other controller is reachable.
    pub fn any_peer_reachable(&self, now: Millis) -> bool {
        self.links.values().any(|link| link.is_reachable(now))
    }

    /// Returns whether this controller and the reachable ones are a majority of all controllers:
    /// at least half of the other controllers are reachable.
    pub fn has_reachable_majority(&self, now: Millis) -> bool {
        self.reachable_peer_count(now) * 2 >= self.links.len()
    }

    /// Returns whether this controller is the only one.
    pub fn has_no_peers(&self) -> bool {
        self.links.is_empty()
    }

    /// Returns when the last heartbeat of any other controller was received, 0 if none was.
    pub fn last_heartbeat_at(&self) -> Millis {
        self.links
            .values()
            .filter_map(|link| link.heartbeat_received_at)
            .max()
            .unwrap_or(0)
    }

    /// Returns the reachable controller that reports leading the shard under the highest term.
    pub fn leader(&self, now: Millis) -> Option<&str> {
        self.links
            .iter()
            .filter(|(_, link)| link.is_reachable(now) && link.state.leading_term.is_some())
            .max_by_key(|(_, link)| link.state.leading_term)
            .map(|(node, _)| node.as_str())
    }

    /// Returns the number of other controllers that are reachable.
    pub fn reachable_peer_count(&self, now: Millis) -> usize {
        self.links.values().filter(|link| link.is_reachable(now)).count()
    }

    /// Returns one of the reachable controllers, taking turns from call to call, or `None` if no
    /// controller is reachable.
    pub fn next_reachable_peer(&mut self, now: Millis) -> Option<String> {
        self.round_robin_counter = self.round_robin_counter.wrapping_add(1);
        let index = self.round_robin_counter % self.reachable_peer_count(now).max(1);
        let mut reachable = self.links.iter().filter(|(_, link)| link.is_reachable(now));
        reachable.nth(index).map(|(node, _)| node.clone())
    }

    /// Returns the first reachable controller, by name, that can use the state service.
    pub fn first_with_store_access(&self, now: Millis) -> Option<&str> {
        self.links
            .iter()
            .find(|(_, link)| link.is_reachable(now) && link.state.store_reachable)
            .map(|(node, _)| node.as_str())
    }

    /// Records that a controller granted the lease extension requested at `requested_at`.
    pub fn on_extension_granted(&mut self, node: &str, requested_at: Millis) {
        if let Some(link) = self.links.get_mut(node) {
            link.granted_extension_requested_at = link.granted_extension_requested_at.max(requested_at);
        }
    }

    /// Returns when the newest lease extension that *every* other controller granted was
    /// requested, 0 if a controller has not granted any, or `None` if there are no other
    /// controllers.
    pub fn extension_granted_by_all(&self) -> Option<Millis> {
        let links = self.links.values();
        links.map(|link| link.granted_extension_requested_at).min()
    }

    /// Replaces all task counts with those that the leader reported.
    pub fn set_task_counts(&mut self, counts: Vec<JobTaskCounts>) {
        let counts = counts.into_iter();
        self.task_counts = counts.map(JobTaskCounts::into_entry).collect();
    }

    /// Returns the task counts of a job, as last reported by the leader.
    pub fn task_counts(&self, job: &str) -> Option<TaskCounts> {
        self.task_counts.get(job).copied()
    }

    /// Removes the task counts of a job whose key was removed.
    pub fn forget_task_counts(&mut self, job: &str) {
        self.task_counts.remove(job);
    }
}
