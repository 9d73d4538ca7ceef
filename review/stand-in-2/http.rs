//! HTTP calls with a limit on their time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::json::Json;

/// A response; the status is 0 if none came in time.
pub struct Answer {
    pub status: u16,
    pub body: Json,
    pub text: String,
}

pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    within: Duration,
) -> Answer {
    let text = exchange(to, method, path, headers, body, within).unwrap_or_default();
    let status = text.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Answer { status, body: Json::parse(body), text: body.to_string() }
}

fn exchange(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    within: Duration,
) -> std::io::Result<String> {
    let deadline = Instant::now() + within;
    let mut stream = TcpStream::connect_timeout(&to, within)?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("Content-Type: application/json\r\n");
    head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(head.as_bytes())?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 << 10];
    while !is_complete(&bytes) {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut chunk)? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&chunk[..count]),
        }
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

// Whether a whole response has arrived, by its Content-Length.
fn is_complete(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    body.len() >= length.unwrap_or(0)
}
