//! Configuration changes and entry leases under faults: conflicts, resends, lost renewals and a
//! lost quorum.

mod support;

use eelgrassvalve::client::Client;
use eelgrassvalve::control::lease;
use eelgrassvalve::entry::operator::Rollout;
use eelgrassvalve::entry::platform::{Assignment, Poll};
use eelgrassvalve::error::{Code, Result};
use eelgrassvalve::mesh::call::{Renewal, Workers};
use eelgrassvalve::mesh::frame::{decode, encode};
use eelgrassvalve::placement::report::{Report, Shape};
use eelgrassvalve::settings::Times;
use eelgrassvalve::state::config::{Change, MAX_OUTCOMES, Register};
use eelgrassvalve::state::document::{Document, Kind};
use eelgrassvalve::verdict::Verdict;
use http::Method;
use rstest::rstest;
use support::cluster::Cluster;

fn document(kind: &str) -> Document {
    let kind = Kind { name: kind.into(), rank: 0, deadline_ms: 1_000 };
    Document { kinds: vec![kind], ..Document::default() }
}

fn change(id: &str, expected: u64, kind: &str) -> Change {
    let document = document(kind);
    let faults = document.faults();
    Change::new(id.into(), expected, document, faults)
}

/// Result of `second` after change `a` has replaced version 0 by version 1.
#[rstest]
#[case::next_version(change("b", 1, "score"), Ok(2))]
#[case::resent(change("a", 0, "plan"), Ok(1))]
#[case::stale_version(change("b", 0, "score"), Err(Code::Conflict))]
#[case::stale_version_same_document(change("b", 0, "plan"), Err(Code::Conflict))]
#[case::future_version(change("b", 7, "score"), Err(Code::Conflict))]
#[case::reused_id_with_another_document(change("a", 0, "score"), Err(Code::KeyReused))]
#[case::reused_id_with_another_version(change("a", 1, "plan"), Err(Code::KeyReused))]
#[case::invalid_document(change("b", 1, "Not A Name"), Err(Code::Unsatisfiable))]
fn second_change_gives_expected_result(
    #[case] second: Change,
    #[case] expected: std::result::Result<u64, Code>,
) {
    let mut register = Register::default();
    assert_eq!(register.apply(&change("a", 0, "plan")), Ok(1));
    let result = register.apply(&second);
    assert_eq!(result.clone().map_err(|error| error.code), expected);
    let expected_document = if expected == Ok(2) { document("score") } else { document("plan") };
    assert_eq!(register.document, expected_document);
    if let Err(error) = &result {
        assert_eq!(error.verdict, Verdict::NotRun);
    }
    if expected == Err(Code::Conflict) {
        assert!(result.clone().unwrap_err().message.contains("current version is 1"));
    }
    // A resend gets the recorded result, including a refusal, even after later changes.
    let version = register.version;
    register.apply(&change("c", version, "check")).expect("the version is current");
    assert_eq!(register.apply(&second), result);
    assert_eq!(register.version, version + 1);
    assert_eq!(decode::<Register>(&encode(&register)), Ok(register));
}

#[test]
fn refused_change_stays_refused_under_its_request_id() {
    let mut register = Register::default();
    let premature = change("a", 1, "plan");
    assert!(register.apply(&premature).is_err());
    assert_eq!(register.apply(&change("b", 0, "score")), Ok(1));
    assert_eq!(register.apply(&premature).unwrap_err().code, Code::Conflict);
    assert_eq!(register.document, document("score"));
}

#[test]
fn evicted_request_id_cannot_apply_its_change_again() {
    let mut register = Register::default();
    for version in 0..=MAX_OUTCOMES as u64 {
        let id = format!("change-{version}");
        assert_eq!(register.apply(&change(&id, version, "plan")), Ok(version + 1));
    }
    let resent = register.apply(&change("change-0", 0, "plan"));
    assert_eq!(resent.unwrap_err().code, Code::Conflict);
}

#[test]
fn all_faults_are_reported_together() {
    let mut invalid = document("Not A Name");
    invalid.kinds.push(invalid.kinds[0].clone());
    invalid.kinds[1].deadline_ms = 0;
    invalid.claims.capacity = 0;
    invalid.placement.policy = "none".into();
    let faults = invalid.faults();
    let refused = Register::default().apply(&Change::new("a".into(), 0, invalid, faults.clone()));
    let message = refused.unwrap_err().message;
    for path in ["kinds[0].name", "kinds[1].name", "kinds[1].deadline_ms", "claims.capacity"] {
        assert!(message.contains(path), "{path} in {message}");
    }
    assert!(faults.len() >= 5 && message.contains("placement.policy"));
}

fn renewal(incarnation: u64, version: u64) -> Renewal {
    Renewal { incarnation, version, workers: Workers::Names(Vec::new()) }
}

/// Each renewal is (incarnation, acknowledged version, granted version, time in ms). `expected` is
/// the time from which version 2 is certain to be in force; `None` if it is in force at 40 ms.
#[rstest]
#[case::acknowledged(&[(1, 1, 1, 0), (1, 2, 2, 10)], None)]
#[case::not_acknowledged(&[(1, 1, 1, 0)], Some(100))]
#[case::renewed_before_change(&[(1, 1, 1, 0), (1, 1, 1, 30)], Some(130))]
#[case::renewed_but_grants_lost(&[(1, 1, 1, 0), (1, 1, 2, 30), (1, 1, 2, 39)], Some(100))]
#[case::late_duplicate_of_old_renewal(&[(1, 1, 1, 0), (1, 2, 2, 10), (1, 1, 2, 20)], None)]
#[case::restarted_while_old_process_may_be_frozen(&[(1, 1, 1, 0), (2, 2, 2, 30)], Some(100))]
#[case::restarted_before_change(&[(1, 1, 1, 0), (2, 0, 1, 30)], Some(130))]
#[case::started_after_change(&[(1, 0, 2, 0)], None)]
fn in_force_waits_for_leases_under_older_versions(
    #[case] renewals: &[(u64, u64, u64, u64)],
    #[case] expected: Option<u64>,
) {
    let mut table = lease::Table::default();
    for (incarnation, acknowledged, granted, time_ms) in renewals {
        let renewal = renewal(*incarnation, *acknowledged);
        table.grant("a", &renewal, *granted, *time_ms, time_ms + 100);
    }
    assert_eq!(table.in_force_at(2, 40), expected);
    assert_eq!(table.live(40), ["a"]);
    assert_eq!(table.in_force_at(2, 140), None);
    assert!(table.is_live("a", renewals[0].0, 40));
    assert!(!table.is_live("a", renewals[0].0, 140));
    assert!(!table.is_live("a", 9, 40));
}

const TIMES: Times = Times {
    heartbeat_ms: 250,
    election_ms: 1_000,
    entry_lease_ms: 3_000,
    worker_lease_ms: 3_000,
    drain_ms: 1_000,
    read_ms: 10_000,
};

#[test]
fn timeouts_cover_chained_leases_with_clock_drift() {
    // Worst case: the entry is cut off right after a grant, and both its clock and the worker's
    // run slow by 1/20.
    let slow_ms = |length_ms: u64| length_ms * 21 / 20;
    let entry_end_ms = slow_ms(TIMES.entry_lease_ms);
    let worker_end_ms = entry_end_ms + slow_ms(TIMES.worker_lease_ms);
    assert_eq!(lease::with_clock_drift_ms(TIMES.entry_lease_ms), 3_300);
    assert!(entry_end_ms <= lease::with_clock_drift_ms(TIMES.entry_lease_ms));
    assert_eq!(lease::worker_timeout_ms(&TIMES), 6_600);
    assert!(worker_end_ms <= lease::worker_timeout_ms(&TIMES));
    assert_eq!(lease::takeover_wait_ms(&TIMES), 5_300);
    assert!(entry_end_ms + TIMES.election_ms <= lease::takeover_wait_ms(&TIMES));
}

async fn put_config(client: Client, id: &str, expected: u64, kind: &str) -> Result<Rollout> {
    let version = expected.to_string();
    let headers = [("if-match", &*version), ("eelgrassvalve-request-id", id)];
    client.json(Method::PUT, "/v1/config", &headers, Some(&document(kind))).await
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_from_one_version_have_one_winner() {
    let cluster = Cluster::start(3, 3).await;
    put_config(cluster.operator_client(0), "first", 0, "plan")
        .await
        .expect("the version is current");
    for round in 1..=5 {
        let (id_a, id_b) = (format!("a-{round}"), format!("b-{round}"));
        let (a, b) = tokio::join!(
            put_config(cluster.operator_client(1), &id_a, round, "plan"),
            put_config(cluster.operator_client(2), &id_b, round, "score"),
        );
        assert!(a.is_ok() != b.is_ok(), "{a:?} {b:?}");
        let (winner, loser, kind) = if a.is_ok() { (a, b, "plan") } else { (b, a, "score") };
        let winner = winner.expect("one change has won");
        assert_eq!((winner.version, &*winner.state), (round + 1, "in_force"));
        let loser = loser.expect_err("one change has lost");
        assert_eq!((loser.code, loser.verdict), (Code::Conflict, Verdict::NotRun));
        assert!(loser.message.contains(&format!("current version is {}", round + 1)));
        // Each operator resends through another entry and gets its first result.
        for (id, submitted_kind) in [(&id_a, "plan"), (&id_b, "score")] {
            let resent = put_config(cluster.operator_client(0), id, round, submitted_kind).await;
            assert_eq!(resent.is_ok(), submitted_kind == kind, "{resent:?}");
        }
        assert_eq!(
            cluster.config(0).await.expect("the configuration is readable").document,
            document(kind)
        );
    }
    let reused = put_config(cluster.operator_client(0), "first", 0, "score")
        .await
        .expect_err("the request id is in use");
    assert_eq!((reused.code, reused.verdict), (Code::KeyReused, Verdict::NotRun));
}

/// A worker polls an entry that is cut off from the leader. The entry must not grant it a lease
/// before the leader knows that the entry holds the worker, even while its own lease is valid.
#[tokio::test(flavor = "multi_thread")]
async fn entry_grants_no_worker_lease_before_leader_knows_the_worker() {
    let mut cluster = Cluster::new(4, 3);
    // Keeps the entry's own lease valid while it is cut off.
    cluster.extra_settings = "[times]\nentry_lease_ms = 10000\n".into();
    cluster.relay_links().await;
    cluster.boot().await;
    cluster.set_links(3, false, false);
    let report = Report {
        worker: "worker-1".into(),
        incarnation: 1,
        shape: Shape { accelerators: 8, cores: 64, memory_mib: 262_144 },
        tasks: Vec::new(),
        rack: "rack-1".into(),
        zone: "zone-1".into(),
    };
    let poll = Poll { report, seen: 0 };
    for _ in 0..2 {
        let client = Client::new(cluster.hosts[3].platform(), None);
        let path = "/v1/workers/worker-1/poll";
        let polled = client.json::<Assignment>(Method::POST, path, &[], Some(&poll)).await;
        assert_eq!(polled.expect_err("the entry is cut off").code, Code::NoLease);
    }
    cluster.set_links(3, true, true);
    cluster.wait_until_ready(3).await;
    support::wait_until("a worker lease", || async {
        let client = Client::new(cluster.hosts[3].platform(), None);
        let path = "/v1/workers/worker-1/poll";
        client.json::<Assignment>(Method::POST, path, &[], Some(&poll)).await.ok()
    })
    .await;
}

/// With two of three control members down, every refusal carries a specific error code.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_without_quorum_are_typed() {
    let mut cluster = Cluster::new(4, 3);
    cluster.extra_settings =
        "[times]\nheartbeat_ms = 60\nelection_ms = 400\nentry_lease_ms = 800\n".into();
    cluster.boot().await;
    put_config(cluster.operator_client(3), "first", 0, "plan")
        .await
        .expect("the version is current");
    cluster.kill(0);
    cluster.kill(1);

    let headers = [("idempotency-key", "a key")];
    for idempotent in ["false", "true"] {
        support::wait_until("an expired entry lease", || async {
            let headers = [headers[0], ("eelgrassvalve-idempotent", idempotent)];
            let client = cluster.caller_client(3);
            let sent = client.send(Method::POST, "/v1/requests/plan", &headers, "x".into());
            let answer = sent.await.ok()?;
            assert_eq!(answer.verdict, Some(Verdict::NotRun));
            (answer.error().code == Code::NoLease).then_some(())
        })
        .await;
    }
    let read = cluster.config(3).await.expect_err("no quorum");
    assert_eq!((read.code, read.verdict), (Code::NoQuorum, Verdict::NotRun));
    let change =
        put_config(cluster.operator_client(3), "second", 1, "score").await.expect_err("no quorum");
    assert_eq!(change.code, Code::NoQuorum);

    // Once the quorum is back the change has a single outcome, and a resend reports it.
    cluster.spawn(0);
    cluster.spawn(1);
    cluster.wait_until_ready(3).await;
    let outcome = put_config(cluster.operator_client(2), "second", 1, "score").await;
    assert_eq!(outcome.expect("the version is current").version, 2);
    assert_eq!(cluster.config(3).await.expect("the configuration is readable").version, 2);
}
