//! Membership through real daemons: lost data folders, replacement, bootstrap.

mod support;

use std::process::Command;

use eelgrassvalve::control::status::Member;
use eelgrassvalve::error::Result;
use eelgrassvalve::state::document::Document;
use http::Method;
use support::cluster::{Cluster, daemon_path};
use support::wait_until;

/// Configuration changes before the first loss.
const CHANGES: u64 = 30;

fn document(deadline_ms: u64) -> Document {
    serde_json::from_value(serde_json::json!({
        "kinds": [{ "name": "plan", "rank": 0, "deadline_ms": deadline_ms }],
        "customers": [{ "name": "anyone" }],
    }))
    .expect("the document is valid")
}

async fn applies(cluster: &Cluster, at: usize, deadline_ms: u64) -> u64 {
    wait_until("a configuration change", || async {
        let applied = cluster.apply(at, &document(deadline_ms)).await;
        applied.ok().map(|configured| configured.version)
    })
    .await
}

async fn members(cluster: &Cluster, at: usize) -> Result<Vec<Member>> {
    cluster.status(at).await.map(|status| status.members)
}

async fn named(cluster: &Cluster, at: usize, name: &str) -> Vec<Member> {
    let found = wait_until("the members", || async { members(cluster, at).await.ok() }).await;
    found.into_iter().filter(|member| member.name == name).collect()
}

async fn add(cluster: &Cluster, at: usize, lost: usize, old: &str) {
    let name = cluster.hosts[lost].name.clone();
    wait_until(&format!("{name} a voter again"), || async {
        let body = serde_json::json!({ "name": name });
        let client = cluster.operator_client(at);
        let _ =
            client.json::<serde_json::Value>(Method::POST, "/v1/members", &[], Some(&body)).await;
        let rows = members(cluster, at).await.ok()?;
        rows.iter().any(|row| row.name == name && row.id != old && row.is_voter).then_some(())
    })
    .await;
}

async fn remove(cluster: &Cluster, at: usize, old: &str) {
    wait_until("the old member removed", || async {
        let path = format!("/v1/members/{old}");
        let client = cluster.operator_client(at);
        let _ = client.send(Method::DELETE, &path, &[], bytes::Bytes::new()).await;
        let rows = members(cluster, at).await.ok()?;
        rows.iter().all(|row| row.id != old).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_host_lost_right_after_a_repair_stops_nothing() {
    let mut cluster = Cluster::new(3, 3);
    // A short log, so that the new member is caught up by a snapshot.
    cluster.extra_settings = "[limits]\nlog_bytes = 4096\n".into();
    cluster.boot().await;
    for number in 1..=CHANGES {
        assert_eq!(applies(&cluster, 0, number).await, number);
    }
    let leader = cluster.leader().await;
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let name = cluster.hosts[lost].name.clone();
    let old = named(&cluster, leader, &name).await[0].id.clone();

    cluster.kill(lost);
    std::fs::remove_dir_all(cluster.data_folder(lost)).expect("the data folder can be removed");
    let first_segment = cluster.data_folder(leader).join("log-00000000000000000001");
    assert!(!first_segment.exists(), "the log was not cut");
    assert_eq!(applies(&cluster, leader, 2_000).await, CHANGES + 1);
    cluster.spawn(lost);
    cluster.wait_until_ready(lost).await;
    // The empty folder is a new identity, which is no member until an operator adds it.
    let rows = named(&cluster, leader, &name).await;
    assert_eq!(rows.iter().map(|row| row.id.as_str()).collect::<Vec<_>>(), [old.as_str()]);
    add(&cluster, leader, lost, &old).await;
    remove(&cluster, leader, &old).await;

    cluster.kill(leader);
    assert_eq!(applies(&cluster, other, 3_000).await, CHANGES + 2);
    let config =
        wait_until("the configuration", || async { cluster.config(lost).await.ok() }).await;
    assert_eq!(config.version, CHANGES + 2);
    assert_eq!(config.document.kinds[0].deadline_ms, 3_000);
    let rows = named(&cluster, other, &name).await;
    assert!(rows.len() == 1 && rows[0].is_voter && rows[0].id != old, "{rows:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_empty_folder_never_forms_a_cluster() {
    let mut cluster = Cluster::new(1, 1);
    cluster.write_settings(0, &|peer| peer.mesh());
    cluster.spawn(0);
    let identity = cluster.data_folder(0).join("identity");
    wait_until("the data folder made", || async { identity.exists().then_some(()) }).await;
    let error = wait_until("an answer", || async {
        let error = cluster.status(0).await.err()?;
        (error.code != eelgrassvalve::error::Code::Internal).then_some(error)
    })
    .await;
    assert_eq!(error.verdict, eelgrassvalve::verdict::Verdict::NotRun, "{error:?}");
    cluster.kill(0);
    // Nothing was voted or written, so the folder may still be bootstrapped, and only once.
    assert!(!cluster.data_folder(0).join("vote").exists());
    cluster.bootstrap(0);
    let mut again = Command::new(daemon_path());
    again.args(["bootstrap", "--settings"]).arg(cluster.settings_path(0));
    let output = again.output().expect("the daemon can be run");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).replace(['\n', '│', ' '], "");
    assert!(text.contains("alreadyholdsamember"), "{text}");
    cluster.spawn(0);
    cluster.wait_until_ready(0).await;
    assert_eq!(named(&cluster, 0, "host-1").await.len(), 1);
}
