//! Misbehaving upstreams: the verdict that the caller gets and the number of runs for each kind of
//! fault. An answer must never reach another request.

mod support;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassvalve::error::{Code, Error, Result};
use eelgrassvalve::kernel::timer::Timer;
use eelgrassvalve::routing::{Request, Router};
use eelgrassvalve::settings::Settings;
use eelgrassvalve::state::claim::Answer;
use eelgrassvalve::verdict::Verdict;
use rstest::rstest;
use support::hostile::{Behavior, FaultyUpstream};
use tokio::sync::watch;

const DEADLINE: Duration = Duration::from_millis(700);

struct Harness {
    timer: Timer,
    router: Arc<Router>,
}

impl Harness {
    fn new(upstreams: &[&FaultyUpstream]) -> Self {
        let timer = Timer::system();
        let text = "[daemon]\nname = \"host-1\"\nzone = \"zone-1\"\n[listen]\n\
            callers = \"127.0.0.1:1\"\noperators = \"127.0.0.1:2\"\nplatform = \"127.0.0.1:3\"\n\
            health = \"127.0.0.1:4\"\nmesh = \"127.0.0.1:5\"\n[mesh]\nkey_file = \"key\"\n\
            [tokens]\nnone = true\n";
        let settings = Settings::parse(text, "test", Path::new(".")).expect("valid settings");
        let router = Router::new(&settings, timer.clone());
        let harness = Self { timer, router };
        for upstream in upstreams {
            harness.announce(upstream, 8);
        }
        harness
    }

    fn announce(&self, upstream: &FaultyUpstream, slots: u32) {
        let now_ms = self.timer.now_ms();
        let announcement = upstream.announce(slots, now_ms + 1);
        self.router.upstreams.lock().receive(&upstream.id, &announcement, now_ms);
    }

    async fn run(&self, number: u64, is_idempotent: bool) -> Result<Answer> {
        self.run_for(number, is_idempotent, None).await
    }

    async fn run_for(
        &self,
        number: u64,
        is_idempotent: bool,
        caller: Option<watch::Receiver<()>>,
    ) -> Result<Answer> {
        let request = Request {
            number,
            kind: "plan".into(),
            rank: 0,
            customer: "anyone".into(),
            share: 1,
            payload: Bytes::from(format!("payload {number}")),
            content_type: None,
            is_idempotent,
            deadline_ms: self.timer.now_ms() + DEADLINE.as_millis() as u64,
            caller,
        };
        self.router.run(&request, &|| Ok(())).await
    }
}

fn answers_request(answer: &Answer, number: u64) -> bool {
    answer.body.as_deref() == Some(format!("plan:payload {number}").as_bytes())
}

const SHORT_DELAY: Duration = Duration::from_millis(15);
const LONG_DELAY: Duration = Duration::from_millis(1_500);

/// The verdict for each way an attempt can end; docs/design/routing.md has the same table.
#[rstest]
#[case::complete_answer(Behavior::Normal, Verdict::Ran, 1)]
#[case::answer_without_request_number(Behavior::Unnumbered, Verdict::Ran, 1)]
#[case::refuses_connections(Behavior::Refuses, Verdict::NotRun, 0)]
#[case::never_answers(Behavior::Silent, Verdict::MayHaveRun, 1)]
#[case::resets_after_the_first_byte(Behavior::ResetsEarly, Verdict::MayHaveRun, 0)]
#[case::resets_after_reading_the_request(Behavior::ResetsLate, Verdict::MayHaveRun, 1)]
#[case::closes_mid_body(Behavior::ClosesMidBody, Verdict::MayHaveRun, 1)]
#[case::short_body(Behavior::ShortBody, Verdict::MayHaveRun, 1)]
#[case::overlong_body(Behavior::OverlongBody, Verdict::Ran, 1)]
#[case::missing_last_chunk(Behavior::TruncatedChunks, Verdict::MayHaveRun, 1)]
#[case::no_content_length(Behavior::NoLength, Verdict::MayHaveRun, 1)]
#[case::body_over_the_limit(Behavior::OversizedBody, Verdict::MayHaveRun, 1)]
#[case::slow_answer(Behavior::Late(Duration::from_millis(200)), Verdict::Ran, 1)]
#[case::late_answer(Behavior::Late(LONG_DELAY), Verdict::MayHaveRun, 1)]
#[case::second_answer_at_once(Behavior::Twice(Duration::ZERO), Verdict::Ran, 1)]
#[case::second_answer_later(Behavior::Twice(SHORT_DELAY), Verdict::Ran, 1)]
#[case::garbage(Behavior::Garbage, Verdict::MayHaveRun, 1)]
#[case::other_request_number(Behavior::WrongNumber, Verdict::MayHaveRun, 1)]
#[case::error_status(Behavior::Fails, Verdict::Ran, 1)]
#[case::closes_idle_connections(Behavior::ClosesIdle, Verdict::Ran, 1)]
#[case::answers_before_reading(Behavior::AnswersEarly, Verdict::Ran, 0)]
#[case::interim_answer(Behavior::Interim, Verdict::Ran, 1)]
#[tokio::test]
async fn non_idempotent_request_gets_an_accurate_verdict(
    #[case] behavior: Behavior,
    #[case] expected: Verdict,
    #[case] runs: usize,
) {
    let upstream = FaultyUpstream::start("runner-1", behavior).await;
    let harness = Harness::new(&[&upstream]);
    let result = harness.run(1, false).await;
    let verdict = result.as_ref().map_or_else(|error| error.verdict, |_| Verdict::Ran);
    assert_eq!(verdict, expected, "{result:?}");
    assert_eq!(upstream.count("payload 1"), runs);
    if let Ok(answer) = &result {
        assert!(answers_request(answer, 1) || behavior == Behavior::AnswersEarly, "{answer:?}");
    }
    if behavior == Behavior::Fails {
        assert_eq!(result.map(|answer| answer.status), Ok(503));
    }
}

/// Sends consecutive requests to one upstream; each gets its own answer or an error.
#[rstest]
#[case::without_request_number(Behavior::Unnumbered, true)]
#[case::overlong_body(Behavior::OverlongBody, true)]
#[case::second_answer_at_once(Behavior::Twice(Duration::ZERO), false)]
#[case::second_answer_later(Behavior::Twice(SHORT_DELAY), false)]
#[case::second_answer_to_the_next_request(Behavior::Twice(SHORT_DELAY * 12), false)]
#[case::closes_idle_connections(Behavior::ClosesIdle, true)]
#[case::late_answer(Behavior::Late(Duration::from_millis(800)), false)]
#[case::other_request_number(Behavior::WrongNumber, false)]
#[case::interim_answer(Behavior::Interim, true)]
#[tokio::test]
async fn no_answer_reaches_another_request(#[case] behavior: Behavior, #[case] all_run: bool) {
    let upstream = FaultyUpstream::start("runner-1", behavior).await;
    let harness = Harness::new(&[&upstream]);
    for number in 1..=6 {
        harness.announce(&upstream, 8);
        let result = harness.run(number, false).await;
        match &result {
            Ok(answer) => assert!(answers_request(answer, number), "{number}: {answer:?}"),
            Err(error) => assert!(!all_run, "{number}: {error}"),
        }
        let runs = upstream.count(&format!("payload {number}"));
        assert!(runs <= 1, "request {number} ran {runs} times");
        let not_run = result.is_err_and(|error| error.verdict == Verdict::NotRun);
        assert!(!not_run || runs == 0, "reported not_run, but it ran");
        tokio::time::sleep(SHORT_DELAY * 2).await;
    }
}

#[rstest]
#[case::refuses(Behavior::Refuses, false, Verdict::Ran, 0)]
#[case::refuses_idempotent(Behavior::Refuses, true, Verdict::Ran, 0)]
#[case::resets(Behavior::ResetsLate, false, Verdict::MayHaveRun, 1)]
#[case::resets_idempotent(Behavior::ResetsLate, true, Verdict::Ran, 1)]
#[case::garbage_idempotent(Behavior::Garbage, true, Verdict::Ran, 1)]
#[tokio::test]
async fn safe_retry_goes_to_another_upstream(
    #[case] behavior: Behavior,
    #[case] is_idempotent: bool,
    #[case] expected: Verdict,
    #[case] runs: usize,
) {
    let faulty = FaultyUpstream::start("runner-1", behavior).await;
    let good = FaultyUpstream::start("runner-2", Behavior::Normal).await;
    let harness = Harness::new(&[&faulty]);
    // The faulty upstream is announced first, so that it gets the first attempt.
    let run = harness.run(1, is_idempotent);
    let announce_good = async {
        tokio::time::sleep(Duration::from_millis(1)).await;
        harness.announce(&good, 8);
    };
    let (result, ()) = tokio::join!(run, announce_good);
    let verdict = result.as_ref().map_or_else(|error| error.verdict, |_| Verdict::Ran);
    assert_eq!(verdict, expected, "{result:?}");
    assert_eq!(faulty.count("payload 1"), runs);
    assert_eq!(good.count("payload 1"), usize::from(expected == Verdict::Ran));
}

#[tokio::test]
async fn final_verdict_covers_an_earlier_attempt_that_may_have_run() {
    let faulty = FaultyUpstream::start("runner-1", Behavior::ResetsLate).await;
    let harness = Harness::new(&[&faulty]);
    let error = harness.run(1, true).await.expect_err("no other upstream");
    // The retry finds no upstream, for which the verdict alone would be `not_run`.
    assert_eq!((error.verdict, error.code), (Verdict::MayHaveRun, Code::NoUpstream));
}

#[tokio::test]
async fn failed_precondition_prevents_the_request_from_being_sent() {
    let upstream = FaultyUpstream::start("runner-1", Behavior::Normal).await;
    let harness = Harness::new(&[&upstream]);
    let request = Request {
        number: 1,
        kind: "plan".into(),
        rank: 0,
        customer: "anyone".into(),
        share: 1,
        payload: Bytes::from_static(b"payload 1"),
        content_type: None,
        is_idempotent: true,
        deadline_ms: harness.timer.now_ms() + 1_000,
        caller: None,
    };
    let lapsed = || Err(Error::not_run(Code::NoLease, "the lease lapsed"));
    let error = harness.router.run(&request, &lapsed).await.expect_err("the precondition fails");
    assert_eq!((error.verdict, error.code), (Verdict::NotRun, Code::NoLease));
    assert_eq!(upstream.count("payload 1"), 0);
}

#[tokio::test]
async fn failing_upstream_is_ejected() {
    let faulty = FaultyUpstream::start("runner-1", Behavior::ResetsLate).await;
    let mut good = Vec::new();
    for index in 2..=5 {
        good.push(FaultyUpstream::start(&format!("runner-{index}"), Behavior::Normal).await);
    }
    let mut all: Vec<&FaultyUpstream> = good.iter().collect();
    all.push(&faulty);
    let harness = Harness::new(&all);
    let mut failures = 0;
    for number in 1..=200 {
        for upstream in &all {
            harness.announce(upstream, 8);
        }
        failures += usize::from(harness.run(number, false).await.is_err());
    }
    // Five failures eject the upstream; without ejection about 40 of 200 requests would fail.
    assert!((5..=8).contains(&failures), "{failures} of 200 requests failed");
}

#[tokio::test]
async fn disconnected_caller_is_removed_from_the_queue() {
    let upstream =
        FaultyUpstream::start("runner-1", Behavior::Late(Duration::from_millis(300))).await;
    let harness = Harness::new(&[]);
    harness.announce(&upstream, 1);
    let (connection, caller) = watch::channel(());
    let disconnect = async {
        while upstream.count("payload 1") == 0 || harness.router.waiting_count() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        drop(connection);
    };
    let first = harness.run(1, false);
    let second = harness.run_for(2, false, Some(caller));
    let (first, second, ()) = tokio::join!(first, second, disconnect);
    assert!(first.is_ok_and(|answer| answers_request(&answer, 1)));
    assert_eq!(second.map_err(|error| error.verdict), Err(Verdict::NotRun));
    assert_eq!((harness.router.waiting_count(), upstream.count("payload 2")), (0, 0));
}
