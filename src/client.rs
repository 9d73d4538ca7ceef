//! HTTP client of the command-line tool and of stand-ins.

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

/// A client of one listener.
#[derive(Clone)]
pub struct Client {
    http: volo_http::client::Client,
    address: SocketAddr,
    token: Option<String>,
}

/// An answer, read whole.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Verdict header, where it is there.
    pub verdict: Option<Verdict>,
    /// Body.
    pub body: Bytes,
}

impl Client {
    /// A client; `token` goes into each request as bearer token.
    ///
    /// # Panics
    /// Where the HTTP library refuses its own defaults.
    pub fn new(address: SocketAddr, token: Option<&str>) -> Self {
        let mut builder = ClientBuilder::new();
        builder.set_connect_timeout(Duration::from_secs(3));
        let http = builder.build().expect("the client's defaults are valid");
        Self { http, address, token: token.map(str::to_string) }
    }

    /// Sends a request and reads the whole answer, whatever its status.
    ///
    /// # Errors
    /// `not_run` where nothing was sent; `may_have_run` where no whole answer came.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
    ) -> Result<Response> {
        let broken = |e: &dyn std::fmt::Display| {
            Error::may_have_run(Code::NoQuorum, format!("{}: {e}", self.address))
        };
        let uri = format!("http://{}{path}", self.address);
        let unsendable =
            |what: &str| Error::not_run(Code::BadRequest, format!("{what} is malformed"));
        let uri: http::Uri = uri.parse().map_err(|_| unsendable("the path"))?;
        let mut request = self.http.request(method, uri).data(body);
        for (name, value) in headers {
            let value = HeaderValue::from_str(value).map_err(|_| unsendable(name))?;
            request = request.header(*name, value);
        }
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let response = request.send().await.map_err(|e| match is_refused(&e) {
            true => Error::not_run(Code::NoQuorum, format!("{}: nobody listens", self.address)),
            false => broken(&e),
        })?;
        let (head, body) = response.into_parts();
        let verdict = head.headers.get(verdict::HEADER).and_then(|value| value.to_str().ok());
        let verdict = verdict.and_then(Verdict::parse);
        let body = body.collect().await.map_err(|e| broken(&e))?.to_bytes();
        Ok(Response { status: head.status, verdict, body })
    }

    /// Sends JSON, or nothing, and reads JSON.
    ///
    /// # Errors
    /// The typed error of the answer, or `may_have_run` where no whole answer came.
    pub async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Option<&impl Serialize>,
    ) -> Result<T> {
        let bytes = body.map(|value| serde_json::to_vec(value).unwrap_or_default());
        let answer = self.send(method, path, headers, bytes.unwrap_or_default().into()).await?;
        answer.json()
    }

    /// Reads JSON.
    ///
    /// # Errors
    /// As for [`Client::json`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.json(Method::GET, path, &[], None::<&()>).await
    }
}

// A refused connection carried no byte.
fn is_refused(error: &(dyn std::error::Error + 'static)) -> bool {
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
    /// The JSON of a success, or the typed error.
    ///
    /// # Errors
    /// The typed error of the answer.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        if !self.status.is_success() {
            return Err(self.error());
        }
        let parsed = serde_json::from_slice(&self.body);
        parsed.map_err(|e| {
            Error::new(Verdict::Ran, Code::Internal, format!("unreadable answer: {e}"))
        })
    }

    /// The typed error of a failure.
    pub fn error(&self) -> Error {
        let verdict = self.verdict.unwrap_or(Verdict::MayHaveRun);
        let untyped = || Error::new(verdict, Code::Internal, format!("status {}", self.status));
        serde_json::from_slice(&self.body).unwrap_or_else(|_| untyped())
    }
}
