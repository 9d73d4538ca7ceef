//! Connections to upstreams: one request at a time, none reused after any doubt.
//!
//! The pool of volo-http retries by itself where hyper says that a pooled connection closed
//! early, so hyper's connection API is used with a pool of stricter rules. A late or second
//! answer on a kept connection looks like the next request's answer, so only connections to
//! upstreams that repeat the request's number in the answer are kept.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Method, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::Request;
use crate::kernel::lock::{Rank, Table};
use crate::state::claim::Answer;

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, Failed>;

/// Longest time to connect.
const CONNECT: Duration = Duration::from_secs(1);

/// Milliseconds after which an idle connection is closed.
const IDLE_MS: u64 = 10_000;
/// Time within which a connection must be clean after an answer, to be used again.
const CLEAN: Duration = Duration::from_millis(20);
/// Header with the number of a request; an upstream that repeats it in its answer lets its
/// connections be used again.
pub const REQUEST_NUMBER_HEADER: &str = "eelgrassvalve-request";

/// Why an exchange failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Failed {
    /// No connection could be made.
    #[display("connect: {_0}")]
    Connect(#[error(not(source))] String),
    /// The connection gave the request back: no byte of it was written.
    #[display("not sent: {_0}")]
    Unsent(#[error(not(source))] String),
    /// The exchange broke off.
    #[display("exchange: {_0}")]
    Exchange(#[error(not(source))] String),
    /// The body was cut short, too long or of no stated length.
    #[display("body: {_0}")]
    Body(#[error(not(source))] String),
    /// The answer belongs to another request.
    #[display("the answer belongs to another request")]
    Stray,
}

/// Idle connections by upstream address.
pub struct Pool {
    idle: Table<BTreeMap<SocketAddr, Vec<Idle>>>,
    answer_bytes: usize,
}

struct Idle {
    connection: Connection,
    since_ms: u64,
}

/// A connection without a request on it.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    is_reused: bool,
    is_clean: bool,
}

impl Connection {
    /// Whether it carried a request before.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }
}

impl Pool {
    /// An empty pool; answers longer than `answer_bytes` are refused.
    pub fn new(answer_bytes: usize) -> Self {
        let idle = Table::new(Rank::Connections, BTreeMap::new());
        Self { idle, answer_bytes }
    }

    /// An idle connection, or a new one.
    ///
    /// # Errors
    /// Where none can be made in time.
    pub async fn take(&self, address: SocketAddr) -> Result<Connection> {
        while let Some(mut connection) = self.pop(address) {
            // One that closed, or on which bytes came that nobody asked for, is not ready.
            if connection.sender.is_ready() {
                connection.is_reused = true;
                connection.is_clean = false;
                return Ok(connection);
            }
        }
        match tokio::time::timeout(CONNECT, connect(address)).await {
            Ok(connection) => connection,
            Err(_) => Err(Failed::Connect("timed out".into())),
        }
    }

    fn pop(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let held = idle.get_mut(&address)?.pop();
        held.map(|idle| idle.connection)
    }

    /// Sends a request and reads its whole answer.
    ///
    /// # Errors
    /// Where the answer did not arrive whole, or is another request's.
    pub async fn exchange(&self, connection: &mut Connection, request: &Request) -> Result<Answer> {
        let outgoing = build(connection.address, request)?;
        let sent = connection.sender.try_send_request(outgoing).await;
        let response = sent.map_err(|mut refused| {
            let is_unsent = refused.take_message().is_some();
            let text = refused.into_error().to_string();
            if is_unsent { Failed::Unsent(text) } else { Failed::Exchange(text) }
        })?;
        let (head, body) = response.into_parts();
        let is_echoed = self.check(connection, request, &head)?;
        let collected = Limited::new(body, self.answer_bytes).collect().await;
        let body = collected.map_err(|e| Failed::Body(e.to_string()))?.to_bytes();
        if content_length(&head.headers).is_some_and(|length| length != body.len() as u64) {
            return Err(Failed::Body("another length than announced".into()));
        }
        let content_type = head.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_string);
        connection.is_clean = is_echoed;
        Ok(Answer { status: head.status.as_u16(), content_type, body: Some(body.to_vec()) })
    }

    // Returns whether the answer names its request.
    fn check(
        &self,
        connection: &Connection,
        request: &Request,
        head: &http::response::Parts,
    ) -> Result<bool> {
        if head.status.is_informational() {
            return Err(Failed::Exchange("informational answer only".into()));
        }
        let echoed = head.headers.get(REQUEST_NUMBER_HEADER);
        let is_own = echoed.is_some_and(|value| *value == *request.number.to_string());
        let is_foreign = echoed.is_some() || connection.is_reused;
        if !is_own && is_foreign {
            return Err(Failed::Stray);
        }
        let length = content_length(&head.headers);
        if length.is_some_and(|length| length > self.answer_bytes as u64) {
            return Err(Failed::Body("longer than the limit".into()));
        }
        let is_bodiless = matches!(head.status.as_u16(), 204 | 304);
        let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        // The end of such a body can't be told from a connection that broke.
        if length.is_none() && !is_chunked && !is_bodiless {
            return Err(Failed::Body("of no stated length".into()));
        }
        Ok(is_own)
    }

    /// Keeps a connection for the next request where nothing speaks against it, and at most
    /// `bound` of one address.
    pub async fn give_back(&self, mut connection: Connection, bound: usize, now_ms: u64) {
        if !connection.is_clean {
            return;
        }
        let ready = tokio::time::timeout(CLEAN, connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        let mut idle = self.idle.lock();
        let held = idle.entry(connection.address).or_default();
        if held.len() < bound {
            held.push(Idle { connection, since_ms: now_ms });
        }
    }

    /// Closes connections that were idle for long.
    pub fn sweep(&self, now_ms: u64) {
        let mut idle = self.idle.lock();
        idle.retain(|_, held| {
            held.retain(|idle| {
                idle.since_ms + IDLE_MS > now_ms && !idle.connection.sender.is_closed()
            });
            !held.is_empty()
        });
    }
}

fn content_length(headers: &http::HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

async fn connect(address: SocketAddr) -> Result<Connection> {
    let failed = |e: String| Failed::Connect(e);
    let stream = TcpStream::connect(address).await.map_err(|e| failed(e.to_string()))?;
    stream.set_nodelay(true).map_err(|e| failed(e.to_string()))?;
    let shaken = handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.map_err(|e| failed(e.to_string()))?;
    // Ends when the sender is dropped or the upstream closes.
    tokio::spawn(connection);
    Ok(Connection { address, sender, is_reused: false, is_clean: false })
}

fn build(address: SocketAddr, request: &Request) -> Result<http::Request<Full<Bytes>>> {
    let mut builder = http::Request::builder()
        .method(Method::POST)
        .uri(format!("/v1/run/{}", request.kind))
        .header(header::HOST, address.to_string())
        .header("eelgrassvalve-customer", &request.customer)
        .header(REQUEST_NUMBER_HEADER, request.number);
    if let Some(content_type) = &request.content_type {
        builder = builder.header(header::CONTENT_TYPE, content_type);
    }
    let built = builder.body(Full::new(request.payload.clone()));
    built.map_err(|e| Failed::Exchange(e.to_string()))
}
