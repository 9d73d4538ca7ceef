//! Membership changes with real daemons: lost data folders, replacement of members and bootstrap.

mod support;

use std::process::Command;

use eelgrassvalve::control::status::Member;
use eelgrassvalve::error::Result;
use eelgrassvalve::state::document::Document;
use http::Method;
use support::cluster::{Cluster, daemon_path};
use support::wait_until;

/// Configuration changes applied before the first host is lost.
const INITIAL_CHANGES: u64 = 30;

fn document(deadline_ms: u64) -> Document {
    serde_json::from_value(serde_json::json!({
        "kinds": [{ "name": "plan", "rank": 0, "deadline_ms": deadline_ms }],
        "customers": [{ "name": "anyone" }],
    }))
    .expect("the document is valid")
}

async fn apply_config(cluster: &Cluster, host: usize, deadline_ms: u64) -> u64 {
    wait_until("a configuration change", || async {
        let applied = cluster.apply(host, &document(deadline_ms)).await;
        applied.ok().map(|configured| configured.version)
    })
    .await
}

async fn members(cluster: &Cluster, host: usize) -> Result<Vec<Member>> {
    cluster.status(host).await.map(|status| status.members)
}

async fn members_named(cluster: &Cluster, host: usize, name: &str) -> Vec<Member> {
    let found = wait_until("the members", || async { members(cluster, host).await.ok() }).await;
    found.into_iter().filter(|member| member.name == name).collect()
}

async fn add_member(cluster: &Cluster, host: usize, replaced: usize, old_id: &str) {
    let name = cluster.hosts[replaced].name.clone();
    wait_until(&format!("{name} to be a voter again"), || async {
        let body = serde_json::json!({ "name": name });
        let client = cluster.operator_client(host);
        let _ =
            client.json::<serde_json::Value>(Method::POST, "/v1/members", &[], Some(&body)).await;
        let members = members(cluster, host).await.ok()?;
        members
            .iter()
            .any(|member| member.name == name && member.id != old_id && member.is_voter)
            .then_some(())
    })
    .await;
}

async fn remove_member(cluster: &Cluster, host: usize, old_id: &str) {
    wait_until("removal of the old member", || async {
        let path = format!("/v1/members/{old_id}");
        let client = cluster.operator_client(host);
        let _ = client.send(Method::DELETE, &path, &[], bytes::Bytes::new()).await;
        let members = members(cluster, host).await.ok()?;
        members.iter().all(|member| member.id != old_id).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn second_host_loss_right_after_a_repair_stops_nothing() {
    let mut cluster = Cluster::new(3, 3);
    // A short log, so that the new member catches up from a snapshot.
    cluster.extra_settings = "[limits]\nlog_bytes = 4096\n".into();
    cluster.boot().await;
    for version in 1..=INITIAL_CHANGES {
        assert_eq!(apply_config(&cluster, 0, version).await, version);
    }
    let leader = cluster.leader().await;
    let (replaced, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let name = cluster.hosts[replaced].name.clone();
    let old_id = members_named(&cluster, leader, &name).await[0].id.clone();

    cluster.kill(replaced);
    std::fs::remove_dir_all(cluster.data_folder(replaced)).expect("the data folder is removable");
    let first_segment = cluster.data_folder(leader).join("log-00000000000000000001");
    assert!(!first_segment.exists(), "the log was not truncated");
    assert_eq!(apply_config(&cluster, leader, 2_000).await, INITIAL_CHANGES + 1);
    cluster.spawn(replaced);
    cluster.wait_until_ready(replaced).await;
    // An empty data folder gets a new identity, which is not a member until an operator adds it.
    let members = members_named(&cluster, leader, &name).await;
    assert_eq!(
        members.iter().map(|member| member.id.as_str()).collect::<Vec<_>>(),
        [old_id.as_str()]
    );
    add_member(&cluster, leader, replaced, &old_id).await;
    remove_member(&cluster, leader, &old_id).await;

    cluster.kill(leader);
    assert_eq!(apply_config(&cluster, other, 3_000).await, INITIAL_CHANGES + 2);
    let config =
        wait_until("the configuration", || async { cluster.config(replaced).await.ok() }).await;
    assert_eq!(config.version, INITIAL_CHANGES + 2);
    assert_eq!(config.document.kinds[0].deadline_ms, 3_000);
    let members = members_named(&cluster, other, &name).await;
    assert!(members.len() == 1 && members[0].is_voter && members[0].id != old_id, "{members:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn empty_folder_never_forms_a_cluster() {
    let mut cluster = Cluster::new(1, 1);
    cluster.write_settings(0, &|peer| peer.mesh());
    cluster.spawn(0);
    let identity = cluster.data_folder(0).join("identity");
    wait_until("the data folder", || async { identity.exists().then_some(()) }).await;
    let error = wait_until("an answer", || async {
        let error = cluster.status(0).await.err()?;
        (error.code != eelgrassvalve::error::Code::Internal).then_some(error)
    })
    .await;
    assert_eq!(error.verdict, eelgrassvalve::verdict::Verdict::NotRun, "{error:?}");
    cluster.kill(0);
    // No vote was saved, so the folder can still be bootstrapped, but only once.
    assert!(!cluster.data_folder(0).join("vote").exists());
    cluster.bootstrap(0);
    let mut second_bootstrap = Command::new(daemon_path());
    second_bootstrap.args(["bootstrap", "--settings"]).arg(cluster.settings_path(0));
    let output = second_bootstrap.output().expect("the daemon starts");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr).replace(['\n', '│', ' '], "");
    assert!(text.contains("alreadyholdsamember"), "{text}");
    cluster.spawn(0);
    cluster.wait_until_ready(0).await;
    assert_eq!(members_named(&cluster, 0, "host-1").await.len(), 1);
}
