use super::*;
use crate::admission::error_answer;
use crate::runtime::event::Event;
use crate::runtime::event_loop_monitor::TICK_INTERVAL;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::timeout;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Whether the event loop of a test server keeps up.
#[derive(PartialEq)]
enum LoopState {
    KeepsUp,
    Stalled,
}

/// Starts a server for at most `max_connections` connections. It answers health checks and
/// never answers requests from users.
async fn serve_health(max_connections: u32, event_loop: LoopState) -> (SocketAddr, Arc<EventLoopMonitor>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (urgent, mut events) = mpsc::channel(16);
    let (users, mut user_events) = mpsc::channel(16);
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
    // Requests from users are never answered, so that their bodies stay in memory.
    tokio::spawn(async move {
        let mut unanswered = Vec::new();
        while let Some(event) = user_events.recv().await {
            unanswered.push(event);
        }
    });
    if event_loop == LoopState::KeepsUp {
        tokio::spawn(tick_on_time(monitor.clone()));
    }
    (address, monitor)
}

/// Ticks like an event loop that keeps up.
async fn tick_on_time(monitor: Arc<EventLoopMonitor>) {
    loop {
        monitor.record_tick();
        sleep(TICK_INTERVAL).await;
    }
}

async fn send_health_check(address: SocketAddr) -> TcpStream {
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

/// Guards against connections that are kept open for the next report while other clients
/// wait for a connection: with only one controller left, the last workers to connect got
/// none until their leases had expired.
#[tokio::test(flavor = "current_thread")]
async fn more_clients_than_connections_are_all_answered() {
    let (address, _) = serve_health(3, LoopState::KeepsUp).await;
    // No client closes its connection.
    let mut kept = Vec::new();
    for _ in 0..8 {
        let mut client = send_health_check(address).await;
        assert!(is_answered(&mut client, ANSWER_TIMEOUT).await);
        kept.push(client);
    }
}

/// Guards against a leader that loses its lease, or never completes its takeover, because
/// thousands of workers connect at once.
#[tokio::test(flavor = "current_thread")]
async fn no_connection_is_accepted_while_the_event_loop_is_behind() {
    let (address, monitor) = serve_health(8, LoopState::Stalled).await;
    sleep(Duration::from_millis(300)).await;
    assert!(monitor.is_behind());
    // The first connection may still be accepted, because an accept was already in progress
    // when the loop fell behind. The second has to wait.
    let _first = send_health_check(address).await;
    let mut second = send_health_check(address).await;
    assert!(!is_answered(&mut second, Duration::from_millis(400)).await);
    tokio::spawn(tick_on_time(monitor));
    assert!(is_answered(&mut second, ANSWER_TIMEOUT).await);
}

/// Guards against abandoned connections, each of which would hold memory and a socket
/// forever.
#[tokio::test(start_paused = true)]
async fn a_connection_without_requests_is_closed() {
    let (address, _) = serve_health(8, LoopState::KeepsUp).await;
    let mut client = send_health_check(address).await;
    assert!(is_answered(&mut client, ANSWER_TIMEOUT).await);
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
    let read = timeout(ANSWER_TIMEOUT, client.read_exact(&mut answer)).await;
    read.expect("in time").expect("answered");
    String::from_utf8_lossy(&answer[9..]).into_owned()
}

/// Guards against waiting submissions that fill the memory: beyond their share of it they
/// are refused at once, and a submission that is too long is not even read.
#[tokio::test(flavor = "current_thread")]
async fn submissions_beyond_their_memory_limit_are_refused_at_once() {
    let (address, _) = serve_health(8, LoopState::KeepsUp).await;
    let mut unread = submit(address, "{", 10_000_000).await;
    assert_eq!(status(&mut unread).await, "400");
    let large = " ".repeat(60 * 1_024);
    let _held_in_memory = submit(address, &large, large.len()).await;
    sleep(Duration::from_millis(200)).await;
    let mut refused = submit(address, &large, large.len()).await;
    assert_eq!(status(&mut refused).await, "503");
}
