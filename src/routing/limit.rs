//! Limits of customers: rate, concurrency and bytes, each entry holding its part of them.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::{Display, Error};

use crate::kernel::lock::{Rank, Table};
use crate::state::document::Limits;

/// Result of an admission.
pub type Result<T> = std::result::Result<T, Exceeded>;

/// Seconds of its rate that a customer may use in one burst.
const BURST_SECONDS: f64 = 1.0;

/// The limit that a request would exceed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Exceeded {
    /// Requests a second.
    #[display("more requests a second than the customer's limit")]
    Rate,
    /// Requests at once.
    #[display("more requests at once than the customer's limit")]
    Concurrent,
    /// Payload bytes at once.
    #[display("more payload bytes at once than the customer's limit")]
    Bytes,
}

#[derive(Debug, Default)]
struct Used {
    tokens: f64,
    filled_ms: Option<u64>,
    concurrent: u32,
    bytes: u64,
}

/// What each customer uses at this entry.
#[derive(Clone, Debug)]
pub struct Limiter {
    used: Arc<Table<BTreeMap<String, Used>>>,
}

/// A request's part of its customer's limits, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    limiter: Limiter,
    customer: String,
    bytes: u64,
}

impl Default for Limiter {
    fn default() -> Self {
        Self { used: Arc::new(Table::new(Rank::Limits, BTreeMap::new())) }
    }
}

impl Limiter {
    /// Admits a request of `bytes` payload under this entry's part of the limits, which are
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
        let mut all = self.used.lock();
        let used = all.entry(customer.into()).or_default();
        if used.concurrent >= limits.concurrent.div_ceil(entries) {
            return Err(Exceeded::Concurrent);
        }
        if used.bytes + bytes > limits.bytes.div_ceil(u64::from(entries)) {
            return Err(Exceeded::Bytes);
        }
        let rate = f64::from(limits.requests_per_second) / f64::from(entries);
        used.fill(rate, now_ms);
        if used.tokens < 1.0 {
            return Err(Exceeded::Rate);
        }
        used.tokens -= 1.0;
        used.concurrent += 1;
        used.bytes += bytes;
        Ok(Permit { limiter: self.clone(), customer: customer.into(), bytes })
    }
}

impl Used {
    fn fill(&mut self, rate: f64, now_ms: u64) {
        // At least one request may pass at once, however low the rate.
        let most = (rate * BURST_SECONDS).max(1.0);
        let Some(filled_ms) = self.filled_ms else {
            self.tokens = most;
            self.filled_ms = Some(now_ms);
            return;
        };
        let seconds = now_ms.saturating_sub(filled_ms) as f64 / 1_000.0;
        self.tokens = (self.tokens + rate * seconds).min(most);
        self.filled_ms = Some(now_ms);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut all = self.limiter.used.lock();
        if let Some(used) = all.get_mut(&self.customer) {
            used.concurrent = used.concurrent.saturating_sub(1);
            used.bytes = used.bytes.saturating_sub(self.bytes);
        }
    }
}
