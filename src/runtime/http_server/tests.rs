use super::*;
use crate::admission::error_answer;
use crate::runtime::event::Event;
use crate::runtime::event_loop_monitor::TICK_INTERVAL;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(20);

/// Whether the event loop of a test's server keeps up.
#[derive(PartialEq)]
enum Loop {
    KeepsUp,
    StandsStill,
}

/// A server with so many connections that answers health checks.
async fn serve_health(max_connections: u32, event_loop: Loop) -> (SocketAddr, Arc<EventLoopMonitor>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (urgent, mut events) = mpsc::channel(16);
    let (users, mut asked) = mpsc::channel(16);
    let monitor = Arc::new(EventLoopMonitor::new());
    let endpoint = HttpEndpoint::new(urgent, users, max_connections, 64);
    tokio::spawn(serve(listener, endpoint, monitor.clone()));
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            if let Event::Health { reply } = event {
                let _ = reply.send(error_answer(200, ""));
            }
        }
    });
    // Users wait for good, so that what they sent stays in hand.
    tokio::spawn(async move {
        let mut waiting = Vec::new();
        while let Some(event) = asked.recv().await {
            waiting.push(event);
        }
    });
    if event_loop == Loop::KeepsUp {
        tokio::spawn(keep_up(monitor.clone()));
    }
    (address, monitor)
}

/// Ticks as an event loop does.
async fn keep_up(monitor: Arc<EventLoopMonitor>) {
    loop {
        monitor.record_tick();
        sleep(TICK_INTERVAL).await;
    }
}

async fn ask(address: SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(address).await.expect("connected");
    let request = b"GET /healthz HTTP/1.1\r\nHost: here\r\n\r\n";
    client.write_all(request).await.expect("sent");
    client
}

async fn is_answered(client: &mut TcpStream, within: Duration) -> bool {
    let mut answer = [0; 12];
    let read = timeout(within, client.read_exact(&mut answer)).await;
    matches!(read, Ok(Ok(_))) && &answer == b"HTTP/1.1 200"
}

/// Guards against connections kept open for the next report while others
/// wait for one: with one controller left, the workers that came last found
/// no room until their leases had expired.
#[tokio::test(flavor = "current_thread")]
async fn more_clients_than_connections_all_get_their_answer() {
    let (address, _) = serve_health(3, Loop::KeepsUp).await;
    // None of them closes its connection.
    let mut kept = Vec::new();
    for _ in 0..8 {
        let mut client = ask(address).await;
        assert!(is_answered(&mut client, PATIENCE).await);
        kept.push(client);
    }
}

/// Guards against a leader that loses its lease, or never takes over, because
/// thousands of workers connect at once.
#[tokio::test(flavor = "current_thread")]
async fn no_connection_is_accepted_while_the_event_loop_is_behind() {
    let (address, monitor) = serve_health(8, Loop::StandsStill).await;
    sleep(Duration::from_millis(300)).await;
    assert!(monitor.is_behind());
    // The accept that was under way when it fell behind, and one that has to wait.
    let _first = ask(address).await;
    let mut second = ask(address).await;
    assert!(!is_answered(&mut second, Duration::from_millis(400)).await);
    tokio::spawn(keep_up(monitor));
    assert!(is_answered(&mut second, PATIENCE).await);
}

/// Guards against connections that nobody uses any more, which would hold memory and
/// a socket each for good.
#[tokio::test(start_paused = true)]
async fn a_connection_without_requests_is_closed() {
    let (address, _) = serve_health(8, Loop::KeepsUp).await;
    let mut client = ask(address).await;
    assert!(is_answered(&mut client, PATIENCE).await);
    let mut rest = Vec::new();
    let closed = timeout(2 * IDLE_TIMEOUT, client.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "still open after {:?}", 2 * IDLE_TIMEOUT);
}

async fn submit(address: SocketAddr, body: &str, length: usize) -> TcpStream {
    let mut client = TcpStream::connect(address).await.expect("connected");
    let head = format!("POST /v1/jobs HTTP/1.1\r\nHost: here\r\nContent-Length: {length}\r\n\r\n{body}");
    client.write_all(head.as_bytes()).await.expect("sent");
    client
}

async fn status(client: &mut TcpStream) -> String {
    let mut answer = [0; 12];
    let read = timeout(PATIENCE, client.read_exact(&mut answer)).await;
    read.expect("in time").expect("answered");
    String::from_utf8_lossy(&answer[9..]).into_owned()
}

/// Guards against memory filled by submissions that wait: beyond their part of it they
/// are refused at once, and one that is too long is not even read.
#[tokio::test(flavor = "current_thread")]
async fn submissions_beyond_their_memory_are_refused_at_once() {
    let (address, _) = serve_health(8, Loop::KeepsUp).await;
    let mut unread = submit(address, "{", 10_000_000).await;
    assert_eq!(status(&mut unread).await, "400");
    let large = " ".repeat(60 * 1_024);
    let _in_hand = submit(address, &large, large.len()).await;
    sleep(Duration::from_millis(200)).await;
    let mut refused = submit(address, &large, large.len()).await;
    assert_eq!(status(&mut refused).await, "503");
}
