//! Frames between controllers: MessagePack with names of variants as text and fields
//! by their position.

use super::{decode, from_hex, hex, pairs};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use sumacbend::peers::Message;
use sumacbend::wire::{DirectCommands, JobSpec, Report, ReportAnswer};

/// Each frame is read as a message and written as the very same bytes, and its bytes
/// say what the line above them does.
fn frames(name: &str) {
    for (content, frame) in pairs(name) {
        let bytes = from_hex(&frame);
        let plain: Value = rmp_serde::from_slice(&bytes).expect("MessagePack");
        assert_eq!(plain, decode::<Value>(name, &content), "{name}");
        let message: Message =
            rmp_serde::from_slice(&bytes).unwrap_or_else(|error| panic!("{name}: {error} in {content}"));
        let mut written = Vec::new();
        rmp_serde::encode::write(&mut written, &message).expect("written");
        assert_eq!(hex(&written), frame, "{name}: {content}");
    }
}

/// Read from JSON, where every field has its name, and written by position.
fn order<T: Serialize + DeserializeOwned>(name: &str) {
    for (text, expected) in pairs(name) {
        let value: T = decode(name, &text);
        let written = rmp_serde::to_vec(&value).expect("written");
        assert_eq!(hex(&written), expected, "{name}");
    }
}

#[test]
fn heartbeats_and_counts_keep_their_bytes() {
    frames("frames/heartbeat.txt");
    frames("frames/counts.txt");
}

#[test]
fn forwarded_questions_and_answers_keep_their_bytes() {
    frames("frames/forward.txt");
    frames("frames/forwarded.txt");
}

#[test]
fn relayed_reports_and_their_answers_keep_their_bytes() {
    frames("frames/relay.txt");
    frames("frames/relayed.txt");
}

#[test]
fn pushed_commands_and_their_replies_keep_their_bytes() {
    frames("frames/push.txt");
    frames("frames/pushed.txt");
}

#[test]
fn promises_not_to_claim_keep_their_bytes() {
    frames("frames/hold.txt");
    frames("frames/held.txt");
}

#[test]
fn fields_of_what_frames_carry_keep_their_places() {
    order::<Report>("frames/order_of_report.txt");
    order::<JobSpec>("frames/order_of_job.txt");
    order::<DirectCommands>("frames/order_of_direct_commands.txt");
    order::<ReportAnswer>("frames/order_of_report_answer.txt");
}

/// Neighbours of one type could change places and still be read and written alike,
/// so here the fields are named.
#[test]
fn fields_of_messages_keep_their_places() {
    let heartbeat = Message::Heartbeat {
        node: "stall-0".into(),
        shard: "pool".into(),
        leading_term: Some(41),
        store_reachable: true,
    };
    let hold = Message::RequestLeaseExtension {
        shard: "pool".into(),
        term: 41,
        requested_at: 123_456,
        watch_revision: 789,
    };
    let held = Message::GrantLeaseExtension {
        term: 41,
        requested_at: 123_456,
        cancelled_jobs: Vec::new(),
    };
    for (message, name, line) in [
        (heartbeat, "frames/heartbeat.txt", 0),
        (hold, "frames/hold.txt", 0),
        (held, "frames/held.txt", 1),
    ] {
        let written = rmp_serde::to_vec(&message).expect("written");
        assert_eq!(hex(&written), pairs(name)[line].1, "{name}");
    }
}
