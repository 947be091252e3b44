use super::{MISSED_ANSWERS_TO_CORDON, Outcome, command_for, split_task};
use crate::Millis;
use crate::controller::Shard;
use crate::ids::{AttemptIx, ChunkId, MachineIx};
use crate::wire::{Command, ExitReason, Report, TaskState};

/// A worker drops a report's answer after 4 s; a command in it is then dead.
const ANSWER_LIFE_MS: Millis = 4_500;

/// A report may come this much later than its interval allows for without a
/// doubt: a worker that lost its controller tries the next one after 5 s.
const LATE_MS: Millis = 6_000;

/// Ended tasks that a machine may have to list because one start is in doubt.
const MANY_ENDED: usize = 40;

/// How a report came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportPath {
    /// By itself: it may be a copy, seconds or minutes late.
    Heartbeat,
    /// As the answer to a direct command of this term.
    CommandReply,
}

/// What became of a report.
#[derive(Debug, PartialEq, Eq)]
pub enum Merged {
    /// The newest of its machine.
    Newest(MachineIx),
    /// Older than one already merged: its task list means nothing now.
    Stale,
    /// Its worker has seen a fencing token above ours: somebody else is the leader.
    Outranked,
    /// From a machine already deleted.
    MachineDeleted,
}

impl Shard {
    /// Merges a report, whether it came by itself or answered direct commands.
    pub fn merge_report(&mut self, now: Millis, report: &Report, path: ReportPath) -> Merged {
        if report.fencing_token > self.term {
            return Merged::Outranked;
        }
        if self.workers.tombstones.contains_key(&report.machine) {
            return Merged::MachineDeleted;
        }
        let ix = match self.workers.machines.find(&report.machine) {
            Some(ix) => ix,
            // Not rented by anybody we know of, or rented late: it is used, or
            // returned once idle, like any other.
            None => self.add_unverified(now, report),
        };
        let fresh = path == ReportPath::CommandReply || report.fencing_token == self.term;
        if path == ReportPath::CommandReply {
            self.add_to_inventory(ix);
        }
        let interval_ms = crate::millis(self.workers.longest_report_interval_s());
        let Some(machine) = self.workers.machines.get_mut(ix) else {
            return Merged::MachineDeleted;
        };
        if (report.agent_epoch, report.seq) <= (machine.agent_epoch, machine.seq) {
            return Merged::Stale;
        }
        let is_new_epoch = report.agent_epoch > machine.agent_epoch;
        if machine.address.as_deref() != Some(report.address.as_str()) {
            machine.address = Some(report.address.clone());
            self.fleet.inventory.late.extend(machine.group);
        }
        machine.agent_epoch = report.agent_epoch;
        machine.seq = report.seq;
        machine.fencing_token = machine.fencing_token.max(report.fencing_token);
        if fresh {
            if machine.heard_at.is_none() {
                machine.idle_since = now;
                self.workers.capacity_changed = true;
            }
            machine.heard_at = Some(now);
            machine.report_due = now + interval_ms + LATE_MS;
            machine.has_unanswered_command = false;
        } else {
            machine.known_up_at.get_or_insert(now);
        }
        machine.spot_reclaim_at = report.notice_s.map(|left| now + crate::millis(left));
        if is_new_epoch {
            if path == ReportPath::Heartbeat
                && machine.heard_at.is_some()
                && now < machine.answered_at + self.workers.lease_expiry_ms / 2
            {
                // Its lease ran out although it was answered: not by us, then.
                machine.missed_answers += MISSED_ANSWERS_TO_CORDON;
            }
            machine.unconfirmed_start_term = 0;
            // A agent epoch has its whole lease from its beginning, answered or not.
            machine.answered_at = machine.answered_at.max(now);
        }
        let open = machine.open.clone();
        machine.unmatched_tasks.clear();

        let mut listed = Vec::with_capacity(report.tasks.len());
        for task in &report.tasks {
            let found = split_task(&task.task).and_then(|(job, number)| {
                open.iter().copied().find(|&attempt| {
                    self.workers.attempts.get(attempt).is_some_and(|a| {
                        a.task == number
                            && a.number == task.attempt
                            && a.agent_epoch == report.agent_epoch
                            && self.jobs.table.get(a.job).is_some_and(|j| j.id == job)
                    })
                })
            });
            // What has ended stays listed until the worker is told to forget it.
            if (found.is_none() || task.state == TaskState::Exited)
                && let Some(machine) = self.workers.machines.get_mut(ix)
            {
                machine.unmatched_tasks.push(task.clone());
            }
            if let Some(attempt) = found {
                listed.push(attempt);
                self.observe(now, attempt, task.state, task.exit_reason);
            }
        }
        let mut unseen = report.fencing_token < self.term;
        for attempt in open {
            if !listed.contains(&attempt) {
                unseen |= self
                    .workers
                    .attempts
                    .get(attempt)
                    .is_some_and(|attempt| attempt.start_answered && attempt.agent_epoch == report.agent_epoch);
                self.observe_missing(now, attempt, report);
            }
        }
        if let Some(machine) = self.workers.machines.get_mut(ix)
            && (path == ReportPath::CommandReply || std::mem::take(&mut machine.expects_effect))
        {
            machine.missed_answers = match path {
                ReportPath::Heartbeat if unseen => machine.missed_answers + 1,
                _ => 0,
            };
        }
        // A start of this term that may still arrive keeps ended tasks listed, and
        // reports may not grow without end.
        self.workers.needs_higher_term |= self.workers.machines.get(ix).is_some_and(|machine| {
            let ended = machine
                .unmatched_tasks
                .iter()
                .filter(|unmatched| unmatched.state == TaskState::Exited);
            machine.unconfirmed_start_term >= self.term && ended.count() >= MANY_ENDED
        });
        if self
            .workers
            .machines
            .get(ix)
            .is_some_and(|machine| machine.missed_answers > 0)
        {
            // An answer to a direct command clears it at once.
            self.workers.delivery_due.insert(ix);
        }
        Merged::Newest(ix)
    }

    /// What a report is answered with, and so what the next one must show.
    pub fn answer_commands(&mut self, now: Millis, ix: MachineIx) -> Vec<Command> {
        let commands = self.commands(now, ix);
        let Some(machine) = self.workers.machines.get_mut(ix) else {
            return commands;
        };
        machine.answered_at = now;
        machine.expects_effect = machine.fencing_token < self.term;
        for &open in &machine.open {
            if let Some(attempt) = self.workers.attempts.get_mut(open) {
                attempt.start_answered = attempt.written && attempt.observed_state.is_none() && attempt.stop.is_none();
                machine.expects_effect |= attempt.start_answered;
            }
        }
        // One that seems not to be reached is asked directly as well: where nothing
        // is expected of it, no report could ever clear it.
        if machine.missed_answers == 0 {
            self.workers.delivery_due.remove(&ix);
        }
        commands
    }

    fn observe(&mut self, now: Millis, ix: AttemptIx, state: TaskState, exit_reason: Option<ExitReason>) {
        if state == TaskState::Exited {
            let outcome = match exit_reason {
                Some(ExitReason::Done) => Outcome::Done,
                Some(ExitReason::Error) => Outcome::Error,
                Some(ExitReason::Stopped) => Outcome::Stopped,
                _ => Outcome::Refused,
            };
            self.close(now, ix, outcome);
            return;
        }
        if let Some(attempt) = self.workers.attempts.get_mut(ix) {
            attempt.observed_state = Some(state);
            if state == TaskState::Running && attempt.running_since.is_none() {
                attempt.running_since = Some(now);
            }
        }
    }

    /// An open attempt that its machine's newest report does not list.
    fn observe_missing(&mut self, now: Millis, ix: AttemptIx, report: &Report) {
        let Some(attempt) = self.workers.attempts.get_mut(ix) else {
            return;
        };
        if attempt.agent_epoch < report.agent_epoch {
            // The worker forgot all tasks of its earlier agent epochs.
            self.close(now, ix, Outcome::Lost);
            return;
        }
        attempt.observed_state = None;
        attempt.running_since = None;
        if attempt.stop.is_none() || !attempt.written {
            return;
        }
        // Not wanted, and not there: over only if no start for it can still
        // arrive, neither in an answer nor sent directly.
        let answer_dead = attempt.start_sent.is_none_or(|sent| now > sent + ANSWER_LIFE_MS);
        let Some(machine) = self.workers.machines.get(attempt.machine) else {
            return;
        };
        let in_flight = machine.delivery.in_flight && machine.delivery.has_starts;
        let unconfirmed =
            in_flight || (machine.unconfirmed_start_term > 0 && machine.unconfirmed_start_term >= report.fencing_token);
        if answer_dead && !unconfirmed {
            self.withdraw_record(now, ix);
        } else if answer_dead && machine.unconfirmed_start_term >= self.term {
            // Starts of earlier terms are withdrawn already, once the worker
            // sees ours; only one of our own term calls for a higher.
            self.workers.needs_higher_term = true;
        }
    }

    /// This attempt never starts. Its record must go before its room is given to
    /// another; an ended job's records start nothing.
    fn withdraw_record(&mut self, now: Millis, ix: AttemptIx) {
        let Some(attempt) = self.workers.attempts.get_mut(ix) else {
            return;
        };
        match self.jobs.table.get(attempt.job).filter(|job| job.ended.is_none()) {
            None => self.close(now, ix, Outcome::Lost),
            Some(job) if !attempt.withdrawn => {
                attempt.withdrawn = true;
                let number = job.chunk_of(attempt.task, self.jobs.chunk_tasks) as u32;
                self.pending_writes.starts.insert(ChunkId {
                    job: attempt.job,
                    number,
                });
            }
            Some(_) => {}
        }
    }

    /// Everything that a machine should be told now, in order.
    pub fn commands(&mut self, now: Millis, ix: MachineIx) -> Vec<Command> {
        let Some(machine) = self.workers.machines.get(ix) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        let forget_safe =
            machine.unconfirmed_start_term < self.term && !(machine.delivery.in_flight && machine.delivery.has_starts);
        for unmatched in &machine.unmatched_tasks {
            let (task, attempt) = (unmatched.task.clone(), unmatched.attempt);
            if unmatched.state != TaskState::Exited {
                commands.push(Command::Stop {
                    task,
                    attempt,
                    grace_s: 0.0,
                });
            } else if forget_safe && self.outcome_written(&unmatched.task) {
                commands.push(Command::Forget { task, attempt });
            }
        }
        for &open in &machine.open {
            let Some(attempt) = self.workers.attempts.get_mut(open) else {
                continue;
            };
            if !attempt.written || attempt.agent_epoch != machine.agent_epoch {
                continue;
            }
            let Some(job) = self.jobs.table.get(attempt.job) else {
                continue;
            };
            if let Some(command) = command_for(&job.id, attempt) {
                if matches!(command, Command::Start { .. }) {
                    attempt.start_sent = Some(now);
                }
                commands.push(command);
            }
        }
        // Stops first: whatever has to wait for the next answer, they must not.
        commands.sort_by_key(|command| !matches!(command, Command::Stop { .. }));
        commands.truncate(400);
        commands
    }

    /// Nothing about this task waits to be written, so that the worker may
    /// forget how its attempt ended.
    fn outcome_written(&self, task: &str) -> bool {
        let Some((job, number)) = split_task(task) else {
            return true;
        };
        let Some(job) = self.jobs.table.find(job).and_then(|ix| self.jobs.table.get(ix)) else {
            return true;
        };
        if job.ended.is_some() {
            return true;
        }
        let chunk = job.chunk_of(number, self.jobs.chunk_tasks);
        !job.complete() && job.chunks.get(chunk).is_none_or(|chunk| chunk.written())
    }

    /// Closes everything on machines whose worker's lease has surely expired.
    pub fn close_expired(&mut self, now: Millis) {
        for ix in self.workers.machines.indices() {
            let Some(machine) = self.workers.machines.get(ix) else {
                continue;
            };
            if machine.open.is_empty() || now <= machine.answered_at + self.workers.lease_expiry_ms {
                continue;
            }
            let agent_epoch = machine.agent_epoch;
            for attempt in machine.open.clone() {
                if self
                    .workers
                    .attempts
                    .get(attempt)
                    .is_some_and(|a| a.agent_epoch <= agent_epoch)
                {
                    self.close(now, attempt, Outcome::Lost);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
