//! Idempotency claims under faults: resends, lost owners, expired keys and a full table.

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
use support::upstream::Upstream;
use support::wait_until;

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

fn ran_with_body(body: &str) -> Outcome {
    let body = Some(body.as_bytes().to_vec());
    Outcome::Ran(Answer { status: 200, content_type: None, body })
}

fn answer_body(state: Option<claim::State>) -> Option<Vec<u8>> {
    match state {
        Some(claim::State::Ran(answer)) => answer.body,
        other => panic!("not an answer: {other:?}"),
    }
}

/// `outcomes` are settled by attempt 1 of entry `a`; `expected` is what attempt 2 of entry `b`
/// then gets for the same key.
#[rstest]
#[case::pending(&[], claim::State::Pending(owner("a")))]
#[case::ran(&[ran_with_body("x")], claim::State::Ran(Answer { status: 200, content_type: None, body: Some(b"x".to_vec()) }))]
#[case::may_have_run(&[Outcome::MayHaveRun], claim::State::MayHaveRun)]
#[case::released(&[Outcome::Released], claim::State::Owned)]
#[case::late_answer(&[Outcome::MayHaveRun, ran_with_body("")], claim::State::Ran(Answer { status: 200, content_type: None, body: Some(Vec::new()) }))]
#[case::release_after_may_have_run(&[Outcome::MayHaveRun, Outcome::Released], claim::State::MayHaveRun)]
#[case::release_after_answer(&[ran_with_body("x"), Outcome::Released], claim::State::Ran(Answer { status: 200, content_type: None, body: Some(b"x".to_vec()) }))]
#[case::may_have_run_after_answer(&[ran_with_body("x"), Outcome::MayHaveRun], claim::State::Ran(Answer { status: 200, content_type: None, body: Some(b"x".to_vec()) }))]
fn resend_sees_recorded_outcome(#[case] outcomes: &[Outcome], #[case] expected: claim::State) {
    let mut table = Table::default();
    let first = request(1, "a", 1);
    assert_eq!(table.claim(&first, &LIMITS, START_MS), Ok(claim::State::Owned));
    for outcome in outcomes {
        table
            .settle(&settlement(&first, outcome.clone()), &LIMITS, START_MS)
            .expect("the attempt owns the claim");
    }
    assert_eq!(table.claim(&request(1, "b", 2), &LIMITS, START_MS), Ok(expected));
}

#[test]
fn repeated_claim_command_is_idempotent() {
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
#[case::release_before_claim(false)]
#[case::duplicate_of_released_claim(true)]
fn claim_committed_after_its_release_is_void(#[case] is_claimed_first: bool) {
    let mut table = Table::default();
    let first = request(1, "a", 1);
    if is_claimed_first {
        assert_eq!(table.claim(&first, &LIMITS, START_MS), Ok(claim::State::Owned));
    }
    let release = settlement(&first, Outcome::Released);
    assert_eq!(table.settle(&release, &LIMITS, START_MS), Ok(claim::State::Released));
    assert_eq!(table.claim(&first, &LIMITS, START_MS), Ok(claim::State::Released));
    assert_eq!(table.get(Key(1)), None);

    // Another attempt can claim the key; late duplicates of the first claim and of its release do
    // not affect it.
    let second = request(1, "b", 2);
    assert_eq!(table.claim(&second, &LIMITS, START_MS), Ok(claim::State::Owned));
    assert_eq!(table.claim(&first, &LIMITS, START_MS), Ok(claim::State::Pending(owner("b"))));
    assert_eq!(table.settle(&release, &LIMITS, START_MS), Ok(claim::State::Released));
    assert_eq!(table.get(Key(1)), Some(claim::State::Pending(owner("b"))));

    // The record of a released attempt expires too, so a late release is recorded anew.
    let unrelated = request(2, "b", 3);
    table.claim(&unrelated, &LIMITS, START_MS + VOID_RETENTION_MS).expect("the table has room");
    let length = encode(&table).len();
    table
        .settle(&release, &LIMITS, START_MS + VOID_RETENTION_MS)
        .expect("a release is always accepted");
    assert!(encode(&table).len() > length);
}

#[rstest]
#[case::ran(ran_with_body("x"))]
#[case::may_have_run(Outcome::MayHaveRun)]
fn only_the_owning_attempt_records_an_outcome(#[case] outcome: Outcome) {
    let mut table = Table::default();
    let first = request(1, "a", 1);
    let unknown = table.settle(&settlement(&first, outcome.clone()), &LIMITS, START_MS);
    assert_eq!(unknown.unwrap_err().code, Code::NotFound);
    table.claim(&first, &LIMITS, START_MS).expect("the table has room");
    let mut restarted = request(1, "a", 1);
    restarted.owner.incarnation = 2;
    for other in [request(1, "b", 1), request(1, "a", 2), restarted] {
        let refused = table.settle(&settlement(&other, outcome.clone()), &LIMITS, START_MS);
        assert_eq!(refused.unwrap_err().code, Code::Conflict);
    }
    assert_eq!(table.get(Key(1)), Some(claim::State::Pending(owner("a"))));
}

#[rstest]
#[case::pending(None)]
#[case::ran(Some(ran_with_body("x")))]
#[case::may_have_run(Some(Outcome::MayHaveRun))]
fn different_payload_under_the_same_key_is_refused(#[case] outcome: Option<Outcome>) {
    let mut table = Table::default();
    let first = request(1, "a", 1);
    table.claim(&first, &LIMITS, START_MS).expect("the table has room");
    if let Some(outcome) = outcome {
        table
            .settle(&settlement(&first, outcome), &LIMITS, START_MS)
            .expect("the attempt owns the claim");
    }
    let other = Request { digest: 8, ..request(1, "b", 2) };
    let refused = table.claim(&other, &LIMITS, START_MS).unwrap_err();
    assert_eq!((refused.code, refused.verdict), (Code::KeyReused, Verdict::NotRun));
    assert_eq!(refused.code.status(), 422);
}

#[test]
fn full_table_refuses_new_claims_and_keeps_existing_ones() {
    let mut table = Table::default();
    for key in 1..=3 {
        table.claim(&request(key, "a", 1), &LIMITS, START_MS).expect("the table has room");
    }
    let refused = table.claim(&request(4, "a", 1), &LIMITS, START_MS).unwrap_err();
    assert_eq!((refused.code, refused.verdict), (Code::ClaimsFull, Verdict::NotRun));
    for key in 1..=3 {
        assert_eq!(table.get(Key(key)), Some(claim::State::Pending(owner("a"))));
    }
    // A full table still records outcomes, and a release frees a slot.
    let outcome = settlement(&request(1, "a", 1), ran_with_body("x"));
    table.settle(&outcome, &LIMITS, START_MS).expect("the attempt owns the claim");
    let release = settlement(&request(2, "a", 1), Outcome::Released);
    table.settle(&release, &LIMITS, START_MS).expect("the attempt owns the claim");
    assert_eq!(table.claim(&request(4, "a", 1), &LIMITS, START_MS), Ok(claim::State::Owned));
}

#[test]
fn answer_bodies_are_evicted_before_claim_records() {
    let limits = Claims { capacity: 10, ..LIMITS };
    let mut table = Table::default();
    for key in 1..=3 {
        let claim = request(key, "a", 1);
        let at_ms = START_MS + key as u64;
        table.claim(&claim, &limits, at_ms).expect("the table has room");
        table
            .settle(&settlement(&claim, ran_with_body("8 bytes!")), &limits, at_ms)
            .expect("the attempt owns the claim");
    }
    assert_eq!(table.body_bytes(), 16);
    assert_eq!(answer_body(table.get(Key(1))), None);
    assert_eq!(answer_body(table.get(Key(2))), Some(b"8 bytes!".to_vec()));
    // The owner gets its full answer, but a body longer than `answer_bytes` is not stored.
    let oversized = request(4, "a", 1);
    table.claim(&oversized, &limits, START_MS + 4).expect("the table has room");
    let settled =
        table.settle(&settlement(&oversized, ran_with_body("9 bytes!!")), &limits, START_MS + 4);
    assert_eq!(answer_body(settled.ok()), Some(b"9 bytes!!".to_vec()));
    assert_eq!(answer_body(table.get(Key(4))), None);
    // A lowered `answers_bytes` takes effect with the next command.
    let lowered = Claims { answers_bytes: 8, ..limits };
    table.claim(&request(5, "a", 1), &lowered, START_MS + 5).expect("the table has room");
    assert_eq!((table.body_bytes(), table.len()), (8, 5));
    assert_eq!(decode::<Table>(&encode(&table)), Ok(table));
}

/// A key created at `START_MS` is settled at `settled_ms` and claimed again at `claimed_again_ms`;
/// both times are relative to `START_MS`.
#[rstest]
#[case::within_retention(0, LIMITS.retention_ms - 1, None)]
#[case::retention_starts_at_settlement(9_000, LIMITS.retention_ms + 8_000, None)]
#[case::record_outlives_retention(0, LIMITS.retention_ms + MAX_CLOCK_SKEW_MS - 1, None)]
#[case::expired(0, LIMITS.retention_ms + MAX_CLOCK_SKEW_MS, Some(Code::KeyExpired))]
#[case::expired_long_ago(0, 100 * PENDING_RETENTION_MS, Some(Code::KeyExpired))]
fn expired_key_is_never_run_again(
    #[case] settled_ms: u64,
    #[case] claimed_again_ms: u64,
    #[case] refused: Option<Code>,
) {
    let mut table = Table::default();
    let first = Request { made_ms: Some(START_MS), ..request(1, "a", 1) };
    table.claim(&first, &LIMITS, START_MS).expect("the table has room");
    let outcome = settlement(&first, Outcome::MayHaveRun);
    table.settle(&outcome, &LIMITS, START_MS + settled_ms).expect("the attempt owns the claim");
    let again = Request { attempt: 2, ..first };
    match table.claim(&again, &LIMITS, START_MS + claimed_again_ms) {
        Ok(state) => assert_eq!((state, refused), (claim::State::MayHaveRun, None)),
        Err(error) => {
            assert_eq!((Some(error.code), error.verdict), (refused, Verdict::MayHaveRun));
        }
    }
}

#[test]
fn longer_retention_does_not_revive_expired_keys() {
    let mut table = Table::default();
    // The caller's clock is ahead by the largest permitted skew.
    let first = Request { made_ms: Some(START_MS + MAX_CLOCK_SKEW_MS), ..request(1, "a", 1) };
    table.claim(&first, &LIMITS, START_MS).expect("the table has room");
    table
        .settle(&settlement(&first, ran_with_body("x")), &LIMITS, START_MS)
        .expect("the attempt owns the claim");
    let later_ms = START_MS + LIMITS.retention_ms + MAX_CLOCK_SKEW_MS;
    table.claim(&request(2, "a", 1), &LIMITS, later_ms).expect("the table has room");
    assert_eq!(table.get(Key(1)), None);
    let longer = Claims { retention_ms: 100 * LIMITS.retention_ms, ..LIMITS };
    let again = Request { attempt: 2, ..first };
    let refused = table.claim(&again, &longer, later_ms).unwrap_err();
    assert_eq!((refused.code, refused.verdict), (Code::KeyExpired, Verdict::MayHaveRun));
}

#[test]
fn key_from_the_future_is_refused_without_a_claim() {
    let mut table = Table::default();
    let from_future =
        Request { made_ms: Some(START_MS + MAX_CLOCK_SKEW_MS + 1), ..request(1, "a", 1) };
    let refused = table.claim(&from_future, &LIMITS, START_MS).unwrap_err();
    assert_eq!((refused.code, refused.verdict), (Code::BadRequest, Verdict::NotRun));
    assert!(table.is_empty());
}

#[test]
fn pending_claim_outlives_the_longest_request() {
    let mut table = Table::default();
    table.claim(&request(1, "a", 1), &LIMITS, START_MS).expect("the table has room");
    let last_ms = START_MS + PENDING_RETENTION_MS + LIMITS.retention_ms;
    let resent = table.claim(&request(1, "b", 2), &LIMITS, last_ms);
    assert_eq!(resent, Ok(claim::State::Pending(owner("a"))));
}

#[test]
fn retention_restarts_when_a_released_key_is_claimed_again() {
    let mut table = Table::default();
    let first = request(1, "a", 1);
    table.claim(&first, &LIMITS, START_MS).expect("the table has room");
    let release = settlement(&first, Outcome::Released);
    table.settle(&release, &LIMITS, START_MS).expect("the attempt owns the claim");
    let again_ms = START_MS + LIMITS.retention_ms + MAX_CLOCK_SKEW_MS - 1;
    let second = request(1, "b", 2);
    assert_eq!(table.claim(&second, &LIMITS, again_ms), Ok(claim::State::Owned));
    table
        .settle(&settlement(&second, ran_with_body("x")), &LIMITS, again_ms)
        .expect("the attempt owns the claim");
    // Counted from the first claim, the retention would be over; from the second it is not.
    let resent = table.claim(&request(1, "c", 3), &LIMITS, again_ms + LIMITS.retention_ms);
    assert_eq!(answer_body(resent.ok()), Some(b"x".to_vec()));
}

/// Leases that are shorter than the upstream's work, so that they expire during a request.
const TIMES: &str = "[times]\nheartbeat_ms = 60\nelection_ms = 400\nentry_lease_ms = 800\n\
                     worker_lease_ms = 800\ndrain_ms = 100\n";
const KEY: [(&str, &str); 2] =
    [("idempotency-key", "one key"), ("eelgrassvalve-deadline-ms", "20000")];

async fn cluster() -> Cluster {
    let mut cluster = Cluster::new(4, 3);
    cluster.extra_settings = TIMES.into();
    cluster.boot().await;
    let document = serde_json::from_value(serde_json::json!({
        "kinds": [{ "name": "plan", "rank": 0 }],
        "customers": [{ "name": "anyone" }],
    }));
    cluster.apply(0, &document.expect("is valid")).await.expect("the document is accepted");
    cluster
}

async fn send(cluster: &Cluster, host: usize) -> Option<eelgrassvalve::client::Response> {
    let client = cluster.caller_client(host);
    client.send(Method::POST, "/v1/requests/plan", &KEY, "payload".into()).await.ok()
}

/// The entry that owns the claim fails during a request, and the client resends through another.
#[rstest]
#[case::kill(3, false)]
#[case::kill_leader(0, false)]
#[case::freeze(3, true)]
#[case::freeze_leader(0, true)]
#[tokio::test(flavor = "multi_thread")]
async fn lost_owner_does_not_cause_a_second_run(#[case] owner: usize, #[case] freeze: bool) {
    let mut cluster = cluster().await;
    let platform_addresses: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let run_time = Duration::from_secs(3);
    let upstream =
        Upstream::start("runner-1", &["plan"], run_time, &platform_addresses[1..3]).await;
    let client = cluster.caller_client(owner);
    let first = tokio::spawn(async move {
        client.send(Method::POST, "/v1/requests/plan", &KEY, "payload".into()).await
    });
    wait_until("the request at the upstream", || async {
        (upstream.count("payload") == 1).then_some(())
    })
    .await;
    if freeze {
        cluster.signal(owner, "STOP");
    } else {
        cluster.kill(owner);
    }
    let resent = send(&cluster, 1).await.expect("an answer");
    assert_eq!((resent.verdict, resent.error().code), (Some(Verdict::MayHaveRun), Code::OwnerLost));
    if freeze {
        // The resumed owner receives the answer and records it, which settles the claim.
        cluster.signal(owner, "CONT");
        let answer = first.await.expect("the task does not panic").expect("an answer");
        assert_eq!((answer.verdict, &*answer.body), (Some(Verdict::Ran), &b"plan:payload"[..]));
        wait_until("the recorded answer", || async {
            let resent = send(&cluster, 2).await?;
            (resent.verdict == Some(Verdict::Ran) && resent.body == answer.body).then_some(())
        })
        .await;
    } else {
        assert!(first.await.expect("the task does not panic").is_err());
        cluster.spawn(owner);
        cluster.wait_until_ready(owner).await;
        let resent = send(&cluster, owner).await.expect("an answer");
        assert_eq!(resent.verdict, Some(Verdict::MayHaveRun));
    }
    assert_eq!(upstream.count("payload"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_resend_gets_the_answer_of_the_first_send() {
    let cluster = cluster().await;
    let platform_addresses: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let run_time = Duration::from_secs(1);
    let upstream = Upstream::start("runner-1", &["plan"], run_time, &platform_addresses).await;
    let (first, second) = tokio::join!(send(&cluster, 1), send(&cluster, 3));
    let (first, second) = (first.expect("an answer"), second.expect("an answer"));
    assert_eq!((first.verdict, second.verdict), (Some(Verdict::Ran), Some(Verdict::Ran)));
    assert_eq!((&*first.body, &*second.body), (&b"plan:payload"[..], &b"plan:payload"[..]));
    assert_eq!(upstream.count("payload"), 1);
}

/// Without an upstream the claim is released, so that a resend runs once there is an upstream.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_was_not_run_can_run_on_resend() {
    let cluster = cluster().await;
    let headers = [("idempotency-key", "one key"), ("eelgrassvalve-deadline-ms", "200")];
    let client = cluster.caller_client(1);
    let refused = client.send(Method::POST, "/v1/requests/plan", &headers, "payload".into()).await;
    assert_eq!(refused.expect("an answer").verdict, Some(Verdict::NotRun));
    let platform_addresses: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let run_time = Duration::from_millis(10);
    let upstream = Upstream::start("runner-1", &["plan"], run_time, &platform_addresses).await;
    let answer = send(&cluster, 2).await.expect("an answer");
    assert_eq!((answer.verdict, upstream.count("payload")), (Some(Verdict::Ran), 1));
}
