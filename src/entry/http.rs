//! Parsing of requests and building of responses, shared by the listeners.

use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body::Body as _;
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParams;

use crate::error::{Code, Error, Result};
use crate::state::document::is_name;
use crate::verdict::{self, Verdict};

/// Maximum size of the body of an operator's request, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// Reads a whole body, limited in size and time.
///
/// # Errors
/// `too_large` or `bad_request`, both `not_run`.
pub async fn read_body(body: Body, limit: usize, timeout: Duration) -> Result<Bytes> {
    let too_large =
        || Err(Error::not_run(Code::TooLarge, format!("the body is longer than {limit} bytes")));
    if body.size_hint().lower() > limit as u64 {
        return too_large();
    }
    let collected = tokio::time::timeout(timeout, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => too_large(),
        Ok(Err(e)) => Err(Error::not_run(Code::BadRequest, format!("the body broke off: {e}"))),
        Err(_) => Err(Error::not_run(Code::BadRequest, "the body did not arrive in time")),
    }
}

/// Parses a body that must be a JSON object.
///
/// # Errors
/// `bad_request`, `not_run`.
pub fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    // Serde also accepts an array, as the fields in order, and reads an empty one as all defaults.
    if bytes.trim_ascii_start().first() != Some(&b'{') {
        return Err(Error::not_run(Code::BadRequest, "the body is not a JSON object"));
    }
    serde_json::from_slice(bytes).map_err(|e| Error::not_run(Code::BadRequest, e.to_string()))
}

/// Value of a header as text.
///
/// # Errors
/// `bad_request` if it is not visible ASCII or the header occurs more than once.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        let message = format!("header {name} stands more than once");
        return Err(Error::not_run(Code::BadRequest, message));
    }
    let parsed = value.to_str();
    let invalid =
        |_| Error::not_run(Code::BadRequest, format!("header {name} is not visible ASCII"));
    parsed.map(Some).map_err(invalid)
}

/// Value of a header as a whole number.
///
/// # Errors
/// `bad_request` if it is not a whole number.
pub fn header_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>> {
    let Some(text) = header_text(headers, name)? else { return Ok(None) };
    let invalid =
        |_| Error::not_run(Code::BadRequest, format!("header {name} is not a whole number"));
    text.trim_matches('"').parse().map(Some).map_err(invalid)
}

/// Value of a header as a whole number of milliseconds from 1 to `greatest`.
///
/// # Errors
/// `bad_request` if it is not a whole number or out of range.
pub fn header_millis(headers: &HeaderMap, name: &str, greatest: u64) -> Result<Option<u64>> {
    let value = header_number(headers, name)?;
    if value.is_none_or(|value| (1..=greatest).contains(&value)) {
        return Ok(value);
    }
    let message = format!("header {name} is not from 1 to {greatest}");
    Err(Error::not_run(Code::BadRequest, message))
}

/// Checks that a path parameter or field is a valid name.
///
/// # Errors
/// `bad_request`, `not_run`.
pub fn check_name(what: &str, name: &str) -> Result<()> {
    if is_name(name) {
        return Ok(());
    }
    let message = format!("{what} `{name}` is not 1 to 64 of a-z, 0-9, - and _");
    Err(Error::not_run(Code::BadRequest, message))
}

/// Handles unknown paths and methods.
pub async fn not_found() -> Response {
    respond_error(&Error::not_run(Code::NotFound, "no such path or method"))
}

/// Value of a header that is `true` or `false`; false if it is absent.
///
/// # Errors
/// `bad_request` if it is neither.
pub fn header_flag(headers: &HeaderMap, name: &str) -> Result<bool> {
    match header_text(headers, name)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => {
            let message = format!("header {name} is neither true nor false");
            Err(Error::not_run(Code::BadRequest, message))
        }
    }
}

/// Builds a JSON response with a verdict header.
pub fn respond_json<T: Serialize>(status: StatusCode, verdict: Verdict, value: &T) -> Response {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    respond(status, verdict, Some("application/json"), bytes.into())
}

/// Builds a response with a verdict header.
pub fn respond(
    status: StatusCode,
    verdict: Verdict,
    content_type: Option<&str>,
    body: Bytes,
) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    let verdict = verdict.to_string();
    headers.insert(verdict::HEADER, HeaderValue::from_str(&verdict).expect("a verdict is ASCII"));
    if let Some(value) = content_type.and_then(|text| HeaderValue::from_str(text).ok()) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    response
}

/// Builds the response for an error; one that says the entry is stopping closes the connection.
pub fn respond_error(error: &Error) -> Response {
    let mut response = respond_json(error.code.status(), error.verdict, error);
    if let Some(retry_ms) = error.retry_after_ms {
        let seconds = HeaderValue::from(retry_ms.div_ceil(1_000));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    if error.code == Code::Stopping {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Builds the response for a handler's result: status 200 with JSON, or the error.
pub fn respond_result<T: Serialize>(result: Result<T>) -> Response {
    match result {
        Ok(value) => respond_json(StatusCode::OK, Verdict::Ran, &value),
        Err(error) => respond_error(&error),
    }
}

/// Makes a route handler that responds with the result of `run`.
pub fn handle<H, F, Fut, T>(
    context: &H,
    run: F,
) -> impl Fn(Request) -> BoxFuture<'static, Response> + Clone + Send + Sync + use<H, F, Fut, T>
where
    H: Clone + Send + Sync + 'static,
    F: Fn(H, Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<T>> + Send + 'static,
    T: Serialize,
{
    let context = context.clone();
    move |request| {
        let result = run(context.clone(), request);
        async move { respond_result(result.await) }.boxed()
    }
}

/// As [`handle`], for a route with an ID in its path.
pub fn handle_with_id<H, F, Fut, T>(
    context: &H,
    run: F,
) -> impl Fn(PathParams<String>, Request) -> BoxFuture<'static, Response>
+ Clone
+ Send
+ Sync
+ use<H, F, Fut, T>
where
    H: Clone + Send + Sync + 'static,
    F: Fn(H, String, Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<T>> + Send + 'static,
    T: Serialize,
{
    let context = context.clone();
    move |PathParams(id), request| {
        let result = run(context.clone(), id, request);
        async move { respond_result(result.await) }.boxed()
    }
}
