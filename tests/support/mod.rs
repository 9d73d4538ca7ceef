//! Test doubles and process control shared by tests and examples.

#![allow(dead_code)]

pub mod batch;
pub mod cluster;
pub mod daemon;
pub mod history;
pub mod hostile;
pub mod raw;
pub mod relay;
pub mod replay;
pub mod takeover;
pub mod upstream;
pub mod worker;

use std::time::{Duration, Instant};

/// Maximum wait for a condition; a test that exceeds it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls `check` until it returns a value.
///
/// # Panics
/// Panics if `check` returns no value within [`WAIT_TIMEOUT`].
pub async fn wait_until<T, F: Future<Output = Option<T>>>(
    condition: &str,
    mut check: impl FnMut() -> F,
) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out after {WAIT_TIMEOUT:?} waiting for: {condition}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
