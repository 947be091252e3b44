//! Tests that the checks of the simulated cluster report each violation of a rule.

use crate::run_to_completion;
use crate::world::{CANCEL_DEADLINE_MS, KnownState, RequestKind, World};

/// Returns a cluster without controllers, with one machine in each zone and one accepted job.
fn world_with_accepted_job(tasks: u32) -> World {
    let mut world = World::new(1, 0, 0, Vec::new());
    let mut spec = World::plain_spec();
    spec.tasks = tasks;
    let job = world.submit(0, spec);
    world.set_known_state(job, KnownState::Accepted);
    world.add_machine("host-0", "north");
    world.add_machine("host-1", "south");
    world
}

/// Whether a violation of the rule has been reported.
fn violates(world: &World, rule: &str) -> bool {
    world.violations.iter().any(|violation| violation.starts_with(rule))
}

#[test]
fn a_task_on_two_machines_is_reported() {
    let mut world = world_with_accepted_job(1);
    world.start_task("host-0", "j-000000/0");
    assert!(world.violations.is_empty());
    world.start_task("host-1", "j-000000/0");
    assert!(violates(&world, "ran_twice"));
}

#[test]
fn a_team_beyond_its_limit_is_reported() {
    let mut world = world_with_accepted_job(25);
    for task in 0..24 {
        world.start_task("host-0", &format!("j-000000/{task}"));
    }
    assert!(world.violations.is_empty());
    world.start_task("host-0", "j-000000/24");
    assert!(violates(&world, "quota"));
}

#[test]
fn a_task_in_a_zone_that_its_job_does_not_allow_is_reported() {
    let mut world = world_with_accepted_job(2);
    world.jobs[0].spec.one_zone = true;
    world.start_task("host-0", "j-000000/0");
    assert!(world.violations.is_empty());
    world.start_task("host-1", "j-000000/1");
    assert!(violates(&world, "wrong_place"));
}

/// Also if the machine hangs, because the task would continue after the hang.
#[test]
fn a_task_that_stays_after_the_cancel_deadline_is_reported() {
    for hangs in [false, true] {
        let mut world = world_with_accepted_job(1);
        world.start_task("host-0", "j-000000/0");
        if hangs {
            world.hang("host-0", 10 * CANCEL_DEADLINE_MS);
        }
        world.set_known_state(0, KnownState::Cancelled);
        world.now += CANCEL_DEADLINE_MS;
        world.check_cancelled();
        assert!(world.violations.is_empty());
        world.now += 1;
        world.check_cancelled();
        assert!(violates(&world, "ran_cancelled"));
        assert_eq!(world.longest_run_after_cancel_ms, CANCEL_DEADLINE_MS + 1);
    }
}

#[test]
fn a_start_after_a_cancellation_is_counted_and_after_the_deadline_reported() {
    let mut world = world_with_accepted_job(2);
    world.set_known_state(0, KnownState::Cancelled);
    world.start_task("host-0", "j-000000/0");
    assert_eq!(world.starts_after_cancel, 1);
    assert!(world.violations.is_empty());
    world.now += CANCEL_DEADLINE_MS + 1;
    world.start_task("host-0", "j-000000/1");
    assert!(violates(&world, "ran_cancelled"));
}

#[test]
fn a_job_without_answers_is_reported() {
    let mut world = world_with_accepted_job(1);
    world.now += 75_000;
    world.check_users_answered();
    assert!(world.violations.is_empty());
    world.now += 1;
    world.check_users_answered();
    assert!(violates(&world, "forgotten"));
}

/// Before all faults are over, a job without answers is reported only if most others get answers.
#[test]
fn a_job_that_alone_gets_no_answers_is_reported() {
    for others_answered in [true, false] {
        let mut world = world_with_accepted_job(1);
        world.faults_end_at = u64::MAX / 2;
        for _ in 0..2 {
            let other = world.submit(0, World::plain_spec());
            world.set_known_state(other, KnownState::Accepted);
        }
        for _ in 0..92 {
            world.now += 1_000;
            if others_answered {
                world.set_known_state(1, KnownState::Accepted);
                world.set_known_state(2, KnownState::Accepted);
            }
            world.check_users_answered();
        }
        assert_eq!(violates(&world, "forgotten"), others_answered, "{:?}", world.violations);
    }
}

#[test]
fn a_starving_job_is_reported() {
    let mut world = world_with_accepted_job(2);
    world.now += 1_000;
    world.check_starvation();
    world.now += 90_000;
    world.check_starvation();
    assert!(world.violations.is_empty());
    world.now += 1;
    world.check_starvation();
    assert!(violates(&world, "waiting"));
    // Not reported if a task would exceed the team's limit or no machine is suitable.
    for (cpus, zone) in [(25.0, None), (1.0, Some("east".to_string()))] {
        let mut world = world_with_accepted_job(2);
        world.jobs[0].spec.cpus = cpus;
        world.jobs[0].spec.zone = zone;
        for _ in 0..3 {
            world.now += 91_000;
            world.check_starvation();
        }
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

#[test]
fn a_largest_job_that_starts_late_is_reported() {
    let mut world = world_with_accepted_job(9);
    world.check_largest_jobs();
    assert!(violates(&world, "late"));
    let mut world = world_with_accepted_job(9);
    world.start_task("host-0", "j-000000/0");
    world.check_largest_jobs();
    assert!(world.violations.is_empty());
}

/// A complete run checks the largest jobs as well.
#[test]
#[should_panic(expected = "late: j-000000")]
fn a_run_reports_a_largest_job_that_never_starts() {
    let mut world = World::new(1, 3, 0, Vec::new());
    world.submit(10_000_000, World::plain_spec());
    run_to_completion(world, 1, &[]);
}

/// Guards against reporting a late job as a second violation. A run ends at the first violation,
/// and the largest jobs that had not started by then were reported as late (`meetings`, seed 146,
/// where both largest jobs start in time if the run continues).
#[test]
#[should_panic(expected = "seed 1: [\"went_back: added by the test\"]")]
fn a_run_ended_by_a_violation_reports_no_late_job() {
    let mut world = World::new(1, 3, 0, Vec::new());
    world.submit(10_000, World::plain_spec());
    world.violations.push("went_back: added by the test".into());
    run_to_completion(world, 1, &[]);
}

/// The wrong answers are, in order: an invalid job is accepted, a job that nobody submitted is
/// known, a job is cancelled without a request, a job is done too early, and an accepted job is
/// unknown or refused.
#[test]
fn wrong_answers_are_reported() {
    let state = |state: &str| format!("{{\"id\":\"j-000000\",\"standing\":\"{state}\"}}");
    for (kind, status, body, rule) in [
        (RequestKind::Invalid, 201, state("queued"), "accepted"),
        (RequestKind::Unknown, 200, state("running"), "invented"),
        (RequestKind::Poll, 200, state("aborted"), "went_back"),
        (RequestKind::Poll, 200, state("done"), "not_done"),
        (RequestKind::Poll, 404, String::new(), "forgotten"),
        (RequestKind::Submit, 422, String::new(), "forgotten"),
    ] {
        let mut world = world_with_accepted_job(1);
        world.now += 10;
        world.deliver_user_answer(0, kind, status, &body);
        assert!(violates(&world, rule), "{rule}: {:?}", world.violations);
    }
}
