//! A daemon of batch work: an entry for callers, or a member that also keeps the durable state.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use miette::{IntoDiagnostic, WrapErr};

use crate::batch::call::{Answer, Request};
use crate::control::Control;
use crate::control::client::Client;
use crate::error::Result;
use crate::kernel::lock::{Rank, RankedMutex};
use crate::kernel::timer::Timer;
use crate::mesh::call::{Answer as Reply, Call};
use crate::mesh::frame::{Hello, Notice, VERSION};
use crate::mesh::{Handler, Mesh};
use crate::replica::Message;
use crate::replica::member::{Id, Members};
use crate::replica::store::Store;
use crate::settings::Settings;
use crate::telemetry::DECISION;

/// Between two questions for the leader and the members.
const ASK: Duration = Duration::from_millis(500);
/// Longest wait for one answer to them.
const ANSWER: Duration = Duration::from_millis(600);
/// Age of the last answer of a leader from which on the daemon is not ready, in milliseconds: a
/// change of leader fits in.
const READY_MS: u64 = 4_000;

/// A running daemon.
pub struct Node {
    settings: Settings,
    timer: Timer,
    mesh: Mesh,
    client: Client,
    control: Option<Arc<Control>>,
    known: Arc<RankedMutex<BTreeSet<SocketAddr>>>,
    seeds: RankedMutex<Vec<SocketAddr>>,
    // When a leader answered last, in milliseconds; `None` before the first answer.
    answered_ms: RankedMutex<Option<u64>>,
}

struct MeshHandler {
    control: Option<Arc<Control>>,
}

impl Handler for MeshHandler {
    fn on_replica(&self, from: Id, message: Message) {
        if let Some(control) = &self.control {
            control.on_replica(from, message);
        }
    }

    async fn on_call(self: Arc<Self>, from: String, call: Call) -> Result<Reply> {
        match &self.control {
            Some(control) => control.on_call(&from, call).await,
            None => Ok(Reply::Redirect(None)),
        }
    }

    fn on_notice(&self, _from: &str, _notice: Notice) {}

    fn on_link(&self, peer: &Hello) {
        tracing::info!(peer = peer.name, id = %peer.id, "dependency regained");
    }
}

impl Node {
    /// Opens the data folder, if there is one, and goes onto the network.
    ///
    /// # Errors
    /// Where the folder can't be used or the address of the links can't be bound.
    pub async fn start(mut settings: Settings) -> miette::Result<Arc<Self>> {
        let timer = Timer::system();
        let own = settings.listen.mesh;
        // Daemons that find one another by address go by it.
        settings.name = own.to_string();
        let seeds = settings.batch.seed_addresses(own);
        let store = open(&settings, &seeds)?;
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
        let known = Arc::new(RankedMutex::new(Rank::Leader, BTreeSet::new()));
        let node = Arc::new(Self {
            timer: timer.clone(),
            mesh: mesh.clone(),
            client,
            control: control.clone(),
            known: known.clone(),
            seeds: RankedMutex::new(Rank::Leader, seeds),
            answered_ms: RankedMutex::new(Rank::Leader, None),
            settings,
        });
        let wanted = node.clone();
        let parts = Arc::new(MeshHandler { control });
        let listening = mesh.start_discovery(&node.settings, timer, parts, move || wanted.wanted());
        listening.await.into_diagnostic().wrap_err_with(|| format!("mesh listener {own}"))?;
        tokio::spawn(ask_around(node.clone()));
        Ok(node)
    }

    /// Settings of the daemon.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Calls the leader.
    ///
    /// # Errors
    /// The leader's refusal, or `no_quorum` with the verdict that the sends allow.
    pub async fn call(&self, request: Request, within: Duration) -> Result<Answer> {
        let begun_ms = self.timer.now_ms();
        let (verb, subject) = request.subject();
        let subject = subject.to_string();
        let answer = self.client.call_batch(request, within).await;
        let now_ms = self.timer.now_ms();
        match &answer {
            Ok(_) => *self.answered_ms.lock() = Some(now_ms),
            Err(error) => {
                let (took_ms, leader) = (now_ms - begun_ms, self.client.leader());
                let (code, verdict) = (error.code, error.verdict);
                tracing::info!(target: DECISION, verb, subject, %code, %verdict, took_ms, leader, reason = error.message, "request refused");
            }
        }
        answer
    }

    /// Whether the daemon can serve callers: a leader answered lately.
    pub fn is_ready(&self) -> bool {
        let answered_ms = *self.answered_ms.lock();
        answered_ms.is_some_and(|at_ms| self.timer.now_ms() < at_ms + READY_MS)
    }

    /// Host of the daemon that leads, as far as it is known here.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.client.leader()?.parse().ok()
    }

    /// Takes other seeds, from settings that were read again.
    pub fn update_seeds(&self, settings: &Settings) {
        let seeds = settings.batch.seed_addresses(self.settings.listen.mesh);
        tracing::info!(?seeds, "seeds read");
        *self.seeds.lock() = seeds;
    }

    /// Gives leadership to another member, before a planned stop.
    pub async fn transfer_leadership(&self) {
        if let Some(control) = &self.control {
            control.transfer_leadership().await;
        }
    }

    fn wanted(&self) -> BTreeSet<SocketAddr> {
        let mut wanted: BTreeSet<SocketAddr> = self.seeds.lock().iter().copied().collect();
        wanted.extend(self.known.lock().iter().copied());
        wanted.extend(self.member_addresses());
        wanted
    }

    fn member_addresses(&self) -> Vec<SocketAddr> {
        let Some(control) = &self.control else { return Vec::new() };
        let members = control.group_status().members;
        members.iter().filter_map(|member| member.name.parse().ok()).collect()
    }

    async fn learn(&self, turn: usize) {
        let peers = self.mesh.control_peers();
        let leader = self.client.leader().filter(|name| self.mesh.is_linked(name));
        let Some(peer) = leader.or_else(|| peers.get(turn % peers.len().max(1)).cloned()) else {
            return;
        };
        let answer = self.client.call_daemon(&peer, Request::Standing, ANSWER).await;
        let Ok(Reply::Batch(answer)) = answer else { return };
        let Answer::Standing { leader, members } = *answer else { return };
        let addresses: BTreeSet<_> = members.iter().filter_map(|name| name.parse().ok()).collect();
        if !addresses.is_empty() {
            *self.known.lock() = addresses;
        }
        if leader.as_deref() == Some(peer.as_str()) {
            *self.answered_ms.lock() = Some(self.timer.now_ms());
        }
        self.client.update_leader_hint(leader);
    }

    async fn join(&self) {
        let Some(control) = &self.control else { return };
        let id = self.mesh.own_hello().id;
        let is_member =
            control.group_status().members.iter().any(|member| member.id == id.to_string());
        if is_member && control.group_status().leader_name.is_some() {
            return;
        }
        let name = self.settings.name.clone();
        match self.client.call_batch(Request::Join { name, id }, ANSWER).await {
            Ok(_) => tracing::info!(%id, "asked to join the group"),
            Err(error) => tracing::debug!(%error, "not joined yet"),
        }
    }
}

// The first start makes the seeds the first voters, each under an identity that all can work out.
fn open(
    settings: &Settings,
    seeds: &[SocketAddr],
) -> miette::Result<Option<(Store, crate::replica::Saved)>> {
    let Some(folder) = settings.data_folder.as_ref().filter(|_| settings.is_control) else {
        return Ok(None);
    };
    let problem = "the data folder can't be used";
    if settings.batch.is_bootstrap && seeds.contains(&settings.listen.mesh) {
        let mut voters = Members::default();
        for seed in seeds {
            voters.voters.insert(first_id(*seed), seed.to_string());
        }
        let id = first_id(settings.listen.mesh);
        Store::bootstrap_among(folder, id, voters).into_diagnostic().wrap_err(problem)?;
    }
    Store::open(folder).into_diagnostic().wrap_err(problem).map(Some)
}

fn first_id(address: SocketAddr) -> Id {
    use sha2::Digest;
    let digest = sha2::Sha256::digest(address.to_string());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    Id(u64::from_be_bytes(bytes))
}

async fn ask_around(node: Arc<Node>) {
    let mut turn = 0;
    loop {
        node.learn(turn).await;
        node.join().await;
        turn += 1;
        node.timer.sleep(ASK).await;
    }
}
