//! Runs the four HTTP listeners of an entry.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::task::JoinSet;
use volo::Service;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::server::route::Router;

use super::{Entry, caller, health, http as shared, operator, platform};
use crate::listener::{Budget, Handler, Limits, Listener};

/// Maximum concurrent connections of one listener, with headroom above 10,000 callers.
const MAX_CONNECTIONS: usize = 16_000;

/// Serves until the drain is complete and every request in progress is answered.
///
/// # Errors
/// If a listener can't be bound.
pub async fn run(entry: Arc<Entry>, drained: watch::Receiver<bool>) -> miette::Result<()> {
    let listen = entry.settings.listen;
    let limits = Limits {
        max_connections: MAX_CONNECTIONS,
        max_head_bytes: entry.settings.limits.head_bytes,
        ..Limits::default()
    };
    let listeners = [
        ("callers", listen.callers, caller::router(&entry)),
        ("operators", listen.operators, operator::router(&entry)),
        ("platform", listen.platform, platform::router(&entry)),
        ("health", listen.health, health::router(&entry)),
    ];
    let budget = Budget::new(entry.settings.limits.buffer_bytes());
    tokio::spawn(budget.clone().report_periodically());
    let mut running = JoinSet::new();
    for (name, address, router) in listeners {
        let handler = Arc::new(Adapter { address, router: router.fallback(shared::not_found) });
        let listener = Listener::new(address, limits).name(name).budget(budget.clone());
        let drained = drained.clone();
        running.spawn(async move {
            let result = listener.serve_handler(handler, drained).await;
            result.map_err(|e| miette::miette!("listener {address}: {e}"))
        });
    }
    while let Some(result) = running.join_next().await {
        result.map_err(|e| miette::miette!("listener task failed: {e}"))??;
    }
    Ok(())
}

// Used in place of volo's own server, which stops on SIGHUP and limits neither the heads of
// requests nor the number of connections.
struct Adapter {
    address: SocketAddr,
    router: Router,
}

impl Handler for Adapter {
    type Body = Body;

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let mut context = ServerContext::new(Address::from(self.address));
        let request = request.map(Body::from_incoming);
        match self.router.call(&mut context, request).await {
            Ok(response) => response,
            Err(never) => match never {},
        }
    }
}
