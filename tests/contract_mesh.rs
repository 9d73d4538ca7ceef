//! Contract of the links between daemons: docs/INTERFACES.md, against a real daemon.

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
    let stream = TcpStream::connect(address).await.expect("the mesh listener is there");
    let url = format!("ws://{address}/");
    let made = tokio_tungstenite::client_async(url, stream).await;
    made.expect("the upgrade is answered").0
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
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any length");
    mac.update(&encode(signer));
    mac.update(&encode(other));
    encode(&Proof { mac: mac.finalize().into_bytes().to_vec() })
}

// Shakes hands; gives the socket where the daemon went along to the end.
async fn shake(address: SocketAddr, key: &[u8], own: &Greeting) -> Option<Socket> {
    let mut socket = connect(address).await;
    socket.send(Message::binary(encode(own))).await.ok()?;
    let theirs: Greeting = decode(&receive(&mut socket).await?).expect("a greeting");
    socket.send(Message::binary(proof(key, own, &theirs))).await.ok()?;
    let proven = receive(&mut socket).await?;
    assert_eq!(proven, proof(KEY, &theirs, own), "the daemon proves the key too");
    Some(socket)
}

async fn is_refused(socket: Option<Socket>) -> bool {
    let Some(mut socket) = socket else { return true };
    let call = Frame::Call { number: 1, call: Call::Status };
    let _ = socket.send(Message::binary(encode(&call))).await;
    receive(&mut socket).await.is_none()
}

async fn assert_alive(cluster: &Cluster) {
    let reply = raw::send(cluster.hosts[0].health(), "GET /readyz", &[], b"").await;
    assert_eq!(reply.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn links_are_made_only_with_the_key() {
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
        let socket = shake(address, key, &greeting(name, version)).await;
        assert!(is_refused(socket).await, "{key:?} {name} {version}");
        assert_alive(&cluster).await;
    }
    let mut socket = shake(address, KEY, &greeting("host-9", VERSION)).await.expect("a link");
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
async fn bad_frames_close_their_link_only() {
    let cluster = Cluster::start(1, 1).await;
    let address = cluster.hosts[0].mesh();
    let deep = vec![0x81; 100_000];
    let claims_much = vec![0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff];
    let garbage: [Vec<u8>; 5] = [vec![], vec![0xff; 64], deep, claims_much, vec![0; 9 << 20]];
    for bytes in &garbage {
        // In place of a greeting.
        let mut socket = connect(address).await;
        let _ = socket.send(Message::binary(bytes.clone())).await;
        while receive(&mut socket).await.is_some() {}
        // On an established link.
        let linked = shake(address, KEY, &greeting("host-9", VERSION)).await;
        let mut socket = linked.expect("a link");
        let _ = socket.send(Message::binary(bytes.clone())).await;
        while receive(&mut socket).await.is_some() {}
        assert_alive(&cluster).await;
    }
    // Bytes that are no HTTP upgrade, and a handshake that stops half-way.
    let reply = raw::exchange(address, b"\0\0\0\0\r\n\r\n").await;
    assert!(matches!(reply.status, 0 | 400), "{reply:?}");
    let mut half = connect(address).await;
    let sent = half.send(Message::binary(encode(&greeting("host-9", VERSION)))).await;
    sent.expect("the link is open");
    while receive(&mut half).await.is_some() {}
    assert_alive(&cluster).await;
}
