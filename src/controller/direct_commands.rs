//! Commands that the leader sends straight to workers, mostly through the peer that a
//! worker reports to, and what came of them.

use super::{Controller, Output, SHARD, Shard, WorkerReply};
use crate::Millis;
use crate::ids::MachineIx;
use crate::peers::Message;
use crate::wire::{Command, DirectCommands};
use crate::workers::Path;
use std::collections::BTreeMap;

/// Longer than any call to a worker takes.
const PUSH_PATIENCE_MS: Millis = 5_000;
/// Commands that come up close together go out together.
const PUSH_EVERY_MS: Millis = 50;

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
    via: Option<String>,
    address: String,
    session: u64,
    commands: Vec<Command>,
}

impl Controller {
    /// Direct commands in flight at once: half of what all other controllers would
    /// hold, so that one of them has room for more than its part.
    fn most_pushes(&self) -> usize {
        self.connections.in_flight * self.peers.in_reach_now(self.now).len().div_ceil(2).max(1)
    }

    /// Sends what machines are due, if it is time.
    pub(super) fn push_commands(&mut self) {
        if self.now < self.pushed_at + PUSH_EVERY_MS {
            return;
        }
        self.pushed_at = self.now;
        let room = self.most_pushes().saturating_sub(self.pushes.len());
        let Some(shard) = &mut self.shard else {
            return;
        };
        let due = shard.due_commands(self.now, room);
        let mut by_peer: BTreeMap<String, Vec<(u64, String, DirectCommands)>> = BTreeMap::new();
        for due in due {
            let call = self.call();
            let (address, peer) = (due.address, self.path_to(due.via));
            let commands = DirectCommands {
                token: self.election.term,
                session: due.session,
                commands: due.commands,
            };
            let direct_call = DirectCall {
                name: due.name,
                term: self.election.term,
                sent: self.now,
            };
            self.pushes.insert(call, direct_call);
            match peer {
                Some(node) => by_peer.entry(node).or_default().push((call, address, commands)),
                None => self.outputs.push(Output::Worker {
                    call,
                    address,
                    commands,
                }),
            }
        }
        for (node, commands) in by_peer {
            let shard = SHARD.into();
            let message = Message::Push { shard, commands };
            self.outputs.push(Output::Peer { node, message });
        }
    }

    /// The peer to hand commands to: the one that the worker reports to, or any.
    fn path_to(&mut self, via: Option<String>) -> Option<String> {
        via.filter(|node| self.peers.in_reach(self.now, node))
            .or_else(|| self.next_peer())
    }

    /// What a peer holds for too long counts as lost: it may still arrive.
    pub(super) fn give_up_pushes(&mut self) {
        let now = self.now;
        let late = self
            .pushes
            .iter()
            .filter(|(_, push)| now > push.sent + PUSH_PATIENCE_MS);
        for call in late.map(|(&call, _)| call).collect::<Vec<_>>() {
            self.worker_reply(call, WorkerReply::Lost);
        }
    }

    pub(super) fn worker_reply(&mut self, call: u64, reply: WorkerReply) {
        let Some(DirectCall { name, term, .. }) = self.pushes.remove(&call) else {
            return;
        };
        let now = self.now;
        let Some(shard) = &mut self.shard else {
            return;
        };
        let known = shard.machines.find(&name);
        if let Some(machine) = known.and_then(|ix| shard.machines.get_mut(ix)) {
            machine.push.in_flight = false;
            match &reply {
                WorkerReply::Lost if machine.push.starts => machine.doubt = machine.doubt.max(term),
                _ => {}
            }
            if matches!(reply, WorkerReply::Lost | WorkerReply::NotSent) {
                machine.push.not_before = now + 2_000;
                // Asked once more: it may be the way there that failed. After
                // that it will report or fall silent, so there is no hurry.
                let again = !std::mem::replace(&mut machine.unanswered, true);
                if again || machine.heard_at.is_none() {
                    machine.via = None;
                    shard.to_push.extend(known);
                }
            }
        }
        if let WorkerReply::Done(report) | WorkerReply::Refused(report) = reply {
            self.take_report(&report, Path::Answered);
        }
    }
}

impl Shard {
    /// Commands for at most so many machines, those with open attempts first: they
    /// hold up work, the others can wait.
    fn due_commands(&mut self, now: Millis, mut room: usize) -> Vec<Due> {
        let mut machines: Vec<MachineIx> = self.to_push.iter().copied().collect();
        machines.sort_by_key(|&ix| self.machines.get(ix).is_none_or(|machine| machine.open.is_empty()));
        let mut all_due = Vec::new();
        for ix in machines {
            if room == 0 {
                break;
            }
            if let Some(due) = self.due_commands_of(now, ix) {
                room -= 1;
                all_due.push(due);
            }
        }
        all_due
    }

    /// What a machine is due now, which then counts as sent.
    fn due_commands_of(&mut self, now: Millis, ix: MachineIx) -> Option<Due> {
        let Some(machine) = self.machines.get(ix).filter(|machine| !machine.condemned) else {
            self.to_push.remove(&ix);
            return None;
        };
        if machine.push.in_flight || now < machine.push.not_before {
            return None;
        }
        let (address, session) = (machine.address.clone()?, machine.session);
        self.to_push.remove(&ix);
        let commands = self.commands(now, ix);
        let machine = self.machines.get_mut(ix)?;
        let well = machine.heard_at.is_some() && machine.misses == 0 && !machine.unanswered;
        if commands.is_empty() && well {
            return None;
        }
        machine.push.in_flight = true;
        machine.push.starts = commands.iter().any(|command| matches!(command, Command::Start { .. }));
        Some(Due {
            name: machine.name.clone(),
            via: machine.via.clone(),
            address,
            session,
            commands,
        })
    }
}
