//! Commands to workers, derived each time from the machine's open attempts and its newest
//! report.

use super::{Attempt, Machine, Workers, parse_task_name, task_name};
use crate::Millis;
use crate::ids::MachineIx;
use crate::pipeline::Jobs;
use crate::wire::{Command, TaskState};

/// Maximum number of commands in one message to a worker; the rest follow in the next one.
const MAX_COMMANDS_PER_MESSAGE: usize = 400;

/// Number of unmatched tasks in a machine's report, almost all of them exited, from which on its
/// fencing token rises although a direct call is in flight. This bounds the size of reports.
const MAX_LISTED_EXITED_TASKS: usize = 40;

impl Workers {
    /// Returns the commands that a machine's worker should receive now, in order.
    pub fn commands(&self, now: Millis, term: u64, ix: MachineIx, jobs: &Jobs) -> Vec<Command> {
        let Some(machine) = self.machines.get(ix) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        machine.push_unmatched_commands(now, machine.tokens.current(term), jobs, &mut commands);
        for &open in &machine.open {
            let Some(attempt) = self.attempts.get(open) else {
                continue;
            };
            if !attempt.record.is_written() || attempt.agent_epoch != machine.agent_epoch {
                continue;
            }
            let Some(job) = jobs.table.get(attempt.job) else {
                continue;
            };
            commands.extend(command_for(&job.id, attempt));
        }
        // Stop commands come first, so that the limit never delays them.
        commands.sort_by_key(|command| !matches!(command, Command::Stop { .. }));
        commands.truncate(MAX_COMMANDS_PER_MESSAGE);
        commands
    }

    /// Returns the commands for a direct call, and records the start commands among them.
    pub fn commands_for_direct_call(&mut self, now: Millis, term: u64, ix: MachineIx, jobs: &Jobs) -> Vec<Command> {
        let commands = self.commands(now, term, ix, jobs);
        let has_starts = commands.iter().any(|command| matches!(command, Command::Start { .. }));
        if has_starts && let Some(machine) = self.machines.get_mut(ix) {
            let fencing_token = machine.tokens.current(term);
            machine.tokens.note_direct_start(fencing_token);
            for &open in &machine.open {
                if let Some(attempt) = self.attempts.get_mut(open).filter(|attempt| attempt.is_start_due()) {
                    attempt.direct_start_token = Some(fencing_token);
                }
            }
        }
        commands
    }

    /// Returns the commands for the answer to a report, and records the start commands among them
    /// and which effects the next report must show.
    pub fn commands_for_answer(&mut self, now: Millis, term: u64, ix: MachineIx, jobs: &Jobs) -> Vec<Command> {
        self.raise_token_if_needed(term, ix, jobs);
        let commands = self.commands(now, term, ix, jobs);
        let Some(machine) = self.machines.get_mut(ix) else {
            return commands;
        };
        machine.answered_at = now;
        machine
            .answered_starts
            .record(now, machine.tokens.current(term), &commands);
        machine.expects_effect = machine.tokens.seen() < term;
        for &open in &machine.open {
            if let Some(attempt) = self.attempts.get_mut(open) {
                attempt.start_in_last_answer = attempt.is_start_due();
                machine.expects_effect |= attempt.start_in_last_answer;
            }
        }
        // A machine that missed answers also gets a direct command: if this answer calls for
        // no visible effect, no later report can reset the count of missed answers.
        if machine.missed_answers == 0 {
            self.delivery_due.remove(&ix);
        }
        commands
    }

    /// Raises a machine's fencing token before an answer to its report, if a direct start that may
    /// be executed again keeps an exited task listed or an unwanted attempt open.
    fn raise_token_if_needed(&mut self, term: u64, ix: MachineIx, jobs: &Jobs) {
        let Some(machine) = self.machines.get_mut(ix) else {
            return;
        };
        let fencing_token = machine.tokens.current(term);
        let unwanted_may_start = machine.open.iter().any(|&open| {
            let attempt = self.attempts.get(open);
            attempt
                .is_some_and(|attempt| attempt.is_unwanted_and_unseen() && attempt.may_be_started_after(fencing_token))
        });
        let is_needed = unwanted_may_start || machine.forgettable_may_start_after(fencing_token, jobs);
        if !is_needed || !machine.may_raise_token() {
            return;
        }
        if machine.tokens.raise(term) {
            self.tokens_raised += 1;
        } else {
            self.needs_higher_term = true;
        }
    }
}

impl Machine {
    /// Whether an exited task that the worker could forget otherwise may be started again after a
    /// command that carries this fencing token.
    fn forgettable_may_start_after(&self, fencing_token: u64, jobs: &Jobs) -> bool {
        let mut exited = self
            .unmatched_tasks
            .iter()
            .filter(|unmatched| unmatched.state == TaskState::Exited);
        self.tokens.may_be_started_after(fencing_token) && exited.any(|task| is_outcome_written(jobs, &task.task))
    }

    /// Whether the worker's fencing token may rise now. It would refuse a direct call in flight, whose
    /// starts would then wait for the next one. That is accepted once many exited tasks are listed.
    fn may_raise_token(&self) -> bool {
        !self.delivery.in_flight || self.unmatched_tasks.len() >= MAX_LISTED_EXITED_TASKS
    }

    /// Adds the commands for tasks that have exited or that match no open attempt: stop
    /// commands for running ones, and forget commands for exited ones once that is safe.
    fn push_unmatched_commands(&self, now: Millis, fencing_token: u64, jobs: &Jobs, commands: &mut Vec<Command>) {
        let may_be_started_directly = self.tokens.may_be_started_after(fencing_token);
        for unmatched in &self.unmatched_tasks {
            let (task, attempt) = (unmatched.task.clone(), unmatched.attempt);
            // A start command that is executed after the worker forgot the attempt would run it
            // again. The worker refuses those with a lower token than that of the forget command.
            let may_start_again =
                may_be_started_directly || self.answered_starts.may_be_executed(&task, attempt, now, fencing_token);
            if unmatched.state != TaskState::Exited {
                commands.push(Command::Stop {
                    task,
                    attempt,
                    grace_s: 0.0,
                });
            } else if !may_start_again && is_outcome_written(jobs, &unmatched.task) {
                commands.push(Command::Forget { task, attempt });
            }
        }
    }
}

/// Returns the command to send for an open attempt, if it needs one.
pub fn command_for(job: &str, attempt: &Attempt) -> Option<Command> {
    let task = task_name(job, attempt.task);
    match (attempt.observed_state, attempt.stop_grace_s) {
        (None, None) => Some(Command::Start {
            task,
            attempt: attempt.number,
        }),
        // The attempt is not listed and no longer wanted. Nothing is sent until a report
        // lists it or proves that it never starts.
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

/// Whether everything about this task is written to the state service, so that the worker
/// may forget how its attempt ended.
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
    let chunk = job.chunk_index_of(number, jobs.tasks_per_chunk);
    !job.is_complete() && job.chunks.get(chunk).is_none_or(|chunk| chunk.is_written())
}
