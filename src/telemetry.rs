//! Logs and metrics.

use std::io::IsTerminal;
use std::sync::OnceLock;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

mod rate_limit;

use crate::batch::worker::Exit;
use crate::error::Code;
use crate::settings::LogFormat;
use crate::verdict::Verdict;
pub use rate_limit::RateLimit;

/// Lines a second of one kind; further ones are dropped and counted. Twice what the largest
/// deployment places in an ordinary second.
const LINES_A_SECOND: u64 = 400;

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
pub fn start_nonblocking_log() -> tracing_appender::non_blocking::WorkerGuard {
    let builder = tracing_appender::non_blocking::NonBlockingBuilder::default();
    let (writer, guard) = builder.lossy(true).buffered_lines_limit(LINES).finish(std::io::stdout());
    let filter = EnvFilter::try_from_env("EELGRASSVALVE_LOG")
        .unwrap_or_else(|_| EnvFilter::new("info,volo_http=warn"));
    let lines = tracing_subscriber::fmt::layer().json().flatten_event(true).with_writer(writer);
    let lines = lines.with_filter(RateLimit::new(LINES_A_SECOND));
    // A second daemon in the same process shares the first one's log.
    let _ = tracing_subscriber::registry().with(filter).with(lines).try_init();
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
    jobs: Counter<u64>,
    runs: Counter<u64>,
    evictions: Counter<u64>,
    refusals: Counter<u64>,
    log_dropped: Counter<u64>,
    steps_waiting: Gauge<u64>,
    first_start: Histogram<f64>,
    completion: Histogram<f64>,
    commit_time: Histogram<f64>,
    beat_time: Histogram<f64>,
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
            jobs: meter.u64_counter("eelgrassvalve_batch_jobs").build(),
            runs: meter.u64_counter("eelgrassvalve_batch_runs_ended").build(),
            evictions: meter.u64_counter("eelgrassvalve_batch_evictions").build(),
            refusals: meter.u64_counter("eelgrassvalve_batch_refusals").build(),
            log_dropped: meter.u64_counter("eelgrassvalve_log_lines_dropped").build(),
            steps_waiting: meter.u64_gauge("eelgrassvalve_batch_steps_waiting").build(),
            first_start: meter.f64_histogram("eelgrassvalve_batch_first_start_seconds").build(),
            completion: meter.f64_histogram("eelgrassvalve_batch_completion_seconds").build(),
            commit_time: meter.f64_histogram("eelgrassvalve_commit_seconds").build(),
            beat_time: meter.f64_histogram("eelgrassvalve_heartbeat_seconds").build(),
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

    /// Counts a batch job that was accepted or has ended: `accepted`, `completed`, and so on.
    pub fn count_job(&self, event: &str) {
        self.jobs.add(1, &[KeyValue::new("event", event.to_string())]);
    }

    /// Counts a run that ended.
    pub fn count_run(&self, how: Exit) {
        self.runs.add(1, &[KeyValue::new("how", how.to_string())]);
    }

    /// Counts runs that are stopped for more urgent ones.
    pub fn count_evictions(&self, count: u64) {
        self.evictions.add(count, &[]);
    }

    /// Counts a batch request that was refused.
    pub fn count_refusal(&self, code: Code) {
        self.refusals.add(1, &[KeyValue::new("code", code.to_string())]);
    }

    /// Counts lines that the log's budget kept out.
    pub fn count_dropped_lines(&self, count: u64) {
        self.log_dropped.add(count, &[]);
    }

    /// Sets the number of steps that wait for a place.
    pub fn set_steps_waiting(&self, count: u64) {
        self.steps_waiting.record(count, &[]);
    }

    /// Records the time from a job's acceptance to its first start, in seconds.
    pub fn record_first_start(&self, seconds: f64) {
        self.first_start.record(seconds, &[]);
    }

    /// Records the time from a job's acceptance to its completion, in seconds.
    pub fn record_completion(&self, seconds: f64) {
        self.completion.record(seconds, &[]);
    }

    /// Records the time until a change was committed, in seconds.
    pub fn record_commit(&self, seconds: f64) {
        self.commit_time.record(seconds, &[]);
    }

    /// Records the time until a worker's heartbeat was answered, its hold included, in seconds.
    pub fn record_heartbeat(&self, seconds: f64) {
        self.beat_time.record(seconds, &[]);
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
