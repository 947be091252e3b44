//! Workers that don't receive answers and commands.

use super::worker_fixture::*;
use crate::wire::TaskState;
use crate::workers::ReportPath;

/// Guards against placing tasks indefinitely on a machine whose reports arrive, but which neither
/// answers nor commands reach.
#[test]
fn a_machine_that_no_answer_reaches_is_cordoned_and_decommissioned() {
    let (mut shard, machine) = shard_with_worker();
    let mut decommissioned_after = None;
    for seq in 2..12 {
        let now = seq * 5_000;
        shard.merge_report(now, &report(1, seq, 5, Vec::new()), ReportPath::Heartbeat);
        shard.commands_for_answer(now, machine);
        shard.plan_fleet(now);
        let missed_answers = machine_of(&shard, machine).missed_answers;
        assert_eq!(usable(&shard, machine, now), missed_answers < 2);
        if machine_of(&shard, machine).decommissioned {
            decommissioned_after.get_or_insert(seq - 2);
        }
    }
    assert_eq!(decommissioned_after, Some(4));
    // Decommissioning alone does not prove that the task on the machine has ended.
    assert_eq!(open_attempt_count(&shard), 1);
}

/// Guards against placing tasks on machines that hang or are disconnected. The tasks waited there
/// until the worker's lease expired, as seen in fleet deployments with zone outages.
#[test]
fn a_machine_with_an_overdue_report_or_an_unanswered_command_gets_no_new_tasks() {
    let (mut shard, machine) = shard_with_worker();
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
fn a_report_that_shows_the_expected_effect_resets_the_missed_answers() {
    let (mut shard, machine) = shard_with_worker();
    shard.commands_for_answer(0, machine);
    shard.merge_report(5_000, &report(1, 2, 5, Vec::new()), ReportPath::Heartbeat);
    assert_eq!(machine_of(&shard, machine).missed_answers, 1);
    shard.commands_for_answer(5_000, machine);
    shard.merge_report(
        10_000,
        &report(1, 3, 5, vec![task_report(TaskState::Fetching, None)]),
        ReportPath::Heartbeat,
    );
    assert_eq!(machine_of(&shard, machine).missed_answers, 0);
}

/// Guards against a machine that stays idle forever. Its lease expired soon after an answer, so no
/// later report had to show an effect, and every answer dropped the direct command whose reply
/// would have reset the missed answers (random faults of `meetings`, seed 216).
#[test]
fn a_machine_whose_lease_expired_is_contacted_directly_and_used_again() {
    let (mut shard, machine) = shard_with_worker();
    shard.merge_report(10, &report(2, 1, 5, Vec::new()), ReportPath::Heartbeat);
    assert!(!machine_of(&shard, machine).usable(10));
    shard.commands_for_answer(10, machine);
    assert!(shard.workers.delivery_due.contains(&machine));
    shard.merge_report(
        20,
        &report(2, 2, 5, Vec::new()),
        ReportPath::CommandReply { commands_sent_at: 20 },
    );
    assert!(machine_of(&shard, machine).usable(20));
    shard.commands_for_answer(30, machine);
    assert!(!shard.workers.delivery_due.contains(&machine));
}
