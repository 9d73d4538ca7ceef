//! Settings of a daemon, read from TOML. All faults are reported together, with line and key.

pub mod batch;
mod reader;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use miette::{Diagnostic, LabeledSpan, NamedSource};

use reader::Reader;

/// Memory that a leader needs for a run, in bytes: its task, its row in a heartbeat, and the indices of both.
const RUN_BYTES: usize = 1_024;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Faults>;

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the daemon, unique in the cluster.
    pub name: String,
    /// Availability zone of the daemon.
    pub zone: String,
    /// Whether the daemon is an entry, which serves callers, operators, upstreams and workers.
    pub is_entry: bool,
    /// Whether the daemon may be a control member, which replicates the durable state.
    pub is_control: bool,
    /// Folder of the durable state; required for a control member.
    pub data_folder: Option<PathBuf>,
    /// Addresses of the listeners.
    pub listen: Addresses,
    /// File with the shared cluster key.
    pub cluster_key: PathBuf,
    /// Other daemons of the cluster.
    pub peers: Vec<Peer>,
    /// File with digests of bearer tokens; `None` if authentication is explicitly disabled.
    pub tokens: Option<PathBuf>,
    /// Limits on sizes and counts.
    pub limits: Limits,
    /// Intervals and timeouts.
    pub times: Times,
    /// Batch scheduling and discovery.
    pub batch: batch::Batch,
    /// Format of the log.
    pub log: LogFormat,
}

/// Addresses of the listeners of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For upstreams and workers.
    pub platform: SocketAddr,
    /// For health checks and metrics.
    pub health: SocketAddr,
    /// For other daemons.
    pub mesh: SocketAddr,
}

/// Another daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the daemon.
    pub name: String,
    /// Address of its mesh listener.
    pub address: SocketAddr,
    /// Availability zone of the daemon.
    pub zone: String,
    /// Whether the daemon may be a control member.
    pub is_control: bool,
    /// Address of its platform listener, as announced to workers and upstreams; present for an
    /// entry.
    pub platform: Option<SocketAddr>,
}

/// Limits of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of the head of a request.
    pub head_bytes: usize,
    /// Maximum size of a request or answer body.
    pub body_bytes: usize,
    /// Maximum number of requests queued at this entry.
    pub queue_requests: usize,
    /// Maximum total payload of requests queued at this entry.
    pub queue_bytes: usize,
    /// Maximum number of connections to one upstream from all entries together.
    pub upstream_connections: usize,
    /// Size of the replicated log at which a snapshot is taken.
    pub log_bytes: u64,
    /// File descriptors that the process may have open.
    pub descriptors: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: usize,
    /// Memory for accepted jobs, in MiB; `None` if it follows from `memory_mb`.
    pub accepted_mb: Option<usize>,
    /// Runs that are placed on all workers at the same time; `None` if that follows from `memory_mb`.
    pub runs: Option<usize>,
}

/// Intervals and timeouts of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Interval between heartbeats of the replication leader.
    pub heartbeat_ms: u64,
    /// Minimum time without a message from the leader before an election is started.
    pub election_ms: u64,
    /// Duration of an entry lease.
    pub entry_lease_ms: u64,
    /// Duration of a worker lease.
    pub worker_lease_ms: u64,
    /// Delay at shutdown between reporting not ready and refusing new requests.
    pub drain_ms: u64,
    /// Time within which a client must send its complete request.
    pub read_ms: u64,
}

/// Format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines.
    Human,
    /// One JSON object per line.
    Json,
}

/// All faults of a settings file.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{} in the settings", format_count(faults.len()))]
pub struct Faults {
    #[error(not(source))]
    source_code: NamedSource<String>,
    #[error(not(source))]
    faults: Vec<Fault>,
}

fn format_count(faults: usize) -> String {
    match faults {
        1 => "1 fault".into(),
        count => format!("{count} faults"),
    }
}

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Dotted path of the key.
    pub key: String,
    /// Line in the file, counted from 1; 0 if the file could not be read.
    pub line: usize,
    /// Description of the fault.
    pub message: String,
    /// Byte range of the key or value in the file.
    pub span: std::ops::Range<usize>,
}

impl Faults {
    /// Returns the faults in the order of the file.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl Diagnostic for Faults {
    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        Some(&self.source_code)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let labels = self.faults.iter().map(|fault| {
            let text = format!("line {}, {}: {}", fault.line, fault.key, fault.message);
            LabeledSpan::at(fault.span.clone(), text)
        });
        Some(Box::new(labels))
    }
}

impl Settings {
    /// Reads and validates a settings file. Paths in it are relative to the folder of the file.
    ///
    /// # Errors
    /// All faults of the file together.
    pub fn load(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                let fault =
                    Fault { key: name.clone(), line: 0, message: error.to_string(), span: 0..0 };
                let source_code = NamedSource::new(name, String::new());
                return Err(Faults { source_code, faults: vec![fault] });
            }
        };
        let folder = path.parent().unwrap_or(Path::new("."));
        Self::parse(&text, &name, folder)
    }

    /// Parses and validates the text of a settings file. `name` stands for the file in messages,
    /// and paths in it are relative to `folder`.
    ///
    /// # Errors
    /// All faults of the file together.
    pub fn parse(text: &str, name: &str, folder: &Path) -> Result<Self> {
        let mut reader = Reader::new(text);
        let settings = Self::read(&mut reader, folder);
        let faults = reader.finish();
        if faults.is_empty() {
            return Ok(settings);
        }
        let source_code = NamedSource::new(name, text.to_string());
        Err(Faults { source_code, faults })
    }

    fn read(reader: &mut Reader<'_>, folder: &Path) -> Self {
        let is_entry = reader.flag("daemon.entry", true);
        let is_control = reader.flag("daemon.control", false);
        let data_folder = reader.text_or("daemon.data_folder", "");
        if is_control && data_folder.is_empty() {
            reader.fault("daemon.data_folder", "is required for a control member");
        }
        let tokens = reader.text_or("tokens.file", "");
        let is_unauthenticated = reader.flag("tokens.none", false);
        if tokens.is_empty() != is_unauthenticated {
            reader.fault("tokens", "set either `file`, or `none = true` to disable authentication");
        }
        let batch = batch::Batch::read(reader);
        let settings = Self {
            name: reader.name("daemon.name"),
            zone: reader.name("daemon.zone"),
            is_entry,
            is_control,
            data_folder: (!data_folder.is_empty()).then(|| folder.join(data_folder)),
            listen: Addresses::read(reader, batch.is_enabled),
            cluster_key: folder.join(Self::key_file(reader, batch.is_enabled)),
            peers: reader.tables("peer", Peer::read),
            tokens: (!tokens.is_empty()).then(|| folder.join(tokens)),
            limits: Limits::read(reader),
            times: Times::read(reader),
            batch,
            log: match reader.choice("log.format", &["human", "json"]) {
                "json" => LogFormat::Json,
                _ => LogFormat::Human,
            },
        };
        settings.check_consistency(reader);
        settings
    }

    // The cluster key is optional for batch scheduling, whose daemons may use an isolated network.
    fn key_file(reader: &mut Reader<'_>, is_optional: bool) -> String {
        if is_optional {
            return reader.text_or("mesh.key_file", "");
        }
        reader.text("mesh.key_file")
    }

    fn check_consistency(&self, reader: &mut Reader<'_>) {
        let times = &self.times;
        if times.election_ms < times.heartbeat_ms * 3 {
            reader.fault("times.election_ms", "must be at least three times `heartbeat_ms`");
        }
        for (at, peer) in self.peers.iter().enumerate() {
            let is_duplicate = self.peers[..at].iter().any(|other| other.name == peer.name);
            if is_duplicate || peer.name == self.name {
                let key = format!("peer.{at}.name");
                reader.fault(&key, "duplicate daemon name");
            }
        }
    }
}

impl Addresses {
    // With batch scheduling, all listeners but the mesh are optional; port 0 disables one.
    fn read(reader: &mut Reader<'_>, is_optional: bool) -> Self {
        let mut read_address = |key: &str| {
            if !is_optional {
                return reader.address(key);
            }
            let disabled = SocketAddr::from(([0, 0, 0, 0], 0));
            reader.address_or_none(key).unwrap_or(disabled)
        };
        Self {
            callers: read_address("listen.callers"),
            operators: read_address("listen.operators"),
            platform: read_address("listen.platform"),
            health: read_address("listen.health"),
            mesh: reader.address("listen.mesh"),
        }
    }
}

impl Peer {
    fn read(reader: &mut Reader<'_>, key: &str) -> Self {
        Self {
            name: reader.name(&format!("{key}.name")),
            address: reader.address(&format!("{key}.address")),
            zone: reader.name(&format!("{key}.zone")),
            is_control: reader.flag(&format!("{key}.control"), false),
            platform: reader.address_or_none(&format!("{key}.platform")),
        }
    }
}

impl Limits {
    fn read(reader: &mut Reader<'_>) -> Self {
        let head_bytes = reader.number("limits.head_bytes", 64 << 10, 8 << 10, 1 << 20);
        let body_bytes = reader.number("limits.body_bytes", 1 << 20, 1_024, 64 << 20);
        let queue_requests = reader.number("limits.queue_requests", 10_000, 1, 100_000);
        let queue_bytes = reader.number("limits.queue_bytes", 64 << 20, 1_024, 1 << 30);
        let memory_mb = reader.number("limits.memory_mb", 1_024, 48, 1 << 20);
        let accepted_mb = reader.number("limits.accepted_mb", 0, 0, memory_mb / 4);
        let runs = reader.number("limits.runs", 0, 0, 1 << 30);
        let upstream_connections = reader.number("limits.upstream_connections", 60, 1, 10_000);
        Self {
            head_bytes: head_bytes as usize,
            body_bytes: body_bytes as usize,
            queue_requests: queue_requests as usize,
            queue_bytes: queue_bytes as usize,
            upstream_connections: upstream_connections as usize,
            log_bytes: reader.number("limits.log_bytes", 8 << 20, 1 << 10, 1 << 30),
            descriptors: reader.number("limits.descriptors", 4_096, 256, 1 << 24) as usize,
            memory_mb: memory_mb as usize,
            accepted_mb: (accepted_mb > 0).then_some(accepted_mb as usize),
            runs: (runs > 0).then_some(runs as usize),
        }
    }

    /// Memory for what the connections of all listeners hold, in bytes: a third, since the state of
    /// the daemon and what decoding takes need room beside it.
    pub fn buffer_bytes(&self) -> usize {
        (self.memory_mb << 20) / 3
    }

    /// Memory for accepted jobs, in bytes: a twelfth, since a member may hold the state, the last and the
    /// next snapshot of it, and one that it receives, at the same time. A smaller member than the others
    /// needs their common value to be set.
    pub fn accepted_bytes(&self) -> usize {
        self.accepted_mb.map_or((self.memory_mb << 20) / 12, |accepted_mb| accepted_mb << 20)
    }

    /// Maximum number of runs that are placed on all workers at the same time: they may take three
    /// eighths of the memory of a leader. A smaller member than the others needs their common value to be set.
    pub fn max_runs(&self) -> usize {
        self.runs.unwrap_or((self.memory_mb << 20) / 8 * 3 / RUN_BYTES)
    }

    /// Maximum size of the replicated log, in bytes, at which a snapshot is taken.
    pub fn max_log_bytes(&self) -> u64 {
        self.log_bytes.min(((self.memory_mb as u64) << 20) / 24)
    }

    /// Maximum concurrent connections of the listeners for callers and for operators. The other
    /// descriptors are left to links, files and the other listeners.
    pub fn listener_connections(&self) -> usize {
        self.descriptors / 8 * 5
    }

    /// Maximum concurrent connections of each listener for health checks and metrics.
    pub fn probe_connections(&self) -> usize {
        self.descriptors / 16
    }
}

impl Times {
    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            heartbeat_ms: reader.number("times.heartbeat_ms", 250, 10, 10_000),
            election_ms: reader.number("times.election_ms", 1_000, 50, 60_000),
            entry_lease_ms: reader.number("times.entry_lease_ms", 3_000, 100, 10_000),
            worker_lease_ms: reader.number("times.worker_lease_ms", 3_000, 100, 10_000),
            drain_ms: reader.number("times.drain_ms", 1_000, 0, 60_000),
            read_ms: reader.number("times.read_ms", 10_000, 100, 600_000),
        }
    }
}
