//! Listener for callers: requests and jobs.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, StatusCode, header};
use serde::{Deserialize, Serialize};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::server::route::{Router, get, post};

use super::http::{on, on_id};
use super::request::{self, Asked};
use super::{Entry, http as shared};
use crate::error::{Code, Error, Result};
use crate::mesh::call::{Answer, Call};
use crate::state::claim;
use crate::state::job::{self, Job, Spec};
use crate::state::{Command, Reply};
use crate::verdict::Verdict;

/// Longest wait for a job change to be committed.
const COMMIT: Duration = Duration::from_secs(5);
/// Longest wait for a job's end in one request, in milliseconds.
const WAIT_MS: u64 = 30_000;
/// Greatest number of jobs in one cancel.
const BATCH: usize = 10_000;
/// Longest deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 86_400_000;
/// Longest declared run time or deadline of a job, in milliseconds.
const JOB_MS: u64 = 30 * 86_400_000;
/// Most processor cores that a part may ask for.
const CORES: u64 = 65_536;
/// Most memory that a part may ask for, in MiB.
const MEMORY_MIB: u64 = 64 << 20;
/// Longest payload of a job, in bytes.
const PAYLOAD_BYTES: u64 = 64 << 10;

/// A batch of jobs to cancel.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cancellation {
    /// Ids.
    pub ids: Vec<String>,
}

/// How many jobs a cancel changed.
#[derive(Debug, Deserialize, Serialize)]
pub struct CancelResponse {
    /// Jobs that were live and are now cancelled or being stopped.
    pub cancelled: u64,
}

/// Routes of the callers' listener.
pub(super) fn router(entry: &Arc<Entry>) -> Router {
    let own = entry.clone();
    let run = move |PathParams(kind): PathParams<String>, request: Request| {
        let entry = own.clone();
        async move { run(&entry, kind, request).await }
    };
    let jobs = get(on(entry, list)).post(on(entry, submit));
    let job = get(on_id(entry, fetch)).delete(on_id(entry, cancel_one));
    Router::new()
        .route("/v1/requests/{kind}", post(run).fallback(shared::missing))
        .route("/v1/jobs", jobs.fallback(shared::missing))
        .route("/v1/jobs/cancel", post(on(entry, cancel_many)).fallback(shared::missing))
        .route("/v1/jobs/{id}", job.fallback(shared::missing))
}

async fn run(entry: &Arc<Entry>, kind: String, request: Request) -> Response {
    match try_run(entry, kind, request).await {
        Ok(answer) => whole(answer),
        Err(error) => shared::refuse(&error),
    }
}

async fn try_run(entry: &Arc<Entry>, kind: String, request: Request) -> Result<claim::Answer> {
    let is_resend = shared::flag(request.headers(), "eelgrassvalve-resend")?;
    let sent = send(entry, kind, request).await;
    sent.map_err(|error| if is_resend { error.after_earlier_send() } else { error })
}

async fn send(entry: &Arc<Entry>, kind: String, request: Request) -> Result<claim::Answer> {
    let (head, body) = request.into_parts();
    let customer = entry.tokens.customer(&head.headers)?;
    shared::check_name("kind", &kind)?;
    let key = shared::text(&head.headers, "idempotency-key")?.map(str::to_string);
    if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > 256) {
        let message = "Idempotency-Key is not 1 to 256 characters long";
        return Err(Error::not_run(Code::BadRequest, message));
    }
    let is_idempotent = shared::flag(&head.headers, "eelgrassvalve-idempotent")?;
    let deadline_ms = shared::millis(&head.headers, "eelgrassvalve-deadline-ms", DEADLINE_MS)?;
    let content_type = shared::text(&head.headers, header::CONTENT_TYPE.as_str())?;
    let content_type = content_type.map(str::to_string);
    let payload = entry.read_payload(body).await?;
    let asked = Asked { kind, customer, payload, content_type, key, is_idempotent, deadline_ms };
    request::serve(entry, asked).await
}

fn whole(answer: claim::Answer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    match answer.body {
        Some(body) => {
            let content_type = answer.content_type.as_deref();
            shared::answer(status, Verdict::Ran, content_type, body.into())
        }
        None => {
            let message = "the request ran; its answer was too long to be kept";
            shared::refuse(&Error::new(Verdict::Ran, Code::Conflict, message))
        }
    }
}

async fn submit(entry: Arc<Entry>, request: Request) -> Result<Job> {
    let (head, body) = request.into_parts();
    let customer = entry.tokens.customer(&head.headers)?;
    let key = shared::text(&head.headers, "idempotency-key")?.map(str::to_string);
    let bytes = entry.read_payload(body).await?;
    let spec: Spec = shared::parse_json(&bytes)?;
    check(&entry, &customer, &spec)?;
    let id = match key {
        Some(key) if crate::state::document::is_name(&key) => format!("{customer}.{key}"),
        Some(_) => {
            let message = "the Idempotency-Key of a job is not 1 to 64 of a-z, 0-9, - and _";
            return Err(Error::not_run(Code::BadRequest, message));
        }
        None => format!("{customer}.{}", uuid::Uuid::now_v7()),
    };
    let command = Command::Job(job::Command::Submit { id, customer, spec });
    match entry.client.propose(command, COMMIT).await? {
        Reply::Job(job) => Ok(*job),
        other => Err(Error::unexpected(&other)),
    }
}

fn check(entry: &Entry, customer: &str, spec: &Spec) -> Result<()> {
    if entry.is_draining() {
        return Err(Error::not_run(Code::Stopping, "this entry is stopping"));
    }
    let document = entry.standing.lock().document.clone();
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
        ("cores", u64::from(spec.cores), 0, CORES),
        ("memory_mib", spec.memory_mib, 0, MEMORY_MIB),
        ("run_ms", spec.run_ms, 0, JOB_MS),
        ("deadline_ms", spec.deadline_ms.unwrap_or(JOB_MS), 1, JOB_MS),
        ("payload length", spec.payload.len() as u64, 0, PAYLOAD_BYTES),
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
    let customer = Some(entry.tokens.customer(request.headers())?);
    match entry.client.call(Call::Jobs { customer }, COMMIT).await? {
        Answer::Jobs(jobs) => Ok(jobs),
        other => Err(Error::unexpected(&other)),
    }
}

async fn fetch(entry: Arc<Entry>, id: String, request: Request) -> Result<Job> {
    let customer = entry.tokens.customer(request.headers())?;
    let wait_ms = wait_ms(request.uri().query().unwrap_or(""))?;
    let until_ms = entry.timer.now_ms() + wait_ms;
    loop {
        let job = match entry.client.call(Call::Job { id: id.clone() }, COMMIT).await? {
            Answer::Job(Some(job)) if job.customer == customer => job,
            Answer::Job(_) => return Err(Error::not_run(Code::NotFound, format!("no job {id}"))),
            other => return Err(Error::unexpected(&other)),
        };
        let is_over = job.phase.is_terminal() || entry.timer.now_ms() >= until_ms;
        if is_over || entry.is_draining() {
            return Ok(*job);
        }
        const RECHECK: Duration = Duration::from_millis(100);
        entry.timer.sleep(RECHECK).await;
    }
}

// Only `wait_ms` is known, and only once.
fn wait_ms(query: &str) -> Result<u64> {
    if query.is_empty() {
        return Ok(0);
    }
    let digits = query.strip_prefix("wait_ms=");
    let parsed = digits.and_then(|digits| digits.parse::<u64>().ok());
    match parsed {
        Some(wait_ms) => Ok(wait_ms.min(WAIT_MS)),
        None => {
            let message = "the query is not `wait_ms=` and a whole number";
            Err(Error::not_run(Code::BadRequest, message))
        }
    }
}

async fn cancel_one(entry: Arc<Entry>, id: String, request: Request) -> Result<CancelResponse> {
    cancel(&entry, request.headers(), vec![id]).await
}

async fn cancel_many(entry: Arc<Entry>, request: Request) -> Result<CancelResponse> {
    let (head, body) = request.into_parts();
    entry.tokens.customer(&head.headers)?;
    let bytes = entry.read_payload(body).await?;
    let batch: Cancellation = shared::parse_json(&bytes)?;
    if batch.ids.len() > BATCH {
        let message = format!("more than {BATCH} jobs in one cancel");
        return Err(Error::not_run(Code::BadRequest, message));
    }
    cancel(&entry, &head.headers, batch.ids).await
}

async fn cancel(entry: &Entry, headers: &HeaderMap, ids: Vec<String>) -> Result<CancelResponse> {
    let customer = entry.tokens.customer(headers)?;
    let command = Command::Job(job::Command::Cancel { customer, ids });
    match entry.client.propose(command, COMMIT).await? {
        Reply::Jobs(cancelled) => Ok(CancelResponse { cancelled }),
        other => Err(Error::unexpected(&other)),
    }
}
