//! Frames between controllers: MessagePack with the names of enum variants as text and fields
//! by position.

use super::{decode_json, from_hex, golden_pairs, to_hex};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use sumacbend::peers::Message;
use sumacbend::store::EndValue;
use sumacbend::wire::{DirectCommands, JobSpec, JobState, Report, ReportAnswer};

/// Checks that each frame in the file contains the JSON on the line above it, decodes as a
/// message, and encodes to the same bytes.
fn check_frames(name: &str) {
    for (content, frame) in golden_pairs(name) {
        let bytes = from_hex(&frame);
        let untyped: Value = rmp_serde::from_slice(&bytes).expect("valid MessagePack");
        assert_eq!(untyped, decode_json::<Value>(name, &content), "{name}");
        let message: Message =
            rmp_serde::from_slice(&bytes).unwrap_or_else(|error| panic!("{name}: {error} in {content}"));
        let mut written = Vec::new();
        rmp_serde::encode::write(&mut written, &message).expect("encodable as MessagePack");
        assert_eq!(to_hex(&written), frame, "{name}: {content}");
    }
}

/// Checks the positions of a struct's fields: decodes each value from JSON, which has the
/// fields' names, and compares its MessagePack encoding, which has only their positions.
fn check_field_order<T: Serialize + DeserializeOwned>(name: &str) {
    for (text, expected) in golden_pairs(name) {
        let value: T = decode_json(name, &text);
        let written = rmp_serde::to_vec(&value).expect("encodable as MessagePack");
        assert_eq!(to_hex(&written), expected, "{name}");
    }
}

#[test]
fn heartbeats_and_task_counts_keep_their_bytes() {
    check_frames("frames/heartbeat.txt");
    check_frames("frames/counts.txt");
}

#[test]
fn forwarded_requests_and_replies_keep_their_bytes() {
    check_frames("frames/forward.txt");
    check_frames("frames/forwarded.txt");
}

#[test]
fn relayed_reports_and_replies_keep_their_bytes() {
    check_frames("frames/relay.txt");
    check_frames("frames/relayed.txt");
}

#[test]
fn direct_commands_and_replies_keep_their_bytes() {
    check_frames("frames/push.txt");
    check_frames("frames/pushed.txt");
}

#[test]
fn lease_extension_requests_and_grants_keep_their_bytes() {
    check_frames("frames/hold.txt");
    check_frames("frames/held.txt");
}

#[test]
fn confirmations_of_answers_keep_their_bytes() {
    check_frames("frames/confirm_end.txt");
    check_frames("frames/end_confirmed.txt");
    check_frames("frames/confirm_unknown.txt");
    check_frames("frames/unknown_confirmed.txt");
}

#[test]
fn fields_of_structs_in_frames_keep_their_positions() {
    check_field_order::<Report>("frames/order_of_report.txt");
    check_field_order::<JobSpec>("frames/order_of_job.txt");
    check_field_order::<DirectCommands>("frames/order_of_direct_commands.txt");
    check_field_order::<ReportAnswer>("frames/order_of_report_answer.txt");
}

/// If two adjacent fields of the same type were swapped in a message's declaration, every frame
/// would still decode and encode to the same bytes. This test therefore names the fields.
#[test]
fn fields_of_messages_keep_their_positions() {
    let heartbeat = Message::Heartbeat {
        node: "stall-0".into(),
        shard: "pool".into(),
        leading_term: Some(41),
        store_reachable: true,
    };
    let extension_request = Message::RequestLeaseExtension {
        shard: "pool".into(),
        term: 41,
        requested_at: 123_456,
        watch_revision: 789,
    };
    let extension_grant = Message::GrantLeaseExtension {
        term: 41,
        requested_at: 123_456,
        cancelled_jobs: Vec::new(),
    };
    for (message, name, line) in [
        (heartbeat, "frames/heartbeat.txt", 0),
        (extension_request, "frames/hold.txt", 0),
        (extension_grant, "frames/held.txt", 1),
    ] {
        let written = rmp_serde::to_vec(&message).expect("encodable as MessagePack");
        assert_eq!(to_hex(&written), golden_pairs(name)[line].1, "{name}");
    }
}

#[test]
fn fields_of_confirmations_keep_their_positions() {
    let confirm_end = Message::ConfirmEnd {
        shard: "pool".into(),
        job: "j-000412".into(),
        end: EndValue {
            state: JobState::Done,
            done: 16,
        },
        revision: 789,
    };
    let confirm_unknown = Message::ConfirmUnknown {
        shard: "pool".into(),
        id: 7,
        job: "j-000412".into(),
    };
    for (message, name) in [
        (confirm_end, "frames/confirm_end.txt"),
        (confirm_unknown, "frames/confirm_unknown.txt"),
    ] {
        let written = rmp_serde::to_vec(&message).expect("encodable as MessagePack");
        assert_eq!(to_hex(&written), golden_pairs(name)[0].1, "{name}");
    }
}
