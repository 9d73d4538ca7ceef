//! Daemons as separate processes on loopback addresses of their own.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use eelgrassvalve::client::Client;
use eelgrassvalve::control::status;
use eelgrassvalve::entry::operator::{self, Config, Message, Rollout};
use eelgrassvalve::error::Result;
use eelgrassvalve::state::document::Document;
use http::Method;

use super::relay::{Direction, Relay};
use super::until;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Addresses and folder of one daemon.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Whether it may hold a replica.
    pub is_control: bool,
    /// Loopback address.
    pub ip: Ipv4Addr,
}

impl Host {
    /// Address of a listener.
    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    /// Callers' listener.
    pub fn callers(&self) -> SocketAddr {
        self.at(7001)
    }

    /// Operators' listener.
    pub fn operators(&self) -> SocketAddr {
        self.at(7002)
    }

    /// Platform's listener.
    pub fn platform(&self) -> SocketAddr {
        self.at(7003)
    }

    /// Health listener.
    pub fn health(&self) -> SocketAddr {
        self.at(7004)
    }

    /// Mesh listener.
    pub fn mesh(&self) -> SocketAddr {
        self.at(7005)
    }
}

/// A cluster of daemons.
pub struct Cluster {
    /// Folder of all files.
    pub folder: PathBuf,
    /// Hosts.
    pub hosts: Vec<Host>,
    /// Further settings lines, put before the peers.
    pub extra: String,
    children: Vec<Option<Child>>,
    // By the dialling and the dialled host.
    relays: BTreeMap<(usize, usize), Relay>,
}

impl Cluster {
    /// Lays out a cluster of `entries` daemons, the first `controls` of which may hold a replica.
    pub fn new(entries: usize, controls: usize) -> Self {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("eelgrassvalve-{pid}-{number}"));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        std::fs::write(folder.join("key"), "a key for tests").expect("the folder can be written");
        let mut hosts = Vec::new();
        for at in 0..entries {
            // Each process and cluster has loopback addresses of its own.
            let third = (pid % 250) as u8;
            let second = 64 + ((pid / 250) % 128) as u8;
            let last = 1 + ((number * 8) % 240) as u8 + at as u8;
            hosts.push(Host {
                name: format!("host-{}", at + 1),
                zone: format!("zone-{}", at % 3 + 1),
                is_control: at < controls,
                ip: Ipv4Addr::new(127, second, third, last),
            });
        }
        let children = hosts.iter().map(|_| None).collect();
        Self { folder, hosts, extra: String::new(), children, relays: BTreeMap::new() }
    }

    /// Starts all daemons, bootstraps the first, makes the other control hosts voters.
    pub async fn start(entries: usize, controls: usize) -> Self {
        let mut cluster = Self::new(entries, controls);
        cluster.boot().await;
        cluster
    }

    /// Puts a relay into each link, so that links can be cut.
    pub async fn relay_links(&mut self) {
        for from in 0..self.hosts.len() {
            for to in from + 1..self.hosts.len() {
                // The daemon whose name sorts first dials.
                let relay = Relay::start(self.hosts[to].mesh()).await;
                self.relays.insert((from, to), relay);
            }
        }
    }

    fn routes(&self, at: usize) -> BTreeMap<String, SocketAddr> {
        let mut routes = BTreeMap::new();
        for ((from, to), relay) in &self.relays {
            if *from == at {
                routes.insert(self.hosts[*to].name.clone(), relay.address);
            }
        }
        routes
    }

    /// Opens or cuts what a host sends and what it hears, on all of its links.
    pub fn set_links(&self, at: usize, sends: bool, hears: bool) {
        for ((from, to), relay) in &self.relays {
            if *from == at {
                relay.set(Direction::Forward, sends);
                relay.set(Direction::Backward, hears);
            }
            if *to == at {
                relay.set(Direction::Forward, hears);
                relay.set(Direction::Backward, sends);
            }
        }
    }

    /// Starts what [`Cluster::new`] laid out.
    pub async fn boot(&mut self) {
        for at in 0..self.hosts.len() {
            let routes = self.routes(at);
            self.write_settings(at, &|peer: &Host| {
                routes.get(&peer.name).copied().unwrap_or(peer.mesh())
            });
        }
        self.bootstrap(0);
        for at in 0..self.hosts.len() {
            self.spawn(at);
        }
        self.ready(0).await;
        for at in 1..self.hosts.len() {
            if self.hosts[at].is_control {
                self.add_member(at).await;
            }
        }
        for at in 0..self.hosts.len() {
            self.ready(at).await;
        }
    }

    /// Writes a daemon's settings; `route` gives the address at which it finds a peer.
    pub fn write_settings(&self, at: usize, route: &dyn Fn(&Host) -> SocketAddr) {
        let host = &self.hosts[at];
        let mut text = format!(
            "[daemon]\nname = \"{}\"\nzone = \"{}\"\ncontrol = {}\ndata_folder = \"data-{}\"\n\
             [listen]\ncallers = \"{}\"\noperators = \"{}\"\nplatform = \"{}\"\nhealth = \"{}\"\n\
             mesh = \"{}\"\n[mesh]\nkey_file = \"key\"\n[tokens]\nnone = true\n{}\n",
            host.name,
            host.zone,
            host.is_control,
            host.name,
            host.callers(),
            host.operators(),
            host.platform(),
            host.health(),
            host.mesh(),
            self.extra,
        );
        for (other, peer) in self.hosts.iter().enumerate() {
            if other == at {
                continue;
            }
            text.push_str(&format!(
                "[[peer]]\nname = \"{}\"\naddress = \"{}\"\nzone = \"{}\"\ncontrol = {}\n\
                 platform = \"{}\"\n",
                peer.name,
                route(peer),
                peer.zone,
                peer.is_control,
                peer.platform(),
            ));
        }
        std::fs::write(self.settings_path(at), text).expect("the folder can be written");
    }

    /// Settings file of a daemon.
    pub fn settings_path(&self, at: usize) -> PathBuf {
        self.folder.join(format!("{}.toml", self.hosts[at].name))
    }

    /// Data folder of a daemon.
    pub fn data_folder(&self, at: usize) -> PathBuf {
        self.folder.join(format!("data-{}", self.hosts[at].name))
    }

    /// Log file of a daemon.
    pub fn log_path(&self, at: usize) -> PathBuf {
        self.folder.join(format!("{}.log", self.hosts[at].name))
    }

    /// Bootstraps a data folder.
    pub fn bootstrap(&self, at: usize) {
        let status = Command::new(daemon_path())
            .args(["bootstrap", "--settings"])
            .arg(self.settings_path(at))
            .stdout(Stdio::null())
            .status()
            .expect("the daemon can be run");
        assert!(status.success());
    }

    /// Starts a daemon.
    pub fn spawn(&mut self, at: usize) {
        let opened = std::fs::File::options().create(true).append(true).open(self.log_path(at));
        let child = Command::new(daemon_path())
            .args(["serve", "--settings"])
            .arg(self.settings_path(at))
            .stderr(opened.expect("the folder can be written"))
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon can be started");
        self.children[at] = Some(child);
    }

    /// Process id of a running daemon.
    pub fn pid(&self, at: usize) -> u32 {
        self.children[at].as_ref().expect("is running").id()
    }

    /// Sends a signal to a daemon by name, such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, at: usize, signal: &str) {
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.pid(at).to_string())
            .status()
            .expect("kill can be run");
        assert!(status.success());
    }

    /// Kills a daemon with SIGKILL and waits for its end.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.children[at].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for a daemon's own end and returns its exit code.
    pub async fn ended(&mut self, at: usize) -> Option<i32> {
        let mut child = self.children[at].take().expect("is running");
        let waited = tokio::task::spawn_blocking(move || child.wait()).await;
        waited.expect("the wait does not panic").expect("the child can be waited for").code()
    }

    /// Whether a daemon's process runs.
    pub fn is_running(&mut self, at: usize) -> bool {
        let Some(child) = &mut self.children[at] else { return false };
        matches!(child.try_wait(), Ok(None))
    }

    /// Waits until a daemon is ready.
    pub async fn ready(&self, at: usize) {
        let client = Client::new(self.hosts[at].health(), None);
        let name = &self.hosts[at].name;
        until(&format!("{name} ready (log {})", self.log_path(at).display()), || async {
            let answer = client.send(Method::GET, "/readyz", &[], bytes::Bytes::new()).await;
            answer.ok().filter(|answer| answer.status.is_success())
        })
        .await;
    }

    /// Makes a control daemon a voter.
    pub async fn add_member(&self, at: usize) {
        let name = self.hosts[at].name.clone();
        until(&format!("{name} a voter"), || async {
            let named = operator::Member { name: name.clone() };
            let client = self.operators(0);
            let sent = client.json::<Message>(Method::POST, "/v1/members", &[], Some(&named)).await;
            if sent.is_ok() {
                return Some(());
            }
            let cluster = self.status(0).await.ok()?;
            cluster.members.iter().any(|m| m.name == name && m.is_voter).then_some(())
        })
        .await;
    }

    /// Removes what a wiped control daemon was, and makes it a voter again.
    pub async fn replace_member(&self, at: usize) {
        let name = &self.hosts[at].name;
        let asked = (at + 1) % self.hosts.len();
        let before = until("the member that was wiped", || async {
            let members = self.status(asked).await.ok()?.members;
            members.into_iter().find(|member| member.name == *name)
        })
        .await;
        until(&format!("{name} replaced"), || async {
            let client = self.operators(asked);
            let path = format!("/v1/members/{}", before.id);
            let _ = client.json::<Message>(Method::DELETE, &path, &[], None::<&()>).await;
            let named = operator::Member { name: name.clone() };
            let _ = client.json::<Message>(Method::POST, "/v1/members", &[], Some(&named)).await;
            let members = self.status(asked).await.ok()?.members;
            let is_new = |member: &status::Member| member.name == *name && member.id != before.id;
            members.iter().any(|member| is_new(member) && member.is_voter).then_some(())
        })
        .await;
    }

    /// Client of a daemon's callers' listener.
    pub fn callers(&self, at: usize) -> Client {
        Client::new(self.hosts[at].callers(), None)
    }

    /// Client of a daemon's operators' listener.
    pub fn operators(&self, at: usize) -> Client {
        Client::new(self.hosts[at].operators(), None)
    }

    /// State of the cluster, asked of one daemon.
    pub async fn status(&self, at: usize) -> Result<status::Cluster> {
        self.operators(at).get("/v1/status").await
    }

    /// Index of the leader's host.
    pub async fn leader(&self) -> usize {
        until("a leader", || async {
            for at in 0..self.hosts.len() {
                if let Ok(cluster) = self.status(at).await {
                    return self.hosts.iter().position(|host| host.name == cluster.leader);
                }
            }
            None
        })
        .await
    }

    /// The configuration, asked of one daemon.
    pub async fn config(&self, at: usize) -> Result<Config> {
        self.operators(at).get("/v1/config").await
    }

    /// Applies a document over the current version.
    pub async fn apply(&self, at: usize, document: &Document) -> Result<Rollout> {
        let expected = self.config(at).await?.version.to_string();
        let request_id = uuid::Uuid::now_v7().to_string();
        let headers = [("if-match", &*expected), ("eelgrassvalve-request-id", &*request_id)];
        self.operators(at).json(Method::PUT, "/v1/config", &headers, Some(document)).await
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for at in 0..self.children.len() {
            self.kill(at);
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The daemon's program, beside the folder of the running test or example.
pub fn daemon_path() -> PathBuf {
    program("eelgrassvalved")
}

/// The tool's program.
pub fn tool_path() -> PathBuf {
    program("eelgrassvalve")
}

fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("the own path is known");
    let folder: &Path = own.parent().and_then(Path::parent).expect("is in a build folder");
    folder.join(name)
}
