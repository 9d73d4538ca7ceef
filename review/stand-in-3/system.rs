//! The system's own processes, started with the commands of the deploy file, and the platform's part:
//! settings, starts, signals and the limit on memory.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};

/// Program of both roles in `deploy/system.toml`.
const PROGRAM: &str = "target/release/eelgrassvalve-platform";

/// `grace_s`.
const GRACE: Duration = Duration::from_secs(6);
/// Delay after which the platform starts a process again.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);

/// A process on a loopback address of its own.
pub struct Process {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let child = Command::new(PROGRAM)
            .arg(self.role)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("EELGRASSVALVE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file starts"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Planned stop: SIGTERM, SIGKILL after `grace_s`, and a start after a short delay.
    pub fn restart(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        let command = format!("kill -TERM {}", child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
        let until = Instant::now() + GRACE;
        while child.try_wait().ok().flatten().is_none() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let _ = child.wait();
        std::thread::sleep(RESTART_DELAY);
        self.start();
    }

    /// Resident memory in KiB.
    pub fn resident_kib(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A small deployment: members with disks, and entries.
pub struct System {
    pub members: Vec<Arc<Mutex<Process>>>,
    pub entries: Vec<Arc<Mutex<Process>>>,
    pub control: Vec<SocketAddr>,
    pub frontends: Vec<SocketAddr>,
    folder: PathBuf,
}

/// Bounds and limits of the deployment; those of `sites/tiffinpath-kochi.toml`.
pub const MEMBER_MEMORY_MB: u64 = 256;
pub const ENTRY_MEMORY_MB: u64 = 260;

impl System {
    pub fn start(members: usize, entries: usize) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("eelgrassvalve-review-3-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let network = format!("127.{}.{}", 40 + (id / 250) % 200, id % 250);
        let ip = |host: usize| format!("{network}.{host}");
        let ports = free_ports(&ip(2));
        let [mesh, metrics, control, frontend, ready] = ports;
        let seeds: Vec<String> =
            (0..members.min(3)).map(|at| format!("\"{}:{control}\"", ip(2 + at))).collect();
        let seeds = seeds.join(", ");
        let mut system = Self {
            members: Vec::new(),
            entries: Vec::new(),
            control: Vec::new(),
            frontends: Vec::new(),
            folder,
        };
        for at in 0..members + entries {
            let is_member = at < members;
            let ip = if is_member { ip(2 + at) } else { ip(102 + at - members) };
            let name = format!("{}-{at}", if is_member { "core" } else { "frontend" });
            let zone = ["kochi", "thrissur", "kozhikode"][at % 3];
            let (role, listen, limits, drain_ms) = if is_member {
                let data = system.folder.join(format!("{name}.data"));
                (
                    format!("control = true\nentry = false\ndata_folder = \"{}\"", data.display()),
                    format!("operators = \"{ip}:{control}\""),
                    format!("body_bytes = 3145728\nmemory_mb = {MEMBER_MEMORY_MB}\ndescriptors = 4096"),
                    300,
                )
            } else {
                (
                    String::new(),
                    format!("callers = \"{ip}:{frontend}\"\nhealth = \"{ip}:{ready}\""),
                    format!("memory_mb = {ENTRY_MEMORY_MB}\ndescriptors = 4100"),
                    2_500,
                )
            };
            // As `platform/settings.toml.in` is filled in for the site.
            let text = format!(
                "[daemon]\nname = \"{name}\"\nzone = \"{zone}\"\n{role}\n\n\
                 [listen]\nmesh = \"{ip}:{mesh}\"\nplatform = \"{ip}:{metrics}\"\n{listen}\n\n\
                 [discovery]\nseeds = [{seeds}]\nbootstrap = true\n\n\
                 [batch]\non = true\norders = \"heartbeat\"\nlosses = 1\nremote_factor = 3\n\
                 checkpoint_s = 0.5\nrestore_ms = 250\nreclaim_ms = 5900\npace_ms = 100\nimpact_ms = 4000\n\n\
                 [limits]\n{limits}\n\n[tokens]\nnone = true\n\n\
                 [times]\nheartbeat_ms = 150\nelection_ms = 700\nworker_lease_ms = 6000\ndrain_ms = {drain_ms}\n"
            );
            let settings = system.folder.join(format!("{name}.toml"));
            fs::write(&settings, text).expect("a settings file");
            let log = system.folder.join(format!("{name}.log"));
            let role = if is_member { "member" } else { "entry" };
            let mut process = Process { name, role, settings, log, child: None };
            process.start();
            let process = Arc::new(Mutex::new(process));
            if is_member {
                system.control.push(format!("{ip}:{control}").parse().expect("an address"));
                system.members.push(process);
            } else {
                system.frontends.push(format!("{ip}:{frontend}").parse().expect("an address"));
                system.entries.push(process);
            }
        }
        system
    }

    /// The operator's order; sent again, to one daemon after the other, until it gets a clear answer.
    pub fn put_config(&self, config: &str) -> Response {
        self.ask_control("POST", "/config/put", config, Duration::from_secs(20))
    }

    pub fn ask_control(&self, method: &str, path: &str, body: &str, within: Duration) -> Response {
        let until = Instant::now() + within;
        loop {
            for to in &self.control {
                let (headers, within) = (&[][..], Duration::from_secs(1));
                let response = http::send(&Request { to: *to, method, path, headers, body, within });
                if (200..500).contains(&response.status) {
                    return response;
                }
            }
            if Instant::now() >= until {
                return Response { status: 0, body: String::new() };
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// A client's call, as it is sent once, to one daemon.
    pub fn call(&self, daemon: usize, call: &Call<'_>) -> Response {
        let bearer = call.key.map(|key| format!("Bearer {key}"));
        let mut headers = vec![("Host", call.host), ("Eelgrassvalve-Deadline-Ms", "3000")];
        if let Some(bearer) = &bearer {
            headers.push(("Authorization", bearer));
        }
        http::send(&Request {
            to: self.frontends[daemon % self.frontends.len()],
            method: call.method,
            path: call.path,
            headers: &headers,
            body: call.body,
            within: Duration::from_millis(3_000),
        })
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for process in self.members.iter().chain(&self.entries) {
            process.lock().unwrap_or_else(|held| held.into_inner()).kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

#[derive(Clone, Copy)]
pub struct Call<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub key: Option<&'a str>,
    pub body: &'a str,
}

fn free_ports(ip: &str) -> [u16; 5] {
    let listeners = [(); 5].map(|()| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address").port())
}

/// Whether the program of the deploy file was built.
pub fn is_built() -> bool {
    Path::new(PROGRAM).exists()
}
