//! An upstream on raw TCP that misbehaves in one manner, and keeps a journal of what it read whole.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eelgrassvalve::routing::upstream::{Announcement, State};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// How it misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Does not: answers at once, with the request's number.
    Normal,
    /// Answers without the request's number.
    Unnumbered,
    /// Accepts no connection.
    Refuses,
    /// Reads and never answers.
    Silent,
    /// Resets once the first byte has come.
    ResetsEarly,
    /// Resets once the whole request has come.
    ResetsLate,
    /// Closes after half of the answer's body.
    ClosesMidBody,
    /// Announces one byte more than it sends, and keeps the connection open.
    ShortBody,
    /// Sends bytes after the end of the body.
    OverlongBody,
    /// Ends a chunked body without the last chunk.
    TruncatedChunks,
    /// Says nothing of the body's length, and closes.
    NoLength,
    /// Announces a body beyond the limit.
    OversizedBody,
    /// Answers after the given time.
    Late(Duration),
    /// Answers, and sends the same answer again after the given time.
    Twice(Duration),
    /// Sends bytes that are no HTTP.
    Garbage,
    /// Names another request in its answer.
    WrongNumber,
    /// Sends a status of its own failure.
    Fails,
    /// Closes each connection right after the answer, without saying so before.
    ClosesIdle,
    /// Answers before it has read the body, and never reads it.
    AnswersEarly,
    /// Sends an interim answer first.
    Interim,
}

/// A running one.
pub struct FaultyUpstream {
    /// Id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    journal: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl FaultyUpstream {
    /// Starts one.
    pub async fn start(id: &str, manner: Behavior) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("is bound");
        let journal: Arc<Mutex<Vec<String>>> = Arc::default();
        let task = match manner {
            Behavior::Refuses => tokio::spawn(async move { drop(listener) }),
            _ => tokio::spawn(serve(listener, manner, journal.clone())),
        };
        Self { id: id.into(), address, journal, task }
    }

    /// How often it read this payload whole.
    pub fn count(&self, payload: &str) -> usize {
        let journal = self.journal.lock().expect("no holder panics");
        journal.iter().filter(|line| *line == payload).count()
    }

    /// Its announcement.
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

async fn serve(listener: TcpListener, manner: Behavior, journal: Arc<Mutex<Vec<String>>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let journal = journal.clone();
        tokio::spawn(async move {
            // A broken connection is the other end's affair.
            let _ = talk(stream, manner, &journal).await;
        });
    }
}

async fn talk(
    mut stream: TcpStream,
    manner: Behavior,
    journal: &Mutex<Vec<String>>,
) -> std::io::Result<()> {
    loop {
        if manner == Behavior::ResetsEarly {
            stream.read_u8().await?;
            return reset(stream);
        }
        let Some(request) = read(&mut stream, manner).await? else { return Ok(()) };
        journal.lock().expect("no holder panics").push(request.payload.clone());
        let whole = request.answer("");
        match manner {
            Behavior::Silent => std::future::pending().await,
            Behavior::ResetsLate => return reset(stream),
            Behavior::ClosesMidBody => {
                stream.write_all(&whole.as_bytes()[..whole.len() - 3]).await?;
                return Ok(());
            }
            Behavior::ShortBody => stream.write_all(&whole.as_bytes()[..whole.len() - 1]).await?,
            Behavior::OverlongBody => stream.write_all(format!("{whole}more").as_bytes()).await?,
            Behavior::Garbage => stream.write_all(b"\x00\x01 no HTTP at all\r\n\r\n").await?,
            Behavior::Late(after) => {
                tokio::time::sleep(after).await;
                stream.write_all(whole.as_bytes()).await?;
            }
            Behavior::Twice(after) => {
                stream.write_all(whole.as_bytes()).await?;
                tokio::time::sleep(after).await;
                stream.write_all(whole.as_bytes()).await?;
            }
            Behavior::ClosesIdle => {
                stream.write_all(whole.as_bytes()).await?;
                return Ok(());
            }
            Behavior::Interim => {
                let interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
                stream.write_all(format!("{interim}{whole}").as_bytes()).await?;
            }
            _ => {
                let text = request.crooked(manner).unwrap_or(whole);
                stream.write_all(text.as_bytes()).await?;
                if matches!(manner, Behavior::NoLength | Behavior::TruncatedChunks) {
                    return Ok(());
                }
            }
        }
    }
}

fn reset(stream: TcpStream) -> std::io::Result<()> {
    stream.set_zero_linger()
}

struct Request {
    number: String,
    payload: String,
}

impl Request {
    fn answer(&self, extra: &str) -> String {
        let body = format!("plan:{}", self.payload);
        let length = body.len();
        let number = &self.number;
        format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\neelgrassvalve-request: {number}\r\n\
             {extra}\r\n{body}"
        )
    }

    fn crooked(&self, manner: Behavior) -> Option<String> {
        let body = format!("plan:{}", self.payload);
        let length = body.len();
        let number = &self.number;
        let text = match manner {
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
        Some(text)
    }
}

async fn read(stream: &mut TcpStream, manner: Behavior) -> std::io::Result<Option<Request>> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        let mut buffer = [0; 4096];
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&buffer[..length]);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let field = |name: &str| {
        let line = head.lines().find_map(|line| line.strip_prefix(name));
        line.map(|value| value.trim().to_string()).unwrap_or_default()
    };
    let number = field("eelgrassvalve-request:");
    if manner == Behavior::AnswersEarly {
        return Ok(Some(Request { number, payload: "early".into() }));
    }
    let length: usize = field("content-length:").parse().unwrap_or(0);
    let mut body = bytes.split_off(end);
    while body.len() < length {
        let mut buffer = [0; 4096];
        let read = stream.read(&mut buffer).await?;
        if read == 0 {
            return Ok(None);
        }
        body.extend_from_slice(&buffer[..read]);
    }
    Ok(Some(Request { number, payload: String::from_utf8_lossy(&body).into_owned() }))
}
