//! Faults of claims: one row, one fault, one expected outcome.

mod support;

use std::time::Duration;

use eelgrassvalve::error::Code;
use eelgrassvalve::mesh::frame::{decode, encode};
use eelgrassvalve::state::claim::{
    self, Answer, Key, MAX_CLOCK_SKEW_MS, Outcome, Owner, PENDING_RETENTION_MS, Request,
    Settlement, Table, VOID_RETENTION_MS,
};
use eelgrassvalve::state::document::Claims;
use eelgrassvalve::verdict::Verdict;
use http::Method;
use rstest::rstest;
use support::cluster::Cluster;
use support::until;
use support::upstream::Upstream;

const START_MS: u64 = 1_000_000_000;
const LIMITS: Claims =
    Claims { capacity: 3, retention_ms: 10_000, answer_bytes: 8, answers_bytes: 20 };

fn owner(entry: &str) -> Owner {
    Owner { entry: entry.into(), incarnation: 1 }
}

fn request(key: u128, entry: &str, attempt: u64) -> Request {
    Request { key: Key(key), digest: 7, owner: owner(entry), attempt, made_ms: None }
}

fn settlement(request: &Request, outcome: Outcome) -> Settlement {
    let Request { key, owner, attempt, .. } = request.clone();
    Settlement { key, owner, attempt, outcome }
}

fn ran(body: &str) -> Outcome {
    let body = Some(body.as_bytes().to_vec());
    Outcome::Ran(Answer { status: 200, content_type: None, body })
}

fn body(grant: Option<claim::State>) -> Option<Vec<u8>> {
    match grant {
        Some(claim::State::Ran(answer)) => answer.body,
        other => panic!("not an answer: {other:?}"),
    }
}

/// What happens to the claim of key 1, attempt 1 of `a`, before attempt 2 of `b` asks.
#[rstest]
#[case::pending(&[], claim::State::Pending(owner("a")))]
#[case::ran(&[ran("x")], claim::State::Ran(Answer { status: 200, content_type: None, body: Some(b"x".to_vec()) }))]
#[case::may_have_run(&[Outcome::MayHaveRun], claim::State::MayHaveRun)]
#[case::released(&[Outcome::Released], claim::State::Owned)]
#[case::late_answer(&[Outcome::MayHaveRun, ran("")], claim::State::Ran(Answer { status: 200, content_type: None, body: Some(Vec::new()) }))]
#[case::release_after_doubt(&[Outcome::MayHaveRun, Outcome::Released], claim::State::MayHaveRun)]
#[case::release_after_answer(&[ran("x"), Outcome::Released], claim::State::Ran(Answer { status: 200, content_type: None, body: Some(b"x".to_vec()) }))]
#[case::doubt_after_answer(&[ran("x"), Outcome::MayHaveRun], claim::State::Ran(Answer { status: 200, content_type: None, body: Some(b"x".to_vec()) }))]
fn outcome_seen_by_a_resend(#[case] outcomes: &[Outcome], #[case] expected: claim::State) {
    let mut table = Table::default();
    let first = request(1, "a", 1);
    assert_eq!(table.claim(&first, &LIMITS, START_MS), Ok(claim::State::Owned));
    for outcome in outcomes {
        table.settle(&settlement(&first, outcome.clone()), &LIMITS, START_MS).expect("the owner");
    }
    assert_eq!(table.claim(&request(1, "b", 2), &LIMITS, START_MS), Ok(expected));
}

#[test]
fn a_resent_claim_command_is_recognised_by_its_attempt() {
    let mut table = Table::default();
    let first = request(1, "a", 1);
    for _ in 0..2 {
        assert_eq!(table.claim(&first, &LIMITS, START_MS), Ok(claim::State::Owned));
    }
    let other = request(1, "a", 2);
    assert_eq!(table.claim(&other, &LIMITS, START_MS), Ok(claim::State::Pending(owner("a"))));
    assert_eq!(table.len(), 1);
}

#[rstest]
#[case::release_came_first(false)]
#[case::second_copy_of_the_claim(true)]
fn a_claim_that_commits_after_its_release_is_void(#[case] claimed_before: bool) {
    let mut table = Table::default();
    let first = request(1, "a", 1);
    if claimed_before {
        assert_eq!(table.claim(&first, &LIMITS, START_MS), Ok(claim::State::Owned));
    }
    let release = settlement(&first, Outcome::Released);
    assert_eq!(table.settle(&release, &LIMITS, START_MS), Ok(claim::State::Released));
    assert_eq!(table.claim(&first, &LIMITS, START_MS), Ok(claim::State::Released));
    assert_eq!(table.get(Key(1)), None);

    // Another attempt is free to claim, and neither the late copy nor its release touches it.
    let second = request(1, "b", 2);
    assert_eq!(table.claim(&second, &LIMITS, START_MS), Ok(claim::State::Owned));
    assert_eq!(table.claim(&first, &LIMITS, START_MS), Ok(claim::State::Pending(owner("b"))));
    assert_eq!(table.settle(&release, &LIMITS, START_MS), Ok(claim::State::Released));
    assert_eq!(table.get(Key(1)), Some(claim::State::Pending(owner("b"))));

    // Released attempts are themselves forgotten.
    let unrelated = request(2, "b", 3);
    table.claim(&unrelated, &LIMITS, START_MS + VOID_RETENTION_MS).expect("there is room");
    let bytes = encode(&table).len();
    table
        .settle(&release, &LIMITS, START_MS + VOID_RETENTION_MS)
        .expect("a release is always taken");
    assert!(encode(&table).len() > bytes);
}

#[rstest]
#[case::answer(ran("x"))]
#[case::doubt(Outcome::MayHaveRun)]
fn only_the_owning_attempt_records_an_outcome(#[case] outcome: Outcome) {
    let mut table = Table::default();
    let first = request(1, "a", 1);
    let unknown = table.settle(&settlement(&first, outcome.clone()), &LIMITS, START_MS);
    assert_eq!(unknown.unwrap_err().code, Code::NotFound);
    table.claim(&first, &LIMITS, START_MS).expect("there is room");
    let mut reborn = request(1, "a", 1);
    reborn.owner.incarnation = 2;
    for other in [request(1, "b", 1), request(1, "a", 2), reborn] {
        let refused = table.settle(&settlement(&other, outcome.clone()), &LIMITS, START_MS);
        assert_eq!(refused.unwrap_err().code, Code::Conflict);
    }
    assert_eq!(table.get(Key(1)), Some(claim::State::Pending(owner("a"))));
}

#[rstest]
#[case::pending(None)]
#[case::answered(Some(ran("x")))]
#[case::in_doubt(Some(Outcome::MayHaveRun))]
fn another_payload_under_the_key_is_refused(#[case] outcome: Option<Outcome>) {
    let mut table = Table::default();
    let first = request(1, "a", 1);
    table.claim(&first, &LIMITS, START_MS).expect("there is room");
    if let Some(outcome) = outcome {
        table.settle(&settlement(&first, outcome), &LIMITS, START_MS).expect("the owner");
    }
    let other = Request { digest: 8, ..request(1, "b", 2) };
    let refused = table.claim(&other, &LIMITS, START_MS).unwrap_err();
    assert_eq!((refused.code, refused.verdict), (Code::KeyReused, Verdict::NotRun));
    assert_eq!(refused.code.status(), 422);
}

#[test]
fn a_full_table_refuses_new_claims_and_keeps_old_ones() {
    let mut table = Table::default();
    for key in 1..=3 {
        table.claim(&request(key, "a", 1), &LIMITS, START_MS).expect("there is room");
    }
    let refused = table.claim(&request(4, "a", 1), &LIMITS, START_MS).unwrap_err();
    assert_eq!((refused.code, refused.verdict), (Code::ClaimsFull, Verdict::NotRun));
    for key in 1..=3 {
        assert_eq!(table.get(Key(key)), Some(claim::State::Pending(owner("a"))));
    }
    // An outcome finds room, and a release makes some.
    let settled = settlement(&request(1, "a", 1), ran("x"));
    table.settle(&settled, &LIMITS, START_MS).expect("the owner");
    let released = settlement(&request(2, "a", 1), Outcome::Released);
    table.settle(&released, &LIMITS, START_MS).expect("the owner");
    assert_eq!(table.claim(&request(4, "a", 1), &LIMITS, START_MS), Ok(claim::State::Owned));
}

#[test]
fn recorded_answers_go_before_markers() {
    let limits = Claims { capacity: 10, ..LIMITS };
    let mut table = Table::default();
    for key in 1..=3 {
        let claim = request(key, "a", 1);
        let at_ms = START_MS + key as u64;
        table.claim(&claim, &limits, at_ms).expect("there is room");
        table.settle(&settlement(&claim, ran("8 bytes!")), &limits, at_ms).expect("the owner");
    }
    assert_eq!(table.body_bytes(), 16);
    assert_eq!(body(table.get(Key(1))), None);
    assert_eq!(body(table.get(Key(2))), Some(b"8 bytes!".to_vec()));
    // The owner hears its whole answer; the record keeps none that is too long.
    let long = request(4, "a", 1);
    table.claim(&long, &limits, START_MS + 4).expect("there is room");
    let told = table.settle(&settlement(&long, ran("9 bytes!!")), &limits, START_MS + 4);
    assert_eq!(body(told.ok()), Some(b"9 bytes!!".to_vec()));
    assert_eq!(body(table.get(Key(4))), None);
    // A smaller bound holds from the next command on.
    let small = Claims { answers_bytes: 8, ..limits };
    table.claim(&request(5, "a", 1), &small, START_MS + 5).expect("there is room");
    assert_eq!((table.body_bytes(), table.len()), (8, 5));
    assert_eq!(decode::<Table>(&encode(&table)), Ok(table));
}

/// A key made at the start, whose claim was settled after `settled_ms`, is asked for again.
#[rstest]
#[case::within_retention(0, LIMITS.retention_ms - 1, None)]
#[case::retention_counts_from_the_outcome(9_000, LIMITS.retention_ms + 8_000, None)]
#[case::marker_outlives_the_retention(0, LIMITS.retention_ms + MAX_CLOCK_SKEW_MS - 1, None)]
#[case::forgotten(0, LIMITS.retention_ms + MAX_CLOCK_SKEW_MS, Some(Code::KeyExpired))]
#[case::long_ago(0, 100 * PENDING_RETENTION_MS, Some(Code::KeyExpired))]
fn forgetting_never_runs_a_key_again(
    #[case] settled_ms: u64,
    #[case] asked_ms: u64,
    #[case] refused: Option<Code>,
) {
    let mut table = Table::default();
    let first = Request { made_ms: Some(START_MS), ..request(1, "a", 1) };
    table.claim(&first, &LIMITS, START_MS).expect("there is room");
    let outcome = settlement(&first, Outcome::MayHaveRun);
    table.settle(&outcome, &LIMITS, START_MS + settled_ms).expect("the owner");
    let again = Request { attempt: 2, ..first };
    match table.claim(&again, &LIMITS, START_MS + asked_ms) {
        Ok(grant) => assert_eq!((grant, refused), (claim::State::MayHaveRun, None)),
        Err(error) => {
            assert_eq!((Some(error.code), error.verdict), (refused, Verdict::MayHaveRun));
        }
    }
}

#[test]
fn a_longer_retention_does_not_bring_forgotten_keys_back() {
    let mut table = Table::default();
    // The caller's clock is as far ahead as is allowed.
    let first = Request { made_ms: Some(START_MS + MAX_CLOCK_SKEW_MS), ..request(1, "a", 1) };
    table.claim(&first, &LIMITS, START_MS).expect("there is room");
    table.settle(&settlement(&first, ran("x")), &LIMITS, START_MS).expect("the owner");
    let later_ms = START_MS + LIMITS.retention_ms + MAX_CLOCK_SKEW_MS;
    table.claim(&request(2, "a", 1), &LIMITS, later_ms).expect("there is room");
    assert_eq!(table.get(Key(1)), None);
    let longer = Claims { retention_ms: 100 * LIMITS.retention_ms, ..LIMITS };
    let again = Request { attempt: 2, ..first };
    let refused = table.claim(&again, &longer, later_ms).unwrap_err();
    assert_eq!((refused.code, refused.verdict), (Code::KeyExpired, Verdict::MayHaveRun));
}

#[test]
fn a_key_from_the_future_is_refused_before_it_is_claimed() {
    let mut table = Table::default();
    let early = Request { made_ms: Some(START_MS + MAX_CLOCK_SKEW_MS + 1), ..request(1, "a", 1) };
    let refused = table.claim(&early, &LIMITS, START_MS).unwrap_err();
    assert_eq!((refused.code, refused.verdict), (Code::BadRequest, Verdict::NotRun));
    assert!(table.is_empty());
}

#[test]
fn a_claim_without_outcome_outlives_the_longest_request() {
    let mut table = Table::default();
    table.claim(&request(1, "a", 1), &LIMITS, START_MS).expect("there is room");
    let last_ms = START_MS + PENDING_RETENTION_MS + LIMITS.retention_ms;
    let resent = table.claim(&request(1, "b", 2), &LIMITS, last_ms);
    assert_eq!(resent, Ok(claim::State::Pending(owner("a"))));
}

#[test]
fn a_key_claimed_again_after_a_release_is_remembered_from_then_on() {
    let mut table = Table::default();
    let first = request(1, "a", 1);
    table.claim(&first, &LIMITS, START_MS).expect("there is room");
    let release = settlement(&first, Outcome::Released);
    table.settle(&release, &LIMITS, START_MS).expect("the owner");
    let again_ms = START_MS + LIMITS.retention_ms + MAX_CLOCK_SKEW_MS - 1;
    let second = request(1, "b", 2);
    assert_eq!(table.claim(&second, &LIMITS, again_ms), Ok(claim::State::Owned));
    table.settle(&settlement(&second, ran("x")), &LIMITS, again_ms).expect("the owner");
    // Long after the first claim, but within the retention of the second.
    let resent = table.claim(&request(1, "c", 3), &LIMITS, again_ms + LIMITS.retention_ms);
    assert_eq!(body(resent.ok()), Some(b"x".to_vec()));
}

/// Times that make leases short against the upstream's work.
const TIMES: &str = "[times]\nheartbeat_ms = 60\nelection_ms = 400\nentry_lease_ms = 800\n\
                     worker_lease_ms = 800\ndrain_ms = 100\n";
const KEY: [(&str, &str); 2] =
    [("idempotency-key", "one key"), ("eelgrassvalve-deadline-ms", "20000")];

async fn cluster() -> Cluster {
    let mut cluster = Cluster::new(4, 3);
    cluster.extra = TIMES.into();
    cluster.boot().await;
    let document = serde_json::from_value(serde_json::json!({
        "kinds": [{ "name": "plan", "rank": 0 }],
        "customers": [{ "name": "anyone" }],
    }));
    cluster.apply(0, &document.expect("is valid")).await.expect("the document is accepted");
    cluster
}

async fn send(cluster: &Cluster, at: usize) -> Option<eelgrassvalve::client::Response> {
    let client = cluster.callers(at);
    client.send(Method::POST, "/v1/requests/plan", &KEY, "payload".into()).await.ok()
}

/// The owner is lost in the middle of a request; a resend goes through another entry.
#[rstest]
#[case::killed(3, false)]
#[case::killed_leader(0, false)]
#[case::frozen(3, true)]
#[case::frozen_leader(0, true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_owner_never_leads_to_a_second_run(#[case] owner: usize, #[case] frozen: bool) {
    let mut cluster = cluster().await;
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let work = Duration::from_secs(3);
    let upstream = Upstream::start("runner-1", &["plan"], work, &platform[1..3]).await;
    let client = cluster.callers(owner);
    let first = tokio::spawn(async move {
        client.send(Method::POST, "/v1/requests/plan", &KEY, "payload".into()).await
    });
    until("the request at the upstream", || async {
        (upstream.count("payload") == 1).then_some(())
    })
    .await;
    if frozen {
        cluster.signal(owner, "STOP");
    } else {
        cluster.kill(owner);
    }
    let resent = send(&cluster, 1).await.expect("an answer");
    assert_eq!((resent.verdict, resent.error().code), (Some(Verdict::MayHaveRun), Code::OwnerLost));
    if frozen {
        // The owner returns, gets the answer and records it: the doubt ends.
        cluster.signal(owner, "CONT");
        let told = first.await.expect("no panic").expect("an answer");
        assert_eq!((told.verdict, &*told.body), (Some(Verdict::Ran), &b"plan:payload"[..]));
        until("the recorded answer", || async {
            let again = send(&cluster, 2).await?;
            (again.verdict == Some(Verdict::Ran) && again.body == told.body).then_some(())
        })
        .await;
    } else {
        assert!(first.await.expect("no panic").is_err());
        cluster.spawn(owner);
        cluster.ready(owner).await;
        let again = send(&cluster, owner).await.expect("an answer");
        assert_eq!(again.verdict, Some(Verdict::MayHaveRun));
    }
    assert_eq!(upstream.count("payload"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_while_the_first_send_runs_gets_its_answer() {
    let cluster = cluster().await;
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let work = Duration::from_secs(1);
    let upstream = Upstream::start("runner-1", &["plan"], work, &platform).await;
    let (first, second) = tokio::join!(send(&cluster, 1), send(&cluster, 3));
    let (first, second) = (first.expect("an answer"), second.expect("an answer"));
    assert_eq!((first.verdict, second.verdict), (Some(Verdict::Ran), Some(Verdict::Ran)));
    assert_eq!((&*first.body, &*second.body), (&b"plan:payload"[..], &b"plan:payload"[..]));
    assert_eq!(upstream.count("payload"), 1);
}

/// No upstream: the claim is released, and a resend may run once there is one.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_told_not_run_may_run_later() {
    let cluster = cluster().await;
    let headers = [("idempotency-key", "one key"), ("eelgrassvalve-deadline-ms", "200")];
    let client = cluster.callers(1);
    let refused = client.send(Method::POST, "/v1/requests/plan", &headers, "payload".into()).await;
    assert_eq!(refused.expect("an answer").verdict, Some(Verdict::NotRun));
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let work = Duration::from_millis(10);
    let upstream = Upstream::start("runner-1", &["plan"], work, &platform).await;
    let answer = send(&cluster, 2).await.expect("an answer");
    assert_eq!((answer.verdict, upstream.count("payload")), (Some(Verdict::Ran), 1));
}
