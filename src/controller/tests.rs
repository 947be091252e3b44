use super::*;
use crate::Millis;
use crate::election::Phase;
use crate::peers::{Message, UserRequest};
use crate::settings::tests::SAMPLE;
use crate::store::{StoreReply, StoreRequest};
use crate::wire::{JobSpec, Transaction};

/// Numbers of what a life of a controller asks peers first.
fn asked(incarnation: u64) -> (u64, u64) {
    let settings = Settings::parse(SAMPLE).expect("valid settings");
    let node = settings.peers[0].node.clone();
    let mut controller = Controller::new(settings, Policy::default(), incarnation);
    let now = Now {
        monotonic: 1_000_000,
        wall_clock: 0,
    };
    let beat = Message::Heartbeat {
        node: node.clone(),
        shard: SHARD.into(),
        leading_term: Some(3),
        store_reachable: true,
    };
    let message = Box::new(beat);
    controller.step(now, Input::Peer { message, node });
    let user_request = UserRequest::Cancel("j-000001".into());
    let outputs = controller.step(
        now,
        Input::User {
            request: 1,
            user_request,
        },
    );
    let forward = outputs.iter().find_map(|output| match output {
        Output::Peer {
            message: Message::ForwardRequest { id, .. },
            ..
        } => Some(*id),
        _ => None,
    });
    (controller.call(), forward.expect("forwarded to the leader"))
}

/// Guards against beginning to load anew for ever: a full store that answers
/// slowly takes longer than any fixed time.
#[test]
fn loading_goes_on_as_long_as_answers_come() {
    const SLOW_MS: Millis = 2_500;
    let settings = Settings::parse(SAMPLE).expect("valid settings");
    let node = settings.peers[0].node.clone();
    let beat = Message::Heartbeat {
        node: node.clone(),
        shard: SHARD.into(),
        leading_term: None,
        store_reachable: true,
    };
    let mut controller = Controller::new(settings, Policy::default(), 7);
    let mut monotonic = 1_000_000;
    let mut pages = 3;
    let mut due: Vec<(Millis, u64, StoreReply)> = Vec::new();
    while monotonic < 1_030_000 && !controller.leads() {
        let now = Now {
            monotonic,
            wall_clock: 0,
        };
        let (node, message) = (node.clone(), Box::new(beat.clone()));
        let mut outputs = controller.step(now, Input::Peer { node, message });
        outputs.extend(controller.step(now, Input::Tick));
        let (ready, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|(at, ..)| *at <= monotonic);
        due = later;
        for (_, call, reply) in ready {
            outputs.extend(controller.step(now, Input::Store { call, reply }));
        }
        for output in outputs {
            let Output::Store { call, request } = output else {
                continue;
            };
            let page = |key: String, more| {
                let value = serde_json::json!({ "machines": [] });
                let item = crate::wire::Entry { key, value, version: 1 };
                let items = if more { vec![item] } else { Vec::new() };
                StoreReply::Page(crate::wire::Page {
                    items,
                    more,
                    revision: 1,
                })
            };
            let (after, reply) = match request {
                StoreRequest::Grant { .. } => (10, StoreReply::Granted { lease: 1 }),
                StoreRequest::Renew(_) => (10, StoreReply::Renewed),
                StoreRequest::Transact(_) => (10, StoreReply::Committed { revision: 2 }),
                StoreRequest::List { prefix, .. } if prefix.starts_with("live/") => (10, page(prefix, false)),
                StoreRequest::List { prefix, .. } => {
                    pages -= i32::from(pages > 0);
                    (SLOW_MS, page(format!("{prefix}{pages}"), pages > 0))
                }
                StoreRequest::Watch { wait_ms: 0, .. } => {
                    let log = crate::wire::Log {
                        revision: 2,
                        events: Vec::new(),
                    };
                    (10, StoreReply::Log(log))
                }
                _ => continue,
            };
            due.push((monotonic + after, call, reply));
        }
        monotonic += 50;
    }
    assert!(controller.leads());
    assert!(monotonic > 1_000_000 + 4 * SLOW_MS, "it was slow indeed");
}

/// Guards against taking a peer's answer to a former incarnation of this process,
/// about another job or machine, for one to this incarnation.
#[test]
fn an_answer_to_a_former_life_fits_no_request() {
    let (first, second) = (asked(0x1000_0000_0000), asked(0x2000_0000_0000));
    assert!(first.0.abs_diff(second.0) > 1 << 32);
    assert!(first.1.abs_diff(second.1) > 1 << 32);
}

/// Guards against the gap: the state service refuses the leader alone, another
/// controller confirms a cancellation, and then nobody reaches it. With its
/// promise not to claim a controller tells the leader of what was cancelled; while
/// it can still confirm cancellations it promises nothing.
#[test]
fn a_promise_tells_of_what_was_cancelled() {
    let settings = Settings::parse(SAMPLE).expect("valid settings");
    let node = settings.peers[0].node.clone();
    let spec: JobSpec = serde_json::from_value(serde_json::json!({"id":"j-7","lotType":"sort","consignor":"floor",
        "saleFormat":"array","bidRank":"high","lots":1,"cores":1.0,"cards":0.0,"memGb":1.0,"catalog":"img",
        "pullGb":1.0,"oneZone":false,"scatter":false,"loaner":true,"appraisedS":5.0,"tallyS":0.0,"ledgerS":0.0}))
    .expect("a job");
    let key = crate::store::JobKey {
        spec,
        accepted_ms: 0,
        ended: Some(crate::wire::JobState::Cancelled),
    };
    let mut controller = Controller::new(settings, Policy::default(), 7);
    let mut monotonic = 1_000_000;
    let mut step = |controller: &mut Controller, input| {
        monotonic += 10;
        controller.step(
            Now {
                monotonic,
                wall_clock: 0,
            },
            input,
        )
    };
    let item = crate::wire::Entry {
        key: "live/pool/job/j-7".into(),
        value: serde_json::json!(key),
        version: 9,
    };
    let leader = crate::wire::Entry {
        key: "live/pool/owner".into(),
        value: serde_json::json!({"node": node, "life": 1, "term": 3}),
        version: 4,
    };
    let page = StoreReply::Page(crate::wire::Page {
        items: vec![item, leader],
        more: false,
        revision: 9,
    });
    let call = |outputs: &[Output]| {
        let calls = outputs.iter().filter_map(|output| match output {
            Output::Store { call, .. } => Some(*call),
            _ => None,
        });
        calls.max().expect("asked")
    };
    let hold = |watch_revision| {
        let message = Message::RequestLeaseExtension {
            shard: SHARD.into(),
            term: 3,
            requested_at: 5,
            watch_revision,
        };
        Input::Peer {
            message: Box::new(message),
            node: node.clone(),
        }
    };
    let held = |outputs: Vec<Output>| {
        outputs.into_iter().find_map(|output| match output {
            Output::Peer {
                message:
                    Message::GrantLeaseExtension {
                        term,
                        requested_at,
                        cancelled_jobs,
                    },
                ..
            } => Some((term, requested_at, cancelled_jobs)),
            _ => None,
        })
    };
    let outputs = step(&mut controller, Input::Tick);
    let reply = page;
    let call_of_page = call(&outputs);
    let outputs = step(
        &mut controller,
        Input::Store {
            call: call_of_page,
            reply,
        },
    );
    // The state service answers: no promise.
    assert_eq!(held(step(&mut controller, hold(8))), None);
    let call = call(&outputs);
    let reply = StoreReply::Unavailable;
    step(&mut controller, Input::Store { call, reply });
    assert_eq!(
        held(step(&mut controller, hold(8))),
        Some((3, 5, vec![crate::peers::CancelledJob { key, version: 9 }]))
    );
    assert_eq!(held(step(&mut controller, hold(9))), Some((3, 5, Vec::new())));
}

/// Guards against submissions that wait for seconds behind starts and clean-ups when
/// many come at once (inc-a48c: 0.58 of them within 200 ms).
#[test]
fn users_writes_get_more_of_the_rate_while_they_wait() {
    let settings = Settings::parse(SAMPLE).expect("valid settings");
    let mut controller = Controller::new(settings, Policy::default(), 7);
    let before = controller.store_client.rate_shares(Phase::Active);
    let transaction = Transaction::default();
    controller.enqueue(Purpose::Write(1), StoreRequest::Transact(transaction.into()));
    let after = controller.store_client.rate_shares(Phase::Active);
    assert!(after.user_writes > 2.0 * before.user_writes && after.writes < before.writes);
    let (all_before, all_after) = (before.writes + before.user_writes, after.writes + after.user_writes);
    assert!(all_after <= all_before + 1e-9, "no more in all");
}
