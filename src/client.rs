//! HTTP client of the command-line tool, the tests and the examples.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::client::ClientBuilder;

use crate::error::{Code, Error, Result};
use crate::verdict::{self, Verdict};

/// A client of one listener of a daemon.
#[derive(Clone)]
pub struct Client {
    http: volo_http::client::Client,
    address: SocketAddr,
    token: Option<String>,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Value of the verdict header, if the response has a valid one.
    pub verdict: Option<Verdict>,
    /// Complete body.
    pub body: Bytes,
}

impl Client {
    /// Creates a client that sends `token`, if any, as the bearer token of each request.
    ///
    /// # Panics
    /// If the HTTP library rejects its default settings.
    pub fn new(address: SocketAddr, token: Option<&str>) -> Self {
        let mut builder = ClientBuilder::new();
        builder.set_connect_timeout(Duration::from_secs(3));
        let http = builder.build().expect("the client's defaults are valid");
        Self { http, address, token: token.map(str::to_string) }
    }

    /// Sends a request and reads the whole response, whatever its status.
    ///
    /// # Errors
    /// `not_run` if the path or a header is invalid or the connection was refused; `may_have_run` if
    /// no complete response arrived for another reason.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
    ) -> Result<Response> {
        let exchange_error = |e: &dyn std::fmt::Display| {
            Error::may_have_run(Code::NoQuorum, format!("{}: {e}", self.address))
        };
        let uri = format!("http://{}{path}", self.address);
        let invalid_request =
            |what: &str| Error::not_run(Code::BadRequest, format!("{what} is malformed"));
        let uri: http::Uri = uri.parse().map_err(|_| invalid_request("the path"))?;
        let mut request = self.http.request(method, uri).data(body);
        for (name, value) in headers {
            let value = HeaderValue::from_str(value).map_err(|_| invalid_request(name))?;
            request = request.header(*name, value);
        }
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let response = request.send().await.map_err(|e| match is_connection_refused(&e) {
            true => Error::not_run(Code::NoQuorum, format!("{}: connection refused", self.address)),
            false => exchange_error(&e),
        })?;
        let (head, body) = response.into_parts();
        let verdict = head.headers.get(verdict::HEADER).and_then(|value| value.to_str().ok());
        let verdict = verdict.and_then(Verdict::parse);
        let body = body.collect().await.map_err(|e| exchange_error(&e))?.to_bytes();
        Ok(Response { status: head.status, verdict, body })
    }

    /// Sends a request with a JSON body, or with none, and parses the JSON of the response.
    ///
    /// # Errors
    /// The error in the response, or that of [`Client::send`].
    pub async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Option<&impl Serialize>,
    ) -> Result<T> {
        let bytes = body.map(|value| serde_json::to_vec(value).unwrap_or_default());
        let response = self.send(method, path, headers, bytes.unwrap_or_default().into()).await?;
        response.json()
    }

    /// Sends a GET request and parses the JSON of the response.
    ///
    /// # Errors
    /// As for [`Client::json`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.json(Method::GET, path, &[], None::<&()>).await
    }
}

// Whether the connection was refused, in which case no byte of the request was sent.
fn is_connection_refused(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut source = Some(error);
    while let Some(error) = source {
        let io = error.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        source = error.source();
    }
    false
}

impl Response {
    /// Parses the JSON of a successful response.
    ///
    /// # Errors
    /// The error in the response, or `internal` if the body can't be parsed.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        if !self.status.is_success() {
            return Err(self.error());
        }
        let parsed = serde_json::from_slice(&self.body);
        parsed.map_err(|e| {
            Error::new(Verdict::Ran, Code::Internal, format!("invalid response body: {e}"))
        })
    }

    /// The error in an unsuccessful response, or one with its status if the body holds none.
    pub fn error(&self) -> Error {
        let verdict = self.verdict.unwrap_or(Verdict::MayHaveRun);
        let untyped_error =
            || Error::new(verdict, Code::Internal, format!("HTTP status {}", self.status));
        serde_json::from_slice(&self.body).unwrap_or_else(|_| untyped_error())
    }
}
