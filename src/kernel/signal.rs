//! Signals that a daemon takes.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT; for ever where they can't be listened for.
pub async fn wait_for_shutdown() {
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

/// Notes each SIGHUP, which would end a process that does not listen for it.
pub async fn log_hangups() {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        tracing::warn!("SIGHUP can't be listened for and ends the process");
        return;
    };
    while hangup.recv().await.is_some() {
        tracing::info!("hangup: settings are read at the start only");
    }
}
