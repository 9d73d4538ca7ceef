//! Listeners: what they bound, and what they survive.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassvalve::listener::{Limits, Service, serve};
use http::{Request, Response};
use rstest::rstest;
use support::cluster::Cluster;
use support::wait_until;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

const BOUNDS: Limits = Limits {
    head_timeout: Duration::from_millis(200),
    body_timeout: Duration::from_millis(200),
    max_body_bytes: 16,
    max_connections: 2,
};
/// Longest wait for a connection to be closed or answered.
const SOON: Duration = Duration::from_secs(20);

struct Echo;

impl Service for Echo {
    async fn answer(&self, request: Request<Bytes>) -> Response<Bytes> {
        Response::new(request.into_body())
    }
}

async fn listen() -> (SocketAddr, watch::Sender<bool>) {
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = free.local_addr().expect("an address");
    drop(free);
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(serve(address, BOUNDS, Arc::new(Echo), stopping));
    wait_until("the listener", || async { TcpStream::connect(address).await.ok() }).await;
    (address, stop)
}

/// Everything that comes back until the connection is closed.
async fn exchange(to: SocketAddr, sent: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.expect("connects");
    stream.write_all(sent).await.expect("writes");
    let mut got = Vec::new();
    let read = tokio::time::timeout(SOON, stream.read_to_end(&mut got)).await;
    // A reset closes the connection too.
    let _ = read.expect("the connection is closed in time");
    String::from_utf8(got).expect("text")
}

#[rstest]
#[case::head_that_never_ends(b"GET / HTTP/1.1\r\nHost: a\r\n", "")]
#[case::body_that_never_ends(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", "408")]
#[case::body_too_long(
    b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 17\r\n\r\n12345678901234567",
    "413"
)]
#[case::whole(
    b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc",
    "200"
)]
#[tokio::test]
async fn requests_are_bounded(#[case] sent: &[u8], #[case] status: &str) {
    let (address, _stop) = listen().await;
    let got = exchange(address, sent).await;
    let found = got.split(' ').nth(1).unwrap_or("");
    assert_eq!(found, status, "{got}");
}

#[tokio::test]
async fn connections_are_bounded() {
    let (address, _stop) = listen().await;
    let request = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
    let mut held = Vec::new();
    for _ in 0..BOUNDS.max_connections {
        let mut stream = TcpStream::connect(address).await.expect("connects");
        stream.write_all(request).await.expect("writes");
        held.push(stream);
    }
    wait_until("the bound", || async { exchange(address, request).await.is_empty().then_some(()) })
        .await;
    drop(held);
    wait_until("a free slot", || async {
        exchange(address, request).await.contains("abc").then_some(())
    })
    .await;
}

/// The listeners of the daemon stopped on SIGHUP as long as they were the library's own.
#[tokio::test]
async fn a_daemon_survives_hangups() {
    let mut cluster = Cluster::start(1, 1).await;
    for _ in 0..3 {
        cluster.signal(0, "HUP");
    }
    let path = cluster.log_path(0);
    wait_until("the line of the hangup", || async {
        std::fs::read_to_string(&path).ok().filter(|text| text.contains("hangup"))
    })
    .await;
    assert!(cluster.is_running(0));
    cluster.wait_until_ready(0).await;
}
