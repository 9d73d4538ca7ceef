//! Listeners: limits on requests and connections, and SIGHUP.

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

const LIMITS: Limits = Limits {
    head_timeout: Duration::from_millis(200),
    max_head_bytes: 64 << 10,
    body_timeout: Duration::from_millis(200),
    max_body_bytes: 16,
    max_connections: 2,
};
/// Longest wait for a connection to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);

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
    tokio::spawn(serve(address, LIMITS, Arc::new(Echo), stopping));
    wait_until("the listener to accept connections", || async {
        TcpStream::connect(address).await.ok()
    })
    .await;
    (address, stop)
}

/// Sends bytes and returns everything received until the connection closes.
async fn exchange(to: SocketAddr, sent: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.expect("connects");
    stream.write_all(sent).await.expect("writes");
    let mut received = Vec::new();
    let read = tokio::time::timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut received)).await;
    // A connection that is reset counts as closed.
    let _ = read.expect("the connection closes in time");
    String::from_utf8(received).expect("the response is UTF-8")
}

#[rstest]
#[case::incomplete_head(b"GET / HTTP/1.1\r\nHost: a\r\n", "")]
#[case::incomplete_body(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", "408")]
#[case::body_too_long(
    b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 17\r\n\r\n12345678901234567",
    "413"
)]
#[case::declared_length_too_long(
    b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 40000000\r\n\r\n",
    "413"
)]
#[case::length_over_64_bits(
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000000000000000\r\n\r\n",
    "400"
)]
#[case::huge_length(
    b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 10000000000000000000\r\n\r\n",
    "413"
)]
#[case::control_byte_in_a_header_name(b"GET / HTTP/1.1\r\nHo\x01st: a\r\n\r\n", "400")]
#[case::byte_over_127_in_the_path(b"GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n", "400")]
#[case::chunk_size_overflow(
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
    "400"
)]
#[case::malformed_chunk(
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
    "400"
)]
#[case::complete(
    b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc",
    "200"
)]
#[tokio::test]
async fn incomplete_and_oversized_requests_are_refused(#[case] sent: &[u8], #[case] status: &str) {
    let (address, _stop) = listen().await;
    let response = exchange(address, sent).await;
    let found = response.split(' ').nth(1).unwrap_or("");
    assert_eq!(found, status, "{response}");
}

#[tokio::test]
async fn a_head_over_the_limit_is_refused() {
    let (address, _stop) = listen().await;
    for (bytes, status) in [(20_000, "200"), (150_000, "431")] {
        let filler = "a".repeat(bytes);
        let head =
            format!("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nFiller: {filler}\r\n\r\n");
        let response = exchange(address, head.as_bytes()).await;
        assert_eq!(response.split(' ').nth(1).unwrap_or(""), status, "{bytes}: {response}");
    }
}

#[tokio::test]
async fn number_of_connections_is_limited() {
    let (address, _stop) = listen().await;
    let request = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
    let mut open = Vec::new();
    for _ in 0..LIMITS.max_connections {
        let mut stream = TcpStream::connect(address).await.expect("connects");
        stream.write_all(request).await.expect("writes");
        open.push(stream);
    }
    wait_until("a connection to be refused", || async {
        exchange(address, request).await.is_empty().then_some(())
    })
    .await;
    drop(open);
    wait_until("a connection to be accepted", || async {
        exchange(address, request).await.contains("abc").then_some(())
    })
    .await;
}

/// Guards against listeners that stop on SIGHUP, as the HTTP library's own listeners did.
#[tokio::test]
async fn daemon_survives_sighup() {
    let mut cluster = Cluster::start(1, 1).await;
    for _ in 0..3 {
        cluster.signal(0, "HUP");
    }
    let path = cluster.log_path(0);
    wait_until("SIGHUP to be logged", || async {
        std::fs::read_to_string(&path).ok().filter(|text| text.contains("hangup"))
    })
    .await;
    assert!(cluster.is_running(0));
    cluster.wait_until_ready(0).await;
}
