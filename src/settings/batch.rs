//! Settings of batch work and of how its daemons find one another.

use std::net::{IpAddr, SocketAddr};

use super::reader::Reader;
use crate::batch::plan::Times;

/// Batch work on this daemon.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Whether the daemon serves batch work; it then finds the others through `seeds`.
    pub is_enabled: bool,
    /// Control members that may be lost at once.
    pub tolerated_losses: usize,
    /// Hosts where control members may be found; all listen for daemons at the same port.
    pub seeds: Vec<IpAddr>,
    /// Whether the whole system starts for the first time: the seeds then are the first voters.
    pub is_bootstrap: bool,
    /// Times that placement weighs.
    pub times: Times,
}

impl Batch {
    pub(super) fn read(reader: &mut Reader<'_>) -> Self {
        let seconds = |reader: &mut Reader<'_>, key, default| reader.seconds(key, default);
        Self {
            is_enabled: reader.flag("batch.on", false),
            tolerated_losses: reader.number("batch.losses", 1, 0, 10) as usize,
            seeds: reader.hosts("discovery.seeds"),
            is_bootstrap: reader.flag("discovery.bootstrap", false),
            times: Times {
                remote_factor: reader.number("batch.remote_factor", 3, 1, 100),
                checkpoint_interval_ms: seconds(reader, "batch.checkpoint_s", 1_000),
                restore_ms: reader.number("batch.restore_ms", 500, 0, 60_000),
                reclaim_ms: reader.number("batch.reclaim_ms", 6_000, 100, 600_000),
            },
        }
    }

    /// Addresses where seeds listen for daemons, given the own one.
    pub fn seed_addresses(&self, own: SocketAddr) -> Vec<SocketAddr> {
        self.seeds.iter().map(|host| SocketAddr::new(*host, own.port())).collect()
    }
}
