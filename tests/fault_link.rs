//! A link whose path swallows everything without closing.

mod support;

use http::Method;
use support::cluster::Cluster;
use support::relay::{Direction, Relay};
use support::until;

async fn logged(cluster: &Cluster, at: usize, what: &str, count: usize) {
    let path = cluster.log_path(at);
    until(&format!("{count} times `{what}` in a log"), || async {
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
    cluster.ready(0).await;
    cluster.ready(1).await;

    for direction in [Direction::Forward, Direction::Backward] {
        relay.set(direction, false);
    }
    for at in [0, 1] {
        logged(&cluster, at, "link down", 1).await;
    }
    let health = eelgrassvalve::client::Client::new(cluster.hosts[1].health(), None);
    let readiness = health.send(Method::GET, "/readyz", &[], bytes::Bytes::new()).await;
    assert_eq!(readiness.expect("the daemon lives").status, 503);

    for direction in [Direction::Forward, Direction::Backward] {
        relay.set(direction, true);
    }
    for at in [0, 1] {
        logged(&cluster, at, "link up", 2).await;
    }
    cluster.ready(1).await;
}
