//! What machines are told.

use super::worker_fixture::*;
use crate::wire::{Command, ExitReason, TaskReport, TaskState};
use crate::workers::{MAX_LISTED_EXITED_TASKS, ReportPath};

#[test]
fn an_end_is_forgotten_only_once_it_is_written() {
    let (mut shard, machine) = shard();
    let over = vec![task(TaskState::Exited, Some(ExitReason::Error))];
    shard.merge_report(10, &report(1, 2, 5, over.clone()), ReportPath::Heartbeat);
    shard.merge_report(10, &report(1, 3, 5, over), ReportPath::Heartbeat);
    assert!(shard.commands(10, machine).is_empty());
    let ix = shard.jobs.table.find("j-1").expect("known");
    shard.jobs.table.get_mut(ix).expect("there").chunks[0].discard_changes();
    assert!(matches!(shard.commands(10, machine)[..], [Command::Forget { .. }]));
    // Not while a start that went unanswered may still bring it back.
    machine_of_mut(&mut shard, machine).unconfirmed_start_term = 5;
    assert!(shard.commands(10, machine).is_empty());
}

/// Guards against reports that grow for as long as a term lasts: while a start
/// of it may still arrive, no ended task can be forgotten.
#[test]
fn a_start_in_doubt_does_not_let_reports_grow_for_ever() {
    let (mut shard, machine) = shard();
    machine_of_mut(&mut shard, machine).unconfirmed_start_term = 5;
    let ended = |number: usize| TaskReport {
        task: format!("j-7/{number}"),
        ..task(TaskState::Exited, Some(ExitReason::Done))
    };
    let few = (0..MAX_LISTED_EXITED_TASKS - 1).map(ended).collect();
    shard.merge_report(10, &report(1, 2, 5, few), ReportPath::Heartbeat);
    assert!(!shard.workers.needs_higher_term);
    let many = (0..MAX_LISTED_EXITED_TASKS).map(ended).collect();
    shard.merge_report(20, &report(1, 3, 5, many), ReportPath::Heartbeat);
    assert!(shard.workers.needs_higher_term);
    shard.term = 6;
    let forgets = shard.commands(30, machine).into_iter();
    assert_eq!(
        forgets.filter(|c| matches!(c, Command::Forget { .. })).count(),
        MAX_LISTED_EXITED_TASKS
    );
}

/// Guards against a stop that is dropped for good behind many other commands.
#[test]
fn stops_go_before_all_other_commands() {
    let (mut shard, machine) = shard();
    let mut tasks: Vec<TaskReport> = (0..500)
        .map(|number| TaskReport {
            task: format!("j-7/{number}"),
            ..task(TaskState::Exited, Some(ExitReason::Done))
        })
        .collect();
    tasks.push(TaskReport {
        task: "j-8/0".into(),
        ..task(TaskState::Running, None)
    });
    shard.merge_report(10, &report(1, 2, 5, tasks), ReportPath::Heartbeat);
    let commands = shard.commands(20, machine);
    assert!(matches!(&commands[0], Command::Stop { task, .. } if task == "j-8/0"));
}
