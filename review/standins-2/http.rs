//! HTTP/1.1 on loopback: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// What a server does with a request. `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(&Request) -> Option<(u16, String)> + Send + Sync>;

/// Serves on a free loopback port, which it returns.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut out) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(&request) else { return };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body.as_bytes());
        if out.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut parts = line.split_whitespace();
    let method = parts.next()?.to_owned();
    let target = parts.next()?.to_owned();
    let (_, length) = read_headers(reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect();
    Some(Request { method, path: path.to_owned(), query, body: String::from_utf8(body).ok()? })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<(Vec<String>, usize)> {
    let (mut headers, mut length) = (Vec::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            return Some((headers, length));
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        headers.push(line);
    }
}

/// A connection that a user keeps open.
pub struct Connection {
    address: SocketAddr,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection { address, reader: BufReader::new(stream) })
    }

    /// Sends a request without a body and reads the answer. `None` without a complete one in time.
    pub fn get(&mut self, path: &str, timeout: Duration) -> Option<(u16, String)> {
        self.reader.get_ref().set_read_timeout(Some(timeout)).ok()?;
        let request = format!("GET {path} HTTP/1.1\r\nhost: {}\r\n\r\n", self.address);
        self.reader.get_mut().write_all(request.as_bytes()).ok()?;
        read_answer(&mut self.reader)
    }
}

fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<(u16, String)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, length) = read_headers(reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8(body).ok()?))
}

/// Sends one request on a connection of its own. `None` without a complete answer in time.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str, timeout: Duration) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    read_answer(&mut BufReader::new(stream))
}
