//! Keeps links up to daemons that are known by address only.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::{Handler, Mesh, link};
use crate::kernel::timer::Timer;
use crate::settings::Peer;

/// Between two looks for links that are missing.
const LOOK: Duration = Duration::from_millis(250);
/// Time for which a control member leaves dialling to the one whose address sorts first, in
/// milliseconds, so that two members don't dial each other at once.
const YIELD_MS: u64 = 1_000;

/// Dials daemons that are wanted and not linked.
pub(super) struct Discovery<H> {
    mesh: Mesh,
    own: SocketAddr,
    key: Arc<[u8]>,
    receiver: Arc<H>,
    dialling: BTreeMap<SocketAddr, tokio::task::JoinHandle<()>>,
    missing_since: BTreeMap<SocketAddr, u64>,
}

impl<H: Handler> Discovery<H> {
    pub(super) fn new(mesh: Mesh, own: SocketAddr, key: Arc<[u8]>, receiver: Arc<H>) -> Self {
        let (dialling, missing_since) = (BTreeMap::new(), BTreeMap::new());
        Self { mesh, own, key, receiver, dialling, missing_since }
    }

    /// Runs for ever.
    pub(super) async fn run(
        mut self,
        timer: Timer,
        wanted: impl Fn() -> BTreeSet<SocketAddr> + Send + 'static,
    ) {
        loop {
            self.look(&wanted(), timer.now_ms());
            timer.sleep(LOOK).await;
        }
    }

    fn look(&mut self, wanted: &BTreeSet<SocketAddr>, now_ms: u64) {
        self.dialling.retain(|_, task| !task.is_finished());
        self.missing_since.retain(|address, _| wanted.contains(address));
        for address in wanted {
            let name = address.to_string();
            if *address == self.own || self.mesh.is_linked(&name) {
                self.missing_since.remove(address);
                continue;
            }
            let since_ms = *self.missing_since.entry(*address).or_insert(now_ms);
            let yields = self.mesh.own().is_control && self.own > *address;
            if self.dialling.contains_key(address) || (yields && now_ms < since_ms + YIELD_MS) {
                continue;
            }
            let peer = Peer {
                name,
                address: *address,
                zone: String::new(),
                is_control: true,
                platform: None,
            };
            let (mesh, key, receiver) =
                (self.mesh.clone(), self.key.clone(), self.receiver.clone());
            let task = tokio::spawn(link::dial_once(mesh, peer, key, receiver));
            self.dialling.insert(*address, task);
        }
    }
}
