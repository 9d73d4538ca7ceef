//! Listener for operators: configuration, status, members and drains.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use volo_http::request::Request;
use volo_http::server::route::{Router, delete, get, post};

use super::http::{handle, handle_with_id};
use super::token::Role;
use super::{Entry, http as shared};
use crate::control::status;
use crate::error::{Code, Error, Result};
use crate::mesh::call::{Answer, Call};
use crate::mesh::frame::Notice;
use crate::replica::member::{Change, Id};
use crate::routing::upstream;
use crate::state::document::{Document, Fault};
use crate::state::{Command, Reply, config, worker};

/// Maximum time for a control member to commit a change or answer a call.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for a change of the membership.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time to wait until a configuration is in force at every entry, in milliseconds.
const IN_FORCE_TIMEOUT_MS: u64 = 12_000;

/// The configuration with its version.
#[derive(Debug, Deserialize, Serialize)]
pub struct Config {
    /// Version of the configuration in force.
    pub version: u64,
    /// Configuration document.
    pub document: Document,
}

/// Answer to a configuration change.
#[derive(Debug, Deserialize, Serialize)]
pub struct Rollout {
    /// Version that the change created.
    pub version: u64,
    /// `in_force` if every entry uses the version, `accepted` if it is only committed so far.
    pub state: String,
}

/// Result of checking a document.
#[derive(Debug, Deserialize, Serialize)]
pub struct Validation {
    /// Faults; empty if the document may be applied.
    pub faults: Vec<Fault>,
}

/// Request to add a daemon as a member.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name of the daemon.
    pub name: String,
}

/// Request to start or end the drain of a worker.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// True starts a drain, false ends it.
    pub draining: bool,
}

/// Human-readable answer.
#[derive(Debug, Deserialize, Serialize)]
pub struct Message {
    /// Text of the message.
    pub text: String,
}

/// Routes of the listener for operators.
pub(super) fn router(entry: &Arc<Entry>) -> Router {
    let handlers = Handlers(entry.clone());
    let config =
        get(handle(&handlers, Handlers::config)).put(handle(&handlers, Handlers::configure));
    let members =
        get(handle(&handlers, Handlers::members)).post(handle(&handlers, Handlers::add_member));
    let routes = [
        ("/v1/config", config),
        ("/v1/config/check", post(handle(&handlers, Handlers::check))),
        ("/v1/status", get(handle(&handlers, Handlers::status))),
        ("/v1/workers", get(handle(&handlers, Handlers::workers))),
        ("/v1/upstreams", get(handle(&handlers, Handlers::upstreams))),
        ("/v1/members", members),
        ("/v1/members/{id}", delete(handle_with_id(&handlers, Handlers::remove_member))),
        ("/v1/workers/{id}/drain", post(handle_with_id(&handlers, Handlers::drain_worker))),
        ("/v1/upstreams/{id}/drain", post(handle_with_id(&handlers, Handlers::drain_upstream))),
        ("/v1/jobs/{id}/explain", get(handle_with_id(&handlers, Handlers::explain))),
    ];
    let mut router = Router::new();
    for (path, route) in routes {
        router = router.route(path, route.fallback(shared::not_found));
    }
    router
}

#[derive(Clone)]
struct Handlers(Arc<Entry>);

impl Handlers {
    fn authorize(&self, request: &Request) -> Result<()> {
        self.0.tokens.authorize(request.headers(), &Role::Operator)
    }

    async fn call(&self, call: Call) -> Result<Answer> {
        self.0.client.call(call, COMMIT_TIMEOUT).await
    }

    async fn config(self, request: Request) -> Result<Config> {
        self.authorize(&request)?;
        match self.call(Call::Config).await? {
            Answer::Config { version, document } => Ok(Config { version, document: *document }),
            other => Err(Error::unexpected(&other)),
        }
    }

    async fn configure(self, request: Request) -> Result<Rollout> {
        self.authorize(&request)?;
        let (head, body) = request.into_parts();
        let Some(expected) = shared::header_number(&head.headers, "if-match")? else {
            let message = "If-Match must name the version that the change is based on";
            return Err(Error::not_run(Code::BadRequest, message));
        };
        let request_id = shared::header_text(&head.headers, "eelgrassvalve-request-id")?;
        let request_id = request_id.filter(|id| (1..=128).contains(&id.len()));
        let Some(request_id) = request_id.map(str::to_string) else {
            let message = "Eelgrassvalve-Request-Id must be 1 to 128 characters long";
            return Err(Error::not_run(Code::BadRequest, message));
        };
        let bytes = self.0.read_body(body, shared::MAX_DOCUMENT_BYTES).await?;
        let document: Document = shared::parse_json(&bytes)?;
        let faults = self.find_faults(&document).await?;
        let change = config::Change::new(request_id, expected, document, faults);
        let command = Command::Configure(change);
        let version = match self.0.client.propose(command, COMMIT_TIMEOUT).await? {
            Reply::Configured(version) => version,
            other => return Err(Error::unexpected(&other)),
        };
        let call = Call::AwaitInForce { version, within_ms: IN_FORCE_TIMEOUT_MS };
        let timeout = Duration::from_millis(IN_FORCE_TIMEOUT_MS + 1_000);
        let is_in_force =
            matches!(self.0.client.call(call, timeout).await, Ok(Answer::InForce(true)));
        let state = if is_in_force { "in_force" } else { "accepted" };
        Ok(Rollout { version, state: state.into() })
    }

    async fn check(self, request: Request) -> Result<Validation> {
        self.authorize(&request)?;
        let bytes = self.0.read_body(request.into_parts().1, shared::MAX_DOCUMENT_BYTES).await?;
        let document: Document = shared::parse_json(&bytes)?;
        Ok(Validation { faults: self.find_faults(&document).await? })
    }

    async fn find_faults(&self, document: &Document) -> Result<Vec<Fault>> {
        match self.call(Call::Check(Box::new(document.clone()))).await? {
            Answer::Faults(faults) => Ok(faults),
            other => Err(Error::unexpected(&other)),
        }
    }

    async fn status(self, request: Request) -> Result<status::Cluster> {
        self.authorize(&request)?;
        match self.call(Call::Status).await? {
            Answer::Status(cluster) => Ok(*cluster),
            other => Err(Error::unexpected(&other)),
        }
    }

    async fn workers(self, request: Request) -> Result<Vec<status::Worker>> {
        self.authorize(&request)?;
        match self.call(Call::Workers).await? {
            Answer::Workers(workers) => Ok(workers),
            other => Err(Error::unexpected(&other)),
        }
    }

    async fn upstreams(self, request: Request) -> Result<Vec<upstream::Status>> {
        self.authorize(&request)?;
        let now_ms = self.0.timer.now_ms();
        Ok(self.0.router.upstreams.lock().statuses(now_ms))
    }

    async fn members(self, request: Request) -> Result<Vec<status::Member>> {
        self.status(request).await.map(|cluster| cluster.members)
    }

    async fn add_member(self, request: Request) -> Result<Message> {
        self.authorize(&request)?;
        let bytes = self.0.read_body(request.into_parts().1, shared::MAX_DOCUMENT_BYTES).await?;
        let Member { name } = shared::parse_json(&bytes)?;
        shared::check_name("daemon", &name)?;
        let text = format!("{name} is a voter");
        self.0.client.call(Call::AddMember { name }, MEMBERSHIP_TIMEOUT).await?;
        Ok(Message { text })
    }

    async fn remove_member(self, id: String, request: Request) -> Result<Message> {
        self.authorize(&request)?;
        let Some(member) = Id::parse(&id) else {
            let message = format!("`{id}` is not the identity of a member");
            return Err(Error::not_run(Code::BadRequest, message));
        };
        let change = Change::Remove { id: member };
        self.0.client.call(Call::Change(change), MEMBERSHIP_TIMEOUT).await?;
        Ok(Message { text: format!("{id} is removed") })
    }

    async fn drain_worker(self, worker: String, request: Request) -> Result<Message> {
        self.authorize(&request)?;
        shared::check_name("worker", &worker)?;
        let bytes = self.0.read_body(request.into_parts().1, shared::MAX_DOCUMENT_BYTES).await?;
        let Drain { draining } = shared::parse_json(&bytes)?;
        let text = format!("{worker}: draining = {draining}");
        let command = Command::Worker(worker::Command::Drain { worker, draining });
        self.0.client.propose(command, COMMIT_TIMEOUT).await?;
        Ok(Message { text })
    }

    async fn drain_upstream(self, id: String, request: Request) -> Result<Message> {
        self.authorize(&request)?;
        let bytes = self.0.read_body(request.into_parts().1, shared::MAX_DOCUMENT_BYTES).await?;
        let is_undo = !bytes.is_empty() && !shared::parse_json::<Drain>(&bytes)?.draining;
        if is_undo {
            let message = "the drain of an upstream lasts until its next incarnation";
            return Err(Error::not_run(Code::Unsatisfiable, message));
        }
        let update = self.0.router.upstreams.lock().drain(&id);
        let Some(update) = update else {
            return Err(Error::not_run(Code::NotFound, format!("no upstream {id}")));
        };
        self.0.mesh.broadcast(&Notice::Upstreams(vec![update]));
        Ok(Message { text: format!("{id} is leaving") })
    }

    async fn explain(self, id: String, request: Request) -> Result<Message> {
        self.authorize(&request)?;
        match self.call(Call::Explain { id }).await? {
            Answer::Text(text) => Ok(Message { text }),
            other => Err(Error::unexpected(&other)),
        }
    }
}
