//! Direct commands that this controller delivers to workers for the leader.

use crate::peers::{CommandReply, WorkerReply};
use std::collections::BTreeMap;

/// Who asked for commands, and under which id.
#[derive(Debug)]
struct Delegation {
    leader: String,
    id: u64,
}

/// Commands in flight for a leader, and replies to return to it.
#[derive(Debug, Default)]
pub(super) struct DelegatedCommands {
    /// By our own call.
    in_flight: BTreeMap<u64, Delegation>,
    replies: BTreeMap<String, Vec<CommandReply>>,
}

impl DelegatedCommands {
    /// How many commands are in flight.
    pub(super) fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Commands that this leader sent with this id are sent by this call.
    pub(super) fn sent(&mut self, call: u64, leader: &str, id: u64) {
        let leader = leader.to_owned();
        self.in_flight.insert(call, Delegation { leader, id });
    }

    /// Notes the outcome of a call. Gives it back if the call was not for a leader.
    pub(super) fn replied(&mut self, call: u64, reply: WorkerReply) -> Option<WorkerReply> {
        let Some(Delegation { leader, id }) = self.in_flight.remove(&call) else {
            return Some(reply);
        };
        self.add_reply(leader, CommandReply { id, reply });
        None
    }

    /// Refuses commands of this leader: too many are in flight.
    pub(super) fn refuse(&mut self, leader: &str, id: u64) {
        let reply = WorkerReply::NotDelivered;
        self.add_reply(leader.to_owned(), CommandReply { id, reply });
    }

    fn add_reply(&mut self, leader: String, reply: CommandReply) {
        self.replies.entry(leader).or_default().push(reply);
    }

    /// The replies that were not returned yet, by leader.
    pub(super) fn take_replies(&mut self) -> BTreeMap<String, Vec<CommandReply>> {
        std::mem::take(&mut self.replies)
    }
}
