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
    fn messages_survive_the_link(id in any::<u64>(), text in ".{0,200}", retry in proptest::option::of(any::<u32>())) {
        for message in [
            Message::ForwardRequest { shard: "pool".into(), id, user_request: UserRequest::Submit(text.clone()) },
            Message::ForwardReply { id, answer: Answer { status: 503, body: text.clone(), retry_after_s: retry } },
            Message::ReportReplies { answers: vec![RelayedReportReply { id, reply: ReportReply::Redirected(Some(text.clone())) }] },
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

/// Guards against a controller that is cut off saying that it is well: users
/// stayed with it and got no answer.
#[test]
fn most_of_the_others_have_to_be_in_reach() {
    let mut peers = PeerLinks::new(["a", "b", "c", "d"].map(String::from));
    peers.on_heartbeat(0, "a", state(None, false));
    assert!(!peers.has_reachable_majority(100));
    peers.on_heartbeat(0, "b", state(None, false));
    assert!(peers.has_reachable_majority(100));
    assert!(!peers.has_reachable_majority(10_000));
    assert!(PeerLinks::new([]).has_reachable_majority(0));
}

#[test]
fn the_highest_term_in_reach_is_the_leader() {
    let mut peers = PeerLinks::new(["a".to_string(), "b".to_string()]);
    peers.on_heartbeat(0, "a", state(Some(3), true));
    peers.on_heartbeat(0, "b", state(Some(4), false));
    assert_eq!(peers.leader(100), Some("b"));
    assert_eq!(peers.first_with_store_access(100), Some("a"));
    assert_eq!(peers.leader(10_000), None);
}

/// Guards against a leader that acts on while one controller, which gave no
/// promise, claims the shard or confirms cancellations.
#[test]
fn promises_count_only_from_all() {
    let mut peers = PeerLinks::new(["a".to_string(), "b".to_string()]);
    peers.on_extension_granted("a", 700);
    assert_eq!(peers.extension_granted_by_all(), Some(0));
    peers.on_extension_granted("b", 500);
    peers.on_extension_granted("b", 400);
    assert_eq!(peers.extension_granted_by_all(), Some(500));
    assert_eq!(PeerLinks::new([]).extension_granted_by_all(), None);
}
