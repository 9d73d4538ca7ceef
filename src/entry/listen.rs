//! Runs the four HTTP listeners of a daemon.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::FutureExt;
use tokio::sync::watch;
use tokio::task::JoinSet;
use volo::net::Address;
use volo_http::server::Server;
use volo_http::server::route::Router;

use super::{Entry, caller, health, http as shared, operator, platform};

/// Serves until a signal asks for a planned stop and the drain is over.
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
        running.spawn(serve(address, router, drained.clone()));
    }
    while let Some(ended) = running.join_next().await {
        ended.map_err(|e| miette::miette!("a listener died: {e}"))??;
    }
    Ok(())
}

// The library's own grace is bounded; its hook is not, so the drain is waited for there.
async fn serve(
    address: SocketAddr,
    router: Router,
    mut drained: watch::Receiver<bool>,
) -> miette::Result<()> {
    let hook = move || {
        async move {
            let _ = drained.wait_for(|done| *done).await;
        }
        .boxed()
    };
    let router = router.fallback(shared::missing);
    let server = Server::new(router).http1_only().register_shutdown_hook(hook);
    let ended = server.run(Address::from(address)).await;
    ended.map_err(|e| miette::miette!("listener {address}: {e}"))
}
