//! Per-customer limits on request rate, concurrency and payload bytes. Each entry enforces an
//! equal part of every limit.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::{Display, Error};

use crate::kernel::lock::{Mutex, Rank};
use crate::state::document::Limits;

/// Result of an admission.
pub type Result<T> = std::result::Result<T, Exceeded>;

/// Capacity of a customer's token bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

/// The limit that a request would exceed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Exceeded {
    /// Requests per second.
    #[display("more requests a second than the customer's limit")]
    Rate,
    /// Concurrent requests.
    #[display("more requests at once than the customer's limit")]
    Concurrent,
    /// Payload bytes of concurrent requests.
    #[display("more payload bytes at once than the customer's limit")]
    Bytes,
}

#[derive(Debug, Default)]
struct Usage {
    tokens: f64,
    refilled_ms: Option<u64>,
    concurrent: u32,
    bytes: u64,
}

/// Admits requests by their customers' limits.
#[derive(Clone, Debug)]
pub struct Limiter {
    usage: Arc<Mutex<BTreeMap<String, Usage>>>,
}

/// An admitted request's concurrency and bytes, released on drop.
#[derive(Debug)]
pub struct Permit {
    limiter: Limiter,
    customer: String,
    bytes: u64,
}

impl Default for Limiter {
    fn default() -> Self {
        Self { usage: Arc::new(Mutex::new(Rank::Limits, BTreeMap::new())) }
    }
}

impl Limiter {
    /// Admits a request with `bytes` of payload under this entry's part of the limits: the limits
    /// divided by the number of live `entries`.
    ///
    /// # Errors
    /// The first limit that it would exceed.
    pub fn admit(
        &self,
        customer: &str,
        limits: &Limits,
        entries: u32,
        bytes: u64,
        now_ms: u64,
    ) -> Result<Permit> {
        let entries = entries.max(1);
        let mut by_customer = self.usage.lock();
        let usage = by_customer.entry(customer.into()).or_default();
        if usage.concurrent >= limits.concurrent.div_ceil(entries) {
            return Err(Exceeded::Concurrent);
        }
        if usage.bytes + bytes > limits.bytes.div_ceil(u64::from(entries)) {
            return Err(Exceeded::Bytes);
        }
        let rate = f64::from(limits.requests_per_second) / f64::from(entries);
        usage.refill(rate, now_ms);
        if usage.tokens < 1.0 {
            return Err(Exceeded::Rate);
        }
        usage.tokens -= 1.0;
        usage.concurrent += 1;
        usage.bytes += bytes;
        Ok(Permit { limiter: self.clone(), customer: customer.into(), bytes })
    }
}

impl Usage {
    fn refill(&mut self, rate: f64, now_ms: u64) {
        // At least one token, or a rate below one request per second would admit nothing.
        let capacity = (rate * BURST_SECONDS).max(1.0);
        let Some(refilled_ms) = self.refilled_ms else {
            self.tokens = capacity;
            self.refilled_ms = Some(now_ms);
            return;
        };
        let seconds = now_ms.saturating_sub(refilled_ms) as f64 / 1_000.0;
        self.tokens = (self.tokens + rate * seconds).min(capacity);
        self.refilled_ms = Some(now_ms);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut by_customer = self.limiter.usage.lock();
        if let Some(usage) = by_customer.get_mut(&self.customer) {
            usage.concurrent = usage.concurrent.saturating_sub(1);
            usage.bytes = usage.bytes.saturating_sub(self.bytes);
        }
    }
}
