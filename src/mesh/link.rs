//! One link: accepted or dialled, kept up, read and written.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use super::frame::{FRAME_BYTES, Frame, decode, encode};
use super::handshake::{Connecting, Ready, Refused, Result};
use super::{Handler, Mesh, QUEUE_FRAMES};
use crate::settings::Peer;
use crate::telemetry::Metrics;

/// Longest handshake.
const HANDSHAKE: Duration = Duration::from_secs(3);
/// Longest time that one frame may take to be written.
const WRITE: Duration = Duration::from_secs(5);
/// Silence of the own end after which a ping is sent.
const PING: Duration = Duration::from_millis(400);
/// Silence of the other end after which the link is given up, so that it is dialled anew: three
/// pings, well below the time in which work must go on after a cut.
const SILENCE: Duration = Duration::from_millis(1_900);
/// Longest wait for a connection and handshake with a daemon that was found by its address.
const FIND: Duration = Duration::from_millis(1_000);
/// Wait before a lost link is dialled again.
const REDIAL: Duration = Duration::from_millis(200);

type Socket = WebSocketStream<TcpStream>;

fn config() -> WebSocketConfig {
    let config = WebSocketConfig::default();
    config.max_message_size(Some(FRAME_BYTES)).max_frame_size(Some(FRAME_BYTES))
}

/// Accepts links for ever.
pub(super) async fn accept<H: Handler>(
    mesh: Mesh,
    listener: TcpListener,
    key: Arc<[u8]>,
    receiver: Arc<H>,
) {
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(REDIAL).await;
            continue;
        };
        let (mesh, key, receiver) = (mesh.clone(), key.clone(), receiver.clone());
        tokio::spawn(async move {
            match timeout(HANDSHAKE, accept_one(&mesh, stream, &key)).await {
                Ok(Ok(ready)) => run(mesh, ready, receiver).await,
                Ok(Err(refused)) => tracing::warn!(%address, %refused, "link refused"),
                Err(_) => tracing::warn!(%address, "link handshake timed out"),
            }
        });
    }
}

async fn accept_one(mesh: &Mesh, stream: TcpStream, key: &[u8]) -> Result<Ready> {
    stream.set_nodelay(true).map_err(|e| Refused::Socket(e.into()))?;
    let socket = tokio_tungstenite::accept_async_with_config(stream, Some(config())).await?;
    Connecting { socket }.shake(mesh.own(), key).await
}

/// Dials a peer, and again whenever the link is lost.
pub(super) async fn dial<H: Handler>(mesh: Mesh, peer: Peer, key: Arc<[u8]>, receiver: Arc<H>) {
    loop {
        match timeout(HANDSHAKE, dial_one(&mesh, &peer, &key)).await {
            Ok(Ok(ready)) => run(mesh.clone(), ready, receiver.clone()).await,
            Ok(Err(refused)) => tracing::debug!(peer = peer.name, %refused, "link not made"),
            Err(_) => tracing::debug!(peer = peer.name, "link handshake timed out"),
        }
        tokio::time::sleep(REDIAL).await;
    }
}

/// Dials an address once, and runs the link for as long as it lasts.
pub(super) async fn dial_once<H: Handler>(
    mesh: Mesh,
    peer: Peer,
    key: Arc<[u8]>,
    receiver: Arc<H>,
) {
    match timeout(FIND, dial_one(&mesh, &peer, &key)).await {
        Ok(Ok(ready)) => run(mesh, ready, receiver).await,
        Ok(Err(refused)) => tracing::debug!(peer = peer.name, %refused, "link not made"),
        Err(_) => tracing::debug!(peer = peer.name, "link handshake timed out"),
    }
}

async fn dial_one(mesh: &Mesh, peer: &Peer, key: &[u8]) -> Result<Ready> {
    let io = |e: std::io::Error| Refused::Socket(e.into());
    let stream = TcpStream::connect(peer.address).await.map_err(io)?;
    stream.set_nodelay(true).map_err(io)?;
    let url = format!("ws://{}/", peer.address);
    let (socket, _) =
        tokio_tungstenite::client_async_with_config(url, stream, Some(config())).await?;
    let ready = Connecting { socket }.shake(mesh.own(), key).await?;
    if ready.hello.name != peer.name {
        return Err(Refused::Name { name: ready.hello.name });
    }
    Ok(ready)
}

async fn run<H: Handler>(mesh: Mesh, ready: Ready, receiver: Arc<H>) {
    let name = ready.hello.name.clone();
    let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
    let (number, heard) = mesh.add_link(ready.hello.clone(), queue);
    tracing::info!(peer = name, "link up");
    receiver.on_link(&ready.hello);
    let (sink, stream) = ready.socket.split();
    tokio::select! {
        () = write(sink, frames) => {}
        () = read(&mesh, &ready.hello, stream, &heard, receiver) => {}
    }
    mesh.remove_link(&name, number);
    tracing::info!(peer = name, "link down");
}

async fn write(mut sink: SplitSink<Socket, Message>, mut frames: mpsc::Receiver<Frame>) {
    loop {
        let message = match timeout(PING, frames.recv()).await {
            Ok(Some(frame)) => Message::binary(encode(&frame)),
            Ok(None) => return,
            Err(_) => Message::Ping(Bytes::new()),
        };
        Metrics::global().count_mesh_bytes(message.len() as u64);
        let sent = timeout(WRITE, sink.send(message)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

async fn read<H: Handler>(
    mesh: &Mesh,
    hello: &super::Hello,
    mut stream: SplitStream<Socket>,
    heard: &super::Heard,
    receiver: Arc<H>,
) {
    while let Ok(Some(Ok(message))) = timeout(SILENCE, stream.next()).await {
        heard.note();
        let Message::Binary(bytes) = message else { continue };
        let frame = match decode::<Frame>(&bytes) {
            Ok(frame) => frame,
            Err(malformed) => {
                tracing::warn!(peer = hello.name, %malformed, "link closed");
                return;
            }
        };
        match frame {
            Frame::Replica(message) => receiver.on_replica(hello.id, message),
            Frame::Answer { number, answer } => mesh.answer(number, answer),
            Frame::Notice(notice) => receiver.on_notice(&hello.name, notice),
            Frame::Call { number, call } => {
                let (mesh, receiver, from) = (mesh.clone(), receiver.clone(), hello.name.clone());
                tokio::spawn(async move {
                    let answer = receiver.on_call(from.clone(), call).await;
                    mesh.send(&from, Frame::Answer { number, answer });
                });
            }
        }
    }
}
