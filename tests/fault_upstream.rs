//! Upstreams that misbehave: one row a fault, with the verdict that the caller gets, how often
//! the request ran, and that no answer reaches another request.

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

struct Bench {
    timer: Timer,
    router: Arc<Router>,
}

impl Bench {
    fn new(upstreams: &[&FaultyUpstream]) -> Self {
        let timer = Timer::system();
        let text = "[daemon]\nname = \"host-1\"\nzone = \"zone-1\"\n[listen]\n\
            callers = \"127.0.0.1:1\"\noperators = \"127.0.0.1:2\"\nplatform = \"127.0.0.1:3\"\n\
            health = \"127.0.0.1:4\"\nmesh = \"127.0.0.1:5\"\n[mesh]\nkey_file = \"key\"\n\
            [tokens]\nnone = true\n";
        let settings = Settings::parse(text, "test", Path::new(".")).expect("valid settings");
        let router = Router::new(&settings, timer.clone());
        let bench = Self { timer, router };
        for upstream in upstreams {
            bench.announce(upstream, 8);
        }
        bench
    }

    fn announce(&self, upstream: &FaultyUpstream, slots: u32) {
        let now_ms = self.timer.now_ms();
        let announce = upstream.announce(slots, now_ms + 1);
        self.router.upstreams.lock().receive(&upstream.id, &announce, now_ms);
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

fn is_own(answer: &Answer, number: u64) -> bool {
    answer.body.as_deref() == Some(format!("plan:payload {number}").as_bytes())
}

const SHORT: Duration = Duration::from_millis(15);
const LONG: Duration = Duration::from_millis(1_500);

/// The verdict for every way an attempt can end; docs/design/routing.md has the same table.
#[rstest]
#[case::whole_answer(Behavior::Normal, Verdict::Ran, 1)]
#[case::unnumbered_answer(Behavior::Unnumbered, Verdict::Ran, 1)]
#[case::refuses_connections(Behavior::Refuses, Verdict::NotRun, 0)]
#[case::never_answers(Behavior::Silent, Verdict::MayHaveRun, 1)]
#[case::resets_before_reading_all(Behavior::ResetsEarly, Verdict::MayHaveRun, 0)]
#[case::resets_after_reading(Behavior::ResetsLate, Verdict::MayHaveRun, 1)]
#[case::closes_mid_body(Behavior::ClosesMidBody, Verdict::MayHaveRun, 1)]
#[case::short_body(Behavior::ShortBody, Verdict::MayHaveRun, 1)]
#[case::overlong_body(Behavior::OverlongBody, Verdict::Ran, 1)]
#[case::cut_chunks(Behavior::TruncatedChunks, Verdict::MayHaveRun, 1)]
#[case::no_length(Behavior::NoLength, Verdict::MayHaveRun, 1)]
#[case::huge_body(Behavior::OversizedBody, Verdict::MayHaveRun, 1)]
#[case::slow_answer(Behavior::Late(Duration::from_millis(200)), Verdict::Ran, 1)]
#[case::late_answer(Behavior::Late(LONG), Verdict::MayHaveRun, 1)]
#[case::second_answer_at_once(Behavior::Twice(Duration::ZERO), Verdict::Ran, 1)]
#[case::second_answer_later(Behavior::Twice(SHORT), Verdict::Ran, 1)]
#[case::garbage(Behavior::Garbage, Verdict::MayHaveRun, 1)]
#[case::foreign_number(Behavior::WrongNumber, Verdict::MayHaveRun, 1)]
#[case::own_failure(Behavior::Fails, Verdict::Ran, 1)]
#[case::closes_idle(Behavior::ClosesIdle, Verdict::Ran, 1)]
#[case::answers_before_reading(Behavior::AnswersEarly, Verdict::Ran, 0)]
#[case::interim_answer(Behavior::Interim, Verdict::Ran, 1)]
#[tokio::test]
async fn a_request_that_may_not_be_repeated_gets_the_true_verdict(
    #[case] manner: Behavior,
    #[case] expected: Verdict,
    #[case] runs: usize,
) {
    let upstream = FaultyUpstream::start("runner-1", manner).await;
    let bench = Bench::new(&[&upstream]);
    let result = bench.run(1, false).await;
    let verdict = result.as_ref().map_or_else(|error| error.verdict, |_| Verdict::Ran);
    assert_eq!(verdict, expected, "{result:?}");
    assert_eq!(upstream.count("payload 1"), runs);
    if let Ok(answer) = &result {
        assert!(is_own(answer, 1) || manner == Behavior::AnswersEarly, "{answer:?}");
    }
    if manner == Behavior::Fails {
        assert_eq!(result.map(|answer| answer.status), Ok(503));
    }
}

/// Requests one after the other on the same upstream: a request gets its own answer or none.
#[rstest]
#[case::unnumbered(Behavior::Unnumbered, true)]
#[case::overlong_body(Behavior::OverlongBody, true)]
#[case::second_answer_at_once(Behavior::Twice(Duration::ZERO), false)]
#[case::second_answer_later(Behavior::Twice(SHORT), false)]
#[case::second_answer_to_the_next_request(Behavior::Twice(SHORT * 12), false)]
#[case::closes_idle(Behavior::ClosesIdle, true)]
#[case::late_answer(Behavior::Late(Duration::from_millis(800)), false)]
#[case::foreign_number(Behavior::WrongNumber, false)]
#[case::interim_answer(Behavior::Interim, true)]
#[tokio::test]
async fn no_answer_reaches_another_request(#[case] manner: Behavior, #[case] all_run: bool) {
    let upstream = FaultyUpstream::start("runner-1", manner).await;
    let bench = Bench::new(&[&upstream]);
    for number in 1..=6 {
        bench.announce(&upstream, 8);
        let result = bench.run(number, false).await;
        match &result {
            Ok(answer) => assert!(is_own(answer, number), "{number}: {answer:?}"),
            Err(error) => assert!(!all_run, "{number}: {error}"),
        }
        let runs = upstream.count(&format!("payload {number}"));
        assert!(runs <= 1, "ran {runs} times");
        let not_run = result.is_err_and(|error| error.verdict == Verdict::NotRun);
        assert!(!not_run || runs == 0, "told not_run, but it ran");
        tokio::time::sleep(SHORT * 2).await;
    }
}

#[rstest]
#[case::refuses(Behavior::Refuses, false, Verdict::Ran, 0)]
#[case::refuses_idempotent(Behavior::Refuses, true, Verdict::Ran, 0)]
#[case::resets(Behavior::ResetsLate, false, Verdict::MayHaveRun, 1)]
#[case::resets_idempotent(Behavior::ResetsLate, true, Verdict::Ran, 1)]
#[case::garbage_idempotent(Behavior::Garbage, true, Verdict::Ran, 1)]
#[tokio::test]
async fn a_retry_goes_to_another_upstream_where_that_is_safe(
    #[case] manner: Behavior,
    #[case] is_idempotent: bool,
    #[case] expected: Verdict,
    #[case] runs: usize,
) {
    let bad = FaultyUpstream::start("runner-1", manner).await;
    let good = FaultyUpstream::start("runner-2", Behavior::Normal).await;
    let bench = Bench::new(&[&bad]);
    // Only the bad one is known at first, so the first attempt goes there.
    let run = bench.run(1, is_idempotent);
    let announce = async {
        tokio::time::sleep(Duration::from_millis(1)).await;
        bench.announce(&good, 8);
    };
    let (result, ()) = tokio::join!(run, announce);
    let verdict = result.as_ref().map_or_else(|error| error.verdict, |_| Verdict::Ran);
    assert_eq!(verdict, expected, "{result:?}");
    assert_eq!(bad.count("payload 1"), runs);
    assert_eq!(good.count("payload 1"), usize::from(expected == Verdict::Ran));
}

#[tokio::test]
async fn an_earlier_attempt_that_may_have_run_is_not_forgotten_by_the_last_verdict() {
    let bad = FaultyUpstream::start("runner-1", Behavior::ResetsLate).await;
    let bench = Bench::new(&[&bad]);
    let error = bench.run(1, true).await.expect_err("no other upstream");
    // The retry found no upstream, which alone would be `not_run`.
    assert_eq!((error.verdict, error.code), (Verdict::MayHaveRun, Code::NoUpstream));
}

#[tokio::test]
async fn a_closed_gate_keeps_the_request_from_being_sent() {
    let upstream = FaultyUpstream::start("runner-1", Behavior::Normal).await;
    let bench = Bench::new(&[&upstream]);
    let request = Request {
        number: 1,
        kind: "plan".into(),
        rank: 0,
        customer: "anyone".into(),
        share: 1,
        payload: Bytes::from_static(b"payload 1"),
        content_type: None,
        is_idempotent: true,
        deadline_ms: bench.timer.now_ms() + 1_000,
        caller: None,
    };
    let closed = || Err(Error::not_run(Code::NoLease, "the lease lapsed"));
    let error = bench.router.run(&request, &closed).await.expect_err("the gate is closed");
    assert_eq!((error.verdict, error.code), (Verdict::NotRun, Code::NoLease));
    assert_eq!(upstream.count("payload 1"), 0);
}

#[tokio::test]
async fn a_failing_upstream_is_ejected_and_probed_back() {
    let bad = FaultyUpstream::start("runner-1", Behavior::ResetsLate).await;
    let mut good = Vec::new();
    for at in 2..=5 {
        good.push(FaultyUpstream::start(&format!("runner-{at}"), Behavior::Normal).await);
    }
    let mut all: Vec<&FaultyUpstream> = good.iter().collect();
    all.push(&bad);
    let bench = Bench::new(&all);
    let mut failures = 0;
    for number in 1..=200 {
        for upstream in &all {
            bench.announce(upstream, 8);
        }
        failures += usize::from(bench.run(number, false).await.is_err());
    }
    // Five failures eject it; without ejection about 40 of 200 requests would fail.
    assert!((5..=8).contains(&failures), "{failures} failures");
}

#[tokio::test]
async fn a_caller_that_goes_away_frees_its_place_in_the_queue() {
    let upstream =
        FaultyUpstream::start("runner-1", Behavior::Late(Duration::from_millis(300))).await;
    let bench = Bench::new(&[]);
    bench.announce(&upstream, 1);
    let (here, caller) = watch::channel(());
    let leaves = async {
        while upstream.count("payload 1") == 0 || bench.router.waiting_count() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        drop(here);
    };
    let first = bench.run(1, false);
    let second = bench.run_for(2, false, Some(caller));
    let (first, second, ()) = tokio::join!(first, second, leaves);
    assert!(first.is_ok_and(|answer| is_own(&answer, 1)));
    assert_eq!(second.map_err(|error| error.verdict), Err(Verdict::NotRun));
    assert_eq!((bench.router.waiting_count(), upstream.count("payload 2")), (0, 0));
}
