//! Listener for callers: runs requests, and submits, shows and cancels jobs.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, StatusCode, header};
use serde::{Deserialize, Serialize};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::server::route::{Router, get, post};

use super::http::{handle, handle_with_id};
use super::request;
use super::{Entry, http as shared};
use crate::error::{Code, Error, Result};
use crate::mesh::call::{Answer, Call};
use crate::state::claim;
use crate::state::job::{self, Job, Spec};
use crate::state::{Command, Reply};
use crate::verdict::Verdict;

/// Maximum time for a control member to commit or answer a call about jobs.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for which one request may wait for the end of a job, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;
/// Maximum number of jobs in one cancellation.
const MAX_CANCELLED_JOBS: usize = 10_000;
/// Maximum deadline of a request, in milliseconds.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Maximum declared run time or deadline of a job, in milliseconds.
const MAX_JOB_MS: u64 = 30 * 86_400_000;
/// Maximum processor cores that a part may request.
const MAX_CORES: u64 = 65_536;
/// Maximum memory that a part may request, in MiB.
const MAX_MEMORY_MIB: u64 = 64 << 20;
/// Maximum size of the payload of a job, in bytes.
const MAX_PAYLOAD_BYTES: u64 = 64 << 10;

/// Request to cancel several jobs.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cancellation {
    /// IDs of the jobs.
    pub ids: Vec<String>,
}

/// Answer to a cancellation.
#[derive(Debug, Deserialize, Serialize)]
pub struct Acknowledgement {
    /// Number of jobs that had not ended and are now cancelled or being stopped.
    pub cancelled: u64,
}

/// Routes of the listener for callers.
pub(super) fn router(entry: &Arc<Entry>) -> Router {
    let shared_entry = entry.clone();
    let run = move |PathParams(kind): PathParams<String>, request: Request| {
        let entry = shared_entry.clone();
        async move { run(&entry, kind, request).await }
    };
    let jobs = get(handle(entry, list)).post(handle(entry, submit));
    let job = get(handle_with_id(entry, fetch)).delete(handle_with_id(entry, cancel_one));
    Router::new()
        .route("/v1/requests/{kind}", post(run).fallback(shared::not_found))
        .route("/v1/jobs", jobs.fallback(shared::not_found))
        .route("/v1/jobs/cancel", post(handle(entry, cancel_many)).fallback(shared::not_found))
        .route("/v1/jobs/{id}", job.fallback(shared::not_found))
}

async fn run(entry: &Arc<Entry>, kind: String, request: Request) -> Response {
    match try_run(entry, kind, request).await {
        Ok(answer) => respond_answer(answer),
        Err(error) => shared::respond_error(&error),
    }
}

async fn try_run(entry: &Arc<Entry>, kind: String, request: Request) -> Result<claim::Answer> {
    let is_resend = shared::header_flag(request.headers(), "eelgrassvalve-resend")?;
    let result = serve_request(entry, kind, request).await;
    result.map_err(|error| if is_resend { error.after_earlier_send() } else { error })
}

async fn serve_request(
    entry: &Arc<Entry>,
    kind: String,
    request: Request,
) -> Result<claim::Answer> {
    let (head, body) = request.into_parts();
    let customer = entry.tokens.authorize_caller(&head.headers)?;
    shared::check_name("kind", &kind)?;
    let key = shared::header_text(&head.headers, "idempotency-key")?.map(str::to_string);
    if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > 256) {
        let message = "Idempotency-Key is not 1 to 256 characters long";
        return Err(Error::not_run(Code::BadRequest, message));
    }
    let is_idempotent = shared::header_flag(&head.headers, "eelgrassvalve-idempotent")?;
    let deadline_ms =
        shared::header_millis(&head.headers, "eelgrassvalve-deadline-ms", MAX_DEADLINE_MS)?;
    let content_type = shared::header_text(&head.headers, header::CONTENT_TYPE.as_str())?;
    let content_type = content_type.map(str::to_string);
    let payload = entry.read_payload(body).await?;
    let request =
        request::Request { kind, customer, payload, content_type, key, is_idempotent, deadline_ms };
    request::serve(entry, request).await
}

fn respond_answer(answer: claim::Answer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    match answer.body {
        Some(body) => {
            let content_type = answer.content_type.as_deref();
            shared::respond(status, Verdict::Ran, content_type, body.into())
        }
        None => {
            let message = "the request ran; its answer was too long to be kept";
            shared::respond_error(&Error::new(Verdict::Ran, Code::Conflict, message))
        }
    }
}

async fn submit(entry: Arc<Entry>, request: Request) -> Result<Job> {
    let (head, body) = request.into_parts();
    let customer = entry.tokens.authorize_caller(&head.headers)?;
    let key = shared::header_text(&head.headers, "idempotency-key")?.map(str::to_string);
    let bytes = entry.read_payload(body).await?;
    let spec: Spec = shared::parse_json(&bytes)?;
    check_spec(&entry, &customer, &spec)?;
    let id = match key {
        Some(key) if crate::state::document::is_name(&key) => format!("{customer}.{key}"),
        Some(_) => {
            let message = "the Idempotency-Key of a job is not 1 to 64 of a-z, 0-9, - and _";
            return Err(Error::not_run(Code::BadRequest, message));
        }
        None => format!("{customer}.{}", uuid::Uuid::now_v7()),
    };
    let command = Command::Job(job::Command::Submit { id, customer, spec });
    match entry.client.propose(command, COMMIT_TIMEOUT).await? {
        Reply::Job(job) => Ok(*job),
        other => Err(Error::unexpected(&other)),
    }
}

fn check_spec(entry: &Entry, customer: &str, spec: &Spec) -> Result<()> {
    if entry.is_draining() {
        return Err(Error::not_run(Code::Stopping, "this entry is stopping"));
    }
    let document = entry.lease.lock().document.clone();
    if document.customer(customer).is_none() {
        let message = format!("no customer `{customer}` in the configuration");
        return Err(Error::not_run(Code::Forbidden, message));
    }
    if document.kind(&spec.kind).is_none() {
        let message = format!("no kind `{}` in the configuration", spec.kind);
        return Err(Error::not_run(Code::NotFound, message));
    }
    let ranges = [
        ("parts", u64::from(spec.parts), 1, 32),
        ("accelerators", u64::from(spec.accelerators), 0, 32),
        ("cores", u64::from(spec.cores), 0, MAX_CORES),
        ("memory_mib", spec.memory_mib, 0, MAX_MEMORY_MIB),
        ("run_ms", spec.run_ms, 0, MAX_JOB_MS),
        ("deadline_ms", spec.deadline_ms.unwrap_or(MAX_JOB_MS), 1, MAX_JOB_MS),
        ("payload length", spec.payload.len() as u64, 0, MAX_PAYLOAD_BYTES),
    ];
    for (name, value, low, high) in ranges {
        if (low..=high).contains(&value) {
            continue;
        }
        let message = format!("{name}: {value} is not from {low} to {high}");
        return Err(Error::not_run(Code::BadRequest, message));
    }
    Ok(())
}

async fn list(entry: Arc<Entry>, request: Request) -> Result<Vec<Job>> {
    let customer = Some(entry.tokens.authorize_caller(request.headers())?);
    match entry.client.call(Call::Jobs { customer }, COMMIT_TIMEOUT).await? {
        Answer::Jobs(jobs) => Ok(jobs),
        other => Err(Error::unexpected(&other)),
    }
}

async fn fetch(entry: Arc<Entry>, id: String, request: Request) -> Result<Job> {
    let customer = entry.tokens.authorize_caller(request.headers())?;
    let wait_ms = wait_ms(request.uri().query().unwrap_or(""))?;
    let until_ms = entry.timer.now_ms() + wait_ms;
    loop {
        let job = match entry.client.call(Call::Job { id: id.clone() }, COMMIT_TIMEOUT).await? {
            Answer::Job(Some(job)) if job.customer == customer => job,
            Answer::Job(_) => return Err(Error::not_run(Code::NotFound, format!("no job {id}"))),
            other => return Err(Error::unexpected(&other)),
        };
        let is_wait_over = job.phase.is_terminal() || entry.timer.now_ms() >= until_ms;
        if is_wait_over || entry.is_draining() {
            return Ok(*job);
        }
        const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
        entry.timer.sleep(RECHECK_INTERVAL).await;
    }
}

// Parses the query, which is empty or a single `wait_ms=` parameter.
fn wait_ms(query: &str) -> Result<u64> {
    if query.is_empty() {
        return Ok(0);
    }
    let digits = query.strip_prefix("wait_ms=");
    let parsed = digits.and_then(|digits| digits.parse::<u64>().ok());
    match parsed {
        Some(wait_ms) => Ok(wait_ms.min(MAX_WAIT_MS)),
        None => {
            let message = "the query is not `wait_ms=` and a whole number";
            Err(Error::not_run(Code::BadRequest, message))
        }
    }
}

async fn cancel_one(entry: Arc<Entry>, id: String, request: Request) -> Result<Acknowledgement> {
    cancel(&entry, request.headers(), vec![id]).await
}

async fn cancel_many(entry: Arc<Entry>, request: Request) -> Result<Acknowledgement> {
    let (head, body) = request.into_parts();
    entry.tokens.authorize_caller(&head.headers)?;
    let bytes = entry.read_payload(body).await?;
    let cancellation: Cancellation = shared::parse_json(&bytes)?;
    if cancellation.ids.len() > MAX_CANCELLED_JOBS {
        let message = format!("more than {MAX_CANCELLED_JOBS} jobs in one cancel");
        return Err(Error::not_run(Code::BadRequest, message));
    }
    cancel(&entry, &head.headers, cancellation.ids).await
}

async fn cancel(entry: &Entry, headers: &HeaderMap, ids: Vec<String>) -> Result<Acknowledgement> {
    let customer = entry.tokens.authorize_caller(headers)?;
    let command = Command::Job(job::Command::Cancel { customer, ids });
    match entry.client.propose(command, COMMIT_TIMEOUT).await? {
        Reply::Jobs(cancelled) => Ok(Acknowledgement { cancelled }),
        other => Err(Error::unexpected(&other)),
    }
}
