//! A link whose network path drops all traffic without closing the connection.

mod support;

use http::Method;
use support::cluster::Cluster;
use support::relay::{Direction, Relay};
use support::wait_until;

/// Upper bound from the cut until the entry is unready: its lease of 3 s plus the
/// intervals at which links and leases are checked.
const UNREADY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(7);

async fn wait_for_log(cluster: &Cluster, host: usize, line: &str, count: usize) {
    let path = cluster.log_path(host);
    wait_until(&format!("`{line}` {count} times in the log"), || async {
        let text = std::fs::read_to_string(&path).ok()?;
        (text.matches(line).count() >= count).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_link_is_closed_and_redialled() {
    let mut cluster = Cluster::new(2, 1);
    // The daemon whose name sorts first dials the other, here through the relay.
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
    for host in [0, 1] {
        wait_for_log(&cluster, host, "link down", 1).await;
    }
    let health = eelgrassvalve::client::Client::new(cluster.hosts[1].health(), None);
    // The link is closed before the entry's lease expires; the entry is unready once it expires.
    wait_until("an unready entry after its lease", || async {
        let readiness = health.send(Method::GET, "/readyz", &[], bytes::Bytes::new()).await;
        (readiness.expect("the daemon lives").status == 503).then_some(())
    })
    .await;
    assert!(cut.elapsed() < UNREADY_TIMEOUT, "unready {:?} after the cut", cut.elapsed());

    for direction in [Direction::Forward, Direction::Backward] {
        relay.set_open(direction, true);
    }
    for host in [0, 1] {
        wait_for_log(&cluster, host, "link up", 2).await;
    }
    cluster.wait_until_ready(1).await;
}
