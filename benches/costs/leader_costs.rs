//! Benchmarks of a leader: ticks, reports, users' requests, placement, transactions, the cloud's
//! list of machines, and the takeover.

use super::*;

/// A tick for which no time has passed.
#[divan::bench]
fn idle_tick(bencher: Bencher<'_, '_>) {
    let mut harness = leader_with_reports();
    bencher.bench_local(|| harness.tick_after(0));
}

/// A tick after 50 ms without other input: heartbeats, maintenance of all machines and task
/// counts.
#[divan::bench]
fn tick_after_50_ms(bencher: Bencher<'_, '_>) {
    let mut harness = leader_with_reports();
    bencher.bench_local(|| harness.tick_after(50));
}

/// Merges and answers 64 relayed reports, including decoding their frame and encoding the frame
/// with the replies.
#[divan::bench]
fn relayed_reports_64(bencher: Bencher<'_, '_>) {
    let mut harness = leader_with_reports();
    let mut seq = 1_000;
    bencher
        .with_inputs(|| {
            seq += 1;
            let Input::Peer { message, .. } = relay_reports(0, REPORTS_PER_FRAME, seq) else {
                unreachable!("a peer's message");
            };
            rmp_serde::to_vec(&message).expect("encodable as MessagePack")
        })
        .bench_local_values(|frame| {
            let message: Message = rmp_serde::from_slice(&frame).expect("a valid frame");
            let outputs = harness.step(peer_input(message));
            for output in outputs {
                if let sumacbend::controller::Output::Peer { message, .. } = output {
                    black_box(rmp_serde::to_vec(&message).expect("encodable as MessagePack"));
                }
            }
        });
}

/// Merges and answers a report that a worker sent to the leader directly, including decoding its
/// JSON.
#[divan::bench]
fn direct_report(bencher: Bencher<'_, '_>) {
    let mut harness = leader_with_reports();
    let mut seq = 1_000;
    bencher
        .with_inputs(|| {
            seq += 1;
            json_report(seq)
        })
        .bench_local_values(|body| {
            let report = serde_json::from_slice(&body).expect("valid JSON");
            harness.step(Input::Report { request: 1, report })
        });
}

/// Handles a user's request for the state of a job.
#[divan::bench]
fn poll(bencher: Bencher<'_, '_>) {
    let mut harness = leader_with_reports();
    bencher.bench_local(|| {
        harness.step(Input::User {
            request: 1,
            user_request: UserRequest::Show("j-000007".into()),
        })
    });
}

/// Handles a user's submission of a job, including decoding its JSON.
#[divan::bench(sample_count = 50, sample_size = 1)]
fn submission(bencher: Bencher<'_, '_>) {
    let mut harness = leader_with_reports();
    let mut number = 10_000;
    bencher
        .with_inputs(|| {
            number += 1;
            serde_json::to_string(&harness::spec(number, "high")).expect("encodable as JSON")
        })
        .bench_local_values(|body| {
            harness.step(Input::User {
                request: 1,
                user_request: UserRequest::Submit(body),
            })
        });
}

/// Handles a user's cancellation of an unfinished job.
#[divan::bench(sample_count = 50, sample_size = 1)]
fn cancellation(bencher: Bencher<'_, '_>) {
    let mut harness = leader_with_reports();
    let mut number = 0;
    bencher
        .with_inputs(|| {
            number += 1;
            UserRequest::Cancel(format!("j-{number:06}"))
        })
        .bench_local_values(|user_request| {
            harness.step(Input::User {
                request: 1,
                user_request,
            })
        });
}

/// A placement round in which no task fits: all machines are full and jobs are waiting.
#[divan::bench]
fn placement_round_without_room(bencher: Bencher<'_, '_>) {
    let mut shard = shard_with_waiting_jobs(400, "high");
    let mut now = fill_machines(&mut shard);
    bencher.bench_local(|| {
        now += 1;
        shard.place(now);
    });
}

/// A placement round that places 200 tasks.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn placement_round_with_200_starts(bencher: Bencher<'_, '_>) {
    bencher
        .with_inputs(|| shard_with_waiting_jobs(400, "high"))
        .bench_local_refs(|shard| shard.place(0));
}

/// Searches for tasks to preempt: 100 jobs of high priority wait while tasks of low priority fill
/// all machines.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn preemption_search(bencher: Bencher<'_, '_>) {
    bencher
        .with_inputs(|| {
            let mut shard = shard_with_waiting_jobs(400, "low");
            let now = fill_machines(&mut shard);
            for number in 5_000..5_100 {
                let key = harness::job_key(number, "high");
                shard.job_changed(0, &key.spec.id, &key, 1);
            }
            shard.place(now);
            (shard, now + 1_000)
        })
        .bench_local_refs(|(shard, now)| shard.preempt(*now));
}

/// Builds a transaction, encodes it as JSON and updates the state after it was applied.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn transaction(bencher: Bencher<'_, '_>) {
    let keys = Keys::new("pool");
    bencher
        .with_inputs(|| {
            let mut shard = shard_with_waiting_jobs(400, "high");
            shard.place(0);
            shard
        })
        .bench_local_refs(|shard| {
            let claim = Condition {
                key: keys.leader(),
                version: 1,
            };
            let transaction = shard
                .next_transaction(0, &keys, claim, 48, 48)
                .expect("a transaction is due");
            black_box(serde_json::to_vec(&*transaction).expect("encodable as JSON"));
            shard.committed(0, 5);
        });
}

/// Processes a page of 500 machines from the cloud's list, including decoding its JSON.
#[divan::bench]
fn cloud_list_500(bencher: Bencher<'_, '_>) {
    let mut shard = shard_with_waiting_jobs(0, "high");
    let machines = (0..500).map(|number| ListedMachine {
        id: harness::machine_name(number),
        address: Some(report(number, 1).address),
        machine_type: "pantry-rack".into(),
        zone: "north".into(),
        spot: true,
        state: MachineState::Running,
        age_s: 100.0,
    });
    let list = MachineList {
        machines: machines.collect(),
        more: true,
    };
    let body = serde_json::to_vec(&list).expect("encodable as JSON");
    bencher.bench_local(|| {
        let list: MachineList = serde_json::from_slice(&body).expect("valid JSON");
        shard.merge_machine_list(0, &list);
    });
}

/// A complete takeover: reads all watched keys, machines and chunks, and runs the first ticks.
#[divan::bench(sample_count = 5, sample_size = 1)]
fn take_over() -> Harness {
    Harness::new(false)
}
