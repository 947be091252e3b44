//! Messages from other controllers, dispatched to their handlers.

use super::{Controller, Output, SHARD};
use crate::admission::{Requester, service_unavailable};
use crate::peers::{AddressedCommands, Answer, CommandReply, HeartbeatState, JobTaskCounts, Message, UserRequest};

impl Controller {
    /// Dispatches a message that the controller `node` sent.
    pub(super) fn on_peer_message(&mut self, node: String, message: Message) {
        match message {
            Message::Heartbeat {
                shard,
                leading_term,
                store_reachable,
                ..
            } => {
                let state = HeartbeatState {
                    leading_term: leading_term.filter(|_| shard == SHARD),
                    store_reachable,
                };
                self.peers.on_heartbeat(self.now, &node, state);
            }
            Message::ForwardRequest {
                shard,
                id,
                user_request,
            } => self.on_forwarded_request(node, &shard, id, user_request),
            Message::ForwardReply { id, answer } => self.on_forward_reply(&node, id, answer),
            Message::RelayReports { reports, .. } => self.on_relayed_reports(node, reports),
            Message::ReportReplies { replies } => self.on_report_replies(replies),
            Message::RequestLeaseExtension {
                term,
                requested_at,
                watch_revision,
                ..
            } => self.on_extension_request(node, term, requested_at, watch_revision),
            Message::GrantLeaseExtension {
                term,
                requested_at,
                cancelled_jobs,
            } => self.on_extension_grant(&node, term, requested_at, cancelled_jobs),
            Message::DeliverCommands { commands, .. } => self.deliver_for_leader(&node, commands),
            Message::CommandReplies { replies } => self.on_command_replies(replies),
            Message::ConfirmEnd { .. }
            | Message::EndConfirmed { .. }
            | Message::ConfirmUnknown { .. }
            | Message::UnknownConfirmed { .. } => self.on_answer_confirmation(node, message),
            Message::TaskCounts { shard, counts } => self.on_task_counts(&shard, counts),
        }
    }

    /// Handles a user's request that another controller forwarded.
    fn on_forwarded_request(&mut self, node: String, shard: &str, id: u64, user_request: UserRequest) {
        if shard != SHARD {
            let answer = service_unavailable("another shard");
            let message = Message::ForwardReply { id, answer };
            self.outputs.push(Output::Peer { node, message });
            return;
        }
        let requester = Requester::Peer { node, id };
        // A request is forwarded at most once.
        let effects =
            self.with_admission(|admission, context| admission.handle(context, requester, user_request, None));
        self.apply_effects(effects);
    }

    /// Handles another controller's answer to a request that this controller forwarded.
    fn on_forward_reply(&mut self, node: &str, id: u64, answer: Answer) {
        if let Some(admission_request_id) = self.forwarded_requests.take(id) {
            let effects = self.with_admission(|admission, context| {
                admission.on_peer_answer(context, admission_request_id, node, answer)
            });
            self.apply_effects(effects);
        }
    }

    /// Handles the task counts that the leader sends.
    fn on_task_counts(&mut self, shard: &str, counts: Vec<JobTaskCounts>) {
        if shard == SHARD {
            self.peers.set_task_counts(counts);
        }
    }

    /// Delivers commands to workers on behalf of the leader. Refuses those beyond the limit on
    /// commands in flight.
    fn deliver_for_leader(&mut self, leader: &str, commands: Vec<AddressedCommands>) {
        for AddressedCommands { id, address, commands } in commands {
            if self.delegated_commands.len() >= self.connections.in_flight {
                self.delegated_commands.refuse(leader, id);
                continue;
            }
            let call = self.next_call_id();
            self.delegated_commands.sent(call, leader, id);
            self.outputs.push(Output::Worker {
                call,
                address,
                commands,
            });
        }
    }

    /// Handles the outcomes of commands that a peer delivered for this leader.
    fn on_command_replies(&mut self, replies: Vec<CommandReply>) {
        for CommandReply { id, reply } in replies {
            self.on_delivery_reply(id, reply);
        }
    }

    /// Sends a message to all other controllers.
    pub(super) fn broadcast(&mut self, message: &Message) {
        for node in self.peers.names() {
            let message = message.clone();
            self.outputs.push(Output::Peer { node, message });
        }
    }

    /// Sends a heartbeat to all other controllers if one is due.
    pub(super) fn send_heartbeat(&mut self) {
        if !self.peers.take_heartbeat_due(self.now) {
            return;
        }
        let message = Message::Heartbeat {
            node: self.settings.node.clone(),
            shard: SHARD.into(),
            leading_term: self.leads().then_some(self.election.term()),
            store_reachable: self.store_client.is_reachable(self.now),
        };
        self.broadcast(&message);
    }
}
