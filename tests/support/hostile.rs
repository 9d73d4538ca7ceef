//! An upstream on raw TCP with one configurable fault, which records the requests that it has read
//! completely.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eelgrassvalve::routing::upstream::{Announcement, State};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// How a [`FaultyUpstream`] treats connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Responds at once, with the request number.
    Normal,
    /// Responds without the request number.
    Unnumbered,
    /// Refuses connections.
    Refuses,
    /// Reads requests and never responds.
    Silent,
    /// Resets the connection after the first byte of a request.
    ResetsEarly,
    /// Resets the connection after the whole request.
    ResetsLate,
    /// Closes the connection before the last three bytes of the response body.
    ClosesMidBody,
    /// Sends one byte less than `content-length` says, and keeps the connection open.
    ShortBody,
    /// Sends more bytes after the end of the body.
    OverlongBody,
    /// Closes the connection without the last chunk of a chunked body.
    TruncatedChunks,
    /// Sends a body without a length and closes the connection after it.
    NoLength,
    /// Declares a body length beyond the limit.
    OversizedBody,
    /// Responds after this delay.
    Late(Duration),
    /// Responds, and sends the same response again after this delay.
    Twice(Duration),
    /// Sends bytes that are not HTTP.
    Garbage,
    /// Responds with the number of another request.
    WrongNumber,
    /// Responds with status 503.
    Fails,
    /// Closes each connection after the response, without a `connection: close` header.
    ClosesIdle,
    /// Responds to the head of the request, without waiting for the body.
    AnswersEarly,
    /// Sends an interim response (103) first.
    Interim,
}

/// A running upstream; dropping it stops it.
pub struct FaultyUpstream {
    pub id: String,
    pub address: SocketAddr,
    received_payloads: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl FaultyUpstream {
    /// Starts an upstream on a free loopback port.
    pub async fn start(id: &str, behavior: Behavior) -> Self {
        let listener =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let received_payloads: Arc<Mutex<Vec<String>>> = Arc::default();
        let task = match behavior {
            Behavior::Refuses => tokio::spawn(async move { drop(listener) }),
            _ => tokio::spawn(serve(listener, behavior, received_payloads.clone())),
        };
        Self { id: id.into(), address, received_payloads, task }
    }

    /// Number of requests with this payload that were read completely.
    pub fn count(&self, payload: &str) -> usize {
        let received_payloads = self.received_payloads.lock().expect("the mutex is not poisoned");
        received_payloads.iter().filter(|received| *received == payload).count()
    }

    /// Announcement to report for this upstream.
    pub fn announce(&self, slots: u32, sequence: u64) -> Announcement {
        Announcement {
            address: self.address,
            zone: "zone-1".into(),
            slots,
            connections: 60,
            kinds: ["plan".to_string()].into(),
            incarnation: 1,
            sequence,
            state: State::Serving,
        }
    }
}

impl Drop for FaultyUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    listener: TcpListener,
    behavior: Behavior,
    received_payloads: Arc<Mutex<Vec<String>>>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let received_payloads = received_payloads.clone();
        tokio::spawn(async move {
            // The client reports connection errors.
            let _ = handle_connection(stream, behavior, &received_payloads).await;
        });
    }
}

async fn handle_connection(
    mut stream: TcpStream,
    behavior: Behavior,
    received_payloads: &Mutex<Vec<String>>,
) -> std::io::Result<()> {
    loop {
        if behavior == Behavior::ResetsEarly {
            stream.read_u8().await?;
            return reset(stream);
        }
        let Some(request) = read_request(&mut stream, behavior).await? else { return Ok(()) };
        received_payloads.lock().expect("the mutex is not poisoned").push(request.payload.clone());
        let response = request.response("");
        match behavior {
            Behavior::Silent => std::future::pending().await,
            Behavior::ResetsLate => return reset(stream),
            Behavior::ClosesMidBody => {
                stream.write_all(&response.as_bytes()[..response.len() - 3]).await?;
                return Ok(());
            }
            Behavior::ShortBody => {
                stream.write_all(&response.as_bytes()[..response.len() - 1]).await?
            }
            Behavior::OverlongBody => {
                stream.write_all(format!("{response}more").as_bytes()).await?
            }
            Behavior::Garbage => stream.write_all(b"\x00\x01 no HTTP at all\r\n\r\n").await?,
            Behavior::Late(delay) => {
                tokio::time::sleep(delay).await;
                stream.write_all(response.as_bytes()).await?;
            }
            Behavior::Twice(delay) => {
                stream.write_all(response.as_bytes()).await?;
                tokio::time::sleep(delay).await;
                stream.write_all(response.as_bytes()).await?;
            }
            Behavior::ClosesIdle => {
                stream.write_all(response.as_bytes()).await?;
                return Ok(());
            }
            Behavior::Interim => {
                let interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
                stream.write_all(format!("{interim}{response}").as_bytes()).await?;
            }
            _ => {
                let response = request.faulty_response(behavior).unwrap_or(response);
                stream.write_all(response.as_bytes()).await?;
                if matches!(behavior, Behavior::NoLength | Behavior::TruncatedChunks) {
                    return Ok(());
                }
            }
        }
    }
}

/// Sets a zero linger time, so that closing the stream sends RST.
fn reset(stream: TcpStream) -> std::io::Result<()> {
    stream.set_zero_linger()
}

struct Request {
    number: String,
    payload: String,
}

impl Request {
    fn response(&self, extra_headers: &str) -> String {
        let body = format!("plan:{}", self.payload);
        let length = body.len();
        let number = &self.number;
        format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\neelgrassvalve-request: {number}\r\n\
             {extra_headers}\r\n{body}"
        )
    }

    fn faulty_response(&self, behavior: Behavior) -> Option<String> {
        let body = format!("plan:{}", self.payload);
        let length = body.len();
        let number = &self.number;
        let response = match behavior {
            Behavior::Unnumbered => {
                format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
            }
            Behavior::WrongNumber => format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\neelgrassvalve-request: 9{number}\
                 \r\n\r\n{body}"
            ),
            Behavior::TruncatedChunks => format!(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n"
            ),
            Behavior::NoLength => format!("HTTP/1.1 200 OK\r\n\r\n{body}"),
            Behavior::OversizedBody => {
                "HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n".into()
            }
            Behavior::Fails => format!(
                "HTTP/1.1 503 Failed\r\ncontent-length: {length}\r\n\
                 eelgrassvalve-request: {number}\r\n\r\n{body}"
            ),
            _ => return None,
        };
        Some(response)
    }
}

/// Reads one request; `None` if the connection ends before it is complete.
async fn read_request(
    stream: &mut TcpStream,
    behavior: Behavior,
) -> std::io::Result<Option<Request>> {
    let mut bytes = Vec::new();
    let head_length = loop {
        if let Some(head_end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break head_end + 4;
        }
        let mut buffer = [0; 4096];
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&buffer[..length]);
    };
    let head = String::from_utf8_lossy(&bytes[..head_length]).to_lowercase();
    let field = |name: &str| {
        let line = head.lines().find_map(|line| line.strip_prefix(name));
        line.map(|value| value.trim().to_string()).unwrap_or_default()
    };
    let number = field("eelgrassvalve-request:");
    if behavior == Behavior::AnswersEarly {
        return Ok(Some(Request { number, payload: "early".into() }));
    }
    let length: usize = field("content-length:").parse().unwrap_or(0);
    let mut body = bytes.split_off(head_length);
    while body.len() < length {
        let mut buffer = [0; 4096];
        let received = stream.read(&mut buffer).await?;
        if received == 0 {
            return Ok(None);
        }
        body.extend_from_slice(&buffer[..received]);
    }
    Ok(Some(Request { number, payload: String::from_utf8_lossy(&body).into_owned() }))
}
