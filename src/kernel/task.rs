//! Tasks without which a daemon can't work: if one panics, the process stops, so that its peers take
//! over instead of waiting for it.

use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::process;
use std::time::Duration;

use derive_more::{Display, Error};
use futures_util::FutureExt;

/// Exit code of a process of which a critical task panicked: an internal software error.
pub const EXIT_CODE: i32 = 70;
/// Time that the log writer gets for the last lines before the process exits.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(100);

/// A panic of a critical task.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{task} panicked: {reason}")]
pub struct Panic {
    /// Name of the task.
    pub task: &'static str,
    /// Message of the panic.
    pub reason: String,
}

/// Result of this module.
pub type Result<T> = std::result::Result<T, Panic>;

/// Runs a future and turns a panic into an error.
///
/// # Errors
/// If the future panics.
pub async fn catch_panic<T>(task: &'static str, future: impl Future<Output = T>) -> Result<T> {
    let outcome = AssertUnwindSafe(future).catch_unwind().await;
    outcome.map_err(|payload| Panic { task, reason: message_of(&*payload) })
}

/// Spawns a task that stops the process if it panics.
pub fn spawn_critical(task: &'static str, future: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(async move {
        if let Err(panic) = catch_panic(task, future).await {
            stop_process(&panic);
        }
    });
}

/// Runs a function on the current thread and stops the process if it panics.
pub fn run_critical(task: &'static str, function: impl FnOnce()) {
    if let Err(payload) = std::panic::catch_unwind(AssertUnwindSafe(function)) {
        stop_process(&Panic { task, reason: message_of(&*payload) });
    }
}

fn stop_process(panic: &Panic) -> ! {
    tracing::error!(task = panic.task, reason = panic.reason, "critical task panicked; stopping");
    std::thread::sleep(LOG_FLUSH_TIME);
    process::exit(EXIT_CODE)
}

fn message_of(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().map(ToString::to_string);
    text.or_else(|| payload.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "the panic has no message".into())
}
