//! Settings of batch scheduling and of the discovery of its daemons.

use std::net::{IpAddr, SocketAddr};

use super::reader::Reader;
use crate::batch::plan::Times;
use crate::batch::throttle;

/// Batch scheduling on this daemon.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Whether the daemon schedules batch jobs; if so, it discovers its peers through `seeds`.
    pub is_enabled: bool,
    /// Number of simultaneous control member failures to tolerate.
    pub tolerated_losses: usize,
    /// Hosts that may run control members; the mesh listener has the same port on all of them.
    pub seeds: Vec<IpAddr>,
    /// Whether a new cluster is bootstrapped, in which the seeds are the initial voters.
    pub is_bootstrap: bool,
    /// Time estimates used by placement.
    pub times: Times,
    /// Timing by which tasks that fill workers are paced.
    pub throttle_times: throttle::Times,
}

impl Batch {
    pub(super) fn read(reader: &mut Reader<'_>) -> Self {
        // The only way in which workers receive orders.
        reader.choice("batch.orders", &["heartbeat"]);
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
                are_speeds_used: reader.flag("batch.speeds", false),
            },
            throttle_times: throttle::Times {
                pace_ms: reader.number("batch.pace_ms", 100, 0, 60_000),
                impact_ms: reader.number("batch.impact_ms", 4_000, 100, 600_000),
            },
        }
    }

    /// Returns the mesh addresses of the seeds, with the port of this daemon's mesh listener.
    pub fn seed_addresses(&self, own_address: SocketAddr) -> Vec<SocketAddr> {
        self.seeds.iter().map(|host| SocketAddr::new(*host, own_address.port())).collect()
    }
}
