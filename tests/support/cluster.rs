//! Clusters of daemon processes, each on its own loopback address.

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
use super::wait_until;

/// Number of the next cluster in this process.
static NEXT_CLUSTER: AtomicU32 = AtomicU32::new(0);

/// One daemon of a cluster.
#[derive(Clone, Debug)]
pub struct Host {
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the daemon may hold a replica.
    pub is_control: bool,
    /// Loopback address.
    pub ip: Ipv4Addr,
}

impl Host {
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    /// Address of the callers' listener.
    pub fn callers(&self) -> SocketAddr {
        self.address(7001)
    }

    /// Address of the operators' listener.
    pub fn operators(&self) -> SocketAddr {
        self.address(7002)
    }

    /// Address of the platform listener.
    pub fn platform(&self) -> SocketAddr {
        self.address(7003)
    }

    /// Address of the health listener.
    pub fn health(&self) -> SocketAddr {
        self.address(7004)
    }

    /// Address of the mesh listener.
    pub fn mesh(&self) -> SocketAddr {
        self.address(7005)
    }
}

/// A cluster of daemons.
pub struct Cluster {
    /// Temporary folder with the settings, data and logs of all daemons.
    pub folder: PathBuf,
    pub hosts: Vec<Host>,
    /// Additional settings, written before the peers.
    pub extra_settings: String,
    processes: Vec<Option<Child>>,
    // Keyed by the indices of the dialling and the dialled host.
    relays: BTreeMap<(usize, usize), Relay>,
}

impl Cluster {
    /// Prepares `host_count` daemons without starting them; the first `control_count` may hold a
    /// replica.
    pub fn new(host_count: usize, control_count: usize) -> Self {
        let cluster_number = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("eelgrassvalve-{pid}-{cluster_number}"));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be created");
        std::fs::write(folder.join("key"), "a key for tests").expect("the folder can be written");
        let mut hosts = Vec::new();
        for index in 0..host_count {
            // Each process and cluster has its own addresses, so that concurrent tests don't clash.
            let third_octet = (pid % 250) as u8;
            let second_octet = 64 + ((pid / 250) % 128) as u8;
            let last_octet = 1 + ((cluster_number * 8) % 240) as u8 + index as u8;
            hosts.push(Host {
                name: format!("host-{}", index + 1),
                zone: format!("zone-{}", index % 3 + 1),
                is_control: index < control_count,
                ip: Ipv4Addr::new(127, second_octet, third_octet, last_octet),
            });
        }
        let processes = hosts.iter().map(|_| None).collect();
        Self { folder, hosts, extra_settings: String::new(), processes, relays: BTreeMap::new() }
    }

    /// Bootstraps the first daemon, starts all and adds the other control daemons as voters.
    pub async fn start(host_count: usize, control_count: usize) -> Self {
        let mut cluster = Self::new(host_count, control_count);
        cluster.boot().await;
        cluster
    }

    /// Routes each mesh link through a relay, so that the link can be cut.
    pub async fn relay_links(&mut self) {
        for from in 0..self.hosts.len() {
            for to in from + 1..self.hosts.len() {
                // The daemon whose name sorts first dials.
                let relay = Relay::start(self.hosts[to].mesh()).await;
                self.relays.insert((from, to), relay);
            }
        }
    }

    fn relay_addresses(&self, index: usize) -> BTreeMap<String, SocketAddr> {
        let mut addresses = BTreeMap::new();
        for ((from, to), relay) in &self.relays {
            if *from == index {
                addresses.insert(self.hosts[*to].name.clone(), relay.address);
            }
        }
        addresses
    }

    /// Opens or cuts the outbound and the inbound direction of all mesh links of a host.
    pub fn set_links(&self, index: usize, outbound_open: bool, inbound_open: bool) {
        for ((from, to), relay) in &self.relays {
            if *from == index {
                relay.set_open(Direction::Forward, outbound_open);
                relay.set_open(Direction::Backward, inbound_open);
            }
            if *to == index {
                relay.set_open(Direction::Forward, inbound_open);
                relay.set_open(Direction::Backward, outbound_open);
            }
        }
    }

    /// Writes the settings of a cluster from [`Cluster::new`] and starts it as [`Cluster::start`]
    /// does.
    pub async fn boot(&mut self) {
        for index in 0..self.hosts.len() {
            let relay_addresses = self.relay_addresses(index);
            self.write_settings(index, &|peer: &Host| {
                relay_addresses.get(&peer.name).copied().unwrap_or(peer.mesh())
            });
        }
        self.bootstrap(0);
        for index in 0..self.hosts.len() {
            self.spawn(index);
        }
        self.wait_until_ready(0).await;
        for index in 1..self.hosts.len() {
            if self.hosts[index].is_control {
                self.add_member(index).await;
            }
        }
        for index in 0..self.hosts.len() {
            self.wait_until_ready(index).await;
        }
    }

    /// Writes a daemon's settings; `peer_address` returns the mesh address to dial for a peer.
    pub fn write_settings(&self, index: usize, peer_address: &dyn Fn(&Host) -> SocketAddr) {
        let host = &self.hosts[index];
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
            self.extra_settings,
        );
        for (other, peer) in self.hosts.iter().enumerate() {
            if other == index {
                continue;
            }
            text.push_str(&format!(
                "[[peer]]\nname = \"{}\"\naddress = \"{}\"\nzone = \"{}\"\ncontrol = {}\n\
                 platform = \"{}\"\n",
                peer.name,
                peer_address(peer),
                peer.zone,
                peer.is_control,
                peer.platform(),
            ));
        }
        std::fs::write(self.settings_path(index), text).expect("the folder can be written");
    }

    pub fn settings_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("{}.toml", self.hosts[index].name))
    }

    pub fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.join(format!("data-{}", self.hosts[index].name))
    }

    pub fn log_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("{}.log", self.hosts[index].name))
    }

    /// Runs the `bootstrap` command, which initializes the data folder as the first voter.
    pub fn bootstrap(&self, index: usize) {
        let status = Command::new(daemon_path())
            .args(["bootstrap", "--settings"])
            .arg(self.settings_path(index))
            .stdout(Stdio::null())
            .status()
            .expect("the daemon executable can be run");
        assert!(status.success());
    }

    /// Starts a daemon, which appends to its log file.
    pub fn spawn(&mut self, index: usize) {
        let log_file =
            std::fs::File::options().create(true).append(true).open(self.log_path(index));
        let child = Command::new(daemon_path())
            .args(["serve", "--settings"])
            .arg(self.settings_path(index))
            .stderr(log_file.expect("the folder can be written"))
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon executable can be run");
        self.processes[index] = Some(child);
    }

    /// Process id of a running daemon.
    pub fn pid(&self, index: usize) -> u32 {
        self.processes[index].as_ref().expect("the daemon is running").id()
    }

    /// Sends a daemon the signal of this name, such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, index: usize, signal: &str) {
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.pid(index).to_string())
            .status()
            .expect("kill can be run");
        assert!(status.success());
    }

    /// Kills a daemon with SIGKILL and waits until it has exited.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.processes[index].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until a daemon exits by itself; returns its exit code, or `None` if a signal ended it.
    pub async fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        let mut child = self.processes[index].take().expect("the daemon is running");
        let waited = tokio::task::spawn_blocking(move || child.wait()).await;
        waited
            .expect("the waiting task does not panic")
            .expect("the child can be waited for")
            .code()
    }

    pub fn is_running(&mut self, index: usize) -> bool {
        let Some(child) = &mut self.processes[index] else { return false };
        matches!(child.try_wait(), Ok(None))
    }

    /// Waits until a daemon reports that it is ready.
    pub async fn wait_until_ready(&self, index: usize) {
        let client = Client::new(self.hosts[index].health(), None);
        let name = &self.hosts[index].name;
        wait_until(
            &format!("{name} to become ready (log: {})", self.log_path(index).display()),
            || async {
                let answer = client.send(Method::GET, "/readyz", &[], bytes::Bytes::new()).await;
                answer.ok().filter(|answer| answer.status.is_success())
            },
        )
        .await;
    }

    /// Makes a control daemon a voter; retries until the request succeeds or the voter is listed.
    pub async fn add_member(&self, index: usize) {
        let name = self.hosts[index].name.clone();
        wait_until(&format!("{name} to become a voter"), || async {
            let request = operator::Member { name: name.clone() };
            let client = self.operator_client(0);
            let sent =
                client.json::<Message>(Method::POST, "/v1/members", &[], Some(&request)).await;
            if sent.is_ok() {
                return Some(());
            }
            let cluster = self.status(0).await.ok()?;
            cluster.members.iter().any(|m| m.name == name && m.is_voter).then_some(())
        })
        .await;
    }

    /// Removes the old member of a wiped control daemon and makes its new identity a voter.
    pub async fn replace_member(&self, index: usize) {
        let name = &self.hosts[index].name;
        let other = (index + 1) % self.hosts.len();
        let old_member = wait_until("the old member of the wiped daemon to be listed", || async {
            let members = self.status(other).await.ok()?.members;
            members.into_iter().find(|member| member.name == *name)
        })
        .await;
        wait_until(&format!("{name} to be replaced"), || async {
            let client = self.operator_client(other);
            let path = format!("/v1/members/{}", old_member.id);
            let _ = client.json::<Message>(Method::DELETE, &path, &[], None::<&()>).await;
            let request = operator::Member { name: name.clone() };
            let _ = client.json::<Message>(Method::POST, "/v1/members", &[], Some(&request)).await;
            let members = self.status(other).await.ok()?.members;
            let is_new =
                |member: &status::Member| member.name == *name && member.id != old_member.id;
            members.iter().any(|member| is_new(member) && member.is_voter).then_some(())
        })
        .await;
    }

    /// Client for a daemon's callers' listener.
    pub fn caller_client(&self, index: usize) -> Client {
        Client::new(self.hosts[index].callers(), None)
    }

    /// Client for a daemon's operators' listener.
    pub fn operator_client(&self, index: usize) -> Client {
        Client::new(self.hosts[index].operators(), None)
    }

    /// Status of the cluster, as one daemon reports it.
    pub async fn status(&self, index: usize) -> Result<status::Cluster> {
        self.operator_client(index).get("/v1/status").await
    }

    /// Index of the leader's host, once there is a leader.
    pub async fn leader(&self) -> usize {
        wait_until("a leader", || async {
            for index in 0..self.hosts.len() {
                if let Ok(cluster) = self.status(index).await {
                    return self.hosts.iter().position(|host| host.name == cluster.leader);
                }
            }
            None
        })
        .await
    }

    /// Current configuration, as one daemon reports it.
    pub async fn config(&self, index: usize) -> Result<Config> {
        self.operator_client(index).get("/v1/config").await
    }

    /// Replaces the current configuration with a document.
    pub async fn apply(&self, index: usize, document: &Document) -> Result<Rollout> {
        let expected = self.config(index).await?.version.to_string();
        let request_id = uuid::Uuid::now_v7().to_string();
        let headers = [("if-match", &*expected), ("eelgrassvalve-request-id", &*request_id)];
        self.operator_client(index).json(Method::PUT, "/v1/config", &headers, Some(document)).await
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for index in 0..self.processes.len() {
            self.kill(index);
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Path of the daemon's executable.
pub fn daemon_path() -> PathBuf {
    executable_path("eelgrassvalved")
}

/// Path of the command-line tool's executable.
pub fn tool_path() -> PathBuf {
    executable_path("eelgrassvalve")
}

/// Executables are in the parent of the folder of the running test or example.
fn executable_path(name: &str) -> PathBuf {
    let current = std::env::current_exe().expect("the path of this executable is known");
    let folder: &Path =
        current.parent().and_then(Path::parent).expect("tests run in a build folder");
    folder.join(name)
}
