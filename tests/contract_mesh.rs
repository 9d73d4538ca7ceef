//! Contract of the links between daemons (docs/INTERFACES.md), checked on a real daemon.

mod support;

use std::net::SocketAddr;

use eelgrassvalve::mesh::call::{Answer, Call};
use eelgrassvalve::mesh::frame::{Frame, Greeting, Hello, Proof, VERSION, decode, encode};
use eelgrassvalve::replica::member::Id;
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use support::cluster::Cluster;
use support::{WAIT_TIMEOUT, raw};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

type Socket = WebSocketStream<TcpStream>;

const KEY: &[u8] = b"a key for tests";

async fn connect(address: SocketAddr) -> Socket {
    let stream = TcpStream::connect(address).await.expect("the mesh listener accepts");
    let url = format!("ws://{address}/");
    let result = tokio_tungstenite::client_async(url, stream).await;
    result.expect("the upgrade is answered").0
}

async fn receive(socket: &mut Socket) -> Option<Vec<u8>> {
    let next = tokio::time::timeout(WAIT_TIMEOUT, socket.next()).await;
    match next.expect("the daemon answers or closes") {
        Some(Ok(Message::Binary(bytes))) => Some(bytes.to_vec()),
        _ => None,
    }
}

fn greeting(name: &str, version: u32) -> Greeting {
    let hello = Hello {
        version,
        name: name.into(),
        zone: "zone-1".into(),
        id: Id(7),
        incarnation: 7,
        is_entry: false,
        is_control: false,
    };
    Greeting { hello, nonce: 7 }
}

fn proof(key: &[u8], signer: &Greeting, other: &Greeting) -> Vec<u8> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("an HMAC key of any length is valid");
    mac.update(&encode(signer));
    mac.update(&encode(other));
    encode(&Proof { mac: mac.finalize().into_bytes().to_vec() })
}

// Performs the handshake. Returns the socket if the daemon completes it.
async fn handshake(address: SocketAddr, key: &[u8], own: &Greeting) -> Option<Socket> {
    let mut socket = connect(address).await;
    socket.send(Message::binary(encode(own))).await.ok()?;
    let theirs: Greeting = decode(&receive(&mut socket).await?).expect("a greeting");
    socket.send(Message::binary(proof(key, own, &theirs))).await.ok()?;
    let their_proof = receive(&mut socket).await?;
    assert_eq!(their_proof, proof(KEY, &theirs, own), "the daemon proves that it has the key");
    Some(socket)
}

async fn is_refused(socket: Option<Socket>) -> bool {
    let Some(mut socket) = socket else { return true };
    let call = Frame::Call { number: 1, call: Call::Status };
    let _ = socket.send(Message::binary(encode(&call))).await;
    receive(&mut socket).await.is_none()
}

async fn assert_ready(cluster: &Cluster) {
    let reply = raw::send(cluster.hosts[0].health(), "GET /readyz", &[], b"").await;
    assert_eq!(reply.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn links_require_the_key_and_a_valid_hello() {
    let cluster = Cluster::start(1, 1).await;
    let address = cluster.hosts[0].mesh();
    let rows: [(&[u8], &str, u32); 6] = [
        (b"another key", "host-9", VERSION),
        (b"", "host-9", VERSION),
        (KEY, "host-9", VERSION + 1),
        (KEY, "host-1", VERSION),
        (KEY, "Host 9", VERSION),
        (KEY, "", VERSION),
    ];
    for (key, name, version) in rows {
        let socket = handshake(address, key, &greeting(name, version)).await;
        assert!(is_refused(socket).await, "{key:?} {name} {version}");
        assert_ready(&cluster).await;
    }
    let mut socket = handshake(address, KEY, &greeting("host-9", VERSION)).await.expect("a link");
    let call = Frame::Call { number: 5, call: Call::Status };
    socket.send(Message::binary(encode(&call))).await.expect("the link is up");
    loop {
        let frame: Frame = decode(&receive(&mut socket).await.expect("a frame")).expect("valid");
        let Frame::Answer { number, answer } = frame else { continue };
        assert!(number == 5 && matches!(answer, Ok(Answer::Status(_))), "{answer:?}");
        break;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_frames_close_only_their_own_link() {
    let cluster = Cluster::start(1, 1).await;
    let address = cluster.hosts[0].mesh();
    let deeply_nested = vec![0x81; 100_000];
    let huge_length = vec![0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff];
    let garbage: [Vec<u8>; 5] =
        [vec![], vec![0xff; 64], deeply_nested, huge_length, vec![0; 9 << 20]];
    for bytes in &garbage {
        // Instead of a greeting.
        let mut socket = connect(address).await;
        let _ = socket.send(Message::binary(bytes.clone())).await;
        while receive(&mut socket).await.is_some() {}
        // On an established link.
        let linked = handshake(address, KEY, &greeting("host-9", VERSION)).await;
        let mut socket = linked.expect("a link");
        let _ = socket.send(Message::binary(bytes.clone())).await;
        while receive(&mut socket).await.is_some() {}
        assert_ready(&cluster).await;
    }
    // Bytes that are not an HTTP upgrade, and a handshake that stops after the greeting.
    let reply = raw::exchange(address, b"\0\0\0\0\r\n\r\n").await;
    assert!(matches!(reply.status, 0 | 400), "{reply:?}");
    let mut unfinished = connect(address).await;
    let sent = unfinished.send(Message::binary(encode(&greeting("host-9", VERSION)))).await;
    sent.expect("the link is open");
    while receive(&mut unfinished).await.is_some() {}
    assert_ready(&cluster).await;
}
