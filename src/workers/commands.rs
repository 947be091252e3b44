//! What a machine is told: derived anew each time from what is open on it and from
//! what its newest report lists.

use super::{Attempt, Machine, Workers, parse_task_name, task_name};
use crate::Millis;
use crate::ids::MachineIx;
use crate::pipeline::Jobs;
use crate::wire::{Command, TaskState};

/// Commands in one answer at most; the rest follow in the next.
const MAX_COMMANDS: usize = 400;

impl Workers {
    /// Everything that a machine should be told now, in order.
    pub fn commands(&mut self, now: Millis, term: u64, ix: MachineIx, jobs: &Jobs) -> Vec<Command> {
        let Some(machine) = self.machines.get(ix) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        machine.push_unmatched_commands(term, jobs, &mut commands);
        for &open in &machine.open {
            let Some(attempt) = self.attempts.get_mut(open) else {
                continue;
            };
            if !attempt.record.is_written() || attempt.agent_epoch != machine.agent_epoch {
                continue;
            }
            let Some(job) = jobs.table.get(attempt.job) else {
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
        commands.truncate(MAX_COMMANDS);
        commands
    }

    /// What a report is answered with, and so what the next one must show.
    pub fn answer_commands(&mut self, now: Millis, term: u64, ix: MachineIx, jobs: &Jobs) -> Vec<Command> {
        let commands = self.commands(now, term, ix, jobs);
        let Some(machine) = self.machines.get_mut(ix) else {
            return commands;
        };
        machine.answered_at = now;
        machine.expects_effect = machine.fencing_token < term;
        for &open in &machine.open {
            if let Some(attempt) = self.attempts.get_mut(open) {
                attempt.start_answered = attempt.is_start_due();
                machine.expects_effect |= attempt.start_answered;
            }
        }
        // A machine whose last answers seem to be lost is sent a direct command as well:
        // where no effect is expected, no report could ever clear the suspicion.
        if machine.missed_answers == 0 {
            self.delivery_due.remove(&ix);
        }
        commands
    }
}

impl Machine {
    /// For the tasks that no open attempt stands for: those that run are stopped, and
    /// those that ended are forgotten once that is safe.
    fn push_unmatched_commands(&self, term: u64, jobs: &Jobs, commands: &mut Vec<Command>) {
        // A start that arrives after the worker forgot its attempt would run it again.
        let forget_safe = !self.has_unconfirmed_start_of(term) && !self.delivery.has_starts_in_flight();
        for unmatched in &self.unmatched_tasks {
            let (task, attempt) = (unmatched.task.clone(), unmatched.attempt);
            if unmatched.state != TaskState::Exited {
                commands.push(Command::Stop {
                    task,
                    attempt,
                    grace_s: 0.0,
                });
            } else if forget_safe && is_outcome_written(jobs, &unmatched.task) {
                commands.push(Command::Forget { task, attempt });
            }
        }
    }
}

/// The command that an open attempt calls for, if any.
pub fn command_for(job: &str, attempt: &Attempt) -> Option<Command> {
    let task = task_name(job, attempt.task);
    match (attempt.observed_state, attempt.stop_grace_s) {
        (None, None) => Some(Command::Start {
            task,
            attempt: attempt.number,
        }),
        // Not yet seen and not wanted any more: nothing is sent until it shows
        // up or is proven never to start.
        (None, Some(_)) => None,
        (Some(TaskState::Saving), Some(grace_s)) if grace_s > 0.0 => None,
        (Some(_), Some(grace_s)) => Some(Command::Stop {
            task,
            attempt: attempt.number,
            grace_s,
        }),
        (Some(_), None) => None,
    }
}

/// Nothing about this task waits to be written, so that the worker may
/// forget how its attempt ended.
fn is_outcome_written(jobs: &Jobs, task: &str) -> bool {
    let Some((job, number)) = parse_task_name(task) else {
        return true;
    };
    let Some(job) = jobs.table.find(job).and_then(|ix| jobs.table.get(ix)) else {
        return true;
    };
    if job.ended.is_some() {
        return true;
    }
    let chunk = job.chunk_of(number, jobs.chunk_tasks);
    !job.is_complete() && job.chunks.get(chunk).is_none_or(|chunk| chunk.is_written())
}
