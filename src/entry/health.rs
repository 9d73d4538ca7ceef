//! Listener for health checks and metrics.

use std::sync::Arc;

use http::StatusCode;
use volo_http::response::Response;
use volo_http::server::route::{Router, get};

use super::{Entry, http as shared};
use crate::telemetry::Metrics;
use crate::verdict::Verdict;

/// Routes of the health listener.
pub(super) fn router(entry: &Arc<Entry>) -> Router {
    let (e1, e2) = (entry.clone(), entry.clone());
    let ready = move || {
        let entry = e1.clone();
        async move { ready(&entry) }
    };
    let scrape = move || {
        let entry = e2.clone();
        async move { scrape(&entry) }
    };
    Router::new()
        .route("/livez", get(live).fallback(shared::missing))
        .route("/readyz", get(ready).fallback(shared::missing))
        .route("/metrics", get(scrape).fallback(shared::missing))
}

async fn live() -> Response {
    text(StatusCode::OK, "live\n".into())
}

fn scrape(entry: &Entry) -> Response {
    let sent_ms = entry.standing.lock().sent_ms;
    Metrics::global().set_lease_age(entry.timer.now_ms().saturating_sub(sent_ms));
    text(StatusCode::OK, Metrics::global().scrape())
}

fn ready(entry: &Entry) -> Response {
    if entry.is_ready() {
        return text(StatusCode::OK, "ready\n".into());
    }
    text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into())
}

fn text(status: StatusCode, body: Vec<u8>) -> Response {
    shared::answer(status, Verdict::Ran, Some("text/plain"), body.into())
}
