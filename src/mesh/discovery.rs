//! Keeps links up to peers of which only the addresses are known.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::{Handler, Mesh, link};
use crate::kernel::timer::Timer;
use crate::settings::Peer;

/// Interval between checks for missing links.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a control member leaves dialling to the peer whose address sorts first, so that
/// two members don't dial each other at the same time.
const DIAL_YIELD_MS: u64 = 1_000;

/// Dials the required peers to which there is no link.
pub(super) struct Discovery<H> {
    mesh: Mesh,
    own_address: SocketAddr,
    key: Arc<[u8]>,
    handler: Arc<H>,
    dial_tasks: BTreeMap<SocketAddr, tokio::task::JoinHandle<()>>,
    unlinked_since_ms: BTreeMap<SocketAddr, u64>,
}

impl<H: Handler> Discovery<H> {
    pub(super) fn new(
        mesh: Mesh,
        own_address: SocketAddr,
        key: Arc<[u8]>,
        handler: Arc<H>,
    ) -> Self {
        let (dial_tasks, unlinked_since_ms) = (BTreeMap::new(), BTreeMap::new());
        Self { mesh, own_address, key, handler, dial_tasks, unlinked_since_ms }
    }

    /// Checks for missing links periodically; never returns.
    pub(super) async fn run(
        mut self,
        timer: Timer,
        required_addresses: impl Fn() -> BTreeSet<SocketAddr> + Send + 'static,
    ) {
        loop {
            self.dial_missing(&required_addresses(), timer.now_ms());
            timer.sleep(CHECK_INTERVAL).await;
        }
    }

    fn dial_missing(&mut self, required: &BTreeSet<SocketAddr>, now_ms: u64) {
        self.dial_tasks.retain(|_, task| !task.is_finished());
        self.unlinked_since_ms.retain(|address, _| required.contains(address));
        for address in required {
            let name = address.to_string();
            if *address == self.own_address || self.mesh.is_linked(&name) {
                self.unlinked_since_ms.remove(address);
                continue;
            }
            let since_ms = *self.unlinked_since_ms.entry(*address).or_insert(now_ms);
            let yields_to_peer = self.mesh.own_hello().is_control && self.own_address > *address;
            if self.dial_tasks.contains_key(address)
                || (yields_to_peer && now_ms < since_ms + DIAL_YIELD_MS)
            {
                continue;
            }
            let peer = Peer {
                name,
                address: *address,
                zone: String::new(),
                is_control: true,
                platform: None,
            };
            let (mesh, key, handler) = (self.mesh.clone(), self.key.clone(), self.handler.clone());
            let task = tokio::spawn(link::dial_once(mesh, peer, key, handler));
            self.dial_tasks.insert(*address, task);
        }
    }
}
