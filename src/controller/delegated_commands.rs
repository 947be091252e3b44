//! Direct commands that this controller delivers to workers on behalf of the leader.

use crate::peers::{CommandReply, WorkerReply};
use std::collections::BTreeMap;

/// The leader that delegated a delivery, and the id that it chose for it.
#[derive(Debug)]
struct Delegation {
    leader: String,
    id: u64,
}

/// Commands in flight on behalf of a leader, and replies not yet returned to it.
#[derive(Debug, Default)]
pub(super) struct DelegatedCommands {
    /// Keyed by this controller's own call id.
    in_flight: BTreeMap<u64, Delegation>,
    /// Keyed by the name of the leader.
    replies: BTreeMap<String, Vec<CommandReply>>,
}

impl DelegatedCommands {
    /// The number of deliveries in flight.
    pub(super) fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Registers the delivery `id` of a leader as in flight under the call id `call`.
    pub(super) fn sent(&mut self, call: u64, leader: &str, id: u64) {
        let leader = leader.to_owned();
        self.in_flight.insert(call, Delegation { leader, id });
    }

    /// Records the reply to a call for its leader. Returns the reply if the call was not delegated.
    pub(super) fn replied(&mut self, call: u64, reply: WorkerReply) -> Option<WorkerReply> {
        let Some(Delegation { leader, id }) = self.in_flight.remove(&call) else {
            return Some(reply);
        };
        self.add_reply(leader, CommandReply { id, reply });
        None
    }

    /// Refuses the delivery `id` of a leader because too many are in flight.
    pub(super) fn refuse(&mut self, leader: &str, id: u64) {
        let reply = WorkerReply::NotDelivered;
        self.add_reply(leader.to_owned(), CommandReply { id, reply });
    }

    fn add_reply(&mut self, leader: String, reply: CommandReply) {
        self.replies.entry(leader).or_default().push(reply);
    }

    /// Removes and returns the replies not yet sent, by leader.
    pub(super) fn take_replies(&mut self) -> BTreeMap<String, Vec<CommandReply>> {
        std::mem::take(&mut self.replies)
    }
}
