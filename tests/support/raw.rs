//! HTTP written by hand, so that a test controls every byte, and a cluster with tokens.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassvalve::entry::token;
use eelgrassvalve::error::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::cluster::Cluster;

/// Longest body that the clusters of [`start_with_tokens`] take from callers, in bytes.
pub const BODY_BYTES: usize = 4_096;

/// An answer, read to the end of its connection.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status; 0 where the connection closed without one.
    pub status: u16,
    /// Head, in lower case.
    pub head: String,
    /// Body.
    pub body: String,
}

impl Response {
    fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|digits| digits.parse().ok());
        let head = head.to_ascii_lowercase();
        Self { status: status.unwrap_or(0), head, body: body.into() }
    }

    /// Value of a header, in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.head.lines().find_map(|line| line.strip_prefix(name));
        found.and_then(|rest| rest.strip_prefix(": "))
    }
}

/// Sends one request on a connection of its own and reads the answer.
pub async fn send(address: SocketAddr, line: &str, headers: &[&str], body: &[u8]) -> Response {
    let mut head = format!("{line} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    head.push_str(&format!("content-length: {}\r\n", body.len()));
    for header in headers {
        head.push_str(header);
        head.push_str("\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    exchange(address, &bytes).await
}

/// Sends bytes as they are and reads until the other end closes.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> Response {
    let mut stream = TcpStream::connect(address).await.expect("the listener is there");
    // A refusal may come, and the connection close, before everything is sent.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = async {
        let mut piece = [0; 4_096];
        while let Ok(length @ 1..) = stream.read(&mut piece).await {
            answer.extend_from_slice(&piece[..length]);
        }
    };
    let ended = tokio::time::timeout(super::WAIT_TIMEOUT, read).await;
    let sent = String::from_utf8_lossy(&bytes[..bytes.len().min(200)]);
    assert!(ended.is_ok(), "the connection stays open after {sent:?}");
    Response::parse(&answer)
}

/// One row of a contract table: a request and the typed refusal that it must get.
pub struct Row {
    /// Method and path.
    pub line: &'static str,
    /// Header lines.
    pub headers: &'static [&'static str],
    /// Body.
    pub body: Vec<u8>,
    /// Expected status, code and, in `not_run` answers only, nothing else.
    pub expected: (u16, &'static str),
}

/// A row.
pub fn row(
    line: &'static str,
    headers: &'static [&'static str],
    body: impl AsRef<[u8]>,
    expected: (u16, &'static str),
) -> Row {
    Row { line, headers, body: body.as_ref().to_vec(), expected }
}

/// Sends every row and checks that each is refused `not_run`, typed, with its code.
pub async fn check_refusals(address: SocketAddr, rows: &[Row]) {
    for row in rows {
        let reply = send(address, row.line, row.headers, &row.body).await;
        let what = format!("{} {:?}: {reply:?}", row.line, row.headers);
        let error: Error = serde_json::from_str(&reply.body).unwrap_or_else(|_| panic!("{what}"));
        let code = error.code.to_string();
        assert_eq!((reply.status, code.as_str()), row.expected, "{what}");
        assert_eq!(error.verdict.to_string(), "not_run", "{what}");
        assert_eq!(reply.header("eelgrassvalve-verdict"), Some("not_run"), "{what}");
        assert_eq!(reply.header("content-type"), Some("application/json"), "{what}");
    }
}

/// Bodies of JSON that no typed listener takes.
pub fn malformed_bodies() -> Vec<Vec<u8>> {
    let deep = "[".repeat(100_000);
    let nested = format!("{{\"kind\":{}", "{\"a\":".repeat(50_000));
    let texts = ["", "{", "null", "[]", "7", "\"text\"", "{\"unknown\":1}", "{}x", &deep, &nested];
    let mut bodies: Vec<Vec<u8>> = Vec::new();
    for text in texts {
        bodies.push(text.as_bytes().to_vec());
    }
    bodies.push(vec![0xff, 0xfe, 0x00]);
    bodies
}

/// Starts one daemon whose tokens are `caller`, `other`, `operator`, `upstream` and `worker`;
/// the first two are bound to the customers `first` and `second`.
pub async fn start_with_tokens() -> Cluster {
    let mut cluster = Cluster::new(1, 1);
    cluster.extra_settings = format!("[limits]\nbody_bytes = {BODY_BYTES}\n[times]\nread_ms = 300");
    cluster.write_settings(0, &|peer| peer.mesh());
    let path = cluster.settings_path(0);
    let text = std::fs::read_to_string(&path).expect("was written");
    let text = text.replace("none = true", "file = \"tokens.toml\"");
    std::fs::write(&path, text).expect("the folder can be written");
    let roles = [
        ("caller", "{ caller = \"first\" }"),
        ("other", "{ caller = \"second\" }"),
        ("operator", "\"operator\""),
        ("upstream", "\"upstream\""),
        ("worker", "\"worker\""),
    ];
    let mut tokens = String::new();
    for (token, role) in roles {
        let sha256 = token::digest(token);
        tokens.push_str(&format!("[[token]]\nsha256 = \"{sha256}\"\nrole = {role}\n"));
    }
    std::fs::write(cluster.folder.join("tokens.toml"), tokens).expect("the folder can be written");
    cluster.bootstrap(0);
    cluster.spawn(0);
    cluster.wait_until_ready(0).await;
    cluster
}

/// Header line of the operator's token.
pub const OPERATOR: &str = "authorization: Bearer operator";
/// Header line of the first caller's token.
pub const CALLER: &str = "authorization: Bearer caller";

/// Applies a document with the kinds `plan` and `train` and the customers `first` and `second`.
pub async fn configure(cluster: &Cluster) {
    let headers = [OPERATOR, "if-match: 0", "eelgrassvalve-request-id: first"];
    let body = r#"{"kinds":[{"name":"plan","rank":0},{"name":"train","rank":1}],
        "customers":[{"name":"first"},{"name":"second"}]}"#;
    let operators = cluster.hosts[0].operators();
    let reply = send(operators, "PUT /v1/config", &headers, body.as_bytes()).await;
    assert_eq!(reply.body, r#"{"version":1,"state":"in_force"}"#);
}

/// An upstream written from the page alone: runs one request a connection and echoes it.
pub async fn start_echo_upstream(work: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, work));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, work: Duration) {
    let mut bytes = Vec::new();
    let mut piece = [0; 4_096];
    loop {
        let Ok(length @ 1..) = stream.read(&mut piece).await else { return };
        bytes.extend_from_slice(&piece[..length]);
        let request = Response::parse(&bytes);
        let wanted = request.header("content-length").and_then(|text| text.parse().ok());
        if !request.head.contains('\n') || request.body.len() < wanted.unwrap_or(0) {
            continue;
        }
        tokio::time::sleep(work).await;
        let line = request.head.lines().next().unwrap_or("").to_string();
        let customer = request.header("eelgrassvalve-customer").unwrap_or("-").to_string();
        let body = format!("{line}|{customer}|{}", request.body);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n", body.len());
        let _ = stream.write_all(format!("{head}connection: close\r\n\r\n{body}").as_bytes()).await;
        return;
    }
}

/// Announces an upstream of the kind `plan`.
pub async fn announce(cluster: &Cluster, id: &str, address: SocketAddr, sequence: u64) -> Response {
    let line = format!("POST /v1/upstreams/{id}/announce");
    let body = format!(
        r#"{{"address":"{address}","zone":"zone-1","slots":8,"connections":60,"kinds":["plan"],
        "incarnation":7,"sequence":{sequence},"state":"serving"}}"#
    );
    let headers = ["authorization: Bearer upstream"];
    send(cluster.hosts[0].platform(), &line, &headers, body.as_bytes()).await
}
