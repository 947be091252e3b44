//! What the leader does with every input: maintenance, placement, and the reports of
//! workers. Its claim, take-over, transactions and commands have modules of their own.

use super::{Controller, Purpose, SHARD};
use crate::Millis;
use crate::peers::Message;
use crate::store::StoreRequest;
use crate::wire::{Change, Report, ReportAnswer, Transaction};
use crate::workers::{Merged, Path};

const PLACE_EVERY_MS: Millis = 25;
const PLACE_ANYWAY_MS: Millis = 400;
/// How often all machines are looked over for what time alone has changed.
const MAINTENANCE_EVERY_MS: Millis = 200;
const COUNTS_EVERY_MS: Millis = 1_000;
/// Jobs whose counts are told, so that the message stays well within a frame.
const MAX_COUNTS: usize = 20_000;
const ISOLATED_HOLD_OFF_MS: Millis = 6_000;
/// After this long without acting (the state service was out, or this process
/// stood still) the silence of machines counts from now on.
const UNHEARD_MS: Millis = 1_500;

impl Controller {
    pub(super) fn advance_leader(&mut self) {
        if !self.election.acting(self.now) || self.shard.is_none() {
            self.give_up_loading();
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
