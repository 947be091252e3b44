//! Workers that answers and commands do not seem to reach.

use super::worker_fixture::*;
use crate::wire::TaskState;
use crate::workers::ReportPath;

/// Guards against giving tasks for ever to a machine whose reports arrive
/// while answers and commands don't reach it.
#[test]
fn a_machine_that_no_answer_reaches_is_cordoned_and_decommissioned() {
    let (mut shard, machine) = shard();
    let mut decommissioned_after = None;
    for seq in 2..12 {
        let now = seq * 5_000;
        shard.merge_report(now, &report(1, seq, 5, Vec::new()), ReportPath::Heartbeat);
        shard.answer_commands(now, machine);
        shard.plan_fleet(now);
        let missed_answers = machine_of(&shard, machine).missed_answers;
        assert_eq!(usable(&shard, machine, now), missed_answers < 2);
        if machine_of(&shard, machine).decommissioned {
            decommissioned_after.get_or_insert(seq - 2);
        }
    }
    assert_eq!(decommissioned_after, Some(4));
    // What was started there is proven over by other means only.
    assert_eq!(open(&shard), 1);
}

/// Guards against tasks for machines that hang or are cut off: they waited
/// there until the lease had expired (zone days of the fleet deployments).
#[test]
fn a_machine_late_with_its_report_or_an_answer_gets_nothing_new() {
    let (mut shard, machine) = shard();
    shard.merge_report(0, &report(1, 2, 5, Vec::new()), ReportPath::Heartbeat);
    let due = machine_of(&shard, machine).report_due;
    assert!(due > crate::millis(shard.workers.report_s * 1.25));
    assert!(usable(&shard, machine, due));
    assert!(!usable(&shard, machine, due + 1));
    machine_of_mut(&mut shard, machine).has_unanswered_command = true;
    assert!(!usable(&shard, machine, 10));
    shard.merge_report(20, &report(1, 3, 5, Vec::new()), ReportPath::Heartbeat);
    assert!(usable(&shard, machine, 20));
}

#[test]
fn one_lost_answer_is_made_up_for_by_the_next_sign() {
    let (mut shard, machine) = shard();
    shard.answer_commands(0, machine);
    shard.merge_report(5_000, &report(1, 2, 5, Vec::new()), ReportPath::Heartbeat);
    assert_eq!(machine_of(&shard, machine).missed_answers, 1);
    shard.answer_commands(5_000, machine);
    shard.merge_report(
        10_000,
        &report(1, 3, 5, vec![task(TaskState::Fetching, None)]),
        ReportPath::Heartbeat,
    );
    assert_eq!(machine_of(&shard, machine).missed_answers, 0);
}

/// Guards against an idle machine that rests for ever: its lease had run out soon
/// after an answer, nothing was expected of it any more, and the question that
/// would have cleared it was dropped with every answer (drawn meetings, seed 216).
#[test]
fn a_machine_whose_lease_ran_out_is_asked_directly_and_used_again() {
    let (mut shard, machine) = shard();
    shard.merge_report(10, &report(2, 1, 5, Vec::new()), ReportPath::Heartbeat);
    assert!(!machine_of(&shard, machine).usable(10));
    shard.answer_commands(10, machine);
    assert!(shard.workers.delivery_due.contains(&machine));
    shard.merge_report(20, &report(2, 2, 5, Vec::new()), ReportPath::CommandReply);
    assert!(machine_of(&shard, machine).usable(20));
    shard.answer_commands(30, machine);
    assert!(!shard.workers.delivery_due.contains(&machine));
}
