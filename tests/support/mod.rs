//! Stand-ins and process control shared by tests and examples.

#![allow(dead_code)]

pub mod batch;
pub mod cluster;
pub mod history;
pub mod hostile;
pub mod raw;
pub mod relay;
pub mod replay;
pub mod upstream;
pub mod worker;

use std::time::{Duration, Instant};

/// Longest wait for a condition; a test that reaches it has failed.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `check` gives a value.
///
/// # Panics
/// Where it gives none within [`WAIT_TIMEOUT`].
pub async fn wait_until<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut check: impl FnMut() -> F,
) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "waited too long for: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
