//! Commands sent to workers.

use super::worker_fixture::*;
use crate::controller::Shard;
use crate::fencing::last_token;
use crate::ids::MachineIx;
use crate::wire::{Command, ExitReason, TaskReport, TaskState};
use crate::workers::ReportPath;

#[test]
fn a_worker_may_forget_an_exited_task_only_once_its_outcome_is_written() {
    let (mut shard, machine) = shard_with_worker();
    let exited = vec![task_report(TaskState::Exited, Some(ExitReason::Error))];
    shard.merge_report(10, &report(1, 2, 5, exited.clone()), ReportPath::Heartbeat);
    shard.merge_report(10, &report(1, 3, 5, exited), ReportPath::Heartbeat);
    assert!(shard.commands(10, machine).is_empty());
    let ix = shard.jobs.table.find("j-1").expect("known job");
    shard.jobs.table.get_mut(ix).expect("known job").chunks[0].discard_changes();
    assert!(matches!(shard.commands(10, machine)[..], [Command::Forget { .. }]));
    // The worker must not forget the task under the fencing token of a direct start command, answered
    // or not, which may start it again.
    machine_of_mut(&mut shard, machine).tokens.note_direct_start(5);
    assert!(shard.commands(10, machine).is_empty());
    let answer = shard.commands_for_answer(10, machine);
    assert!(matches!(answer[..], [Command::Forget { .. }]));
    assert_eq!(shard.fencing_token_of("host-1"), 6);
}

/// Returns a shard whose worker was given a start command in the answer to a report at 1,000 ms.
/// The reply to direct commands that were sent 100 ms later shows that the attempt has failed.
fn shard_with_a_failed_attempt_and_its_start_in_an_answer() -> (Shard, MachineIx) {
    let (mut shard, machine) = shard_with_worker();
    let answer = shard.commands_for_answer(1_000, machine);
    assert!(matches!(answer[..], [Command::Start { .. }]));
    let failed = vec![task_report(TaskState::Exited, Some(ExitReason::Error))];
    let path = ReportPath::CommandReply {
        commands_sent_at: 1_100,
    };
    shard.merge_report(1_200, &report(1, 2, 5, failed), path);
    let job = shard.jobs.table.find("j-1").expect("known job");
    shard.jobs.table.get_mut(job).expect("known job").chunks[0].discard_changes();
    (shard, machine)
}

/// Guards against a task that runs on two machines. An attempt that was started directly failed
/// and was forgotten, while the answer to a report with the same start command was held up: the
/// answer started it again beside its successor (see docs/incidents/start-in-a-late-answer.md).
#[test]
fn an_exited_attempt_is_not_forgotten_while_a_late_answer_may_start_it_again() {
    let (shard, machine) = shard_with_a_failed_attempt_and_its_start_in_an_answer();
    assert_eq!(open_attempt_count(&shard), 0);
    assert!(shard.commands(1_300, machine).is_empty());
    assert!(shard.commands(5_500, machine).is_empty());
    // The worker drops the answer to a report after 4 s.
    assert!(matches!(shard.commands(5_501, machine)[..], [Command::Forget { .. }]));
}

/// Guards against reports that list exited tasks for longer than needed.
#[test]
fn an_exited_attempt_is_forgotten_once_no_answer_can_start_it_again() {
    // The worker has one report in flight, so it has settled the answer to the earlier one.
    let (mut shard, machine) = shard_with_a_failed_attempt_and_its_start_in_an_answer();
    let failed = vec![task_report(TaskState::Exited, Some(ExitReason::Error))];
    shard.merge_report(1_300, &report(1, 3, 5, failed), ReportPath::Heartbeat);
    let commands = shard.commands_for_answer(1_300, machine);
    assert!(matches!(commands[..], [Command::Forget { .. }]));
    // The forget command carries the higher fencing token, with which the worker drops the answer.
    let (mut shard, machine) = shard_with_a_failed_attempt_and_its_start_in_an_answer();
    shard.term = 6;
    assert!(matches!(shard.commands(1_300, machine)[..], [Command::Forget { .. }]));
}

/// The number of exited tasks that a machine lists at most while direct calls are in flight all the time.
const MAX_LISTED_EXITED_TASKS: usize = 40;

/// Merges a report of the worker that lists this many exited tasks, and returns the number of forget
/// commands in the answer to it.
fn forgets_in_answer(shard: &mut Shard, machine: MachineIx, seq: u64, exited_tasks: usize) -> usize {
    let exited = |number: usize| TaskReport {
        task: format!("j-7/{number}"),
        ..task_report(TaskState::Exited, Some(ExitReason::Done))
    };
    let tasks = (0..exited_tasks).map(exited).collect();
    shard.merge_report(10 * seq, &report(1, seq, 5, tasks), ReportPath::Heartbeat);
    let answer = shard.commands_for_answer(10 * seq, machine).into_iter();
    answer.filter(|c| matches!(c, Command::Forget { .. })).count()
}

/// Guards against reports that grow because nothing is forgotten under the token of a direct start.
#[test]
fn direct_starts_do_not_let_reports_grow_without_bound() {
    let (mut shard, machine) = shard_with_worker();
    machine_of_mut(&mut shard, machine).tokens.note_direct_start(5);
    assert_eq!(forgets_in_answer(&mut shard, machine, 2, 1), 1);
    // The worker refuses a call in flight if its token rises meanwhile.
    machine_of_mut(&mut shard, machine).tokens.note_direct_start(6);
    machine_of_mut(&mut shard, machine).delivery.in_flight = true;
    assert_eq!(
        forgets_in_answer(&mut shard, machine, 3, MAX_LISTED_EXITED_TASKS - 1),
        0
    );
    assert_eq!(
        forgets_in_answer(&mut shard, machine, 4, MAX_LISTED_EXITED_TASKS),
        MAX_LISTED_EXITED_TASKS
    );
    assert!(!shard.workers.needs_higher_term);
}

/// Guards against a token of the next leader's range, and against a machine that forgets nothing any more.
#[test]
fn a_machine_that_has_used_up_the_tokens_of_a_term_requests_a_higher_term() {
    let (mut shard, machine) = shard_with_worker();
    let last = last_token(5);
    machine_of_mut(&mut shard, machine).tokens.note_seen(last);
    machine_of_mut(&mut shard, machine).tokens.note_direct_start(last);
    assert_eq!(forgets_in_answer(&mut shard, machine, 2, 1), 0);
    assert!(shard.workers.needs_higher_term);
    assert_eq!(shard.fencing_token_of("host-1"), last);
    shard.term = last + 1;
    assert_eq!(forgets_in_answer(&mut shard, machine, 3, 1), 1);
}

/// Guards against a stop command that is never sent because too many other commands precede it.
#[test]
fn stop_commands_precede_all_others() {
    let (mut shard, machine) = shard_with_worker();
    let mut tasks: Vec<TaskReport> = (0..500)
        .map(|number| TaskReport {
            task: format!("j-7/{number}"),
            ..task_report(TaskState::Exited, Some(ExitReason::Done))
        })
        .collect();
    tasks.push(TaskReport {
        task: "j-8/0".into(),
        ..task_report(TaskState::Running, None)
    });
    shard.merge_report(10, &report(1, 2, 5, tasks), ReportPath::Heartbeat);
    let commands = shard.commands(20, machine);
    assert!(matches!(&commands[0], Command::Stop { task, .. } if task == "j-8/0"));
}
