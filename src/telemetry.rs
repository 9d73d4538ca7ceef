//! Logging and metrics.

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
use crate::listener::ledger::Report;
use crate::settings::LogFormat;
use crate::verdict::Verdict;
pub use rate_limit::Limiter;

/// Maximum rate of log lines from one call site; further lines are dropped and counted. Twice the
/// placement rate of the largest deployment under normal load.
const LINES_PER_SECOND: u64 = 400;

/// Number of log lines buffered for the writer thread; further lines are dropped.
const BUFFERED_LINES: usize = 4_096;

/// Target of the log lines that record routing and placement decisions.
pub const DECISION: &str = "decision";

/// Starts logging to standard error; a second call has no effect.
pub fn start_log(format: LogFormat) {
    let filter = EnvFilter::try_from_env("EELGRASSVALVE_LOG")
        .unwrap_or_else(|_| EnvFilter::new("info,volo_http=warn"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        // Colour codes in a file would make it hard to search.
        .with_ansi(std::io::stderr().is_terminal());
    // Fails if another daemon in the process has started logging; both then share its log.
    let _ = match format {
        LogFormat::Human => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
}

/// Starts logging JSON to standard output through a writer thread, as used for batch scheduling.
/// The daemon never blocks on the log: lines beyond the rate limit or the buffer are dropped.
/// Dropping the guard flushes the buffer.
pub fn start_nonblocking_log() -> tracing_appender::non_blocking::WorkerGuard {
    let builder = tracing_appender::non_blocking::NonBlockingBuilder::default();
    let (writer, guard) =
        builder.lossy(true).buffered_lines_limit(BUFFERED_LINES).finish(std::io::stdout());
    let filter = EnvFilter::try_from_env("EELGRASSVALVE_LOG")
        .unwrap_or_else(|_| EnvFilter::new("info,volo_http=warn"));
    let lines = tracing_subscriber::fmt::layer().json().flatten_event(true).with_writer(writer);
    let lines = lines.with_filter(Limiter::new(LINES_PER_SECOND));
    // Fails if another daemon in the process has started logging; both then share its log.
    let _ = tracing_subscriber::registry().with(filter).with(lines).try_init();
    guard
}

/// Metrics of a daemon.
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
    runs_ended: Counter<u64>,
    evictions: Counter<u64>,
    refusals: Counter<u64>,
    log_lines_dropped: Counter<u64>,
    steps_waiting: Gauge<u64>,
    excluded_workers: Gauge<u64>,
    steps_beyond_limit: Gauge<u64>,
    delayed_restarts: Counter<u64>,
    speed_spread: Gauge<f64>,
    interfering_pairs: Gauge<u64>,
    pace_changes: Counter<u64>,
    yielding_customers: Gauge<u64>,
    first_start: Histogram<f64>,
    completion: Histogram<f64>,
    commit_time: Histogram<f64>,
    heartbeat_time: Histogram<f64>,
    state_bytes: Gauge<u64>,
    listener_bytes: Gauge<u64>,
    listener_connections: Gauge<u64>,
    listener_refused: Counter<u64>,
    listener_closed: Counter<u64>,
}

impl Metrics {
    /// Returns the metrics of the process.
    pub fn global() -> &'static Self {
        static METRICS: OnceLock<Metrics> = OnceLock::new();
        METRICS.get_or_init(Self::new)
    }

    fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let exporter = exporter.expect("an exporter can be registered in a new registry");
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
            runs_ended: meter.u64_counter("eelgrassvalve_batch_runs_ended").build(),
            evictions: meter.u64_counter("eelgrassvalve_batch_evictions").build(),
            refusals: meter.u64_counter("eelgrassvalve_batch_refusals").build(),
            log_lines_dropped: meter.u64_counter("eelgrassvalve_log_lines_dropped").build(),
            steps_waiting: meter.u64_gauge("eelgrassvalve_batch_steps_waiting").build(),
            steps_beyond_limit: meter
                .u64_gauge("eelgrassvalve_batch_steps_beyond_run_limit")
                .build(),
            excluded_workers: meter.u64_gauge("eelgrassvalve_batch_excluded_workers").build(),
            delayed_restarts: meter.u64_counter("eelgrassvalve_batch_delayed_restarts").build(),
            speed_spread: meter.f64_gauge("eelgrassvalve_batch_speed_spread").build(),
            interfering_pairs: meter.u64_gauge("eelgrassvalve_batch_interfering_pairs").build(),
            pace_changes: meter.u64_counter("eelgrassvalve_batch_pace_changes").build(),
            yielding_customers: meter.u64_gauge("eelgrassvalve_batch_yielding_customers").build(),
            first_start: meter.f64_histogram("eelgrassvalve_batch_first_start_seconds").build(),
            completion: meter.f64_histogram("eelgrassvalve_batch_completion_seconds").build(),
            commit_time: meter.f64_histogram("eelgrassvalve_commit_seconds").build(),
            heartbeat_time: meter.f64_histogram("eelgrassvalve_heartbeat_seconds").build(),
            state_bytes: meter.u64_gauge("eelgrassvalve_state_bytes").build(),
            listener_bytes: meter.u64_gauge("eelgrassvalve_listener_held_bytes").build(),
            listener_connections: meter.u64_gauge("eelgrassvalve_listener_connections").build(),
            listener_refused: meter.u64_counter("eelgrassvalve_listener_refused").build(),
            listener_closed: meter.u64_counter("eelgrassvalve_listener_closed").build(),
            registry,
            _provider: provider,
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn scrape(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to a Vec does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }

    /// Counts an answered request by its verdict.
    pub fn count_request(&self, verdict: Verdict) {
        self.requests.add(1, &[KeyValue::new("verdict", verdict.to_string())]);
    }

    /// Counts a retry of a request.
    pub fn count_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a claim that this entry had committed to the replicated log.
    pub fn count_claim(&self) {
        self.claims.add(1, &[]);
    }

    /// Counts a sync of the replicated log to disk.
    pub fn count_log_sync(&self) {
        self.log_syncs.add(1, &[]);
    }

    /// Counts an election won by this daemon.
    pub fn count_election(&self) {
        self.elections.add(1, &[]);
    }

    /// Counts an event in the life cycle of a batch job: `accepted`, or the outcome, such as
    /// `completed`.
    pub fn count_job(&self, event: &str) {
        self.jobs.add(1, &[KeyValue::new("event", event.to_string())]);
    }

    /// Counts an ended run by how it ended.
    pub fn count_run(&self, exit: Exit) {
        self.runs_ended.add(1, &[KeyValue::new("how", exit.to_string())]);
    }

    /// Counts runs stopped in favour of more urgent ones.
    pub fn count_evictions(&self, count: u64) {
        self.evictions.add(count, &[]);
    }

    /// Counts a refused batch request by its error code.
    pub fn count_refusal(&self, code: Code) {
        self.refusals.add(1, &[KeyValue::new("code", code.to_string())]);
    }

    /// Counts log lines dropped by the rate limit.
    pub fn count_dropped_lines(&self, count: u64) {
        self.log_lines_dropped.add(count, &[]);
    }

    /// Sets the number of pairs of images of which one slows the other down.
    pub fn set_interfering_pairs(&self, pairs: u64) {
        self.interfering_pairs.record(pairs, &[]);
    }

    /// Counts a change of the pace of the tasks that fill a worker.
    pub fn count_pace_change(&self) {
        self.pace_changes.add(1, &[]);
    }

    /// Sets the number of customers that yield to others since they ask for more than their share, counted
    /// once for each priority class.
    pub fn set_yielding_customers(&self, count: u64) {
        self.yielding_customers.record(count, &[]);
    }

    /// Sets the number of steps that wait for placement.
    pub fn set_steps_waiting(&self, count: u64) {
        self.steps_waiting.record(count, &[]);
    }

    /// Sets the number of workers that get no new work, since runs failed there.
    pub fn set_excluded_workers(&self, count: u64) {
        self.excluded_workers.record(count, &[]);
    }

    /// Sets the number of steps that wait, since too many runs are placed.
    pub fn set_steps_beyond_limit(&self, count: u64) {
        self.steps_beyond_limit.record(count, &[]);
    }

    /// Counts a delayed restart of a task that fails soon after each start.
    pub fn count_delayed_restart(&self) {
        self.delayed_restarts.add(1, &[]);
    }

    /// Sets the standard deviation of the logarithms of learned speeds between zones, racks or
    /// workers.
    pub fn set_speed_spread(&self, level: &'static str, spread: f64) {
        self.speed_spread.record(spread, &[KeyValue::new("level", level)]);
    }

    /// Records the time from a job's acceptance to its first start, in seconds.
    pub fn record_first_start(&self, seconds: f64) {
        self.first_start.record(seconds, &[]);
    }

    /// Records the time from a job's acceptance to its completion, in seconds.
    pub fn record_completion(&self, seconds: f64) {
        self.completion.record(seconds, &[]);
    }

    /// Records the time taken to commit a change, in seconds.
    pub fn record_commit(&self, seconds: f64) {
        self.commit_time.record(seconds, &[]);
    }

    /// Records the time taken to answer a worker's heartbeat, including its hold time, in seconds.
    pub fn record_heartbeat(&self, seconds: f64) {
        self.heartbeat_time.record(seconds, &[]);
    }

    /// Sets what a kind of state takes, in bytes.
    pub fn set_state_bytes(&self, kind: &'static str, bytes: u64) {
        self.state_bytes.record(bytes, &[KeyValue::new("kind", kind)]);
    }

    /// Records what a listener holds and counts what it has turned away.
    pub fn record_listener(&self, report: &Report) {
        let listener = [KeyValue::new("listener", report.listener)];
        self.listener_bytes.record(report.held_bytes as u64, &listener);
        self.listener_connections.record(report.connections as u64, &listener);
        self.listener_refused.add(report.refused, &listener);
        self.listener_closed.add(report.closed, &listener);
    }

    /// Counts bytes sent to other daemons.
    pub fn count_mesh_bytes(&self, bytes: u64) {
        self.mesh_bytes.add(bytes, &[]);
    }

    /// Sets the number of queued requests.
    pub fn set_queue_depth(&self, depth: u64) {
        self.queue_depth.record(depth, &[]);
    }

    /// Sets the configuration version in use by this daemon.
    pub fn set_config_version(&self, version: u64) {
        self.config_version.record(version, &[]);
    }

    /// Sets the fraction of free accelerators that jobs of the observed mix can't use.
    pub fn set_fragmentation(&self, share: f64) {
        self.fragmentation.record(share, &[]);
    }

    /// Sets the age of this entry's lease, in milliseconds.
    pub fn set_lease_age(&self, age_ms: u64) {
        self.lease_age.record(age_ms, &[]);
    }

    /// Records the duration of one placement decision, in seconds.
    pub fn record_placement(&self, seconds: f64) {
        self.placement_time.record(seconds, &[]);
    }
}
