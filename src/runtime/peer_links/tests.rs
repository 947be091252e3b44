use super::receiver::receive_all;
use super::*;
use crate::controller::Input;
use crate::peers::Message;
use crate::runtime::event::Event;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn heartbeat(node: &str) -> Message {
    Message::Heartbeat {
        node: node.into(),
        shard: "pool".into(),
        leading_term: None,
        store_reachable: true,
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Dials an address and sends heartbeats like a controller, until the test ends.
fn dial_with_heartbeats(address: SocketAddr) {
    let (messages, receiver) = mpsc::channel(256);
    tokio::spawn(dial(address, receiver));
    tokio::spawn(async move {
        loop {
            let _ = messages.try_send(heartbeat("stall-1"));
            sleep(Duration::from_millis(500)).await;
        }
    });
}

/// Guards against a half-open link: a controller that was suspended for 55 s went on sending
/// on connections that its peers had closed, without an error, and later led although its
/// peers did not receive its messages.
#[tokio::test(start_paused = true)]
async fn a_link_without_acknowledgements_is_dialled_again() {
    let (listener, address) = listen().await;
    dial_with_heartbeats(address);
    let (unanswered_link, _) = listener.accept().await.expect("the first link");
    let again = timeout(TEST_TIMEOUT, listener.accept()).await;
    assert!(again.expect("dialled again").is_ok());
    drop(unanswered_link);
}

/// Guards against a live link being redialled: the receiver acknowledges heartbeats, and the
/// sender keeps the link.
#[tokio::test(start_paused = true)]
async fn an_acknowledged_link_lasts_and_delivers() {
    let (listener, address) = listen().await;
    let (events, mut received) = mpsc::channel(256);
    dial_with_heartbeats(address);
    let (stream, _) = listener.accept().await.expect("the first link");
    tokio::spawn(receive_all(stream, events));
    for _ in 0..100 {
        let event = timeout(TEST_TIMEOUT, received.recv()).await.expect("in time");
        assert!(matches!(event, Some(Event::Input(Input::Peer { node, .. })) if node == "stall-1"));
    }
    assert!(
        timeout(Duration::from_millis(100), listener.accept()).await.is_err(),
        "the sender dialled a second link"
    );
}

/// Guards against a link that its receiver drops, together with all other messages, because of one
/// that is too long.
#[test]
fn a_message_that_is_too_long_for_its_receiver_is_left_out() {
    let answer = |length: usize| Message::ForwardReply {
        id: 1,
        answer: crate::peers::Answer {
            status: 200,
            body: "x".repeat(length),
            retry_after_s: None,
        },
    };
    let mut bytes = Vec::new();
    frame::append(&mut bytes, &answer(1 << 20)).expect("encoded");
    let frames = bytes.clone();
    assert!(frames.len() > 1 << 20);
    frame::append(&mut bytes, &answer(2 << 20)).expect("left out");
    assert_eq!(bytes, frames);
}

/// Guards against a change of the frame format: controllers of two versions exchange frames
/// during a rolling upgrade.
#[test]
fn a_frame_is_a_length_and_a_messagepack_message() {
    let mut bytes = Vec::new();
    frame::append(&mut bytes, &heartbeat("n1")).expect("encoded");
    assert_eq!(bytes, b"\x00\x00\x00\x16\x81\xa9Heartbeat\x94\xa2n1\xa4pool\xc0\xc3");
}
