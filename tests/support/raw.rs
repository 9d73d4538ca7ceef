//! Raw HTTP requests, in which a test controls every byte, and a cluster that requires tokens.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassvalve::entry::token;
use eelgrassvalve::error::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::cluster::Cluster;

/// Maximum body size for callers in clusters from [`start_with_tokens`], in bytes.
pub const BODY_BYTES: usize = 4_096;

/// An HTTP response, read until the connection closed.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code; 0 if the connection closed without one.
    pub status: u16,
    /// Status line and headers, in lower case.
    pub head: String,
    /// Body, or empty if the head is incomplete.
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

    /// Value of the header with this lower-case name, itself in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.head.lines().find_map(|header| header.strip_prefix(name));
        found.and_then(|rest| rest.strip_prefix(": "))
    }
}

/// Sends one request on a new connection and reads the response. `request_line` is the method and
/// the path.
pub async fn send(
    address: SocketAddr,
    request_line: &str,
    headers: &[&str],
    body: &[u8],
) -> Response {
    let mut head = format!("{request_line} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
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

/// Sends bytes unchanged and reads until the peer closes the connection.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> Response {
    let mut stream = TcpStream::connect(address).await.expect("the listener accepts connections");
    // The server may refuse the request and close the connection before everything is sent.
    let _ = stream.write_all(bytes).await;
    let mut received = Vec::new();
    let read = async {
        let mut buffer = [0; 4_096];
        while let Ok(length @ 1..) = stream.read(&mut buffer).await {
            received.extend_from_slice(&buffer[..length]);
        }
    };
    let outcome = tokio::time::timeout(super::WAIT_TIMEOUT, read).await;
    let sent = String::from_utf8_lossy(&bytes[..bytes.len().min(200)]);
    assert!(outcome.is_ok(), "the server did not close the connection after {sent:?}");
    Response::parse(&received)
}

/// One row of a contract table: a request and the typed error that it must be refused with.
pub struct Row {
    /// Method and path.
    pub request_line: &'static str,
    pub headers: &'static [&'static str],
    pub body: Vec<u8>,
    /// Expected status and error code.
    pub expected: (u16, &'static str),
}

/// Builds a [`Row`].
pub fn row(
    request_line: &'static str,
    headers: &'static [&'static str],
    body: impl AsRef<[u8]>,
    expected: (u16, &'static str),
) -> Row {
    Row { request_line, headers, body: body.as_ref().to_vec(), expected }
}

/// Sends the request of each row and checks that it is refused with the expected status, a JSON
/// error with the expected code, and the verdict `not_run` in body and header.
pub async fn check_refusals(address: SocketAddr, rows: &[Row]) {
    for row in rows {
        let response = send(address, row.request_line, row.headers, &row.body).await;
        let context = format!("{} {:?}: {response:?}", row.request_line, row.headers);
        let error: Error =
            serde_json::from_str(&response.body).unwrap_or_else(|_| panic!("{context}"));
        let code = error.code.to_string();
        assert_eq!((response.status, code.as_str()), row.expected, "{context}");
        assert_eq!(error.verdict.to_string(), "not_run", "{context}");
        assert_eq!(response.header("eelgrassvalve-verdict"), Some("not_run"), "{context}");
        assert_eq!(response.header("content-type"), Some("application/json"), "{context}");
    }
}

/// Bodies that no listener accepts as typed JSON.
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

/// Starts one daemon with the tokens `caller`, `other`, `operator`, `upstream` and `worker`; the
/// first two are bound to the customers `first` and `second`.
pub async fn start_with_tokens() -> Cluster {
    let mut cluster = Cluster::new(1, 1);
    cluster.extra_settings = format!("[limits]\nbody_bytes = {BODY_BYTES}\n[times]\nread_ms = 300");
    cluster.write_settings(0, &|peer| peer.mesh());
    let path = cluster.settings_path(0);
    let settings = std::fs::read_to_string(&path).expect("the settings file was written");
    let settings = settings.replace("none = true", "file = \"tokens.toml\"");
    std::fs::write(&path, settings).expect("the folder can be written");
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

/// Header line with the operator's token.
pub const OPERATOR: &str = "authorization: Bearer operator";
/// Header line with the first caller's token.
pub const CALLER: &str = "authorization: Bearer caller";

/// Applies a configuration with the kinds `plan` and `train` and the customers `first` and
/// `second`.
pub async fn configure(cluster: &Cluster) {
    let headers = [OPERATOR, "if-match: 0", "eelgrassvalve-request-id: first"];
    let body = r#"{"kinds":[{"name":"plan","rank":0},{"name":"train","rank":1}],
        "customers":[{"name":"first"},{"name":"second"}]}"#;
    let operators = cluster.hosts[0].operators();
    let response = send(operators, "PUT /v1/config", &headers, body.as_bytes()).await;
    assert_eq!(response.body, r#"{"version":1,"state":"in_force"}"#);
}

/// Starts an upstream that is written from the documentation alone, without the crate's types. It
/// handles one request per connection and echoes it after `work_duration`.
pub async fn start_echo_upstream(work_duration: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(echo_request(stream, work_duration));
        }
    });
    address
}

async fn echo_request(mut stream: TcpStream, work_duration: Duration) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let Ok(length @ 1..) = stream.read(&mut buffer).await else { return };
        bytes.extend_from_slice(&buffer[..length]);
        let request = Response::parse(&bytes);
        let body_length = request.header("content-length").and_then(|text| text.parse().ok());
        if !request.head.contains('\n') || request.body.len() < body_length.unwrap_or(0) {
            continue;
        }
        tokio::time::sleep(work_duration).await;
        let request_line = request.head.lines().next().unwrap_or("").to_string();
        let customer = request.header("eelgrassvalve-customer").unwrap_or("-").to_string();
        let body = format!("{request_line}|{customer}|{}", request.body);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n", body.len());
        let _ = stream.write_all(format!("{head}connection: close\r\n\r\n{body}").as_bytes()).await;
        return;
    }
}

/// Announces an upstream for the kind `plan`.
pub async fn announce(cluster: &Cluster, id: &str, address: SocketAddr, sequence: u64) -> Response {
    let request_line = format!("POST /v1/upstreams/{id}/announce");
    let body = format!(
        r#"{{"address":"{address}","zone":"zone-1","slots":8,"connections":60,"kinds":["plan"],
        "incarnation":7,"sequence":{sequence},"state":"serving"}}"#
    );
    let headers = ["authorization: Bearer upstream"];
    send(cluster.hosts[0].platform(), &request_line, &headers, body.as_bytes()).await
}
