//! Faults of configuration and of entry leases: one row, one fault, one expected outcome.

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

/// What follows a first change `a` from version 0 to 1.
#[rstest]
#[case::next(change("b", 1, "score"), Ok(2))]
#[case::resent(change("a", 0, "plan"), Ok(1))]
#[case::same_version(change("b", 0, "score"), Err(Code::Conflict))]
#[case::same_version_same_document(change("b", 0, "plan"), Err(Code::Conflict))]
#[case::later_version(change("b", 7, "score"), Err(Code::Conflict))]
#[case::id_with_another_document(change("a", 0, "score"), Err(Code::KeyReused))]
#[case::id_with_another_version(change("a", 1, "plan"), Err(Code::KeyReused))]
#[case::faults(change("b", 1, "Not A Name"), Err(Code::Unsatisfiable))]
fn a_change_after_the_first(
    #[case] second: Change,
    #[case] expected: std::result::Result<u64, Code>,
) {
    let mut register = Register::default();
    assert_eq!(register.apply(&change("a", 0, "plan")), Ok(1));
    let told = register.apply(&second);
    assert_eq!(told.clone().map_err(|error| error.code), expected);
    let wanted = if expected == Ok(2) { document("score") } else { document("plan") };
    assert_eq!(register.document, wanted);
    if let Err(error) = &told {
        assert_eq!(error.verdict, Verdict::NotRun);
    }
    if expected == Err(Code::Conflict) {
        assert!(told.clone().unwrap_err().message.contains("current version is 1"));
    }
    // A resend gets the same answer, also of a refusal and after other changes.
    let now = register.version;
    register.apply(&change("c", now, "check")).expect("the version is current");
    assert_eq!(register.apply(&second), told);
    assert_eq!(register.version, now + 1);
    assert_eq!(decode::<Register>(&encode(&register)), Ok(register));
}

#[test]
fn a_refused_change_that_would_fit_later_stays_refused_under_its_id() {
    let mut register = Register::default();
    let early = change("a", 1, "plan");
    assert!(register.apply(&early).is_err());
    assert_eq!(register.apply(&change("b", 0, "score")), Ok(1));
    assert_eq!(register.apply(&early).unwrap_err().code, Code::Conflict);
    assert_eq!(register.document, document("score"));
}

#[test]
fn a_forgotten_request_id_can_not_apply_its_change_again() {
    let mut register = Register::default();
    for version in 0..=MAX_OUTCOMES as u64 {
        let id = format!("change-{version}");
        assert_eq!(register.apply(&change(&id, version, "plan")), Ok(version + 1));
    }
    let resent = register.apply(&change("change-0", 0, "plan"));
    assert_eq!(resent.unwrap_err().code, Code::Conflict);
}

#[test]
fn every_fault_is_told_at_once() {
    let mut bad = document("Not A Name");
    bad.kinds.push(bad.kinds[0].clone());
    bad.kinds[1].deadline_ms = 0;
    bad.claims.capacity = 0;
    bad.placement.policy = "none".into();
    let faults = bad.faults();
    let refused = Register::default().apply(&Change::new("a".into(), 0, bad, faults.clone()));
    let message = refused.unwrap_err().message;
    for path in ["kinds[0].name", "kinds[1].name", "kinds[1].deadline_ms", "claims.capacity"] {
        assert!(message.contains(path), "{path} in {message}");
    }
    assert!(faults.len() >= 5 && message.contains("placement.policy"));
}

fn renewal(incarnation: u64, version: u64) -> Renewal {
    Renewal { incarnation, version, workers: Workers::Names(Vec::new()) }
}

/// Renewals as (incarnation, version acked, version granted, time); when version 2 is in force
/// for certain.
#[rstest]
#[case::acked(&[(1, 1, 1, 0), (1, 2, 2, 10)], None)]
#[case::not_acked(&[(1, 1, 1, 0)], Some(100))]
#[case::renewed_before_the_change(&[(1, 1, 1, 0), (1, 1, 1, 30)], Some(130))]
#[case::heard_but_hears_nothing(&[(1, 1, 1, 0), (1, 1, 2, 30), (1, 1, 2, 39)], Some(100))]
#[case::late_copy_of_an_old_renewal(&[(1, 1, 1, 0), (1, 2, 2, 10), (1, 1, 2, 20)], None)]
#[case::restarted_while_the_old_process_may_be_frozen(&[(1, 1, 1, 0), (2, 2, 2, 30)], Some(100))]
#[case::restarted_before_the_change(&[(1, 1, 1, 0), (2, 0, 1, 30)], Some(130))]
#[case::started_after_the_change(&[(1, 0, 2, 0)], None)]
fn in_force_waits_for_every_lease_under_an_older_version(
    #[case] renewals: &[(u64, u64, u64, u64)],
    #[case] expected: Option<u64>,
) {
    let mut table = lease::Table::default();
    for (incarnation, acked, granted, at_ms) in renewals {
        let renewal = renewal(*incarnation, *acked);
        table.grant("a", &renewal, *granted, *at_ms, at_ms + 100);
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
fn the_chain_of_leases_is_outwaited_with_drift() {
    // A renewal is sent, granted and at once heard of no more; the entry's clock runs slower by
    // a twentieth, and so does the worker's.
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

async fn put(client: Client, id: &str, expected: u64, kind: &str) -> Result<Rollout> {
    let version = expected.to_string();
    let headers = [("if-match", &*version), ("eelgrassvalve-request-id", id)];
    client.json(Method::PUT, "/v1/config", &headers, Some(&document(kind))).await
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_who_race_with_equal_versions() {
    let cluster = Cluster::start(3, 3).await;
    put(cluster.operators(0), "first", 0, "plan").await.expect("the first change fits");
    for round in 1..=5 {
        let (id_a, id_b) = (format!("a-{round}"), format!("b-{round}"));
        let (a, b) = tokio::join!(
            put(cluster.operators(1), &id_a, round, "plan"),
            put(cluster.operators(2), &id_b, round, "score"),
        );
        assert!(a.is_ok() != b.is_ok(), "{a:?} {b:?}");
        let (won, lost, kind) = if a.is_ok() { (a, b, "plan") } else { (b, a, "score") };
        let won = won.expect("one has won");
        assert_eq!((won.version, &*won.state), (round + 1, "in_force"));
        let lost = lost.expect_err("one has lost");
        assert_eq!((lost.code, lost.verdict), (Code::Conflict, Verdict::NotRun));
        assert!(lost.message.contains(&format!("current version is {}", round + 1)));
        // Both ask again, through another entry: each gets its first answer.
        for (id, own) in [(&id_a, "plan"), (&id_b, "score")] {
            let again = put(cluster.operators(0), id, round, own).await;
            assert_eq!(again.is_ok(), own == kind, "{again:?}");
        }
        assert_eq!(cluster.config(0).await.expect("is read").document, document(kind));
    }
    let reused = put(cluster.operators(0), "first", 0, "score").await.expect_err("is refused");
    assert_eq!((reused.code, reused.verdict), (Code::KeyReused, Verdict::NotRun));
}

/// Two entries are cut off one after another; a worker moves to the second.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_grants_no_worker_lease_before_the_leader_knows_of_it() {
    let mut cluster = Cluster::new(4, 3);
    // Long enough that the entry's own lease still runs while it is cut off.
    cluster.extra = "[times]\nentry_lease_ms = 10000\n".into();
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
        assert_eq!(polled.expect_err("no lease").code, Code::NoLease);
    }
    cluster.set_links(3, true, true);
    cluster.ready(3).await;
    support::until("a lease", || async {
        let client = Client::new(cluster.hosts[3].platform(), None);
        let path = "/v1/workers/worker-1/poll";
        client.json::<Assignment>(Method::POST, path, &[], Some(&poll)).await.ok()
    })
    .await;
}

/// Two of three control members are lost: every refusal is typed, and says what it knows.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_quorum_every_refusal_is_typed() {
    let mut cluster = Cluster::new(4, 3);
    cluster.extra = "[times]\nheartbeat_ms = 60\nelection_ms = 400\nentry_lease_ms = 800\n".into();
    cluster.boot().await;
    put(cluster.operators(3), "first", 0, "plan").await.expect("the first change fits");
    cluster.kill(0);
    cluster.kill(1);

    let headers = [("idempotency-key", "a key")];
    for idempotent in ["false", "true"] {
        support::until("a lapsed lease", || async {
            let headers = [headers[0], ("eelgrassvalve-idempotent", idempotent)];
            let client = cluster.callers(3);
            let sent = client.send(Method::POST, "/v1/requests/plan", &headers, "x".into());
            let answer = sent.await.ok()?;
            assert_eq!(answer.verdict, Some(Verdict::NotRun));
            (answer.error().code == Code::NoLease).then_some(())
        })
        .await;
    }
    let read = cluster.config(3).await.expect_err("no quorum");
    assert_eq!((read.code, read.verdict), (Code::NoQuorum, Verdict::NotRun));
    let change = put(cluster.operators(3), "second", 1, "score").await.expect_err("no quorum");
    assert_eq!(change.code, Code::NoQuorum);

    // The quorum returns: the change has one outcome, and a resend tells it.
    cluster.spawn(0);
    cluster.spawn(1);
    cluster.ready(3).await;
    let outcome = put(cluster.operators(2), "second", 1, "score").await;
    assert_eq!(outcome.expect("the version is current").version, 2);
    assert_eq!(cluster.config(3).await.expect("is read").version, 2);
}
