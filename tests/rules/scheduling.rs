//! Tests of the largest job that the protocol allows, and of fairness among the jobs of a team.

use crate::LEADER;
use crate::world::{Fault, KnownState, World};
use sumacbend::wire::Priority;

/// Guards against a job whose stored state exceeds the protocol's limits on values and
/// transactions. The simulated state service panics on those, also while a new leader takes over
/// the job.
#[test]
fn the_largest_job_is_scheduled_and_cleaned_up() {
    let mut world = World::new(6, 3, 1, vec![(120_000, Fault::Crash { node: LEADER })]);
    world.override_drawn_job(0, 100_000, Some(190_000));
    world.run(190_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert!(
        world.done_tasks.len() > 100,
        "only {} tasks done",
        world.done_tasks.len()
    );
    assert!(world.count_stored_keys("kept/pool/firing/") > 0);
    world.run(300_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.jobs[0].known_state, KnownState::Cancelled);
    assert_eq!(
        world.count_stored_keys("kept/pool/firing/") + world.count_stored_keys("live/pool/job/"),
        0
    );
    assert_eq!(world.count_stored_keys("kept/pool/end/"), 1);
}

/// Guards against low-priority jobs that are always placed after urgent ones, and against large
/// tasks that never start because small tasks keep taking parts of the room they need.
#[test]
fn large_low_priority_jobs_do_not_starve_under_small_urgent_jobs() {
    let mut world = World::new(7, 3, 0, Vec::new());
    let spec = |team: &str, priority, tasks, cpus| {
        let mut spec = World::plain_spec();
        spec.team = team.into();
        spec.priority = priority;
        spec.tasks = tasks;
        spec.cpus = cpus;
        spec
    };
    // Continuously more urgent work than fits the team's limit.
    for at in (2_000..500_000).step_by(1_500) {
        world.submit(at, spec("red", Priority::High, 6, 1.0));
    }
    let large_jobs: Vec<usize> = (0..4)
        .map(|index| world.submit(10_000 + index * 30_000, spec("red", Priority::Low, 12, 8.0)))
        .collect();
    world.run(520_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    for index in large_jobs.iter().copied() {
        let job = &world.jobs[index];
        let start_delay_ms = job.first_start.map(|at| at - job.submit_at);
        assert!(
            start_delay_ms.is_some_and(|delay_ms| delay_ms < 240_000),
            "job {index} started after {start_delay_ms:?} ms"
        );
    }
    let done = large_jobs
        .iter()
        .filter(|&&index| world.jobs[index].known_state == KnownState::Done)
        .count();
    assert!(done * 2 >= large_jobs.len(), "{done} of the large jobs done");
    assert!(
        world
            .jobs
            .iter()
            .filter(|job| job.known_state == KnownState::Done)
            .count()
            > 100
    );
}
