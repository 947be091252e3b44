use super::{Outcome, command_for, split_task};
use crate::Millis;
use crate::controller::Share;
use crate::ids::Ix;
use crate::wire::{Command, Report, TaskState, Why};

/// A worker drops a report's answer after 4 s; a command in it is then dead.
const ANSWER_LIFE_MS: Millis = 4_500;

/// What became of a report.
#[derive(Debug, PartialEq, Eq)]
pub enum Merged {
    /// The newest of its machine.
    New(Ix),
    /// Older than one already merged: its task list means nothing now.
    Old,
    /// Its worker has seen a token above ours: somebody else is the owner.
    Outranked,
    /// From a machine already deleted.
    Gone,
}

impl Share {
    /// Merges a report, whether it came by itself or answered direct commands.
    pub fn merge_report(&mut self, now: Millis, report: &Report) -> Merged {
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
            None => self.add_machine(now, &report.machine, &report.machine_type, &report.zone, report.spot),
        };
        let Some(machine) = self.machines.get_mut(ix) else {
            return Merged::Gone;
        };
        if (report.session, report.seq) <= (machine.session, machine.seq) {
            return Merged::Old;
        }
        let new_session = report.session > machine.session;
        if machine.address.as_deref() != Some(report.address.as_str()) {
            machine.address = Some(report.address.clone());
            machine.roster_dirty = true;
        }
        if machine.roster_dirty {
            self.ledger.machines.insert(ix);
        }
        machine.session = report.session;
        machine.seq = report.seq;
        machine.token = machine.token.max(report.token);
        if machine.heard_at.is_none() {
            machine.idle_since = now;
        }
        machine.heard_at = Some(now);
        machine.taken_at = report.notice_s.map(|left| now + crate::millis(left));
        if new_session {
            machine.doubt = 0;
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
            match found {
                Some(attempt) => {
                    listed.push(attempt);
                    self.see(now, attempt, task.state, task.why);
                }
                None => {
                    if let Some(machine) = self.machines.get_mut(ix) {
                        machine.strays.push(task.clone());
                    }
                }
            }
        }
        for attempt in open {
            if !listed.contains(&attempt) {
                self.missing(now, attempt, report);
            }
        }
        Merged::New(ix)
    }

    fn see(&mut self, now: Millis, ix: Ix, state: TaskState, why: Option<Why>) {
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
    fn missing(&mut self, now: Millis, ix: Ix, report: &Report) {
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
            self.close(now, ix, Outcome::Lost);
        } else if doubtful && answer_dead {
            self.withdraw = true;
        }
    }

    /// Everything that a machine should be told now, in order.
    pub fn commands(&mut self, now: Millis, ix: Ix) -> Vec<Command> {
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
