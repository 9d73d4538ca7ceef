//! Signals that a daemon takes.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT; for ever where they can't be listened for.
pub async fn stop() {
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
