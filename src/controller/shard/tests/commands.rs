//! Commands sent to workers.

use super::worker_fixture::*;
use crate::wire::{Command, ExitReason, TaskReport, TaskState};
use crate::workers::{MAX_LISTED_EXITED_TASKS, ReportPath};

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
    // The worker must not forget the task while an unanswered start command may still start it
    // again.
    machine_of_mut(&mut shard, machine).unconfirmed_start_term = 5;
    assert!(shard.commands(10, machine).is_empty());
}

/// Guards against reports that grow until the end of the term: a worker can't forget exited tasks
/// while a start command of the term may still arrive.
#[test]
fn an_unconfirmed_start_does_not_let_reports_grow_without_bound() {
    let (mut shard, machine) = shard_with_worker();
    machine_of_mut(&mut shard, machine).unconfirmed_start_term = 5;
    let exited = |number: usize| TaskReport {
        task: format!("j-7/{number}"),
        ..task_report(TaskState::Exited, Some(ExitReason::Done))
    };
    let few = (0..MAX_LISTED_EXITED_TASKS - 1).map(exited).collect();
    shard.merge_report(10, &report(1, 2, 5, few), ReportPath::Heartbeat);
    assert!(!shard.workers.needs_higher_term);
    let many = (0..MAX_LISTED_EXITED_TASKS).map(exited).collect();
    shard.merge_report(20, &report(1, 3, 5, many), ReportPath::Heartbeat);
    assert!(shard.workers.needs_higher_term);
    shard.term = 6;
    let forgets = shard.commands(30, machine).into_iter();
    assert_eq!(
        forgets.filter(|c| matches!(c, Command::Forget { .. })).count(),
        MAX_LISTED_EXITED_TASKS
    );
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
