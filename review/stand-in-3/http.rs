//! A client of HTTP/1.1 that sends one request on a connection of its own.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A response; status 0 if none came in time.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

pub struct Request<'a> {
    pub to: SocketAddr,
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a str,
    pub within: Duration,
}

pub fn send(request: &Request<'_>) -> Response {
    try_send(request).unwrap_or(Response { status: 0, body: String::new() })
}

fn try_send(request: &Request<'_>) -> std::io::Result<Response> {
    let until = Instant::now() + request.within;
    let mut stream = TcpStream::connect_timeout(&request.to, request.within)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(request.within))?;
    let (method, path) = (request.method, request.path);
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    head.push_str("Content-Type: application/json\r\n");
    if !request.headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {}\r\n", request.to));
    }
    for (name, value) in request.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", request.body.len()));
    head.push_str(request.body);
    stream.write_all(head.as_bytes())?;
    let mut bytes = Vec::new();
    let mut part = [0; 16 << 10];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut part)? {
            0 => break,
            length => bytes.extend_from_slice(&part[..length]),
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    Ok(Response { status, body: body.to_string() })
}
