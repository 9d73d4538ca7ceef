//! Handling of process signals in a daemon.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT; never returns if their handlers can't be installed.
pub async fn wait_for_shutdown() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Logs each SIGHUP; without a handler the signal would terminate the process.
pub async fn log_hangups() {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        tracing::warn!("can't install the SIGHUP handler; SIGHUP will terminate the process");
        return;
    };
    while hangup.recv().await.is_some() {
        tracing::info!("SIGHUP (hangup) ignored: settings are read only at startup");
    }
}
