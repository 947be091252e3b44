use super::*;
use crate::runtime::http_server::serve;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Guards against connections kept open for the next report while others
/// wait for one: with one controller left, the workers that came last found
/// no room until their leases had lapsed.
#[tokio::test(flavor = "current_thread")]
async fn more_clients_than_connections_all_get_their_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (urgent, mut events) = mpsc::channel(16);
    let (users, _) = mpsc::channel(16);
    tokio::spawn(serve(listener, Front::new(urgent, users, 3)));
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            if let Event::Health { reply } = event {
                let _ = reply.send(text(200, ""));
            }
        }
    });
    // None of them closes its connection.
    let mut kept = Vec::new();
    for _ in 0..8 {
        let mut client = TcpStream::connect(address).await.expect("connected");
        let request = b"GET /healthz HTTP/1.1\r\nHost: here\r\n\r\n";
        client.write_all(request).await.expect("sent");
        let mut answer = [0; 12];
        let read = tokio::time::timeout(Duration::from_secs(20), client.read_exact(&mut answer));
        read.await.expect("answered").expect("read");
        assert_eq!(&answer, b"HTTP/1.1 200");
        kept.push(client);
    }
}
