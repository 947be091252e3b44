use super::*;
use crate::controller::shard_with;
use crate::store::Keys;
use crate::wire::{Change, Condition, TaskReport};

const MINUTE: Millis = 60_000;

/// A shard of term 5 with one machine heard in agent epoch 1 and one job of a
/// single task placed and written there.
fn shard() -> (Shard, MachineIx) {
    shard_of(1)
}

fn shard_of(tasks: u32) -> (Shard, MachineIx) {
    let mut shard = shard_with(5, &[("small", 8.0)], tasks, false);
    shard.merge_report(0, &report(1, 1, 5, Vec::new()), ReportPath::CommandReply);
    let machine = shard.workers.machines.find("host-1").expect("known");
    let known = shard.workers.machines.get_mut(machine).expect("there");
    known.written = true;
    // The tests below jump ahead in time.
    known.report_due = Millis::MAX;
    shard.place(0);
    let attempt = shard.workers.machines.get(machine).expect("there").open[0];
    shard.workers.attempts.get_mut(attempt).expect("open").written = true;
    (shard, machine)
}

fn report(agent_epoch: u64, seq: u64, fencing_token: u64, tasks: Vec<TaskReport>) -> Report {
    Report {
        machine: "host-1".into(),
        address: "127.0.0.1:9".into(),
        machine_type: "small".into(),
        zone: "north".into(),
        spot: false,
        agent_epoch,
        seq,
        fencing_token,
        notice_s: None,
        tasks,
    }
}

fn task(state: TaskState, exit_reason: Option<ExitReason>) -> TaskReport {
    TaskReport {
        task: "j-1/0".into(),
        attempt: 1,
        state,
        exit_reason,
    }
}

fn open(shard: &Shard) -> usize {
    shard.workers.attempts.iter().count()
}

#[test]
fn absence_from_a_report_proves_nothing_while_a_start_may_arrive() {
    let (mut shard, machine) = shard();
    let attempt = shard.workers.machines.get(machine).expect("there").open[0];
    shard.workers.attempts.get_mut(attempt).expect("open").stop = Some(0.0);
    shard
        .workers
        .machines
        .get_mut(machine)
        .expect("there")
        .unconfirmed_start_term = 5;
    shard.merge_report(MINUTE, &report(1, 2, 5, Vec::new()), ReportPath::Heartbeat);
    assert_eq!(open(&shard), 1);
    assert!(shard.workers.needs_higher_term);
    // A higher fencing token seen by the worker withdraws whatever is on its way.
    shard.term = 6;
    shard.merge_report(MINUTE, &report(1, 3, 6, Vec::new()), ReportPath::Heartbeat);
    closes_once_its_record_is_gone(&mut shard);
}

/// The only attempt never starts. Guards against giving its room to others while
/// its record is still there: the leader ended just then, the next one started
/// both, and a team went beyond its limit (controllers that hand over and back,
/// seed 46).
fn closes_once_its_record_is_gone(shard: &mut Shard) {
    let keys = Keys::new("pool");
    let claim = Condition {
        key: keys.leader(),
        version: 1,
    };
    assert_eq!(open(shard), 1);
    let used = shard.jobs.team_quotas[0].used.cpus;
    assert!(used > 0.0 && shard.starts_wait());
    let written = shard
        .next_transaction(MINUTE, &keys, claim.clone(), 48, 48)
        .expect("due");
    let record = written.changes.iter().find_map(|change| match change {
        Change::Put { put, value, .. } if *put == keys.firing("j-1", 0) => Some(value["open"].clone()),
        _ => None,
    });
    assert_eq!(record, Some(serde_json::json!([])));
    // Not applied: considered again, and the room stays taken.
    shard.not_applied();
    assert_eq!((open(shard), shard.jobs.team_quotas[0].used.cpus), (1, used));
    shard.next_transaction(MINUTE, &keys, claim, 48, 48).expect("due again");
    assert_eq!((open(shard), shard.jobs.team_quotas[0].used.cpus), (1, used));
    shard.committed(MINUTE, &keys, 9);
    assert_eq!((open(shard), shard.jobs.team_quotas[0].used.cpus), (0, 0.0));
}

/// Guards against raising the term again and again after a take-over, each
/// time at the price of a fresh start.
#[test]
fn starts_of_earlier_terms_need_no_higher_term() {
    let (mut shard, machine) = shard();
    let attempt = shard.workers.machines.get(machine).expect("there").open[0];
    shard.workers.attempts.get_mut(attempt).expect("open").stop = Some(0.0);
    shard
        .workers
        .machines
        .get_mut(machine)
        .expect("there")
        .unconfirmed_start_term = 4;
    shard.merge_report(MINUTE, &report(1, 2, 4, Vec::new()), ReportPath::Heartbeat);
    assert_eq!(open(&shard), 1);
    assert!(!shard.workers.needs_higher_term);
    shard.merge_report(MINUTE, &report(1, 3, 5, Vec::new()), ReportPath::Heartbeat);
    assert!(!shard.workers.needs_higher_term);
    closes_once_its_record_is_gone(&mut shard);
}

#[test]
fn reports_are_ordered_by_session_and_sequence() {
    let (mut shard, _) = shard();
    shard.merge_report(
        10,
        &report(1, 5, 5, vec![task(TaskState::Running, None)]),
        ReportPath::Heartbeat,
    );
    let old = report(1, 4, 5, vec![task(TaskState::Exited, Some(ExitReason::Done))]);
    assert_eq!(shard.merge_report(20, &old, ReportPath::Heartbeat), Merged::Stale);
    assert_eq!(open(&shard), 1);
    assert_eq!(
        shard.merge_report(20, &report(1, 9, 7, Vec::new()), ReportPath::Heartbeat),
        Merged::Outranked
    );
    shard.merge_report(30, &report(2, 1, 5, Vec::new()), ReportPath::Heartbeat);
    assert_eq!(open(&shard), 0);
}

/// Guards against reckoning a new agent epoch's lease from the last answer to
/// the agent epoch before: its tasks were taken for lost while they ran.
#[test]
fn a_new_session_has_its_whole_lease() {
    let (mut shard, _) = shard();
    let late = shard.workers.lease_expiry_ms - 10;
    shard.merge_report(late, &report(2, 1, 5, Vec::new()), ReportPath::Heartbeat);
    shard.place(late);
    assert_eq!(open(&shard), 1);
    shard.close_expired(late + 1_000);
    assert_eq!(open(&shard), 1);
    shard.close_expired(late + shard.workers.lease_expiry_ms + 1);
    assert_eq!(open(&shard), 0);
}

#[test]
fn an_end_is_forgotten_only_once_it_is_written() {
    let (mut shard, machine) = shard();
    let over = vec![task(TaskState::Exited, Some(ExitReason::Error))];
    shard.merge_report(10, &report(1, 2, 5, over.clone()), ReportPath::Heartbeat);
    shard.merge_report(10, &report(1, 3, 5, over), ReportPath::Heartbeat);
    assert!(shard.commands(10, machine).is_empty());
    let ix = shard.jobs.table.find("j-1").expect("known");
    shard.jobs.table.get_mut(ix).expect("there").chunks[0].dirty = false;
    assert!(matches!(shard.commands(10, machine)[..], [Command::Forget { .. }]));
    // Not while a start that went unanswered may still bring it back.
    shard
        .workers
        .machines
        .get_mut(machine)
        .expect("there")
        .unconfirmed_start_term = 5;
    assert!(shard.commands(10, machine).is_empty());
}

fn usable(shard: &Shard, machine: MachineIx, now: Millis) -> bool {
    shard.workers.machines.get(machine).expect("there").usable(now)
}

/// Guards against late copies of reports: a new leader took a machine that was
/// gone for one in use, and placed tasks on it.
#[test]
fn only_a_report_of_this_term_shows_that_a_machine_is_there() {
    let (mut shard, machine) = shard();
    shard.workers.machines.get_mut(machine).expect("there").heard_at = None;
    shard.merge_report(10, &report(1, 2, 4, Vec::new()), ReportPath::Heartbeat);
    assert!(!usable(&shard, machine, 10));
    shard.merge_report(20, &report(1, 3, 5, Vec::new()), ReportPath::Heartbeat);
    assert!(usable(&shard, machine, 20));
}

/// Guards against bringing back a machine returned so long ago that it was
/// forgotten: a report alone, even of this term, does not put it in the
/// inventory, and machine requests don't count on it.
#[test]
fn a_machine_known_by_hearsay_counts_for_nothing() {
    let (mut shard, _) = shard();
    let copy = |seq| Report {
        machine: "host-9".into(),
        ..report(1, seq, 5, Vec::new())
    };
    shard.merge_report(10, &copy(7), ReportPath::Heartbeat);
    let ix = shard.workers.machines.find("host-9").expect("noted");
    assert_eq!(shard.workers.machines.get(ix).expect("there").group, None);
    assert!(!usable(&shard, ix, 10));
    // It is asked; its answer shows that it is there.
    assert!(shard.workers.delivery_due.contains(&ix));
    shard.merge_report(20, &copy(8), ReportPath::CommandReply);
    assert!(shard.workers.machines.get(ix).expect("there").group.is_some());
}

/// Guards against giving tasks for ever to a machine whose reports arrive
/// while answers and commands don't reach it.
#[test]
fn a_machine_that_no_answer_reaches_rests_and_is_given_up() {
    let (mut shard, machine) = shard();
    let mut condemned_after = None;
    for seq in 2..12 {
        let now = seq * 5_000;
        shard.merge_report(now, &report(1, seq, 5, Vec::new()), ReportPath::Heartbeat);
        shard.answer_commands(now, machine);
        shard.plan_fleet(now);
        let missed_answers = shard.workers.machines.get(machine).expect("there").missed_answers;
        assert_eq!(usable(&shard, machine, now), missed_answers < 2);
        if shard.workers.machines.get(machine).expect("there").decommissioned {
            condemned_after.get_or_insert(seq - 2);
        }
    }
    assert_eq!(condemned_after, Some(4));
    // What was started there is proven over by other means only.
    assert_eq!(open(&shard), 1);
}

/// Guards against tasks for machines that hang or are cut off: they waited
/// there until the lease had expired (zone days of the fleet deployments).
#[test]
fn a_machine_late_with_its_report_or_an_answer_gets_nothing_new() {
    let (mut shard, machine) = shard();
    shard.merge_report(0, &report(1, 2, 5, Vec::new()), ReportPath::Heartbeat);
    let due = shard.workers.machines.get(machine).expect("there").report_due;
    assert!(due > crate::millis(shard.workers.report_s * 1.25));
    assert!(usable(&shard, machine, due));
    assert!(!usable(&shard, machine, due + 1));
    shard
        .workers
        .machines
        .get_mut(machine)
        .expect("there")
        .has_unanswered_command = true;
    assert!(!usable(&shard, machine, 10));
    shard.merge_report(20, &report(1, 3, 5, Vec::new()), ReportPath::Heartbeat);
    assert!(usable(&shard, machine, 20));
}

#[test]
fn one_lost_answer_is_made_up_for_by_the_next_sign() {
    let (mut shard, machine) = shard();
    shard.answer_commands(0, machine);
    shard.merge_report(5_000, &report(1, 2, 5, Vec::new()), ReportPath::Heartbeat);
    assert_eq!(shard.workers.machines.get(machine).expect("there").missed_answers, 1);
    shard.answer_commands(5_000, machine);
    shard.merge_report(
        10_000,
        &report(1, 3, 5, vec![task(TaskState::Fetching, None)]),
        ReportPath::Heartbeat,
    );
    assert_eq!(shard.workers.machines.get(machine).expect("there").missed_answers, 0);
}

/// Guards against a start that arrives late, after a later attempt of the
/// same task ran on the same machine: the task ran once more, beyond its
/// team's limit (drawn troubles, seed 249).
#[test]
fn a_task_does_not_go_where_its_earlier_attempt_is_still_listed() {
    let (mut shard, machine) = shard();
    shard.merge_report(
        10,
        &report(1, 2, 5, vec![task(TaskState::Exited, Some(ExitReason::Stopped))]),
        ReportPath::Heartbeat,
    );
    assert_eq!(open(&shard), 0);
    shard.place(10);
    assert_eq!(open(&shard), 0);
    shard.merge_report(20, &report(1, 3, 5, Vec::new()), ReportPath::Heartbeat);
    let job = shard.jobs.table.find("j-1").expect("known");
    shard.jobs.table.get_mut(job).expect("there").failed_on.clear();
    shard.place(20);
    assert_eq!(shard.workers.machines.get(machine).expect("there").open.len(), 1);
}

/// Guards against a job that waited for ever beside an idle machine: the one that
/// held its image listed an earlier attempt, and was tried first every time
/// (jobs bound to a zone, seed 199).
#[test]
fn a_machine_that_lists_an_earlier_attempt_does_not_hide_the_others() {
    let mut shard = shard_with(5, &[("small", 8.0), ("small", 8.0)], 1, false);
    let stale = |name: &str, seq, tasks| Report {
        machine: name.into(),
        ..report(1, seq, 5, tasks)
    };
    for name in ["host-1", "host-2"] {
        shard.merge_report(0, &stale(name, 1, Vec::new()), ReportPath::CommandReply);
        let machine = shard.workers.machines.find(name).expect("known");
        let known = shard.workers.machines.get_mut(machine).expect("there");
        known.written = true;
        known.report_due = Millis::MAX;
    }
    let job = shard.jobs.table.find("j-1").expect("known");
    let image = shard.jobs.table.get(job).expect("there").image;
    let listing = shard.workers.machines.find("host-1").expect("known");
    shard
        .workers
        .machines
        .get_mut(listing)
        .expect("there")
        .touch(image, 1.0, 50.0);
    let ended = task(TaskState::Exited, Some(ExitReason::Stopped));
    shard.merge_report(10, &stale("host-1", 2, vec![ended]), ReportPath::Heartbeat);
    // Three machines that are long gone fill what it remembers.
    shard.jobs.table.get_mut(job).expect("there").failed_on = [90, 91, 92].map(MachineIx).to_vec();
    shard.place(20);
    let other = shard.workers.machines.find("host-2").expect("known");
    assert_eq!(shard.workers.machines.get(other).expect("there").open.len(), 1);
}

/// Guards against a job that keeps off the only machines that fit it: it had
/// failed on each while they were sick.
#[test]
fn a_job_goes_back_to_the_machines_it_failed_on_when_no_other_fits() {
    let (mut shard, machine) = shard();
    let attempt = shard.workers.machines.get(machine).expect("there").open[0];
    shard.close(0, attempt, Outcome::Error);
    for now in [6_000, 12_000] {
        shard.place(now);
        assert_eq!(open(&shard), 0);
    }
    shard.place(17_000);
    shard.place(17_500);
    assert_eq!(open(&shard), 1);
}

/// Guards against an idle machine that rests for ever: its lease had run out soon
/// after an answer, nothing was expected of it any more, and the question that
/// would have cleared it was dropped with every answer (drawn meetings, seed 216).
#[test]
fn a_machine_whose_lease_ran_out_is_asked_directly_and_used_again() {
    let (mut shard, machine) = shard();
    shard.merge_report(10, &report(2, 1, 5, Vec::new()), ReportPath::Heartbeat);
    assert!(!shard.workers.machines.get(machine).expect("there").usable(10));
    shard.answer_commands(10, machine);
    assert!(shard.workers.delivery_due.contains(&machine));
    shard.merge_report(20, &report(2, 2, 5, Vec::new()), ReportPath::CommandReply);
    assert!(shard.workers.machines.get(machine).expect("there").usable(20));
    shard.answer_commands(30, machine);
    assert!(!shard.workers.delivery_due.contains(&machine));
}

/// Guards against reports that grow for as long as a term lasts: while a start
/// of it may still arrive, no ended task can be forgotten.
#[test]
fn a_start_in_doubt_does_not_let_reports_grow_for_ever() {
    let (mut shard, machine) = shard();
    shard
        .workers
        .machines
        .get_mut(machine)
        .expect("there")
        .unconfirmed_start_term = 5;
    let ended = |number: usize| TaskReport {
        task: format!("j-7/{number}"),
        ..task(TaskState::Exited, Some(ExitReason::Done))
    };
    let few = (0..MANY_ENDED - 1).map(ended).collect();
    shard.merge_report(10, &report(1, 2, 5, few), ReportPath::Heartbeat);
    assert!(!shard.workers.needs_higher_term);
    let many = (0..MANY_ENDED).map(ended).collect();
    shard.merge_report(20, &report(1, 3, 5, many), ReportPath::Heartbeat);
    assert!(shard.workers.needs_higher_term);
    shard.term = 6;
    let forgets = shard.commands(30, machine).into_iter();
    assert_eq!(
        forgets.filter(|c| matches!(c, Command::Forget { .. })).count(),
        MANY_ENDED
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

/// Guards against an index that a job leaves behind in the pending_writes: it was
/// given to a smaller job, and writing its chunk ended the process.
#[test]
fn a_removed_job_leaves_nothing_to_write() {
    let (mut shard, _) = shard();
    shard.merge_report(
        10,
        &report(1, 2, 5, vec![task(TaskState::Exited, Some(ExitReason::Error))]),
        ReportPath::Heartbeat,
    );
    let job = shard.jobs.table.find("j-1").expect("known");
    shard.pending_writes.chunks.insert(ChunkId { job, number: 7 });
    shard.pending_writes.cleanups.insert(job);
    shard.jobs.deleted_jobs.push("j-1".into());
    shard.forget_deleted_jobs();
    assert!(shard.jobs.table.is_empty());
    assert!(
        shard.pending_writes.chunks.is_empty()
            && shard.pending_writes.starts.is_empty()
            && shard.pending_writes.cleanups.is_empty()
    );
}

/// One more task of the only job is placed, and fails.
fn fail_once(shard: &mut Shard, machine: MachineIx, now: Millis) {
    shard.place(now);
    let attempt = shard.workers.machines.get(machine).expect("there").open[0];
    shard.close(now, attempt, Outcome::Error);
}

/// Guards against blaming jobs for sick machines (inc-c6c5): every job was
/// paused for up to a minute while machines stood idle, and no machine went.
#[test]
fn a_machine_is_blamed_for_jobs_that_got_on_elsewhere() {
    let (mut shard, machine) = shard_of(40);
    let job = shard.jobs.table.find("j-1").expect("known");
    let first = shard.workers.machines.get(machine).expect("there").open.clone();
    shard.close(0, first[0], Outcome::Done);
    for attempt in shard.workers.machines.get(machine).expect("there").open.clone() {
        shard.close(0, attempt, Outcome::Lost);
    }
    for round in 1..=3 {
        shard.jobs.table.get_mut(job).expect("there").failed_on.clear();
        fail_once(&mut shard, machine, round * 10_000);
        for attempt in shard.workers.machines.get(machine).expect("there").open.clone() {
            shard.close(0, attempt, Outcome::Lost);
        }
    }
    assert_eq!(shard.jobs.table.get(job).expect("there").errors, 0);
    shard.plan_fleet(40_000);
    assert!(shard.workers.machines.get(machine).expect("there").decommissioned);
}

#[test]
fn a_job_that_fails_everywhere_is_tried_alone_and_spares_the_machines() {
    let (mut shard, machine) = shard_of(40);
    let job = shard.jobs.table.find("j-1").expect("known");
    for round in 0..6 {
        for attempt in shard.workers.machines.get(machine).expect("there").open.clone() {
            shard.close(round * 70_000, attempt, Outcome::Error);
        }
        shard.jobs.table.get_mut(job).expect("there").failed_on.clear();
        shard.place(round * 70_000 + 65_000);
    }
    assert!(shard.jobs.table.get(job).expect("there").fails_everywhere());
    assert!(shard.workers.machines.get(machine).expect("there").open.len() <= 1);
    shard.workers.machines.get_mut(machine).expect("there").heard_at = Some(500_000);
    shard.plan_fleet(500_000);
    assert!(!shard.workers.machines.get(machine).expect("there").decommissioned);
}
