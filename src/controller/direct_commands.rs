//! Commands that the leader sends straight to workers, mostly through the peer that a
//! worker reports to, and what came of them.

use super::{Controller, Output, SHARD, Shard, WorkerReply};
use crate::Millis;
use crate::ids::MachineIx;
use crate::peers::{AddressedCommands, Message};
use crate::wire::{Command, DirectCommands};
use crate::workers::ReportPath;
use std::collections::BTreeMap;

/// Longer than any call to a worker takes.
const DELIVERY_TIMEOUT_MS: Millis = 5_000;
/// Commands that come up close together go out together.
const DELIVERY_INTERVAL_MS: Millis = 50;

/// Direct commands to a machine, under a term.
#[derive(Clone, Debug)]
pub struct DirectCall {
    /// By name: the index may be another machine's by the time of the reply.
    name: String,
    term: u64,
    sent: Millis,
}

/// Commands that a machine is due.
struct Due {
    name: String,
    /// The peer that relayed its last report.
    relayed_by: Option<String>,
    address: String,
    agent_epoch: u64,
    commands: Vec<Command>,
}

impl Controller {
    /// Direct commands in flight at once: half of what all other controllers would
    /// hold, so that one of them has room for more than its part.
    fn max_deliveries(&self) -> usize {
        self.connections.in_flight * self.peers.all_in_reach(self.now).len().div_ceil(2).max(1)
    }

    /// Sends what machines are due, if it is time.
    pub(super) fn deliver_commands(&mut self) {
        if self.now < self.delivered_at + DELIVERY_INTERVAL_MS {
            return;
        }
        self.delivered_at = self.now;
        let available = self.max_deliveries().saturating_sub(self.deliveries.len());
        let Some(shard) = &mut self.shard else {
            return;
        };
        let due = shard.due_commands(self.now, available);
        let mut by_peer: BTreeMap<String, Vec<AddressedCommands>> = BTreeMap::new();
        for due in due {
            let call = self.call();
            let (address, peer) = (due.address, self.path_to(due.relayed_by));
            let commands = DirectCommands {
                fencing_token: self.election.term(),
                agent_epoch: due.agent_epoch,
                commands: due.commands,
            };
            let direct_call = DirectCall {
                name: due.name,
                term: self.election.term(),
                sent: self.now,
            };
            self.deliveries.insert(call, direct_call);
            match peer {
                Some(node) => by_peer.entry(node).or_default().push(AddressedCommands {
                    id: call,
                    address,
                    commands,
                }),
                None => self.outputs.push(Output::Worker {
                    call,
                    address,
                    commands,
                }),
            }
        }
        for (node, commands) in by_peer {
            let shard = SHARD.into();
            let message = Message::DeliverCommands { shard, commands };
            self.outputs.push(Output::Peer { node, message });
        }
    }

    /// The peer to hand commands to: the one that the worker reports to, or any.
    fn path_to(&mut self, relayed_by: Option<String>) -> Option<String> {
        relayed_by
            .filter(|node| self.peers.is_in_reach(self.now, node))
            .or_else(|| self.next_peer())
    }

    /// What a peer holds for too long counts as lost: it may still arrive.
    pub(super) fn expire_deliveries(&mut self) {
        let now = self.now;
        let late = self
            .deliveries
            .iter()
            .filter(|(_, push)| now > push.sent + DELIVERY_TIMEOUT_MS);
        for call in late.map(|(&call, _)| call).collect::<Vec<_>>() {
            self.worker_reply(call, WorkerReply::Unanswered);
        }
    }

    pub(super) fn worker_reply(&mut self, call: u64, reply: WorkerReply) {
        let Some(DirectCall { name, term, .. }) = self.deliveries.remove(&call) else {
            return;
        };
        let now = self.now;
        let Some(shard) = &mut self.shard else {
            return;
        };
        let known = shard.workers.machines.find(&name);
        if let Some(machine) = known.and_then(|ix| shard.workers.machines.get_mut(ix)) {
            machine.delivery.in_flight = false;
            match &reply {
                WorkerReply::Unanswered if machine.delivery.has_starts => {
                    machine.unconfirmed_start_term = machine.unconfirmed_start_term.max(term)
                }
                _ => {}
            }
            if matches!(reply, WorkerReply::Unanswered | WorkerReply::NotDelivered) {
                machine.delivery.not_before = now + 2_000;
                // Asked once more: it may be the way there that failed. After
                // that it will report or fall silent, so there is no hurry.
                let again = !std::mem::replace(&mut machine.has_unanswered_command, true);
                if again || machine.heard_at.is_none() {
                    machine.relayed_by = None;
                    shard.workers.delivery_due.extend(known);
                }
            }
        }
        if let WorkerReply::Executed(report) | WorkerReply::Refused(report) = reply {
            self.merge_worker_report(&report, ReportPath::CommandReply);
        }
    }
}

impl Shard {
    /// Commands for at most so many machines, those with open attempts first: they
    /// hold up work, the others can wait.
    fn due_commands(&mut self, now: Millis, mut max_machines: usize) -> Vec<Due> {
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

    /// What a machine is due now, which then counts as sent.
    fn due_commands_of(&mut self, now: Millis, ix: MachineIx) -> Option<Due> {
        let Some(machine) = self.workers.machines.get(ix).filter(|machine| !machine.decommissioned) else {
            self.workers.delivery_due.remove(&ix);
            return None;
        };
        if machine.delivery.in_flight || now < machine.delivery.not_before {
            return None;
        }
        let (address, agent_epoch) = (machine.address.clone()?, machine.agent_epoch);
        self.workers.delivery_due.remove(&ix);
        let commands = self.commands(now, ix);
        let machine = self.workers.machines.get_mut(ix)?;
        let well = machine.heard_at.is_some() && machine.missed_answers == 0 && !machine.has_unanswered_command;
        if commands.is_empty() && well {
            return None;
        }
        machine.delivery.in_flight = true;
        machine.delivery.has_starts = commands.iter().any(|command| matches!(command, Command::Start { .. }));
        Some(Due {
            name: machine.name.clone(),
            relayed_by: machine.relayed_by.clone(),
            address,
            agent_epoch,
            commands,
        })
    }
}
