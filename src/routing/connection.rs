//! Pool of HTTP/1.1 connections to upstreams, which carry one request at a time.
//!
//! The pool uses hyper's connection API directly because the pool of volo-http silently retries
//! a request when hyper reports that a pooled connection closed early. On a reused connection, a
//! late or second answer to one request can't be told from the answer to the next one, so
//! connections are kept only to upstreams that echo the number of the request in the answer.

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
use crate::kernel::lock::{Mutex, Rank};
use crate::state::claim::Answer;

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, Failure>;

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Milliseconds after which an idle connection is closed.
const IDLE_TIMEOUT_MS: u64 = 10_000;
/// Time within which a connection must be ready for another request after an answer; otherwise
/// it is closed.
const REUSE_TIMEOUT: Duration = Duration::from_millis(20);
/// Header with the number of a request. Connections to an upstream are reused only if the
/// upstream repeats this header in its answers.
pub const REQUEST_NUMBER_HEADER: &str = "eelgrassvalve-request";

/// Why an exchange failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be established.
    #[display("connect: {_0}")]
    Connect(#[error(not(source))] String),
    /// The connection returned the request without writing any byte of it.
    #[display("not sent: {_0}")]
    Unsent(#[error(not(source))] String),
    /// The exchange failed after bytes may have been sent.
    #[display("exchange: {_0}")]
    Exchange(#[error(not(source))] String),
    /// The body of the answer was truncated, too long or without a length.
    #[display("body: {_0}")]
    Body(#[error(not(source))] String),
    /// The answer belongs to another request.
    #[display("the answer belongs to another request")]
    Mismatch,
}

/// Idle connections by upstream address.
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Idle>>>,
    max_answer_bytes: usize,
}

struct Idle {
    connection: Connection,
    since_ms: u64,
}

/// A connection that carries at most one request at a time.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    is_reused: bool,
    /// Whether the last answer was complete and echoed the number of its request.
    is_reusable: bool,
}

impl Connection {
    /// Whether the connection carried an earlier request.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }
}

impl Pool {
    /// Creates an empty pool that rejects answers longer than `max_answer_bytes`.
    pub fn new(max_answer_bytes: usize) -> Self {
        let idle = Mutex::new(Rank::Connections, BTreeMap::new());
        Self { idle, max_answer_bytes }
    }

    /// Returns an idle connection, or establishes a new one.
    ///
    /// # Errors
    /// If no connection can be established within the timeout.
    pub async fn acquire(&self, address: SocketAddr) -> Result<Connection> {
        while let Some(mut connection) = self.pop_idle(address) {
            // Not ready if it was closed or received unsolicited bytes.
            if connection.sender.is_ready() {
                connection.is_reused = true;
                connection.is_reusable = false;
                return Ok(connection);
            }
        }
        match tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await {
            Ok(connection) => connection,
            Err(_) => Err(Failure::Connect("timed out".into())),
        }
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let popped = idle.get_mut(&address)?.pop();
        popped.map(|idle| idle.connection)
    }

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    /// If the answer is incomplete or belongs to another request.
    pub async fn exchange(&self, connection: &mut Connection, request: &Request) -> Result<Answer> {
        let outgoing = build_request(connection.address, request)?;
        let sent = connection.sender.try_send_request(outgoing).await;
        let response = sent.map_err(|mut error| {
            let is_unsent = error.take_message().is_some();
            let text = error.into_error().to_string();
            if is_unsent { Failure::Unsent(text) } else { Failure::Exchange(text) }
        })?;
        let (head, body) = response.into_parts();
        let is_echoed = self.check_head(connection, request, &head)?;
        let collected = Limited::new(body, self.max_answer_bytes).collect().await;
        let body = collected.map_err(|e| Failure::Body(e.to_string()))?.to_bytes();
        if content_length(&head.headers).is_some_and(|length| length != body.len() as u64) {
            return Err(Failure::Body("another length than announced".into()));
        }
        let content_type = head.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_string);
        connection.is_reusable = is_echoed;
        Ok(Answer { status: head.status.as_u16(), content_type, body: Some(body.to_vec()) })
    }

    // Returns whether the answer echoes the number of the request.
    fn check_head(
        &self,
        connection: &Connection,
        request: &Request,
        head: &http::response::Parts,
    ) -> Result<bool> {
        if head.status.is_informational() {
            return Err(Failure::Exchange("informational answer only".into()));
        }
        let echoed = head.headers.get(REQUEST_NUMBER_HEADER);
        let is_echoed = echoed.is_some_and(|value| *value == *request.number.to_string());
        let must_echo = echoed.is_some() || connection.is_reused;
        if !is_echoed && must_echo {
            return Err(Failure::Mismatch);
        }
        let length = content_length(&head.headers);
        if length.is_some_and(|length| length > self.max_answer_bytes as u64) {
            return Err(Failure::Body("longer than the limit".into()));
        }
        let is_bodiless = matches!(head.status.as_u16(), 204 | 304);
        let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        // Such a body ends when the connection closes, which can't be told from a truncated body.
        if length.is_none() && !is_chunked && !is_bodiless {
            return Err(Failure::Body("of no stated length".into()));
        }
        Ok(is_echoed)
    }

    /// Returns a connection to the pool if it is safe to reuse and fewer than `max_idle`
    /// connections to its address are idle; otherwise closes it.
    pub async fn release(&self, mut connection: Connection, max_idle: usize, now_ms: u64) {
        if !connection.is_reusable {
            return;
        }
        let ready = tokio::time::timeout(REUSE_TIMEOUT, connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        let mut idle = self.idle.lock();
        let same_address = idle.entry(connection.address).or_default();
        if same_address.len() < max_idle {
            same_address.push(Idle { connection, since_ms: now_ms });
        }
    }

    /// Closes connections that exceeded the idle timeout.
    pub fn close_expired(&self, now_ms: u64) {
        let mut idle = self.idle.lock();
        idle.retain(|_, same_address| {
            same_address.retain(|idle| {
                idle.since_ms + IDLE_TIMEOUT_MS > now_ms && !idle.connection.sender.is_closed()
            });
            !same_address.is_empty()
        });
    }
}

fn content_length(headers: &http::HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

async fn connect(address: SocketAddr) -> Result<Connection> {
    let failure = |e: String| Failure::Connect(e);
    let stream = TcpStream::connect(address).await.map_err(|e| failure(e.to_string()))?;
    stream.set_nodelay(true).map_err(|e| failure(e.to_string()))?;
    let established = handshake(TokioIo::new(stream)).await;
    let (sender, connection) = established.map_err(|e| failure(e.to_string()))?;
    // Ends when the sender is dropped or the upstream closes the connection.
    tokio::spawn(connection);
    Ok(Connection { address, sender, is_reused: false, is_reusable: false })
}

fn build_request(address: SocketAddr, request: &Request) -> Result<http::Request<Full<Bytes>>> {
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
    built.map_err(|e| Failure::Exchange(e.to_string()))
}
