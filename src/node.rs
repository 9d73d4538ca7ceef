//! A daemon for batch scheduling: an entry for callers, or a control member that also replicates
//! the durable state.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use miette::{IntoDiagnostic, WrapErr};
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::batch::call::{Answer, Request};
use crate::control::Control;
use crate::control::client::Client;
use crate::error::{Code, Error, Result};
use crate::kernel::lock::{Mutex, Rank};
use crate::kernel::task;
use crate::kernel::timer::Timer;
use crate::mesh::call::{Answer as CallAnswer, Call};
use crate::mesh::frame::{Hello, Notice, VERSION};
use crate::mesh::{Handler, Mesh};
use crate::replica::Message;
use crate::replica::member::{Id, Members};
use crate::replica::store::Store;
use crate::settings::Settings;
use crate::telemetry::DECISION;

/// Interval between queries for the current leader and members.
const LEADER_QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a query for the leader and members, and of a join request.
const LEADER_QUERY_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without an answer from a leader after which the daemon reports not ready. It is long enough
/// for a change of leader.
const READY_TIMEOUT_MS: u64 = 4_000;

/// Maximum concurrent reads of the document: more than an operator has in progress.
const MAX_DOCUMENT_READS: usize = 8;
/// Maximum number of documents that are decoded and sent to the leader at a time: each takes several
/// times its size.
const MAX_PUBLICATIONS: usize = 1;

/// Delay after which the sender of a document that had to wait too long may try again.
const DOCUMENT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A running daemon.
pub struct Node {
    settings: Settings,
    timer: Timer,
    mesh: Mesh,
    client: Client,
    control: Option<Arc<Control>>,
    known_members: Arc<Mutex<BTreeSet<SocketAddr>>>,
    seeds: Mutex<Vec<SocketAddr>>,
    // Time of the last answer from a leader; `None` before the first answer.
    last_answer_ms: Mutex<Option<u64>>,
    document_reads: Semaphore,
    publications: Semaphore,
}

struct Dispatcher {
    control: Option<Arc<Control>>,
}

impl Handler for Dispatcher {
    fn on_replica(&self, from: Id, message: Message) {
        if let Some(control) = &self.control {
            control.on_replica(from, message);
        }
    }

    async fn on_call(self: Arc<Self>, from: String, call: Call) -> Result<CallAnswer> {
        match &self.control {
            Some(control) => control.on_call(&from, call).await,
            None => Ok(CallAnswer::Redirect(None)),
        }
    }

    fn on_notice(&self, _from: &str, _notice: Notice) {}

    fn on_link(&self, peer: &Hello) {
        tracing::info!(peer = peer.name, id = %peer.id, "connected to peer");
    }
}

impl Node {
    /// Opens the data folder of a control member and connects to the other daemons.
    ///
    /// # Errors
    /// If the data folder can't be used or the mesh listener can't be bound.
    pub async fn start(mut settings: Settings) -> miette::Result<Arc<Self>> {
        let timer = Timer::system();
        let own_address = settings.listen.mesh;
        // Daemons that use discovery are named after the address of their mesh listener.
        settings.name = own_address.to_string();
        let seeds = settings.batch.seed_addresses(own_address);
        let store = open_store(&settings, &seeds)?;
        let hello = Hello {
            version: VERSION,
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            id: store.as_ref().map_or_else(|| Id(rand::random()), |(store, _)| store.id()),
            incarnation: rand::random(),
            is_entry: settings.is_entry,
            is_control: settings.is_control,
        };
        let mesh = Mesh::new(hello);
        let control = store.map(|(store, saved)| {
            Control::start(&settings, timer.clone(), mesh.clone(), store, saved)
        });
        let client = Client::new(&settings, timer.clone(), mesh.clone(), control.clone());
        let known_members = Arc::new(Mutex::new(Rank::Leader, BTreeSet::new()));
        let node = Arc::new(Self {
            timer: timer.clone(),
            mesh: mesh.clone(),
            client,
            control: control.clone(),
            known_members: known_members.clone(),
            seeds: Mutex::new(Rank::Leader, seeds),
            last_answer_ms: Mutex::new(Rank::Leader, None),
            document_reads: Semaphore::new(MAX_DOCUMENT_READS),
            publications: Semaphore::new(MAX_PUBLICATIONS),
            settings,
        });
        let discovering_node = node.clone();
        let handler = Arc::new(Dispatcher { control });
        let listening = mesh.start_discovery(&node.settings, timer, handler, move || {
            discovering_node.required_addresses()
        });
        listening
            .await
            .into_diagnostic()
            .wrap_err_with(|| format!("can't listen for links on {own_address}"))?;
        task::spawn_critical("discovery of members", maintain_membership(node.clone()));
        Ok(node)
    }

    /// Returns the settings of the daemon.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Sends a request to the leader and waits for the answer.
    ///
    /// # Errors
    /// The leader's refusal, or `no_quorum` with a verdict on whether the request may have run.
    pub async fn call(&self, request: Request, within: Duration) -> Result<Answer> {
        let started_ms = self.timer.now_ms();
        let (verb, subject) = request.subject();
        let subject = subject.to_string();
        let answer = self.call_leader(request, within).await;
        let now_ms = self.timer.now_ms();
        match &answer {
            Ok(_) => *self.last_answer_ms.lock() = Some(now_ms),
            Err(error) => {
                let (took_ms, leader) = (now_ms - started_ms, self.client.leader());
                let (code, verdict) = (error.code, error.verdict);
                tracing::info!(target: DECISION, verb, subject, %code, %verdict, took_ms, leader, reason = error.message, "request refused");
            }
        }
        answer
    }

    async fn call_leader(&self, request: Request, within: Duration) -> Result<Answer> {
        if !matches!(request, Request::Document) {
            return self.client.call_batch(request, within).await;
        }
        let started_ms = self.timer.now_ms();
        let _permit = acquire(&self.document_reads, within).await?;
        let waited = Duration::from_millis(self.timer.now_ms() - started_ms);
        self.client.call_batch(request, within.saturating_sub(waited)).await
    }

    /// Waits until a document may be decoded and sent to the leader. That holds for as long as the
    /// permit is kept.
    ///
    /// # Errors
    /// If others take longer than that.
    pub async fn admit_publication(&self, within: Duration) -> Result<SemaphorePermit<'_>> {
        acquire(&self.publications, within).await
    }

    /// Returns whether the daemon can serve callers, which requires a recent answer from a leader.
    pub fn is_ready(&self) -> bool {
        let last_answer_ms = *self.last_answer_ms.lock();
        last_answer_ms.is_some_and(|at_ms| self.timer.now_ms() < at_ms + READY_TIMEOUT_MS)
    }

    /// Returns the address of the leader, if known.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.client.leader()?.parse().ok()
    }

    /// Replaces the seeds by those of reloaded settings.
    pub fn update_seeds(&self, settings: &Settings) {
        let seeds = settings.batch.seed_addresses(self.settings.listen.mesh);
        tracing::info!(?seeds, "seeds read from reloaded settings");
        *self.seeds.lock() = seeds;
    }

    /// Transfers leadership to another member before a graceful shutdown. Does nothing on an entry.
    pub async fn transfer_leadership(&self) {
        if let Some(control) = &self.control {
            control.transfer_leadership().await;
        }
    }

    fn required_addresses(&self) -> BTreeSet<SocketAddr> {
        let mut addresses: BTreeSet<SocketAddr> = self.seeds.lock().iter().copied().collect();
        addresses.extend(self.known_members.lock().iter().copied());
        addresses.extend(self.member_addresses());
        addresses
    }

    fn member_addresses(&self) -> Vec<SocketAddr> {
        let Some(control) = &self.control else { return Vec::new() };
        let members = control.group_status().members;
        members.iter().filter_map(|member| member.name.parse().ok()).collect()
    }

    async fn refresh_members(&self, round: usize) {
        let peers = self.mesh.control_peers();
        let leader = self.client.leader().filter(|name| self.mesh.is_linked(name));
        let Some(peer) = leader.or_else(|| peers.get(round % peers.len().max(1)).cloned()) else {
            return;
        };
        let answer = self.client.call_daemon(&peer, Request::Standing, LEADER_QUERY_TIMEOUT).await;
        let Ok(CallAnswer::Batch(answer)) = answer else { return };
        let Answer::Standing { leader, members } = *answer else { return };
        let addresses: BTreeSet<_> = members.iter().filter_map(|name| name.parse().ok()).collect();
        if !addresses.is_empty() {
            *self.known_members.lock() = addresses;
        }
        if leader.as_deref() == Some(peer.as_str()) {
            *self.last_answer_ms.lock() = Some(self.timer.now_ms());
        }
        self.client.update_leader_hint(leader);
    }

    async fn request_join(&self) {
        let Some(control) = &self.control else { return };
        let id = self.mesh.own_hello().id;
        let is_member =
            control.group_status().members.iter().any(|member| member.id == id.to_string());
        if is_member && control.group_status().leader_name.is_some() {
            return;
        }
        let name = self.settings.name.clone();
        match self.client.call_batch(Request::Join { name, id }, LEADER_QUERY_TIMEOUT).await {
            Ok(_) => tracing::info!(%id, "join request accepted by the leader"),
            Err(error) => tracing::debug!(%error, "join request failed"),
        }
    }
}

async fn acquire(permits: &Semaphore, within: Duration) -> Result<SemaphorePermit<'_>> {
    let permit = tokio::time::timeout(within, permits.acquire()).await;
    permit.ok().and_then(|permit| permit.ok()).ok_or_else(|| {
        let message = "too many requests for documents are in progress";
        Error::not_run(Code::Deadline, message).retry_after(DOCUMENT_RETRY_DELAY)
    })
}

// At bootstrap the seeds become the initial voters. Their identities are derived from their
// addresses, so that every seed computes the same membership.
fn open_store(
    settings: &Settings,
    seeds: &[SocketAddr],
) -> miette::Result<Option<(Store, crate::replica::State)>> {
    let Some(folder) = settings.data_folder.as_ref().filter(|_| settings.is_control) else {
        return Ok(None);
    };
    let context = "the data folder can't be used";
    if settings.batch.is_bootstrap && seeds.contains(&settings.listen.mesh) {
        let mut voters = Members::default();
        for seed in seeds {
            voters.voters.insert(bootstrap_id(*seed), seed.to_string());
        }
        let id = bootstrap_id(settings.listen.mesh);
        Store::bootstrap_with_voters(folder, id, voters).into_diagnostic().wrap_err(context)?;
    }
    Store::open(folder).into_diagnostic().wrap_err(context).map(Some)
}

fn bootstrap_id(address: SocketAddr) -> Id {
    use sha2::Digest;
    let digest = sha2::Sha256::digest(address.to_string());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    Id(u64::from_be_bytes(bytes))
}

async fn maintain_membership(node: Arc<Node>) {
    let mut round = 0;
    loop {
        node.refresh_members(round).await;
        node.request_join().await;
        round += 1;
        node.timer.sleep(LEADER_QUERY_INTERVAL).await;
    }
}
