//! What the parts of a follower cost: ticks, relayed reports, polls and heartbeats.

use super::*;

#[divan::bench]
fn idle_tick(bencher: Bencher<'_, '_>) {
    let mut harness = Harness::new(true);
    bencher.bench_local(|| harness.pass(0));
}

/// A report relayed: its JSON read, the frame written, the answer read and
/// written as JSON. Without the HTTP library.
#[divan::bench]
fn relayed_reports_64(bencher: Bencher<'_, '_>) {
    let body = json_report(1_000);
    bencher.bench_local(|| {
        let reports = (0..BATCH as u64).map(|id| RelayedReport {
            id,
            report: serde_json::from_slice(&body).expect("read"),
        });
        let message = Message::RelayReports {
            shard: "pool".into(),
            reports: reports.collect(),
        };
        black_box(rmp_serde::to_vec(&message).expect("written"));
        let answer = ReportAnswer {
            fencing_token: TERM,
            commands: Vec::new(),
        };
        let answers = (0..BATCH as u64).map(|id| RelayedReportReply {
            id,
            reply: ReportReply::Accepted(answer.clone()),
        });
        let answers = Message::ReportReplies {
            answers: answers.collect(),
        };
        let frame = rmp_serde::to_vec(&answers).expect("written");
        let message: Message = rmp_serde::from_slice(&frame).expect("read");
        let Message::ReportReplies { answers } = message else {
            unreachable!("as written");
        };
        for answer in answers {
            if let ReportReply::Accepted(answer) = answer.reply {
                black_box(serde_json::to_string(&answer).expect("written"));
            }
        }
    });
}

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

#[divan::bench]
fn heartbeat(bencher: Bencher<'_, '_>) {
    let mut harness = Harness::new(true);
    let message = Message::Heartbeat {
        node: "n1".into(),
        shard: "pool".into(),
        leading_term: Some(TERM),
        store_reachable: true,
    };
    let frame = rmp_serde::to_vec(&message).expect("written");
    bencher.bench_local(|| {
        let message: Message = rmp_serde::from_slice(&frame).expect("read");
        harness.step(peer(message))
    });
}
