//! Listener for liveness and readiness checks and for metrics.

use std::sync::Arc;

use http::StatusCode;
use volo_http::response::Response;
use volo_http::server::route::{Router, get};

use super::{Entry, http as shared};
use crate::telemetry::Metrics;
use crate::verdict::Verdict;

/// Routes of the health listener.
pub(super) fn router(entry: &Arc<Entry>) -> Router {
    let (ready_entry, scrape_entry) = (entry.clone(), entry.clone());
    let ready = move || {
        let entry = ready_entry.clone();
        async move { ready(&entry) }
    };
    let scrape = move || {
        let entry = scrape_entry.clone();
        async move { scrape(&entry) }
    };
    Router::new()
        .route("/livez", get(live).fallback(shared::not_found))
        .route("/readyz", get(ready).fallback(shared::not_found))
        .route("/metrics", get(scrape).fallback(shared::not_found))
}

async fn live() -> Response {
    respond_text(StatusCode::OK, "live\n".into())
}

fn scrape(entry: &Entry) -> Response {
    let sent_ms = entry.lease.lock().sent_ms;
    Metrics::global().set_lease_age(entry.timer.now_ms().saturating_sub(sent_ms));
    respond_text(StatusCode::OK, Metrics::global().scrape())
}

fn ready(entry: &Entry) -> Response {
    if entry.is_ready() {
        return respond_text(StatusCode::OK, "ready\n".into());
    }
    respond_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into())
}

fn respond_text(status: StatusCode, body: Vec<u8>) -> Response {
    shared::respond(status, Verdict::Ran, Some("text/plain"), body.into())
}
