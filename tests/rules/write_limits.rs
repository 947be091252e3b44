//! Tests of the state service's limits on values and transactions, which the simulated state
//! service panics on, and of writes that it rejects.

use crate::world::{Fault, KnownState, World};
use sumacbend::wire::JobSpec;

/// Returns a job of one task whose description takes about 4 KiB, since it allows 200 machine
/// types besides those that exist.
fn spec_with_long_description() -> JobSpec {
    let names = (0..200).map(|number| format!("yard-hauler-{number:03}"));
    JobSpec {
        cpus: 0.1,
        memory_gb: 0.1,
        types: Some(names.chain(["small".into(), "large".into()]).collect()),
        ..World::plain_spec()
    }
}

/// Guards against a leader whose every transaction is too large after an outage, because jobs with
/// long descriptions have ended in it (see docs/incidents/writes-rejected-for-their-size.md).
#[test]
fn jobs_with_long_descriptions_end_in_an_outage() {
    let mut world = World::new(42, 3, 0, vec![(34_000, Fault::StoreOutage { ms: 24_000 })]);
    world.run_time_factor = 2;
    // The first job brings the machines up.
    world.submit(10_000, World::plain_spec());
    for index in 0..24 {
        world.submit(28_000 + index * 50, spec_with_long_description());
    }
    world.run(34_000);
    assert_eq!(world.starts, 25, "all tasks have started");
    world.run(58_000);
    assert_eq!(world.done_tasks.len(), 25, "all tasks are done");
    let done = world
        .jobs
        .iter()
        .filter(|job| job.known_state == KnownState::Done)
        .count();
    assert!(done < 8, "{done} jobs were done before the outage");
    // This job comes after the outage.
    world.submit(61_000, World::plain_spec());
    world.run(90_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert!(world.jobs.iter().all(|job| job.known_state == KnownState::Done));
}

/// Runs jobs while the state service rejects every transaction that changes a key of the first one
/// below `prefix`. Checks that all others are done before that ends, and the first one afterwards.
fn run_with_rejected_writes(prefix: &str) {
    let rejected_until = 110_000;
    let fault = Fault::WritesRejected {
        key: format!("{prefix}j-000000"),
        ms: rejected_until,
    };
    let mut world = World::new(43, 3, 0, vec![(0, fault)]);
    for index in 0..12 {
        world.submit(20_000 + index * 700, World::plain_spec());
    }
    assert_eq!(world.jobs[0].spec.id, "j-000000");
    world.run(rejected_until);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let states: Vec<KnownState> = world.jobs.iter().map(|job| job.known_state).collect();
    assert_eq!(states[0], KnownState::Accepted);
    assert!(states[1..].iter().all(|&state| state == KnownState::Done), "{states:?}");
    world.run(rejected_until + 60_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.jobs[0].known_state, KnownState::Done);
}

/// Guards against a leader that reads everything again and again, and writes nothing else, while
/// the state service rejects the starts of one job.
#[test]
fn rejected_starts_of_one_job_do_not_stop_the_others() {
    run_with_rejected_writes("kept/pool/firing/");
}

/// Like [`rejected_starts_of_one_job_do_not_stop_the_others`], for the end of a job.
#[test]
fn the_rejected_end_of_one_job_does_not_stop_the_others() {
    run_with_rejected_writes("kept/pool/end/");
}
