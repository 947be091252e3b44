//! What the leader does: claiming, loading, writing, commanding.

use super::{Controller, Loading, Output, Purpose, SHARD, Shard, WorkerReply};
use crate::Millis;
use crate::election::Phase;
use crate::ids::Ix;
use crate::peers::Message;
use crate::store::{StoreReply, StoreRequest, tail};
use crate::wire::{Change, DirectCommands, Report, ReportAnswer, Transaction};
use crate::workers::{Merged, Path};
use std::collections::BTreeMap;
use std::sync::Arc;

const PLACE_EVERY_MS: Millis = 25;
const PLACE_ANYWAY_MS: Millis = 400;
/// How often all machines are looked over for what time alone has changed.
const MAINTENANCE_EVERY_MS: Millis = 200;
/// Longer than any call to a worker takes.
const PUSH_PATIENCE_MS: Millis = 5_000;
/// Commands that come up close together go out together.
const PUSH_EVERY_MS: Millis = 50;
const COUNTS_EVERY_MS: Millis = 1_000;
/// Jobs whose counts are told, so that the message stays well within a frame.
const MAX_COUNTS: usize = 20_000;
/// Raising the term costs a fresh start, so not more often than this.
const RECLAIM_EVERY_MS: Millis = 8_000;
/// A leader that hears nobody, no controller and no worker, for this long
/// gives the shard up for another to take.
const ISOLATED_MS: Millis = 4_000;
const ISOLATED_HOLD_OFF_MS: Millis = 6_000;
/// After this long without acting (the state service was out, or this process
/// stood still) the silence of machines counts from now on.
const UNHEARD_MS: Millis = 1_500;
/// Loading is given up when nothing was read for this long: a full store that
/// answers slowly takes its time, and beginning anew would take as long again.
const LOAD_PATIENCE_MS: Millis = 5_000;

/// Direct commands to a machine, under a term.
#[derive(Clone, Debug)]
pub struct DirectCall {
    name: String,
    term: u64,
    sent: Millis,
}

impl Controller {
    pub(super) fn leader_changed(&mut self) {
        let Some((leader, version)) = &self.watch_cache.leader else {
            return;
        };
        if self.election.holds_claim() && leader.term > self.election.term {
            tracing::warn!(by = leader.node, version, "somebody else leads the shard");
            self.follow(0);
        }
    }

    pub(super) fn follow(&mut self, hold_off: Millis) {
        self.election.step_down(self.now, hold_off);
        self.shard = None;
        self.reclaim_wanted = false;
        self.raising = false;
        self.cloud.forget();
        self.pushes.clear();
        self.calls.retain(|_, (purpose, _)| !leaders(purpose));
        self.queue.retain(|queued| !leaders(&queued.purpose));
    }

    pub(super) fn granted(&mut self, reply: StoreReply) {
        if self.election.phase != Phase::Granting {
            return;
        }
        match reply {
            StoreReply::Granted { lease } => {
                let sent = self.election.asked_at();
                match self.election.granted(lease, sent, &self.keys, &self.watch_cache) {
                    Some(transaction) => self.send_claim(transaction),
                    None => self.follow(0),
                }
            }
            _ => self.election.step_down(self.now, 500),
        }
    }

    pub(super) fn claim_answered(&mut self, transaction: Arc<Transaction>, sent: Millis, reply: StoreReply) {
        if self.election.phase != Phase::Claiming {
            return;
        }
        match reply {
            StoreReply::Committed { revision } => self.claimed(revision),
            // Perhaps applied: the same again is applied or conflicts, and a
            // conflict is told apart by reading the claim.
            StoreReply::Lost | StoreReply::Unavailable if self.now < sent + crate::election::LEASE_MS => {
                self.queue.push_back(super::Queued {
                    purpose: Purpose::Claim {
                        transaction: transaction.clone(),
                        sent,
                    },
                    request: StoreRequest::Transact(transaction),
                    not_before: self.now + 200,
                });
            }
            StoreReply::Conflict { .. } => self.enqueue(Purpose::CheckClaim, StoreRequest::Get(self.keys.leader())),
            _ => self.follow(500),
        }
    }

    fn claimed(&mut self, version: u64) {
        self.election.claimed(version);
        self.claimed_at = self.now;
        self.reclaimed_at = self.now;
        if self.raising && !self.reclaim_wanted {
            self.raised();
            return;
        }
        self.raising = false;
        self.reclaim_wanted = false;
        self.loading_since = self.now;
        self.load_heard_at = self.now;
        self.worker_heard_at = self.now;
        // Nothing of the former term counts: what was in flight under it is
        // void, and what it did is read back.
        self.calls.retain(|_, (purpose, _)| !leaders(purpose));
        self.queue.retain(|queued| !leaders(&queued.purpose));
        self.cloud.forget();
        self.pushes.clear();
        let mut shard = Shard::new(SHARD, self.election.term, &self.settings, &self.policy);
        if let Some(catalogue) = &self.catalogue {
            shard.set_catalogue(catalogue);
        }
        self.shard = Some(shard);
        self.load(Loading::Machines, String::new());
    }

    /// The term rose over the own claim, with nothing of the old one in flight to
    /// the state service: what is known still holds, and only the workers have
    /// to see the new token.
    fn raised(&mut self) {
        self.raising = false;
        self.election.phase = Phase::Active;
        let Some(shard) = &mut self.shard else {
            return;
        };
        shard.term = self.election.term;
        let doubtful = shard.machines.iter().filter(|(_, machine)| machine.doubt > 0);
        let doubtful: Vec<Ix> = doubtful.map(|(ix, _)| ix).collect();
        shard.to_push.extend(doubtful);
        self.place_wanted = true;
    }

    fn load(&mut self, part: Loading, after: String) {
        let prefix = match part {
            Loading::Machines => self.keys.inventories(),
            Loading::Rentals => self.keys.rentals(),
            Loading::WatchCache => self.keys.watched(),
            Loading::Firings => self.keys.firings(),
        };
        self.enqueue(Purpose::Load(part), StoreRequest::List { prefix, after });
    }

    pub(super) fn load_answered(&mut self, part: Loading, request: &StoreRequest, reply: StoreReply) {
        if self.election.phase != Phase::Loading {
            return;
        }
        if matches!(reply, StoreReply::Page(_) | StoreReply::Log(_)) {
            self.load_heard_at = self.now;
        }
        if part == Loading::WatchCache && self.load_synced(&reply) {
            self.load(Loading::Firings, String::new());
            return;
        }
        let StoreReply::Page(page) = reply else {
            let request = match part {
                Loading::WatchCache => self.watch(0),
                _ => request.clone(),
            };
            self.queue.push_back(super::Queued {
                purpose: Purpose::Load(part),
                request,
                not_before: self.now + 200,
            });
            return;
        };
        let Some(shard) = &mut self.shard else {
            return;
        };
        let next = page.items.last().map(|entry| entry.key.clone());
        for entry in &page.items {
            match part {
                Loading::Machines => shard.load_group(self.now, tail(entry, &self.keys.inventories()), entry),
                Loading::Rentals => shard.load_rental(entry),
                Loading::WatchCache => {}
                Loading::Firings => {
                    let name = tail(entry, &self.keys.firings()).to_owned();
                    let Some((job, number)) = name.split_once('/') else {
                        continue;
                    };
                    // The job may be newer than the watch cache, which is brought up
                    // to date before firings are read; if it is still missing,
                    // it was cleaned up while these pages were read.
                    if shard.jobs.find(job).is_some()
                        && let Ok(number) = number.parse()
                    {
                        shard.load_chunk(self.now, job, number, entry);
                    }
                }
            }
        }
        match (page.more, next, part) {
            (true, Some(after), _) => self.load(part, after),
            (_, _, Loading::Machines) => self.load(Loading::Rentals, String::new()),
            // The watch cache must be newer than the claim before firings are read.
            (_, _, Loading::Rentals) => {
                let request = self.watch(0);
                self.enqueue(Purpose::Load(Loading::WatchCache), request);
            }
            (_, _, Loading::WatchCache) => {}
            (_, _, Loading::Firings) => self.loaded(),
        }
    }

    /// The read that brings the watch cache up to date while loading came back.
    fn load_synced(&mut self, reply: &StoreReply) -> bool {
        if !self.take_log(reply.clone()) {
            return false;
        }
        let Some(shard) = &mut self.shard else {
            return false;
        };
        for (id, (key, version)) in self.watch_cache.jobs() {
            shard.job_changed(self.now, id, key, *version);
        }
        true
    }

    fn loaded(&mut self) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        shard.loaded();
        // Asking each machine straight away spares a report interval.
        shard.to_push.extend(shard.machines.indices());
        tracing::info!(
            term = self.election.term,
            jobs = shard.jobs.len(),
            machines = shard.machines.len(),
            took_ms = self.now - self.loading_since,
            "took over the shard"
        );
        self.election.phase = Phase::Active;
        self.place_wanted = true;
    }

    pub(super) fn renew_answered(&mut self, sent: Millis, reply: StoreReply) {
        match reply {
            StoreReply::Renewed => {
                self.election.renewed(self.now, sent);
                if self.election.suspended {
                    self.sync(0);
                }
            }
            StoreReply::LeaseGone if self.election.holds_claim() => {
                tracing::warn!("the lease has ended");
                self.follow(0);
            }
            _ => self.election.renewal_failed(self.now),
        }
    }

    /// The watch cache holds all that was written before `sent`. After a lapse that is
    /// what acting again waits for: a cancellation may have come in the meantime,
    /// and the claim may be another's.
    pub(super) fn watch_cache_read(&mut self, sent: Millis) {
        self.election.watch_cache_read(sent);
        if !self.election.may_resume(self.now, sent) {
            return;
        }
        let claim = self.watch_cache.leader.as_ref();
        let ours = claim
            .is_some_and(|(leader, version)| self.election.is_mine(leader) && *version == self.election.claim_version);
        if ours {
            self.election.resume();
        } else {
            self.follow(0);
        }
    }

    pub(super) fn claim_checked(&mut self, reply: StoreReply) {
        if self.election.phase != Phase::Claiming {
            return;
        }
        match reply {
            StoreReply::Found { value, version } => {
                let leader = serde_json::from_value(value);
                if leader.is_ok_and(|leader| self.election.is_mine(&leader)) {
                    self.claimed(version);
                } else {
                    self.follow(0);
                }
            }
            StoreReply::Missing => self.follow(0),
            _ => self.follow(500),
        }
    }

    /// A transaction conflicted: if the claim was among the reasons, it is gone.
    /// Unless the transaction was older than our present claim.
    pub(super) fn check_claim_in(&mut self, request: &StoreRequest, failed: &[String]) -> bool {
        let condition = self.election.condition(&self.keys);
        let present =
            matches!(request, StoreRequest::Transact(transaction) if transaction.conditions.contains(&condition));
        let lost = present && self.election.holds_claim() && failed.contains(&condition.key);
        if lost {
            tracing::warn!(term = self.election.term, "the claim is gone");
            self.follow(0);
        }
        lost
    }

    pub(super) fn advance_leader(&mut self) {
        if !self.election.acting(self.now) || self.shard.is_none() {
            if self.election.phase == Phase::Loading && self.now > self.load_heard_at + LOAD_PATIENCE_MS {
                self.follow(500);
            }
            return;
        }
        if self.is_isolated() {
            tracing::warn!("hearing no controller and no worker; giving the shard up");
            let transaction = Transaction {
                conditions: vec![self.election.condition(&self.keys)],
                changes: vec![Change::delete(self.keys.leader())],
            };
            self.follow(ISOLATED_HOLD_OFF_MS);
            self.enqueue(Purpose::Resign, StoreRequest::Transact(transaction.into()));
            return;
        }
        if self.reclaim() {
            return;
        }
        let Some(shard) = &mut self.shard else {
            return;
        };
        shard.wall = self.wall;
        if self.now > self.acted_at + UNHEARD_MS {
            shard.hearing_since = self.now;
        }
        self.acted_at = self.now;
        if self.now >= self.maintained_at + MAINTENANCE_EVERY_MS {
            self.maintained_at = self.now;
            shard.close_lapsed(self.now);
            shard.drain(self.now);
            shard.plan_fleet(self.now);
            self.give_up_pushes();
            self.delete_condemned();
        }
        self.place();
        self.commit();
        self.push_commands();
        self.advance_cloud();
        self.send_counts();
    }

    /// A round of placement, if one is due. What a round costs grows with the
    /// machines and jobs that it looks at, so rounds are rarer with many.
    fn place(&mut self) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        self.place_wanted |= std::mem::take(&mut shard.room_changed);
        let size = shard.machines.len() + shard.jobs.len();
        let due = if self.place_wanted {
            PLACE_EVERY_MS + size as Millis / 20
        } else {
            PLACE_ANYWAY_MS
        };
        if self.now >= self.placed_at + due {
            self.placed_at = self.now;
            self.place_wanted = false;
            shard.place(self.now);
            // On promises alone nothing can be written, and so nothing started in
            // place of what would be stopped.
            if self.election.lease_valid(self.now) {
                shard.preempt(self.now);
            }
        }
    }

    fn is_isolated(&self) -> bool {
        !self.peers.is_alone()
            && self.now > self.claimed_at + ISOLATED_MS
            && self.now > self.peers.last_heard() + ISOLATED_MS
            && self.now > self.worker_heard_at + ISOLATED_MS
    }

    /// Starts a new term over the own claim where one is called for.
    fn reclaim(&mut self) -> bool {
        let Some(shard) = &mut self.shard else {
            return false;
        };
        let wanted = self.reclaim_wanted || shard.withdraw;
        // Claiming gives up what the others promised, and can't succeed in an outage.
        if !wanted || !self.election.lease_valid(self.now) || self.now < self.reclaimed_at + RECLAIM_EVERY_MS {
            return false;
        }
        // What is in flight depends on the claim as it is.
        self.raising = true;
        if !self.reclaim_wanted && shard.ledger.in_flight.is_some() {
            return false;
        }
        shard.withdraw = false;
        tracing::info!(term = self.election.term, "raising the term");
        let transaction = self.election.reclaim(&self.keys, &self.watch_cache);
        self.send_claim(transaction);
        true
    }

    /// Direct commands in flight at once: half of what all other controllers would
    /// hold, so that one of them has room for more than its part.
    fn most_pushes(&self) -> usize {
        self.connections.in_flight * self.peers.in_reach_now(self.now).len().div_ceil(2).max(1)
    }

    fn push_commands(&mut self) {
        if self.now < self.pushed_at + PUSH_EVERY_MS {
            return;
        }
        self.pushed_at = self.now;
        let (now, term) = (self.now, self.election.term);
        let mut room = self.most_pushes().saturating_sub(self.pushes.len());
        let Some(shard) = &mut self.shard else {
            return;
        };
        let mut sends = Vec::new();
        let mut due: Vec<Ix> = shard.to_push.iter().copied().collect();
        // Those with open attempts hold up work; the others can wait.
        due.sort_by_key(|&ix| shard.machines.get(ix).is_none_or(|machine| machine.open.is_empty()));
        for ix in due {
            if room == 0 {
                break;
            }
            let Some(machine) = shard.machines.get(ix).filter(|machine| !machine.condemned) else {
                shard.to_push.remove(&ix);
                continue;
            };
            if machine.push.in_flight || now < machine.push.not_before {
                continue;
            }
            let (Some(address), session) = (machine.address.clone(), machine.session) else {
                continue;
            };
            shard.to_push.remove(&ix);
            let commands = shard.commands(now, ix);
            let Some(machine) = shard.machines.get_mut(ix) else {
                continue;
            };
            let well = machine.heard_at.is_some() && machine.misses == 0 && !machine.unanswered;
            if commands.is_empty() && well {
                continue;
            }
            room -= 1;
            machine.push.in_flight = true;
            machine.push.starts = commands
                .iter()
                .any(|command| matches!(command, crate::wire::Command::Start { .. }));
            sends.push((machine.name.clone(), machine.via.clone(), address, session, commands));
        }
        let mut by_peer: BTreeMap<String, Vec<(u64, String, DirectCommands)>> = BTreeMap::new();
        for (name, via, address, session, commands) in sends {
            let call = self.call();
            let commands = DirectCommands {
                token: term,
                session,
                commands,
            };
            let peer = via
                .filter(|node| self.peers.in_reach(now, node))
                .or_else(|| self.next_peer());
            // By name: the index may be another machine's by the time of the reply.
            let sent = now;
            self.pushes.insert(call, DirectCall { name, term, sent });
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

    /// What a peer holds for too long counts as lost: it may still arrive.
    fn give_up_pushes(&mut self) {
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

    /// Merges a report as the leader. `None`: it was not the leader's to take.
    pub(super) fn take_report(&mut self, report: &Report, path: Path) -> Option<Merged> {
        let now = self.now;
        if !self.election.acting(now) {
            return None;
        }
        let shard = self.shard.as_mut()?;
        let merged = shard.merge_report(now, report, path);
        match merged {
            Merged::New(ix) => {
                self.worker_heard_at = now;
                let machine = shard.machines.get(ix);
                if machine.is_some_and(|machine| !machine.strays.is_empty() && machine.push.not_before <= now) {
                    shard.to_push.insert(ix);
                }
            }
            Merged::Outranked => {
                // Somebody claimed after us, whatever our lease says.
                tracing::warn!(
                    token = report.token,
                    term = self.election.term,
                    "a worker has seen a higher token"
                );
                self.follow(1_000);
                self.watch_cache.restart();
            }
            Merged::Old | Merged::Gone => {}
        }
        Some(merged)
    }

    /// Answers a worker's report as the leader: the token, and its commands.
    /// `via`: the peer that relayed it, if one did.
    pub(super) fn answer_report(&mut self, report: &Report, via: Option<&str>) -> Option<ReportAnswer> {
        let merged = self.take_report(report, Path::Sent)?;
        let (now, token) = (self.now, self.election.term);
        let shard = self.shard.as_mut()?;
        if let Merged::New(ix) = merged
            && let Some(machine) = shard.machines.get_mut(ix)
            && machine.via.as_deref() != via
        {
            machine.via = via.map(str::to_owned);
        }
        let commands = match merged {
            Merged::New(ix) => shard.answer_commands(now, ix),
            Merged::Old => {
                if let Some(machine) = shard
                    .machines
                    .find(&report.machine)
                    .and_then(|ix| shard.machines.get_mut(ix))
                {
                    machine.answered_at = now;
                }
                Vec::new()
            }
            Merged::Outranked | Merged::Gone => return None,
        };
        Some(ReportAnswer { token, commands })
    }

    fn send_counts(&mut self) {
        if self.now < self.counts_at + COUNTS_EVERY_MS {
            return;
        }
        self.counts_at = self.now;
        let Some(shard) = &self.shard else {
            return;
        };
        let counts: Vec<_> = shard
            .jobs
            .iter()
            .filter(|(_, job)| job.ended.is_none())
            .filter_map(|(_, job)| {
                shard
                    .counts(&job.id)
                    .map(|(done, running)| (job.id.clone(), done, running))
            })
            .take(MAX_COUNTS)
            .collect();
        tracing::debug!(
            jobs = shard.jobs.len(),
            waiting = shard
                .jobs
                .iter()
                .filter(|(_, job)| job.live())
                .map(|(_, job)| job.waiting())
                .sum::<u32>(),
            open = shard.attempts.iter().count(),
            unwritten = shard.attempts.iter().filter(|(_, attempt)| !attempt.written).count(),
            unseen = shard
                .attempts
                .iter()
                .filter(|(_, attempt)| attempt.seen.is_none())
                .count(),
            machines = shard.machines.len(),
            usable = shard
                .machines
                .iter()
                .filter(|(_, machine)| machine.usable(self.now))
                .count(),
            writing_ms = shard
                .ledger
                .in_flight
                .as_ref()
                .map_or(0, |flight| self.now - flight.sent),
            queued = self.queue.len(),
            asked = self.admission.len(),
            "shard"
        );
        let shard = SHARD.into();
        self.tell_all(&Message::Counts { shard, counts });
    }
}

/// Requests that mean something only within one term.
fn leaders(purpose: &Purpose) -> bool {
    matches!(
        purpose,
        Purpose::Load(_)
            | Purpose::Commit
            | Purpose::CheckCommit(_)
            | Purpose::CheckClaim
            | Purpose::Renew { .. }
            | Purpose::Claim { .. }
    )
}
