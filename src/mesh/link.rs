//! One link: accepting or dialling it, reading, writing and detecting its loss.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::protocol::frame::Frame as Fragment;
use tokio_tungstenite::tungstenite::protocol::frame::coding::{Data, OpCode};
use tokio_tungstenite::tungstenite::{self, Message};

use super::bounded::Bounded;
use super::frame::{Frame, MAX_FRAME_BYTES, decode, encode};
use super::handshake::{Connection, Failure, Handshake, Result};
use super::{Handler, Mesh, SEND_QUEUE_FRAMES};
use crate::settings::Peer;
use crate::telemetry::Metrics;

/// Limit for a handshake, which includes connecting on the dialling side.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum concurrent handshakes that peers have begun; those of all daemons of a large cluster fit.
/// The oldest one gives way.
const MAX_HANDSHAKES: usize = 512;
/// Size of the buffer into which a link reads, in bytes. Each handshake in progress has one too.
const READ_BUFFER_BYTES: usize = 32 << 10;
/// Longest part of a message that is written at once, in bytes: the socket's buffer keeps the capacity of
/// the longest one.
const MAX_FRAGMENT_BYTES: usize = 64 << 10;
/// Limit for writing one frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Frames that are flushed together; more would delay the first ones.
const MAX_FRAMES_PER_FLUSH: usize = 64;
/// Time without an outgoing frame after which a ping is sent.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Time without an incoming frame after which the link is closed, so that it is dialled again.
/// Allows for three lost pings and is well below the time within which work must resume after a
/// network partition.
const READ_TIMEOUT: Duration = Duration::from_millis(1_900);
/// Limit for connecting to and handshaking with a peer that was found through discovery.
const DISCOVERY_DIAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before a lost link is dialled again and after a failed accept.
const RETRY_DELAY: Duration = Duration::from_millis(200);

type Socket = WebSocketStream<Bounded>;

fn websocket_config() -> WebSocketConfig {
    let config = WebSocketConfig::default();
    let config = config.read_buffer_size(READ_BUFFER_BYTES);
    config.max_message_size(Some(MAX_FRAME_BYTES)).max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Accepts links; never returns.
pub(super) async fn accept_links<H: Handler>(
    mesh: Mesh,
    listener: TcpListener,
    key: Arc<[u8]>,
    handler: Arc<H>,
) {
    let mut handshakes: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        while handshakes.front().is_some_and(AbortHandle::is_finished) {
            handshakes.pop_front();
        }
        if handshakes.len() >= MAX_HANDSHAKES {
            handshakes.retain(|handshake| !handshake.is_finished());
        }
        if handshakes.len() >= MAX_HANDSHAKES
            && let Some(oldest) = handshakes.pop_front()
        {
            tracing::warn!("oldest link handshake given up: too many in progress");
            oldest.abort();
        }
        let (mesh, key, handler) = (mesh.clone(), key.clone(), handler.clone());
        let handshake = tokio::spawn(async move {
            match timeout(HANDSHAKE_TIMEOUT, accept_link(&mesh, stream, &key)).await {
                Ok(Ok(connection)) => {
                    tokio::spawn(run_link(mesh, connection, handler));
                }
                Ok(Err(error)) => {
                    tracing::warn!(%address, refused = %error, "link handshake failed")
                }
                Err(_) => tracing::warn!(%address, "link handshake timed out"),
            }
        });
        handshakes.push_back(handshake.abort_handle());
    }
}

async fn accept_link(mesh: &Mesh, stream: TcpStream, key: &[u8]) -> Result<Connection> {
    stream.set_nodelay(true).map_err(|error| Failure::Socket(error.into()))?;
    let stream = Bounded::new(stream);
    let socket =
        tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config())).await?;
    Handshake { socket }.authenticate(mesh.own_hello(), key).await
}

/// Dials a peer and redials it whenever the link is lost; never returns.
pub(super) async fn keep_link<H: Handler>(mesh: Mesh, peer: Peer, key: Arc<[u8]>, handler: Arc<H>) {
    loop {
        match timeout(HANDSHAKE_TIMEOUT, connect(&mesh, &peer, &key)).await {
            Ok(Ok(connection)) => run_link(mesh.clone(), connection, handler.clone()).await,
            Ok(Err(error)) => {
                tracing::debug!(peer = peer.name, refused = %error, "can't establish link")
            }
            Err(_) => tracing::debug!(peer = peer.name, "link handshake timed out"),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Dials a peer once and runs the link until it is lost.
pub(super) async fn dial_once<H: Handler>(mesh: Mesh, peer: Peer, key: Arc<[u8]>, handler: Arc<H>) {
    match timeout(DISCOVERY_DIAL_TIMEOUT, connect(&mesh, &peer, &key)).await {
        Ok(Ok(connection)) => run_link(mesh, connection, handler).await,
        Ok(Err(error)) => {
            tracing::debug!(peer = peer.name, refused = %error, "can't establish link")
        }
        Err(_) => tracing::debug!(peer = peer.name, "link handshake timed out"),
    }
}

async fn connect(mesh: &Mesh, peer: &Peer, key: &[u8]) -> Result<Connection> {
    let to_handshake_error = |error: std::io::Error| Failure::Socket(error.into());
    let stream = TcpStream::connect(peer.address).await.map_err(to_handshake_error)?;
    stream.set_nodelay(true).map_err(to_handshake_error)?;
    let stream = Bounded::new(stream);
    let url = format!("ws://{}/", peer.address);
    let (socket, _) =
        tokio_tungstenite::client_async_with_config(url, stream, Some(websocket_config())).await?;
    let connection = Handshake { socket }.authenticate(mesh.own_hello(), key).await?;
    if connection.hello.name != peer.name {
        return Err(Failure::Name { name: connection.hello.name });
    }
    Ok(connection)
}

async fn run_link<H: Handler>(mesh: Mesh, connection: Connection, handler: Arc<H>) {
    let name = connection.hello.name.clone();
    let (send_queue, outgoing) = mpsc::channel(SEND_QUEUE_FRAMES);
    let (number, last_received) = mesh.add_link(connection.hello.clone(), send_queue);
    tracing::info!(peer = name, "link up");
    handler.on_link(&connection.hello);
    let (sink, stream) = connection.socket.split();
    tokio::select! {
        () = write_frames(sink, outgoing) => {}
        () = read_frames(&mesh, &connection.hello, stream, &last_received, handler) => {}
    }
    mesh.remove_link(&name, number);
    tracing::info!(peer = name, "link down");
}

async fn write_frames(mut sink: SplitSink<Socket, Message>, mut outgoing: mpsc::Receiver<Frame>) {
    loop {
        let first = match timeout(PING_INTERVAL, outgoing.recv()).await {
            Ok(Some(frame)) => Some(frame),
            Ok(None) => return,
            Err(_) => None,
        };
        let result = timeout(WRITE_TIMEOUT, write_queued(&mut sink, first, &mut outgoing)).await;
        if !matches!(result, Ok(Ok(()))) {
            return;
        }
    }
}

// Writes a frame, or a ping if there is none, and the frames that are queued behind it, in one piece
// where they fit in the socket's buffer.
async fn write_queued(
    sink: &mut SplitSink<Socket, Message>,
    first: Option<Frame>,
    outgoing: &mut mpsc::Receiver<Frame>,
) -> std::result::Result<(), tungstenite::Error> {
    match first {
        Some(frame) => feed(sink, frame).await?,
        None => sink.feed(Message::Ping(Bytes::new())).await?,
    }
    for _ in 1..MAX_FRAMES_PER_FLUSH {
        let Ok(frame) = outgoing.try_recv() else { break };
        feed(sink, frame).await?;
    }
    sink.flush().await
}

// Writes a frame as one message, which is fragmented if it is long.
async fn feed(
    sink: &mut SplitSink<Socket, Message>,
    frame: Frame,
) -> std::result::Result<(), tungstenite::Error> {
    let mut rest = Bytes::from(encode(&frame));
    drop(frame);
    Metrics::global().count_mesh_bytes(rest.len() as u64);
    if rest.len() <= MAX_FRAGMENT_BYTES {
        return sink.feed(Message::Binary(rest)).await;
    }
    let mut kind = Data::Binary;
    while !rest.is_empty() {
        let part = rest.split_to(rest.len().min(MAX_FRAGMENT_BYTES));
        let fragment = Fragment::message(part, OpCode::Data(kind), rest.is_empty());
        sink.send(Message::Frame(fragment)).await?;
        kind = Data::Continue;
    }
    Ok(())
}

async fn read_frames<H: Handler>(
    mesh: &Mesh,
    peer: &super::Hello,
    mut stream: SplitStream<Socket>,
    last_received: &super::Activity,
    handler: Arc<H>,
) {
    while let Ok(Some(Ok(message))) = timeout(READ_TIMEOUT, stream.next()).await {
        last_received.update();
        let Message::Binary(bytes) = message else { continue };
        let frame = match decode::<Frame>(&bytes) {
            Ok(frame) => frame,
            Err(error) => {
                tracing::warn!(peer = peer.name, malformed = %error, "link closed: malformed frame");
                return;
            }
        };
        match frame {
            Frame::Replica(message) => handler.on_replica(peer.id, message),
            Frame::Answer { number, answer } => mesh.complete_call(&peer.name, number, answer),
            Frame::Notice(notice) => handler.on_notice(&peer.name, notice),
            Frame::Call { number, call } => {
                let (mesh, handler, caller) = (mesh.clone(), handler.clone(), peer.clone());
                tokio::spawn(async move {
                    let answer = handler.on_call(caller.name.clone(), call).await;
                    mesh.send_answer(&caller, number, answer);
                });
            }
        }
    }
}
