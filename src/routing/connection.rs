//! Connections to upstreams: one request at a time, none reused after any doubt.
//!
//! The pool of volo-http retries by itself where hyper says that a pooled connection closed
//! early, so hyper's connection API is used with a pool of stricter rules.

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
/// Idle connections kept for one upstream.
const IDLE: usize = 10;

/// Why an exchange failed.
#[derive(Debug, Display, Error)]
pub enum Failed {
    /// No connection could be made.
    #[display("connect: {_0}")]
    Connect(#[error(not(source))] String),
    /// The exchange broke off.
    #[display("exchange: {_0}")]
    Exchange(#[error(not(source))] String),
    /// The body was cut short, too long or of another length than announced.
    #[display("body: {_0}")]
    Body(#[error(not(source))] String),
}

/// Idle connections by upstream address.
pub struct Pool {
    idle: Table<BTreeMap<SocketAddr, Vec<Connection>>>,
    answer_bytes: usize,
}

/// A connection without a request on it.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
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
        loop {
            let held = self.idle.lock().get_mut(&address).and_then(Vec::pop);
            let Some(mut connection) = held else { break };
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        match tokio::time::timeout(CONNECT, connect(address)).await {
            Ok(connection) => connection,
            Err(_) => Err(Failed::Connect("timed out".into())),
        }
    }

    /// Sends a request and reads its whole answer; the connection is kept only where nothing
    /// speaks against it.
    ///
    /// # Errors
    /// Where the answer did not arrive whole.
    pub async fn exchange(&self, mut connection: Connection, request: &Request) -> Result<Answer> {
        let outgoing = build(connection.address, request)?;
        let sent = connection.sender.send_request(outgoing).await;
        let response = sent.map_err(|e| Failed::Exchange(e.to_string()))?;
        let (head, body) = response.into_parts();
        let announced = content_length(&head.headers);
        let collected = Limited::new(body, self.answer_bytes).collect().await;
        let body = collected.map_err(|e| Failed::Body(e.to_string()))?.to_bytes();
        if announced.is_some_and(|length| length != body.len() as u64) {
            return Err(Failed::Body("another length than announced".into()));
        }
        let content_type = head.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_string);
        self.give_back(connection);
        Ok(Answer { status: head.status.as_u16(), content_type, body: Some(body.to_vec()) })
    }

    fn give_back(&self, connection: Connection) {
        let mut idle = self.idle.lock();
        let held = idle.entry(connection.address).or_default();
        if held.len() < IDLE && !connection.sender.is_closed() {
            held.push(connection);
        }
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
    Ok(Connection { address, sender })
}

fn build(address: SocketAddr, request: &Request) -> Result<http::Request<Full<Bytes>>> {
    let mut builder = http::Request::builder()
        .method(Method::POST)
        .uri(format!("/v1/run/{}", request.kind))
        .header(header::HOST, address.to_string())
        .header("eelgrassvalve-customer", &request.customer)
        .header("eelgrassvalve-request", request.number);
    if let Some(content_type) = &request.content_type {
        builder = builder.header(header::CONTENT_TYPE, content_type);
    }
    let built = builder.body(Full::new(request.payload.clone()));
    built.map_err(|e| Failed::Exchange(e.to_string()))
}
