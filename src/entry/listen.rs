//! Runs the four HTTP listeners of a daemon.

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
use crate::listener::{Handler, Limits, serve_handler};

/// Connections of one listener at once: more than the 10,000 callers that a daemon was measured with.
const CONNECTIONS: usize = 16_000;

/// Serves until the drain is over and every request in progress is answered.
///
/// # Errors
/// Where a listener can't be bound.
pub async fn run(entry: Arc<Entry>, drained: watch::Receiver<bool>) -> miette::Result<()> {
    let listen = entry.settings.listen;
    let listeners = [
        (listen.callers, caller::router(&entry)),
        (listen.operators, operator::router(&entry)),
        (listen.platform, platform::router(&entry)),
        (listen.health, health::router(&entry)),
    ];
    let mut running = JoinSet::new();
    for (address, router) in listeners {
        let routes = Arc::new(Routes { address, router: router.fallback(shared::missing) });
        let stop = drained.clone();
        running.spawn(async move {
            let bounds = Limits { max_connections: CONNECTIONS, ..Limits::default() };
            let ended = serve_handler(address, bounds, routes, stop).await;
            ended.map_err(|e| miette::miette!("listener {address}: {e}"))
        });
    }
    while let Some(ended) = running.join_next().await {
        ended.map_err(|e| miette::miette!("a listener died: {e}"))??;
    }
    Ok(())
}

// The library's own server stops on SIGHUP and bounds neither heads nor connections.
struct Routes {
    address: SocketAddr,
    router: Router,
}

impl Handler for Routes {
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
