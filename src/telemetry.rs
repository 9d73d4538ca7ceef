//! Logs and metrics.

use std::io::IsTerminal;
use std::sync::OnceLock;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use tracing_subscriber::EnvFilter;

use crate::settings::LogFormat;
use crate::verdict::Verdict;

/// Lines of the log that wait to be written; further ones are dropped.
const LINES: usize = 4_096;

/// Target of decision lines: one for each routing or placement decision.
pub const DECISION: &str = "decision";

/// Starts the log; a second call has no effect.
pub fn start_log(format: LogFormat) {
    let filter = EnvFilter::try_from_env("EELGRASSVALVE_LOG")
        .unwrap_or_else(|_| EnvFilter::new("info,volo_http=warn"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        // Colours in a file would stand in the way of searching it.
        .with_ansi(std::io::stderr().is_terminal());
    // A second daemon in the same process shares the first one's log.
    let _ = match format {
        LogFormat::Human => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
}

/// Starts the log of a daemon of batch work: JSON on standard output, written by a thread of its
/// own. Lines are dropped rather than waited for. The guard writes what is left when dropped.
pub fn start_bounded_log() -> tracing_appender::non_blocking::WorkerGuard {
    let builder = tracing_appender::non_blocking::NonBlockingBuilder::default();
    let (writer, guard) = builder.lossy(true).buffered_lines_limit(LINES).finish(std::io::stdout());
    let filter = EnvFilter::try_from_env("EELGRASSVALVE_LOG")
        .unwrap_or_else(|_| EnvFilter::new("info,volo_http=warn"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer);
    // A second daemon in the same process shares the first one's log.
    let _ = builder.json().flatten_event(true).try_init();
    guard
}

/// Instruments of a daemon.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    retries: Counter<u64>,
    claims: Counter<u64>,
    log_syncs: Counter<u64>,
    elections: Counter<u64>,
    queue_depth: Gauge<u64>,
    config_version: Gauge<u64>,
    fragmentation: Gauge<f64>,
    lease_age: Gauge<u64>,
    placement_time: Histogram<f64>,
    mesh_bytes: Counter<u64>,
}

impl Metrics {
    /// The process's instruments.
    pub fn global() -> &'static Self {
        static METRICS: OnceLock<Metrics> = OnceLock::new();
        METRICS.get_or_init(Self::new)
    }

    fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let exporter = exporter.expect("a fresh registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter: Meter = provider.meter("eelgrassvalve");
        Self {
            requests: meter.u64_counter("eelgrassvalve_requests").build(),
            retries: meter.u64_counter("eelgrassvalve_retries").build(),
            claims: meter.u64_counter("eelgrassvalve_claims").build(),
            log_syncs: meter.u64_counter("eelgrassvalve_log_syncs").build(),
            elections: meter.u64_counter("eelgrassvalve_elections").build(),
            queue_depth: meter.u64_gauge("eelgrassvalve_queue_depth").build(),
            config_version: meter.u64_gauge("eelgrassvalve_config_version").build(),
            fragmentation: meter.f64_gauge("eelgrassvalve_fragmentation").build(),
            lease_age: meter.u64_gauge("eelgrassvalve_lease_age_ms").build(),
            placement_time: meter.f64_histogram("eelgrassvalve_placement_seconds").build(),
            mesh_bytes: meter.u64_counter("eelgrassvalve_mesh_sent_bytes").build(),
            registry,
            _provider: provider,
        }
    }

    /// All instruments in the Prometheus text format.
    pub fn scrape(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Only a failing writer could make this fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }

    /// Counts an answered request.
    pub fn count_request(&self, verdict: Verdict) {
        self.requests.add(1, &[KeyValue::new("verdict", verdict.to_string())]);
    }

    /// Counts a retry of a request.
    pub fn count_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a claim in the log.
    pub fn count_claim(&self) {
        self.claims.add(1, &[]);
    }

    /// Counts a sync of the log.
    pub fn count_log_sync(&self) {
        self.log_syncs.add(1, &[]);
    }

    /// Counts an election won by this daemon.
    pub fn count_election(&self) {
        self.elections.add(1, &[]);
    }

    /// Counts bytes sent to other daemons.
    pub fn count_mesh_bytes(&self, bytes: u64) {
        self.mesh_bytes.add(bytes, &[]);
    }

    /// Sets the number of waiting requests.
    pub fn set_queue_depth(&self, depth: u64) {
        self.queue_depth.record(depth, &[]);
    }

    /// Sets the configuration version in force here.
    pub fn set_config_version(&self, version: u64) {
        self.config_version.record(version, &[]);
    }

    /// Sets the share of free accelerators that a job of the observed mix couldn't use.
    pub fn set_fragmentation(&self, share: f64) {
        self.fragmentation.record(share, &[]);
    }

    /// Sets the age of this entry's lease, in milliseconds.
    pub fn set_lease_age(&self, age_ms: u64) {
        self.lease_age.record(age_ms, &[]);
    }

    /// Records the time of one placement decision, in seconds.
    pub fn record_placement(&self, seconds: f64) {
        self.placement_time.record(seconds, &[]);
    }
}
