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
use support::hostile::{Hostile, Manner};
use tokio::sync::watch;

const DEADLINE: Duration = Duration::from_millis(700);

struct Harness {
    timer: Timer,
    router: Arc<Router>,
}

impl Harness {
    fn new(upstreams: &[&Hostile]) -> Self {
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

    fn announce(&self, upstream: &Hostile, slots: u32) {
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
#[case::complete_answer(Manner::Good, Verdict::Ran, 1)]
#[case::answer_without_request_number(Manner::Unnumbered, Verdict::Ran, 1)]
#[case::refuses_connections(Manner::Refuses, Verdict::NotRun, 0)]
#[case::never_answers(Manner::Silent, Verdict::MayHaveRun, 1)]
#[case::resets_after_the_first_byte(Manner::ResetsEarly, Verdict::MayHaveRun, 0)]
#[case::resets_after_reading_the_request(Manner::ResetsLate, Verdict::MayHaveRun, 1)]
#[case::closes_mid_body(Manner::ClosesMidBody, Verdict::MayHaveRun, 1)]
#[case::short_body(Manner::ShortBody, Verdict::MayHaveRun, 1)]
#[case::overlong_body(Manner::OverlongBody, Verdict::Ran, 1)]
#[case::missing_last_chunk(Manner::CutChunks, Verdict::MayHaveRun, 1)]
#[case::no_content_length(Manner::NoLength, Verdict::MayHaveRun, 1)]
#[case::body_over_the_limit(Manner::Huge, Verdict::MayHaveRun, 1)]
#[case::slow_answer(Manner::Late(Duration::from_millis(200)), Verdict::Ran, 1)]
#[case::late_answer(Manner::Late(LONG_DELAY), Verdict::MayHaveRun, 1)]
#[case::second_answer_at_once(Manner::Twice(Duration::ZERO), Verdict::Ran, 1)]
#[case::second_answer_later(Manner::Twice(SHORT_DELAY), Verdict::Ran, 1)]
#[case::garbage(Manner::Garbage, Verdict::MayHaveRun, 1)]
#[case::other_request_number(Manner::ForeignNumber, Verdict::MayHaveRun, 1)]
#[case::error_status(Manner::Fails, Verdict::Ran, 1)]
#[case::closes_idle_connections(Manner::ClosesIdle, Verdict::Ran, 1)]
#[case::answers_before_reading(Manner::AnswersEarly, Verdict::Ran, 0)]
#[case::interim_answer(Manner::Interim, Verdict::Ran, 1)]
#[tokio::test]
async fn non_idempotent_request_gets_an_accurate_verdict(
    #[case] manner: Manner,
    #[case] expected: Verdict,
    #[case] runs: usize,
) {
    let upstream = Hostile::start("runner-1", manner).await;
    let harness = Harness::new(&[&upstream]);
    let result = harness.run(1, false).await;
    let verdict = result.as_ref().map_or_else(|error| error.verdict, |_| Verdict::Ran);
    assert_eq!(verdict, expected, "{result:?}");
    assert_eq!(upstream.count("payload 1"), runs);
    if let Ok(answer) = &result {
        assert!(answers_request(answer, 1) || manner == Manner::AnswersEarly, "{answer:?}");
    }
    if manner == Manner::Fails {
        assert_eq!(result.map(|answer| answer.status), Ok(503));
    }
}

/// Sends consecutive requests to one upstream; each gets its own answer or an error.
#[rstest]
#[case::without_request_number(Manner::Unnumbered, true)]
#[case::overlong_body(Manner::OverlongBody, true)]
#[case::second_answer_at_once(Manner::Twice(Duration::ZERO), false)]
#[case::second_answer_later(Manner::Twice(SHORT_DELAY), false)]
#[case::second_answer_to_the_next_request(Manner::Twice(SHORT_DELAY * 12), false)]
#[case::closes_idle_connections(Manner::ClosesIdle, true)]
#[case::late_answer(Manner::Late(Duration::from_millis(800)), false)]
#[case::other_request_number(Manner::ForeignNumber, false)]
#[case::interim_answer(Manner::Interim, true)]
#[tokio::test]
async fn no_answer_reaches_another_request(#[case] manner: Manner, #[case] all_run: bool) {
    let upstream = Hostile::start("runner-1", manner).await;
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
#[case::refuses(Manner::Refuses, false, Verdict::Ran, 0)]
#[case::refuses_idempotent(Manner::Refuses, true, Verdict::Ran, 0)]
#[case::resets(Manner::ResetsLate, false, Verdict::MayHaveRun, 1)]
#[case::resets_idempotent(Manner::ResetsLate, true, Verdict::Ran, 1)]
#[case::garbage_idempotent(Manner::Garbage, true, Verdict::Ran, 1)]
#[tokio::test]
async fn safe_retry_goes_to_another_upstream(
    #[case] manner: Manner,
    #[case] is_idempotent: bool,
    #[case] expected: Verdict,
    #[case] runs: usize,
) {
    let faulty = Hostile::start("runner-1", manner).await;
    let good = Hostile::start("runner-2", Manner::Good).await;
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
    let faulty = Hostile::start("runner-1", Manner::ResetsLate).await;
    let harness = Harness::new(&[&faulty]);
    let error = harness.run(1, true).await.expect_err("no other upstream");
    // The retry finds no upstream, for which the verdict alone would be `not_run`.
    assert_eq!((error.verdict, error.code), (Verdict::MayHaveRun, Code::NoUpstream));
}

#[tokio::test]
async fn failed_precondition_prevents_the_request_from_being_sent() {
    let upstream = Hostile::start("runner-1", Manner::Good).await;
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
    let faulty = Hostile::start("runner-1", Manner::ResetsLate).await;
    let mut good = Vec::new();
    for index in 2..=5 {
        good.push(Hostile::start(&format!("runner-{index}"), Manner::Good).await);
    }
    let mut all: Vec<&Hostile> = good.iter().collect();
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
    let upstream = Hostile::start("runner-1", Manner::Late(Duration::from_millis(300))).await;
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
