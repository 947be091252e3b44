//! Benchmarks of a follower: ticks, relayed reports, polls and heartbeats.

use super::*;

/// A tick for which no time has passed.
#[divan::bench]
fn idle_tick(bencher: Bencher<'_, '_>) {
    let mut harness = Harness::new(true);
    bencher.bench_local(|| harness.tick_after(0));
}

/// Relays 64 reports to the leader: decodes the JSON of each report, encodes the frame, decodes
/// the frame with the replies, and encodes each answer as JSON. The measured time also includes
/// encoding the frame with the replies, but not the HTTP library.
#[divan::bench]
fn relayed_reports_64(bencher: Bencher<'_, '_>) {
    let body = json_report(1_000);
    bencher.bench_local(|| {
        let reports = (0..REPORTS_PER_FRAME as u64).map(|id| RelayedReport {
            id,
            report: serde_json::from_slice(&body).expect("valid JSON"),
        });
        let message = Message::RelayReports {
            shard: "pool".into(),
            reports: reports.collect(),
        };
        black_box(rmp_serde::to_vec(&message).expect("encodable as MessagePack"));
        let answer = ReportAnswer {
            fencing_token: TERM,
            commands: Vec::new(),
        };
        let replies = (0..REPORTS_PER_FRAME as u64).map(|id| RelayedReportReply {
            id,
            reply: ReportReply::Accepted(answer.clone()),
        });
        let message = Message::ReportReplies {
            replies: replies.collect(),
        };
        let frame = rmp_serde::to_vec(&message).expect("encodable as MessagePack");
        let message: Message = rmp_serde::from_slice(&frame).expect("a valid frame");
        let Message::ReportReplies { replies } = message else {
            unreachable!("the message encoded above");
        };
        for reply in replies {
            if let ReportReply::Accepted(answer) = reply.reply {
                black_box(serde_json::to_string(&answer).expect("encodable as JSON"));
            }
        }
    });
}

/// Handles a user's request for the state of a job.
#[divan::bench]
fn poll(bencher: Bencher<'_, '_>) {
    let mut harness = Harness::new(true);
    bencher.bench_local(|| {
        harness.step(Input::User {
            request: 1,
            user_request: UserRequest::Show("j-000007".into()),
        })
    });
}

/// Handles a heartbeat of the leader, including decoding its frame.
#[divan::bench]
fn heartbeat(bencher: Bencher<'_, '_>) {
    let mut harness = Harness::new(true);
    let message = Message::Heartbeat {
        node: "n1".into(),
        shard: "pool".into(),
        leading_term: Some(TERM),
        store_reachable: true,
    };
    let frame = rmp_serde::to_vec(&message).expect("encodable as MessagePack");
    bencher.bench_local(|| {
        let message: Message = rmp_serde::from_slice(&frame).expect("a valid frame");
        harness.step(peer_input(message))
    });
}
