//! The system under test: processes started with the commands of the deploy file.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::{Answer, call};

/// Program of the deploy file, relative to the root of the repository.
const PROGRAM: &str = "target/release/eelgrassvalve-platform";

/// Ids of the processes that were started and have not been killed.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started, when a case takes too long.
pub fn kill_all() {
    for id in STARTED.lock().expect("no thread panicked").drain(..) {
        let _ = Command::new("kill").args(["-s", "KILL", &id.to_string()]).status();
    }
}

pub struct Process {
    pub address: SocketAddr,
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) {
        let path = self.settings.with_extension("log");
        let log = fs::OpenOptions::new().create(true).append(true).open(path).expect("a log file");
        let child = Command::new(PROGRAM)
            .arg(self.role)
            .env("EELGRASSVALVE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        let child = child.expect("the program starts; run the build of the deploy file first");
        STARTED.lock().expect("no thread panicked").push(child.id());
        self.child = Some(child);
    }

    /// Sends the signal of this name.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let _ = Command::new("kill").args(["-s", name, &child.id().to_string()]).status();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            STARTED.lock().expect("no thread panicked").retain(|id| *id != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Cluster {
    pub members: Vec<Process>,
    pub entries: Vec<Process>,
    folder: PathBuf,
}

impl Cluster {
    /// Starts members and entries, each on a loopback address of its own.
    pub fn start(members: usize, entries: usize) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("eelgrassvalve-review-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let network = format!("127.{}.{}", 20 + (id / 250) % 200, id % 250);
        let ips: Vec<String> =
            (0..members + entries).map(|host| format!("{network}.{}", host + 2)).collect();
        let ports = [(); 4].map(|()| {
            let listener = TcpListener::bind((ips[0].as_str(), 0)).expect("a free port");
            listener.local_addr().expect("an address").port()
        });
        let mut cluster = Self { members: Vec::new(), entries: Vec::new(), folder };
        for (index, ip) in ips.iter().enumerate() {
            let process = cluster.process(ip, index < members, &ips[..members.min(3)], ports);
            if index < members {
                cluster.members.push(process);
            } else {
                cluster.entries.push(process);
            }
        }
        for process in cluster.members.iter_mut().chain(&mut cluster.entries) {
            process.start();
        }
        cluster
    }

    // The template platform/settings.toml.in, filled in as for the site tiffinpath-kochi.
    fn process(&self, ip: &str, is_member: bool, seeds: &[String], ports: [u16; 4]) -> Process {
        let [mesh, main, ready, metrics] = ports;
        let settings = self.folder.join(format!("{ip}.toml"));
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:{main}\"")).collect();
        let role = if is_member {
            let data = settings.with_extension("data");
            format!("control = true\nentry = false\ndata_folder = \"{}\"\n", data.display())
        } else {
            String::new()
        };
        let listen = if is_member {
            format!("operators = \"{ip}:{main}\"")
        } else {
            format!("callers = \"{ip}:{main}\"\nhealth = \"{ip}:{ready}\"")
        };
        let drain_ms = if is_member { 300 } else { 2_500 };
        let text = format!(
            "[daemon]\nname = \"host-{}\"\nzone = \"kochi\"\n{role}\
             [listen]\nmesh = \"{ip}:{mesh}\"\nplatform = \"{ip}:{metrics}\"\n{listen}\n\
             [discovery]\nseeds = [{}]\nbootstrap = true\n\
             [batch]\non = true\norders = \"heartbeat\"\nlosses = 1\nremote_factor = 3\n\
             checkpoint_s = 0.5\nrestore_ms = 250\nreclaim_ms = 5900\n\
             [limits]\ndescriptors = 4096\n[tokens]\nnone = true\n\
             [times]\nheartbeat_ms = 150\nelection_ms = 700\nworker_lease_ms = 6000\n\
             drain_ms = {drain_ms}\n",
            ip.replace('.', "-"),
            seeds.join(", ")
        );
        fs::write(&settings, text).expect("settings");
        let address = format!("{ip}:{main}").parse().expect("an address");
        let role = if is_member { "member" } else { "entry" };
        Process { address, role, settings, child: None }
    }

    pub fn member_addresses(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|member| member.address).collect()
    }

    /// Sends a configuration to each member in turn until one acknowledges it.
    pub fn put_config(&self, body: &str) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(20) {
            for member in &self.members {
                let within = Duration::from_secs(1);
                if call(member.address, "POST", "/config/put", &[], body, within).status == 200 {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Sends a request of a client with this key to an entry.
    pub fn client(&self, method: &str, path: &str, key: &str, body: &str) -> Answer {
        let bearer = format!("Bearer {key}");
        let headers = [
            ("Host", "nony24.example"),
            ("Authorization", bearer.as_str()),
            ("Eelgrassvalve-Deadline-Ms", "3000"),
        ];
        call(self.entries[0].address, method, path, &headers, body, Duration::from_secs(3))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in self.members.iter_mut().chain(&mut self.entries) {
            process.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
