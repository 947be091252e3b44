//! Commands that the leader sends to workers outside their report cycle, and their outcomes.
//!
//! Most are delivered by the peer that relays the worker's reports.

use super::command_delivery::DirectCall;
use super::{Controller, Output, SHARD, Shard, WorkerReply};
use crate::Millis;
use crate::ids::MachineIx;
use crate::peers::{AddressedCommands, Message, batches};
use crate::wire::DirectCommands;
use crate::workers::ReportPath;
use std::collections::BTreeMap;

/// Delay before commands are sent to a machine again after a failed delivery.
const RETRY_MS: Millis = 2_000;

/// Commands that are due to be sent to one machine.
struct DueCommands {
    name: String,
    /// The peer that relayed the machine's last report.
    relayed_by: Option<String>,
    address: String,
    commands: DirectCommands,
}

impl Controller {
    /// The largest number of machines with direct commands in flight at once: the combined capacity
    /// of half of the reachable peers, rounded up, and at least that of one controller. Half, so
    /// that a single peer can take more than its even share.
    fn max_deliveries(&self) -> usize {
        self.connections.in_flight * self.peers.reachable_peer_count(self.now).div_ceil(2).max(1)
    }

    /// Sends the commands that are due, if the delivery interval has passed.
    pub(super) fn deliver_commands(&mut self) {
        if !self.command_delivery.take_due(self.now) {
            return;
        }
        let available = self.command_delivery.available(self.max_deliveries());
        let Some(shard) = &mut self.shard else {
            return;
        };
        let all_due = shard.due_commands(self.now, available);
        let mut by_peer: BTreeMap<String, Vec<AddressedCommands>> = BTreeMap::new();
        for mut due in all_due {
            let peer = self.delivery_peer(due.relayed_by.take());
            let AddressedCommands { id, address, commands } = self.start_delivery(due);
            match peer {
                Some(node) => by_peer
                    .entry(node)
                    .or_default()
                    .push(AddressedCommands { id, address, commands }),
                None => self.outputs.push(Output::Worker {
                    call: id,
                    address,
                    commands,
                }),
            }
        }
        for (node, commands) in by_peer {
            for commands in batches(commands) {
                let shard = SHARD.into();
                let message = Message::DeliverCommands { shard, commands };
                let node = node.clone();
                self.outputs.push(Output::Peer { node, message });
            }
        }
    }

    /// Registers the commands as in flight under a new call id.
    fn start_delivery(&mut self, due: DueCommands) -> AddressedCommands {
        let direct_call = DirectCall {
            machine: due.name,
            sent_at: self.now,
        };
        self.activity.commands_sent(&due.commands.commands);
        let call = self.next_call_id();
        self.command_delivery.sent(call, direct_call);
        AddressedCommands {
            id: call,
            address: due.address,
            commands: due.commands,
        }
    }

    /// Selects the peer that delivers the commands: the one that the worker reports to if it is
    /// reachable, otherwise any reachable peer.
    fn delivery_peer(&mut self, relayed_by: Option<String>) -> Option<String> {
        relayed_by
            .filter(|node| self.peers.is_peer_reachable(self.now, node))
            .or_else(|| self.peers.next_reachable_peer(self.now))
    }

    /// Treats deliveries without a reply within the timeout as unanswered. Their commands may
    /// still arrive.
    pub(super) fn expire_deliveries(&mut self) {
        for call in self.command_delivery.expired(self.now) {
            self.on_delivery_reply(call, WorkerReply::Unanswered);
        }
    }

    /// Handles a worker's reply to direct commands, whether sent as the leader or on behalf of it.
    pub(super) fn on_worker_reply(&mut self, call: u64, reply: WorkerReply) {
        if let Some(reply) = self.delegated_commands.replied(call, reply) {
            self.on_delivery_reply(call, reply);
        }
    }

    /// Handles the reply to direct commands that this controller issued as the leader.
    pub(super) fn on_delivery_reply(&mut self, call: u64, reply: WorkerReply) {
        let Some(direct_call) = self.command_delivery.take(call) else {
            return;
        };
        let Some(shard) = &mut self.shard else {
            return;
        };
        self.activity.call_ended(&reply);
        shard.delivery_ended(self.now, &direct_call, &reply);
        if let WorkerReply::Executed(report) | WorkerReply::Refused(report) = reply {
            let commands_sent_at = direct_call.sent_at;
            self.merge_worker_report(&report, ReportPath::CommandReply { commands_sent_at });
        }
    }
}

impl Shard {
    /// Updates a machine's delivery state from the reply. The report in the reply is merged
    /// separately.
    fn delivery_ended(&mut self, now: Millis, direct_call: &DirectCall, reply: &WorkerReply) {
        let Some(ix) = self.workers.machines.find(&direct_call.machine) else {
            return;
        };
        let Some(machine) = self.workers.machines.get_mut(ix) else {
            return;
        };
        machine.delivery.in_flight = false;
        if matches!(reply, WorkerReply::Unanswered | WorkerReply::NotDelivered) {
            machine.delivery.not_before = now + RETRY_MS;
            // Retry once by another route, since the route may have failed rather than the machine.
            // After that the machine either reports or becomes unresponsive, so further retries
            // are not urgent. A machine that has not yet reported in this term is always retried.
            let is_first_failure = !std::mem::replace(&mut machine.has_unanswered_command, true);
            if is_first_failure || machine.last_report_at.is_none() {
                machine.relayed_by = None;
                self.workers.delivery_due.insert(ix);
            }
        }
    }

    /// Collects commands for at most `max_machines` machines. Machines with open attempts come
    /// first, since their work is waiting.
    fn due_commands(&mut self, now: Millis, mut max_machines: usize) -> Vec<DueCommands> {
        let mut machines: Vec<MachineIx> = self.workers.delivery_due.iter().copied().collect();
        machines.sort_by_key(|&ix| {
            self.workers
                .machines
                .get(ix)
                .is_none_or(|machine| machine.open.is_empty())
        });
        let mut all_due = Vec::new();
        for ix in machines {
            if max_machines == 0 {
                break;
            }
            if let Some(due) = self.due_commands_of(now, ix) {
                max_machines -= 1;
                all_due.push(due);
            }
        }
        all_due
    }

    /// Returns the commands that are due for a machine and marks them as in flight. The list of
    /// commands may be empty for a machine that has not responded: its reply contains a report.
    fn due_commands_of(&mut self, now: Millis, ix: MachineIx) -> Option<DueCommands> {
        let Some(machine) = self.workers.machines.get(ix).filter(|machine| !machine.decommissioned) else {
            self.workers.delivery_due.remove(&ix);
            return None;
        };
        if machine.delivery.in_flight || now < machine.delivery.not_before {
            return None;
        }
        let (address, agent_epoch) = (machine.address.clone()?, machine.agent_epoch);
        let fencing_token = machine.tokens.current(self.term);
        self.workers.delivery_due.remove(&ix);
        let commands = self.workers.commands_for_direct_call(now, self.term, ix, &self.jobs);
        let machine = self.workers.machines.get_mut(ix)?;
        let is_responsive =
            machine.last_report_at.is_some() && machine.missed_answers == 0 && !machine.has_unanswered_command;
        if commands.is_empty() && is_responsive {
            return None;
        }
        machine.delivery.in_flight = true;
        Some(DueCommands {
            name: machine.name.clone(),
            relayed_by: machine.relayed_by.clone(),
            address,
            commands: DirectCommands {
                fencing_token,
                agent_epoch,
                commands,
            },
        })
    }
}
