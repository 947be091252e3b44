use super::*;
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a server that answers every request with 200 and keeps the connection open.
async fn serve_empty_responses() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 1_024];
                while stream.read(&mut request).await.is_ok_and(|length| length > 0) {
                    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    stream.write_all(response).await.expect("sent");
                }
            });
        }
    });
    address
}

/// Guards against a client that keeps more idle sockets than the settings reserve for
/// them, because it keeps some for each of many workers.
#[tokio::test(flavor = "current_thread")]
async fn no_more_connections_are_kept_than_allowed() {
    let client = HttpClient::new(2);
    for _ in 0..4 {
        let address = serve_empty_responses().await;
        for _ in 0..2 {
            let request = HttpRequest {
                method: Method::GET,
                path: "/".into(),
                body: Bytes::new(),
                timeout: Duration::from_secs(20),
            };
            let response = client.send(address, request).await;
            assert_eq!(response.map(|response| response.status), Ok(200));
        }
        let idle = client.idle.lock().expect("not poisoned");
        let kept: usize = idle.by_address.values().map(Vec::len).sum();
        assert_eq!(idle.count, kept);
        assert!((1..=2).contains(&kept), "{kept} kept");
    }
}

/// Guards against a response that is asked for again and again because it is longer than the
/// client reads: the caller has to know.
#[tokio::test(flavor = "current_thread")]
async fn a_response_that_is_too_long_is_not_taken_for_an_unknown_outcome() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1_024];
        let received = stream.read(&mut request).await.expect("a request");
        assert!(received > 0);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", MAX_RESPONSE_BYTES + 1);
        stream.write_all(head.as_bytes()).await.expect("sent");
        // The client may close the connection at any point of the body.
        let _ = stream.write_all(&vec![b' '; MAX_RESPONSE_BYTES + 1]).await;
    });
    let request = HttpRequest {
        method: Method::GET,
        path: "/".into(),
        body: Bytes::new(),
        timeout: Duration::from_secs(20),
    };
    let response = HttpClient::new(2).send(address, request).await;
    assert_eq!(response, Err(RequestError::ResponseTooLong));
}
