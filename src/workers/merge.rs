use super::{MISSES_TO_REST, Outcome, command_for, split_task};
use crate::Millis;
use crate::controller::Shard;
use crate::ids::{AttemptIx, ChunkId, MachineIx};
use crate::wire::{Command, Report, TaskState, Why};

/// A worker drops a report's answer after 4 s; a command in it is then dead.
const ANSWER_LIFE_MS: Millis = 4_500;

/// A report may come this much later than its interval allows for without a
/// doubt: a worker that lost its controller tries the next one after 5 s.
const LATE_MS: Millis = 6_000;

/// Ended tasks that a machine may have to list because one start is in doubt.
const MANY_ENDED: usize = 40;

/// How a report came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// By itself: it may be a copy, seconds or minutes late.
    Sent,
    /// As the answer to a direct command of this term.
    Answered,
}

/// What became of a report.
#[derive(Debug, PartialEq, Eq)]
pub enum Merged {
    /// The newest of its machine.
    New(MachineIx),
    /// Older than one already merged: its task list means nothing now.
    Old,
    /// Its worker has seen a token above ours: somebody else is the leader.
    Outranked,
    /// From a machine already deleted.
    Gone,
}

impl Shard {
    /// Merges a report, whether it came by itself or answered direct commands.
    pub fn merge_report(&mut self, now: Millis, report: &Report, path: Path) -> Merged {
        if report.token > self.term {
            return Merged::Outranked;
        }
        if self.tombstones.contains_key(&report.machine) {
            return Merged::Gone;
        }
        let ix = match self.machines.find(&report.machine) {
            Some(ix) => ix,
            // Not rented by anybody we know of, or rented late: it is used, or
            // returned once idle, like any other.
            None => self.add_hearsay(now, report),
        };
        let fresh = path == Path::Answered || report.token == self.term;
        if path == Path::Answered {
            self.enrol(ix);
        }
        let interval_ms = crate::millis(self.longest_report_interval_s());
        let Some(machine) = self.machines.get_mut(ix) else {
            return Merged::Gone;
        };
        if (report.session, report.seq) <= (machine.session, machine.seq) {
            return Merged::Old;
        }
        let new_session = report.session > machine.session;
        if machine.address.as_deref() != Some(report.address.as_str()) {
            machine.address = Some(report.address.clone());
            self.inventory.late.extend(machine.group);
        }
        machine.session = report.session;
        machine.seq = report.seq;
        machine.token = machine.token.max(report.token);
        if fresh {
            if machine.heard_at.is_none() {
                machine.idle_since = now;
                self.room_changed = true;
            }
            machine.heard_at = Some(now);
            machine.report_due = now + interval_ms + LATE_MS;
            machine.unanswered = false;
        } else {
            machine.known_up_at.get_or_insert(now);
        }
        machine.taken_at = report.notice_s.map(|left| now + crate::millis(left));
        if new_session {
            if path == Path::Sent && machine.heard_at.is_some() && now < machine.answered_at + self.lapse_ms / 2 {
                // Its lease ran out although it was answered: not by us, then.
                machine.misses += MISSES_TO_REST;
            }
            machine.doubt = 0;
            // A session has its whole lease from its beginning, answered or not.
            machine.answered_at = machine.answered_at.max(now);
        }
        let open = machine.open.clone();
        machine.strays.clear();

        let mut listed = Vec::with_capacity(report.tasks.len());
        for task in &report.tasks {
            let found = split_task(&task.task).and_then(|(job, number)| {
                open.iter().copied().find(|&attempt| {
                    self.attempts.get(attempt).is_some_and(|a| {
                        a.task == number
                            && a.number == task.attempt
                            && a.session == report.session
                            && self.jobs.get(a.job).is_some_and(|j| j.id == job)
                    })
                })
            });
            // What has ended stays listed until the worker is told to forget it.
            if (found.is_none() || task.state == TaskState::Exited)
                && let Some(machine) = self.machines.get_mut(ix)
            {
                machine.strays.push(task.clone());
            }
            if let Some(attempt) = found {
                listed.push(attempt);
                self.see(now, attempt, task.state, task.why);
            }
        }
        let mut unseen = report.token < self.term;
        for attempt in open {
            if !listed.contains(&attempt) {
                unseen |= self
                    .attempts
                    .get(attempt)
                    .is_some_and(|attempt| attempt.start_answered && attempt.session == report.session);
                self.missing(now, attempt, report);
            }
        }
        if let Some(machine) = self.machines.get_mut(ix)
            && (path == Path::Answered || std::mem::take(&mut machine.expecting))
        {
            machine.misses = match path {
                Path::Sent if unseen => machine.misses + 1,
                _ => 0,
            };
        }
        // A start of this term that may still arrive keeps ended tasks listed, and
        // reports may not grow without end.
        self.withdraw |= self.machines.get(ix).is_some_and(|machine| {
            let ended = machine.strays.iter().filter(|stray| stray.state == TaskState::Exited);
            machine.doubt >= self.term && ended.count() >= MANY_ENDED
        });
        if self.machines.get(ix).is_some_and(|machine| machine.misses > 0) {
            // An answer to a direct command clears it at once.
            self.to_push.insert(ix);
        }
        Merged::New(ix)
    }

    /// What a report is answered with, and so what the next one must show.
    pub fn answer_commands(&mut self, now: Millis, ix: MachineIx) -> Vec<Command> {
        let commands = self.commands(now, ix);
        let Some(machine) = self.machines.get_mut(ix) else {
            return commands;
        };
        machine.answered_at = now;
        machine.expecting = machine.token < self.term;
        for &open in &machine.open {
            if let Some(attempt) = self.attempts.get_mut(open) {
                attempt.start_answered = attempt.written && attempt.seen.is_none() && attempt.stop.is_none();
                machine.expecting |= attempt.start_answered;
            }
        }
        // One that seems not to be reached is asked directly as well: where nothing
        // is expected of it, no report could ever clear it.
        if machine.misses == 0 {
            self.to_push.remove(&ix);
        }
        commands
    }

    fn see(&mut self, now: Millis, ix: AttemptIx, state: TaskState, why: Option<Why>) {
        if state == TaskState::Exited {
            let outcome = match why {
                Some(Why::Done) => Outcome::Done,
                Some(Why::Error) => Outcome::Error,
                Some(Why::Stopped) => Outcome::Stopped,
                _ => Outcome::Refused,
            };
            self.close(now, ix, outcome);
            return;
        }
        if let Some(attempt) = self.attempts.get_mut(ix) {
            attempt.seen = Some(state);
            if state == TaskState::Running && attempt.running_since.is_none() {
                attempt.running_since = Some(now);
            }
        }
    }

    /// An open attempt that its machine's newest report does not list.
    fn missing(&mut self, now: Millis, ix: AttemptIx, report: &Report) {
        let Some(attempt) = self.attempts.get_mut(ix) else {
            return;
        };
        if attempt.session < report.session {
            // The worker forgot all tasks of its earlier sessions.
            self.close(now, ix, Outcome::Lost);
            return;
        }
        attempt.seen = None;
        attempt.running_since = None;
        if attempt.stop.is_none() || !attempt.written {
            return;
        }
        // Not wanted, and not there: over only if no start for it can still
        // arrive, neither in an answer nor sent directly.
        let answer_dead = attempt.start_sent.is_none_or(|sent| now > sent + ANSWER_LIFE_MS);
        let Some(machine) = self.machines.get(attempt.machine) else {
            return;
        };
        let in_flight = machine.push.in_flight && machine.push.starts;
        let doubtful = in_flight || (machine.doubt > 0 && machine.doubt >= report.token);
        if answer_dead && !doubtful {
            self.withdraw_record(now, ix);
        } else if answer_dead && machine.doubt >= self.term {
            // Starts of earlier terms are withdrawn already, once the worker
            // sees ours; only one of our own term calls for a higher.
            self.withdraw = true;
        }
    }

    /// This attempt never starts. Its record must go before its room is given to
    /// another; an ended job's records start nothing.
    fn withdraw_record(&mut self, now: Millis, ix: AttemptIx) {
        let Some(attempt) = self.attempts.get_mut(ix) else {
            return;
        };
        match self.jobs.get(attempt.job).filter(|job| job.ended.is_none()) {
            None => self.close(now, ix, Outcome::Lost),
            Some(job) if !attempt.withdrawn => {
                attempt.withdrawn = true;
                let number = job.chunk_of(attempt.task, self.chunk_tasks) as u32;
                self.ledger.starts.insert(ChunkId {
                    job: attempt.job,
                    number,
                });
            }
            Some(_) => {}
        }
    }

    /// Everything that a machine should be told now, in order.
    pub fn commands(&mut self, now: Millis, ix: MachineIx) -> Vec<Command> {
        let Some(machine) = self.machines.get(ix) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        let forget_safe = machine.doubt < self.term && !(machine.push.in_flight && machine.push.starts);
        for stray in &machine.strays {
            let (task, attempt) = (stray.task.clone(), stray.attempt);
            if stray.state != TaskState::Exited {
                commands.push(Command::Stop {
                    task,
                    attempt,
                    grace_s: 0.0,
                });
            } else if forget_safe && self.outcome_written(&stray.task) {
                commands.push(Command::Forget { task, attempt });
            }
        }
        for &open in &machine.open {
            let Some(attempt) = self.attempts.get_mut(open) else {
                continue;
            };
            if !attempt.written || attempt.session != machine.session {
                continue;
            }
            let Some(job) = self.jobs.get(attempt.job) else {
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
        let Some(job) = self.jobs.find(job).and_then(|ix| self.jobs.get(ix)) else {
            return true;
        };
        if job.ended.is_some() {
            return true;
        }
        let chunk = job.chunk_of(number, self.chunk_tasks);
        !job.complete() && job.chunks.get(chunk).is_none_or(|chunk| chunk.written())
    }

    /// Closes everything on machines whose worker's lease has surely lapsed.
    pub fn close_lapsed(&mut self, now: Millis) {
        for ix in self.machines.indices() {
            let Some(machine) = self.machines.get(ix) else {
                continue;
            };
            if machine.open.is_empty() || now <= machine.answered_at + self.lapse_ms {
                continue;
            }
            let session = machine.session;
            for attempt in machine.open.clone() {
                if self.attempts.get(attempt).is_some_and(|a| a.session <= session) {
                    self.close(now, attempt, Outcome::Lost);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
