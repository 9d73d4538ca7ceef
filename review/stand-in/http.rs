//! An HTTP/1.1 client that uses a new connection for each request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::json::Value;

#[derive(Debug, Default)]
pub struct Answer {
    /// 0 if there was no complete answer in time.
    pub status: u16,
    pub body: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        Value::parse(&self.body)
    }
}

/// Sends a request and waits for the whole answer for `within` at most.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    within: Duration,
) -> Answer {
    try_call(to, method, path, headers, body, within).unwrap_or_default()
}

fn try_call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    within: Duration,
) -> Option<Answer> {
    let deadline = Instant::now() + within;
    let left = || deadline.checked_duration_since(Instant::now()).filter(|left| !left.is_zero());
    let mut stream = TcpStream::connect_timeout(&to, left()?).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("Content-Type: application/json\r\n");
    head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.set_write_timeout(Some(left()?)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    loop {
        stream.set_read_timeout(Some(left()?)).ok()?;
        match stream.read(&mut buffer).ok()? {
            0 => break,
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    }
    let text = String::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    (length.is_none_or(|length: usize| length == body.len()))
        .then(|| Answer { status, body: body.into() })
}
