//! What the parts of a leader cost: ticks, reports, requests of users, placement, transactions.

use super::*;

#[divan::bench]
fn idle_tick(bencher: Bencher<'_, '_>) {
    let mut site = leader();
    bencher.bench_local(|| site.pass(0));
}

/// Heartbeats, maintenance of all machines, counts: what time alone brings.
#[divan::bench]
fn tick_after_50_ms(bencher: Bencher<'_, '_>) {
    let mut site = leader();
    bencher.bench_local(|| site.pass(50));
}

/// Sixty-four reports: the frame decoded, merged, answered and encoded.
#[divan::bench]
fn relayed_reports_64(bencher: Bencher<'_, '_>) {
    let mut site = leader();
    let mut seq = 1_000;
    bencher
        .with_inputs(|| {
            seq += 1;
            let Input::Peer { message, .. } = relay(0, BATCH, seq) else {
                unreachable!("a peer's message");
            };
            rmp_serde::to_vec(&message).expect("written")
        })
        .bench_local_values(|frame| {
            let message: Message = rmp_serde::from_slice(&frame).expect("read");
            let outputs = site.step(peer(message));
            for output in outputs {
                if let sumacbend::controller::Output::Peer { message, .. } = output {
                    black_box(rmp_serde::to_vec(&message).expect("written"));
                }
            }
        });
}

/// One report that came to the leader itself, its JSON included.
#[divan::bench]
fn direct_report(bencher: Bencher<'_, '_>) {
    let mut site = leader();
    let mut seq = 1_000;
    bencher
        .with_inputs(|| {
            seq += 1;
            json_report(seq)
        })
        .bench_local_values(|body| {
            let report = serde_json::from_slice(&body).expect("read");
            site.step(Input::Report { request: 1, report })
        });
}

#[divan::bench]
fn poll(bencher: Bencher<'_, '_>) {
    let mut site = leader();
    bencher.bench_local(|| {
        site.step(Input::User {
            request: 1,
            user_request: UserRequest::Show("j-000007".into()),
        })
    });
}

#[divan::bench(sample_count = 50, sample_size = 1)]
fn submission(bencher: Bencher<'_, '_>) {
    let mut site = leader();
    let mut number = 10_000;
    bencher
        .with_inputs(|| {
            number += 1;
            serde_json::to_string(&site::spec(number, "high")).expect("written")
        })
        .bench_local_values(|body| {
            site.step(Input::User {
                request: 1,
                user_request: UserRequest::Submit(body),
            })
        });
}

#[divan::bench(sample_count = 50, sample_size = 1)]
fn cancellation(bencher: Bencher<'_, '_>) {
    let mut site = leader();
    let mut number = 0;
    bencher
        .with_inputs(|| {
            number += 1;
            UserRequest::Cancel(format!("j-{number:06}"))
        })
        .bench_local_values(|user_request| {
            site.step(Input::User {
                request: 1,
                user_request,
            })
        });
}

/// Nothing fits: the machines are full and jobs wait.
#[divan::bench]
fn placement_round_without_room(bencher: Bencher<'_, '_>) {
    let mut shard = shard(400, "high");
    let mut now = fill(&mut shard);
    bencher.bench_local(|| {
        now += 1;
        shard.place(now);
    });
}

/// Two hundred tasks are placed.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn placement_round_with_200_starts(bencher: Bencher<'_, '_>) {
    bencher
        .with_inputs(|| shard(400, "high"))
        .bench_local_refs(|shard| shard.place(0));
}

/// Urgent jobs wait while work of low priority fills all machines.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn preemption_search(bencher: Bencher<'_, '_>) {
    bencher
        .with_inputs(|| {
            let mut shard = shard(400, "low");
            let now = fill(&mut shard);
            for number in 5_000..5_100 {
                let key = site::job_key(number, "high");
                shard.job_changed(0, &key.spec.id, &key, 1);
            }
            shard.place(now);
            (shard, now + 1_000)
        })
        .bench_local_refs(|(shard, now)| shard.preempt(*now));
}

/// Built, written as JSON, and its answer taken in.
#[divan::bench(sample_count = 20, sample_size = 1)]
fn transaction(bencher: Bencher<'_, '_>) {
    let keys = Keys::new("pool");
    bencher
        .with_inputs(|| {
            let mut shard = shard(400, "high");
            shard.place(0);
            shard
        })
        .bench_local_refs(|shard| {
            let claim = Condition {
                key: keys.leader(),
                version: 1,
            };
            let transaction = shard.next_transaction(0, &keys, claim, 48, 48).expect("due");
            black_box(serde_json::to_vec(&*transaction).expect("written"));
            shard.committed(0, 5);
        });
}

/// A page of 500 machines of the cloud's list, its JSON included.
#[divan::bench]
fn cloud_list_500(bencher: Bencher<'_, '_>) {
    let mut shard = shard(0, "high");
    let machines = (0..500).map(|number| ListedMachine {
        id: site::machine_name(number),
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
    let body = serde_json::to_vec(&list).expect("written");
    bencher.bench_local(|| {
        let list: MachineList = serde_json::from_slice(&body).expect("read");
        shard.merge_machine_list(0, &list);
    });
}

/// The whole of it: all watched keys, machines, firings, and the first ticks.
#[divan::bench(sample_count = 5, sample_size = 1)]
fn take_over() -> Site {
    Site::new(false)
}
