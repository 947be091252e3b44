//! What the leader does with every input: maintenance, placement, and the reports of
//! workers. Its claim, take-over, transactions and commands have modules of their own.

use super::{Controller, Purpose, SHARD};
use crate::Millis;
use crate::peers::{JobTaskCounts, Message};
use crate::store::StoreRequest;
use crate::wire::{Change, Report, ReportAnswer, Transaction};
use crate::workers::{Merged, ReportPath};

const PLACE_EVERY_MS: Millis = 25;
const PLACE_ANYWAY_MS: Millis = 400;
/// How often all machines are looked over for what time alone has changed.
const MAINTENANCE_EVERY_MS: Millis = 200;
const COUNTS_EVERY_MS: Millis = 1_000;
/// Jobs whose counts are told, so that the message stays well within a frame.
const MAX_COUNTS: usize = 20_000;
const ISOLATED_CLAIM_DELAY_MS: Millis = 6_000;
/// After this long without acting (the state service was out, or this process
/// stood still) the silence of machines counts from now on.
const UNHEARD_MS: Millis = 1_500;

impl Controller {
    pub(super) fn advance_leader(&mut self) {
        if !self.election.is_acting_leader(self.now) || self.shard.is_none() {
            self.give_up_loading();
            return;
        }
        if self.is_isolated() {
            tracing::warn!(
                term = self.election.term(),
                "resigned: no controller and no worker in reach"
            );
            let transaction = Transaction {
                conditions: vec![self.election.condition(&self.keys)],
                changes: vec![Change::delete(self.keys.leader())],
            };
            self.step_down(ISOLATED_CLAIM_DELAY_MS);
            self.enqueue(Purpose::Resign, StoreRequest::Transact(transaction.into()));
            return;
        }
        if self.raise_term() {
            return;
        }
        let Some(shard) = &mut self.shard else {
            return;
        };
        shard.wall_clock = self.wall_clock;
        if self.now > self.acted_at + UNHEARD_MS {
            shard.workers.hearing_since = self.now;
        }
        self.acted_at = self.now;
        if self.now >= self.maintained_at + MAINTENANCE_EVERY_MS {
            self.maintained_at = self.now;
            shard.close_expired(self.now);
            shard.drain(self.now);
            shard.plan_fleet(self.now);
            self.expire_deliveries();
            self.delete_decommissioned();
        }
        self.place();
        self.commit();
        self.deliver_commands();
        self.advance_cloud();
        self.send_counts();
    }

    /// A round of placement, if one is due. What a round costs grows with the
    /// machines and jobs that it looks at, so rounds are rarer with many.
    fn place(&mut self) {
        let Some(shard) = &mut self.shard else {
            return;
        };
        self.place_wanted |= std::mem::take(&mut shard.workers.capacity_changed);
        let size = shard.workers.machines.len() + shard.jobs.table.len();
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
            if self.election.is_lease_valid(self.now) {
                shard.preempt(self.now);
            }
        }
    }

    /// Merges a report as the leader. `None`: it was not the leader's to take.
    pub(super) fn merge_worker_report(&mut self, report: &Report, path: ReportPath) -> Option<Merged> {
        let now = self.now;
        if !self.election.is_acting_leader(now) {
            return None;
        }
        let shard = self.shard.as_mut()?;
        let merged = shard.merge_report(now, report, path);
        match merged {
            Merged::Newest(ix) => {
                self.worker_heard_at = now;
                let machine = shard.workers.machines.get(ix);
                if machine
                    .is_some_and(|machine| !machine.unmatched_tasks.is_empty() && machine.delivery.not_before <= now)
                {
                    shard.workers.delivery_due.insert(ix);
                }
            }
            Merged::Outranked => {
                // Somebody claimed after us, whatever our lease says.
                tracing::warn!(
                    fencing_token = report.fencing_token,
                    term = self.election.term(),
                    "lost the shard: a worker has seen a higher fencing token"
                );
                self.step_down(1_000);
                self.watch_cache.restart();
            }
            Merged::Stale | Merged::MachineDeleted => {}
        }
        Some(merged)
    }

    /// Answers a worker's report as the leader: the fencing token, and its commands.
    /// `relayed_by`: the peer that relayed it, if one did.
    pub(super) fn answer_report(&mut self, report: &Report, relayed_by: Option<&str>) -> Option<ReportAnswer> {
        let merged = self.merge_worker_report(report, ReportPath::Heartbeat)?;
        let (now, fencing_token) = (self.now, self.election.term());
        let shard = self.shard.as_mut()?;
        if let Merged::Newest(ix) = merged
            && let Some(machine) = shard.workers.machines.get_mut(ix)
            && machine.relayed_by.as_deref() != relayed_by
        {
            machine.relayed_by = relayed_by.map(str::to_owned);
        }
        let commands = match merged {
            Merged::Newest(ix) => shard.answer_commands(now, ix),
            Merged::Stale => {
                if let Some(machine) = shard
                    .workers
                    .machines
                    .find(&report.machine)
                    .and_then(|ix| shard.workers.machines.get_mut(ix))
                {
                    machine.answered_at = now;
                }
                Vec::new()
            }
            Merged::Outranked | Merged::MachineDeleted => return None,
        };
        Some(ReportAnswer {
            fencing_token,
            commands,
        })
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
            .table
            .iter()
            .filter(|(_, job)| job.ended.is_none())
            .filter_map(|(_, job)| {
                shard.counts(&job.id).map(|(done, running)| JobTaskCounts {
                    job: job.id.clone(),
                    done,
                    running,
                })
            })
            .take(MAX_COUNTS)
            .collect();
        tracing::debug!(
            jobs = shard.jobs.table.len(),
            waiting = shard
                .jobs
                .table
                .iter()
                .filter(|(_, job)| job.live())
                .map(|(_, job)| job.waiting())
                .sum::<u32>(),
            open = shard.workers.attempts.iter().count(),
            unwritten = shard
                .workers
                .attempts
                .iter()
                .filter(|(_, attempt)| !attempt.written)
                .count(),
            unseen = shard
                .workers
                .attempts
                .iter()
                .filter(|(_, attempt)| attempt.observed_state.is_none())
                .count(),
            machines = shard.workers.machines.len(),
            usable = shard
                .workers
                .machines
                .iter()
                .filter(|(_, machine)| machine.usable(self.now))
                .count(),
            writing_ms = shard
                .pending_writes
                .in_flight
                .as_ref()
                .map_or(0, |flight| self.now - flight.sent),
            queued = self.queue.len(),
            asked = self.admission.len(),
            "shard"
        );
        let shard = SHARD.into();
        self.broadcast(&Message::TaskCounts { shard, counts });
    }
}
