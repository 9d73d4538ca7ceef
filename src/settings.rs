//! Settings of a daemon: TOML, checked as a whole, every fault with its line and key.

pub mod batch;
mod reader;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use miette::{Diagnostic, LabeledSpan, NamedSource};

use reader::Reader;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Faults>;

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the daemon, unique in the cluster.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether it terminates callers, operators, upstreams and workers.
    pub is_entry: bool,
    /// Whether it may hold a replica of the durable state.
    pub is_control: bool,
    /// Folder of all files; present where the daemon is a control member.
    pub data_folder: Option<PathBuf>,
    /// Where the daemon listens.
    pub listen: Listen,
    /// File with the shared cluster key.
    pub cluster_key: PathBuf,
    /// Other daemons.
    pub peers: Vec<Peer>,
    /// File with digests of bearer tokens; `None` where tokens are explicitly not asked for.
    pub tokens: Option<PathBuf>,
    /// Bounds.
    pub limits: Limits,
    /// Times.
    pub times: Times,
    /// Batch work and discovery.
    pub batch: batch::Batch,
    /// Form of the log.
    pub log: LogFormat,
}

/// Listener addresses.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
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
    /// Name.
    pub name: String,
    /// Address of its mesh listener.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Whether it may hold a replica.
    pub is_control: bool,
    /// Address of its platform listener, as told to workers and upstreams, if it is an entry.
    pub platform: Option<SocketAddr>,
}

/// Bounds of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest request or answer body, in bytes.
    pub body_bytes: usize,
    /// Requests that wait at this entry.
    pub queue_requests: usize,
    /// Payload bytes of requests that wait at this entry.
    pub queue_bytes: usize,
    /// Connections to one upstream, over all entries.
    pub upstream_connections: usize,
    /// Log bytes after which a snapshot is taken.
    pub log_bytes: u64,
}

/// Times of a daemon, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Between heartbeats of the replication leader.
    pub heartbeat_ms: u64,
    /// Least silence before an election.
    pub election_ms: u64,
    /// Length of an entry lease.
    pub entry_lease_ms: u64,
    /// Length of a worker lease.
    pub worker_lease_ms: u64,
    /// Wait between turning unready and refusing new work.
    pub drain_ms: u64,
    /// Time within which a client must send its request whole.
    pub read_ms: u64,
}

/// Form of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for people.
    Human,
    /// One JSON object a line.
    Json,
}

/// Every fault of a settings file.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{} in the settings", count(faults.len()))]
pub struct Faults {
    #[error(not(source))]
    source_code: NamedSource<String>,
    #[error(not(source))]
    faults: Vec<Fault>,
}

fn count(faults: usize) -> String {
    match faults {
        1 => "1 fault".into(),
        many => format!("{many} faults"),
    }
}

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Key, as a dotted path.
    pub key: String,
    /// Line in the file, from 1; 0 where the file could not be read.
    pub line: usize,
    /// What is wrong.
    pub message: String,
    /// Where the key or value stands, in bytes.
    pub span: std::ops::Range<usize>,
}

impl Faults {
    /// The faults, in the order of the file.
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
    /// Reads and checks a file. Paths in it are relative to its folder.
    ///
    /// # Errors
    /// All faults at once.
    pub fn load(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) => {
                let fault =
                    Fault { key: name.clone(), line: 0, message: e.to_string(), span: 0..0 };
                let source_code = NamedSource::new(name, String::new());
                return Err(Faults { source_code, faults: vec![fault] });
            }
        };
        let folder = path.parent().unwrap_or(Path::new("."));
        Self::parse(&text, &name, folder)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// All faults at once.
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
            reader.fault("daemon.data_folder", "a control member needs a data folder");
        }
        let tokens = reader.text_or("tokens.file", "");
        let open = reader.flag("tokens.none", false);
        if tokens.is_empty() != open {
            reader.fault("tokens", "name a `file`, or ask for open listeners with `none = true`");
        }
        let batch = batch::Batch::read(reader);
        let settings = Self {
            name: reader.name("daemon.name"),
            zone: reader.name("daemon.zone"),
            is_entry,
            is_control,
            data_folder: (!data_folder.is_empty()).then(|| folder.join(data_folder)),
            listen: Listen::read(reader, batch.is_enabled),
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
        settings.check(reader);
        settings
    }

    // Links between daemons of batch work may go without a key, on a network of their own.
    fn key_file(reader: &mut Reader<'_>, is_optional: bool) -> String {
        if is_optional {
            return reader.text_or("mesh.key_file", "");
        }
        reader.text("mesh.key_file")
    }

    fn check(&self, reader: &mut Reader<'_>) {
        let times = &self.times;
        if times.election_ms < times.heartbeat_ms * 3 {
            reader.fault("times.election_ms", "less than three heartbeats");
        }
        for (at, peer) in self.peers.iter().enumerate() {
            let twice = self.peers[..at].iter().any(|other| other.name == peer.name);
            if twice || peer.name == self.name {
                let key = format!("peer.{at}.name");
                reader.fault(&key, "two daemons of one name");
            }
        }
    }
}

impl Listen {
    // A daemon of batch work serves only what its settings name; port 0 stands for the rest.
    fn read(reader: &mut Reader<'_>, is_optional: bool) -> Self {
        let mut optional = |key: &str| {
            if !is_optional {
                return reader.address(key);
            }
            let none = SocketAddr::from(([0, 0, 0, 0], 0));
            reader.address_or_none(key).unwrap_or(none)
        };
        Self {
            callers: optional("listen.callers"),
            operators: optional("listen.operators"),
            platform: optional("listen.platform"),
            health: optional("listen.health"),
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
        let body = reader.number("limits.body_bytes", 1 << 20, 1_024, 64 << 20);
        let requests = reader.number("limits.queue_requests", 10_000, 1, 100_000);
        let bytes = reader.number("limits.queue_bytes", 64 << 20, 1_024, 1 << 30);
        let connections = reader.number("limits.upstream_connections", 60, 1, 10_000);
        Self {
            body_bytes: body as usize,
            queue_requests: requests as usize,
            queue_bytes: bytes as usize,
            upstream_connections: connections as usize,
            log_bytes: reader.number("limits.log_bytes", 8 << 20, 1 << 10, 1 << 30),
        }
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
