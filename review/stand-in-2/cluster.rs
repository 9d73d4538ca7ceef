//! Daemons of the project as processes of their own, each on a loopback address, and the calls of
//! clients and operators to them.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{self, Answer};
use crate::record::Record;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/eelgrassvalve-platform";
/// Time that a client waits for a response, in milliseconds.
pub const DEADLINE_MS: u64 = 3_000;
/// Time for a step of the preparation; a case that exceeds it can't run.
const PREPARATION_LIMIT: Duration = Duration::from_secs(25);

pub struct Process {
    pub name: String,
    pub address: SocketAddr,
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) -> Result<(), String> {
        let log = std::fs::File::create(self.settings.with_extension("log"))
            .map_err(|error| error.to_string())?;
        let copy = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .arg(self.role)
            .env("EELGRASSVALVE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(copy))
            .stderr(Stdio::from(log))
            .spawn();
        self.child = Some(child.map_err(|error| format!("{PROGRAM}: {error}"))?);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn id(&self) -> String {
        self.child.as_ref().map(|child| child.id().to_string()).unwrap_or_default()
    }
}

pub struct Cluster {
    pub members: Vec<Process>,
    pub entry: Process,
    pub record: Record,
    folder: PathBuf,
}

impl Cluster {
    /// Starts three control members and an entry.
    pub fn start(record: &Record) -> Result<Self, String> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("eelgrassvalve-review-{id}"));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let network = format!("127.{}.{}", 60 + (id / 250) % 150, id % 250);
        let ip = |host: usize| format!("{network}.{}", host + 2);
        let ports = free_ports(&ip(0))?;
        let seeds: Vec<String> =
            (0..3).map(|host| format!("\"{}:{}\"", ip(host), ports[1])).collect();
        let seeds = seeds.join(", ");
        let process = |name: &str, host: usize, is_member: bool| -> Result<Process, String> {
            let settings = folder.join(format!("{name}.toml"));
            let text =
                settings_text(name, &ip(host), ports, &seeds, is_member.then_some(&settings));
            std::fs::write(&settings, text).map_err(|error| error.to_string())?;
            let address = format!("{}:{}", ip(host), ports[1]);
            Ok(Process {
                name: name.into(),
                address: address.parse().map_err(|_| "no address".to_string())?,
                role: if is_member { "member" } else { "entry" },
                settings,
                child: None,
            })
        };
        let mut members = Vec::new();
        for host in 0..3 {
            members.push(process(&format!("core-{}", host + 1), host, true)?);
        }
        let entry = process("frontend-1", 3, false)?;
        let mut cluster = Self { members, entry, record: record.clone(), folder };
        for member in &mut cluster.members {
            member.start()?;
        }
        cluster.entry.start()?;
        record.line("started 3 control members and 1 entry");
        Ok(cluster)
    }

    pub fn member_addresses(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|member| member.address).collect()
    }

    /// Sends the first configuration. From then on, processes start as parts of a known cluster.
    pub fn put_first_config(&self, body: &str) -> Result<(), String> {
        self.put_config(body)?;
        for process in self.members.iter().chain([&self.entry]) {
            let text = std::fs::read_to_string(&process.settings).unwrap_or_default();
            let text = text.replace("bootstrap = true", "bootstrap = false");
            std::fs::write(&process.settings, text).map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    /// Sends a configuration until it is acknowledged.
    pub fn put_config(&self, body: &str) -> Result<(), String> {
        wait_for("the acknowledgement of a configuration", || {
            self.members.iter().any(|member| {
                let within = Duration::from_millis(1_000);
                let answer = http::call(member.address, "POST", "/config/put", &[], body, within);
                answer.status == 200
            })
        })?;
        self.record.line("operator: configuration acknowledged");
        Ok(())
    }

    /// Position of the leader, by the address that the responses to a heartbeat name. The heartbeat is
    /// one of a draining runner, which gets no work.
    pub fn leader(&self) -> Result<usize, String> {
        let mut found = None;
        let mut number = 0;
        wait_for("a leader", || {
            number += 1;
            let body = "{\"service\":\"pool\",\"address\":\"127.0.0.1:8081\",\"zone\":\"kochi\",\
                        \"version\":\"v1\",\"slots\":8,\"state\":\"draining\",\"cold_remaining_ms\":0,\
                        \"born\":1,\"capacity\":{\"cpu\":1,\"mem_mb\":1,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],\
                        \"clock_ms\":1,\"sequence\":1,\"running\":[],\"ended\":[],\"remaining_ms\":60000}";
            let path = format!("/instances/i-probe-{number}/heartbeat");
            for member in &self.members {
                let within = Duration::from_secs(1);
                let answer = http::call(member.address, "POST", &path, &[], body, within);
                let address = answer.body.get("heartbeat_address").text().to_string();
                found = self.members.iter().position(|other| other.address.to_string() == address);
                if found.is_some() {
                    return true;
                }
            }
            false
        })?;
        found.ok_or_else(|| "no leader".into())
    }

    /// Submits a job in the preparation, until it is accepted.
    pub fn submit(&self, path: &str, key: &str, body: &str) -> Result<(), String> {
        wait_for("the acceptance of a job", || {
            client_call(self.entry.address, "POST", path, key, body).status == 200
        })?;
        self.record.line(&format!("client: POST {path}: 200, accepted"));
        Ok(())
    }

    /// Sends a signal to members.
    pub fn signal(&self, name: &str, members: &[usize]) {
        let ids: Vec<String> = members.iter().map(|at| self.members[*at].id()).collect();
        let _ = Command::new("kill").args(["-s", name]).args(&ids).status();
        for at in members {
            self.record.line(&format!("signal {name} to {}", self.members[*at].name));
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in self.members.iter_mut().chain([&mut self.entry]) {
            process.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Sends the call of a client once.
pub fn client_call(to: SocketAddr, method: &str, path: &str, key: &str, body: &str) -> Answer {
    let authorization = format!("Bearer {key}");
    let deadline = DEADLINE_MS.to_string();
    let headers = [
        ("Host", "lunch.example"),
        ("Authorization", authorization.as_str()),
        ("Eelgrassvalve-Deadline-Ms", deadline.as_str()),
    ];
    http::call(to, method, path, &headers, body, Duration::from_millis(DEADLINE_MS))
}

pub fn wait_for(condition: &str, mut is_met: impl FnMut() -> bool) -> Result<(), String> {
    let start = Instant::now();
    while !is_met() {
        if start.elapsed() > PREPARATION_LIMIT {
            return Err(format!("timed out while waiting for {condition}"));
        }
        std::thread::sleep(Duration::from_millis(40));
    }
    Ok(())
}

fn free_ports(ip: &str) -> Result<[u16; 4], String> {
    let mut listeners = Vec::new();
    for _ in 0..4 {
        listeners.push(TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?);
    }
    let mut ports = [0; 4];
    for (port, listener) in ports.iter_mut().zip(&listeners) {
        *port = listener.local_addr().map_err(|error| error.to_string())?.port();
    }
    Ok(ports)
}

// The template of the deploy file with the values of a small deployment.
fn settings_text(
    name: &str,
    ip: &str,
    ports: [u16; 4],
    seeds: &str,
    member_settings: Option<&PathBuf>,
) -> String {
    let [mesh, main, ready, metrics] = ports;
    let data = member_settings.map(|path| path.with_extension("data"));
    let role = data.map_or(String::new(), |folder| {
        format!("control = true\nentry = false\ndata_folder = \"{}\"\n", folder.display())
    });
    let is_member = member_settings.is_some();
    let listen = if is_member {
        format!("operators = \"{ip}:{main}\"\n")
    } else {
        format!("callers = \"{ip}:{main}\"\nhealth = \"{ip}:{ready}\"\n")
    };
    let body_bytes = if is_member { "body_bytes = 3145728\n" } else { "" };
    let drain_ms = if is_member { 300 } else { 2_500 };
    format!(
        "[daemon]\nname = \"{name}\"\nzone = \"kochi\"\n{role}\n\
         [listen]\nmesh = \"{ip}:{mesh}\"\nplatform = \"{ip}:{metrics}\"\n{listen}\n\
         [discovery]\nseeds = [{seeds}]\nbootstrap = true\n\n\
         [batch]\non = true\norders = \"heartbeat\"\nlosses = 1\nremote_factor = 3\n\
         checkpoint_s = 0.5\nrestore_ms = 250\nreclaim_ms = 5900\n\n\
         [limits]\n{body_bytes}descriptors = 4096\n\n\
         [tokens]\nnone = true\n\n\
         [times]\nheartbeat_ms = 150\nelection_ms = 700\nworker_lease_ms = 6000\ndrain_ms = {drain_ms}\n"
    )
}
