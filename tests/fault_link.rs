//! A link whose path swallows everything without closing.

mod support;

use http::Method;
use support::cluster::Cluster;
use support::relay::{Direction, Relay};
use support::wait_until;

/// Longest time from a cut until an entry is unready: its lease of 3 s, and its looks.
const UNREADY: std::time::Duration = std::time::Duration::from_secs(7);

async fn logged(cluster: &Cluster, at: usize, what: &str, count: usize) {
    let path = cluster.log_path(at);
    wait_until(&format!("{count} times `{what}` in a log"), || async {
        let text = std::fs::read_to_string(&path).ok()?;
        (text.matches(what).count() >= count).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_link_is_given_up_and_dialled_anew() {
    let mut cluster = Cluster::new(2, 1);
    // The daemon whose name sorts first dials, here through the relay.
    let relay = Relay::start(cluster.hosts[1].mesh()).await;
    let address = relay.address;
    cluster.write_settings(0, &|_| address);
    cluster.write_settings(1, &|peer| peer.mesh());
    cluster.bootstrap(0);
    cluster.spawn(0);
    cluster.spawn(1);
    cluster.wait_until_ready(0).await;
    cluster.wait_until_ready(1).await;

    let cut = std::time::Instant::now();
    for direction in [Direction::Forward, Direction::Backward] {
        relay.set_open(direction, false);
    }
    for at in [0, 1] {
        logged(&cluster, at, "link down", 1).await;
    }
    let health = eelgrassvalve::client::Client::new(cluster.hosts[1].health(), None);
    // The link is given up before the lease of the entry ends; with the lease its readiness ends.
    wait_until("unready without a lease", || async {
        let readiness = health.send(Method::GET, "/readyz", &[], bytes::Bytes::new()).await;
        (readiness.expect("the daemon lives").status == 503).then_some(())
    })
    .await;
    assert!(cut.elapsed() < UNREADY, "unready {:?} after the cut", cut.elapsed());

    for direction in [Direction::Forward, Direction::Backward] {
        relay.set_open(direction, true);
    }
    for at in [0, 1] {
        logged(&cluster, at, "link up", 2).await;
    }
    cluster.wait_until_ready(1).await;
}
