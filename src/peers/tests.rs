use super::*;
use crate::wire::{Command, DirectCommands};
use proptest::prelude::*;

fn state(leading_term: Option<u64>, store_reachable: bool) -> HeartbeatState {
    HeartbeatState {
        leading_term,
        store_reachable,
    }
}

proptest! {
    #[test]
    fn messages_are_decoded_as_they_were_encoded(id in any::<u64>(), text in ".{0,200}", retry in proptest::option::of(any::<u32>())) {
        for message in [
            Message::ForwardRequest { shard: "pool".into(), id, user_request: UserRequest::Submit(text.clone()) },
            Message::ForwardReply { id, answer: Answer { status: 503, body: text.clone(), retry_after_s: retry } },
            Message::ReportReplies { replies: vec![RelayedReportReply { id, reply: ReportReply::Redirected(Some(text.clone())) }] },
            Message::DeliverCommands {
                shard: "pool".into(),
                commands: vec![AddressedCommands { id, address: text.clone(), commands: DirectCommands {
                    fencing_token: id,
                    agent_epoch: 1,
                    commands: vec![Command::Stop { task: text.clone(), attempt: id, grace_s: 1.5 }],
                } }],
            },
            Message::CommandReplies { replies: vec![CommandReply { id, reply: WorkerReply::Unanswered }] },
        ] {
            let bytes = rmp_serde::to_vec(&message).expect("written");
            prop_assert_eq!(rmp_serde::from_slice::<Message>(&bytes).expect("read"), message);
        }
    }
}

/// Guards against an isolated controller that reports itself as healthy, so that users stay
/// connected to it and get no answers.
#[test]
fn at_least_half_of_the_other_controllers_must_be_reachable() {
    let mut peers = PeerLinks::new(["a", "b", "c", "d"].map(String::from));
    peers.on_heartbeat(0, "a", state(None, false));
    assert!(!peers.has_reachable_majority(100));
    peers.on_heartbeat(0, "b", state(None, false));
    assert!(peers.has_reachable_majority(100));
    assert!(!peers.has_reachable_majority(10_000));
    assert!(PeerLinks::new([]).has_reachable_majority(0));
}

#[test]
fn the_leader_is_the_reachable_controller_with_the_highest_term() {
    let mut peers = PeerLinks::new(["a".to_string(), "b".to_string()]);
    peers.on_heartbeat(0, "a", state(Some(3), true));
    peers.on_heartbeat(0, "b", state(Some(4), false));
    assert_eq!(peers.leader(100), Some("b"));
    assert_eq!(peers.first_with_store_access(100), Some("a"));
    assert_eq!(peers.leader(10_000), None);
}

/// Guards against a leader that continues to act although one controller has not granted the
/// extension and may claim the shard or confirm cancellations.
#[test]
fn an_extension_counts_only_if_every_controller_has_granted_it() {
    let mut peers = PeerLinks::new(["a".to_string(), "b".to_string()]);
    peers.on_extension_granted("a", 700);
    assert_eq!(peers.extension_granted_by_all(), Some(0));
    peers.on_extension_granted("b", 500);
    peers.on_extension_granted("b", 400);
    assert_eq!(peers.extension_granted_by_all(), Some(500));
    assert_eq!(PeerLinks::new([]).extension_granted_by_all(), None);
}
