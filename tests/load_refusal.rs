//! Backlogs that can't be worked off in time: which jobs are refused, and in which order their callers
//! return.

use std::collections::BTreeMap;

use eelgrassvalve::batch::admission::{Admission, Backlog, Refusal, Request};
use eelgrassvalve::batch::document::{Customer, Document, Terms};
use eelgrassvalve::batch::job::{Id, Resources};
use eelgrassvalve::batch::share::Share;
use eelgrassvalve::batch::table::Table;
use rstest::rstest;

/// Capacity of the pool: a task of one accelerator and 1 s is 10 ms of its work.
const CAPACITY: Resources =
    Resources { cpu_milli: 1_000_000, memory_mb: 1_000_000, accelerators: 100 };
/// Run time of all tasks, in milliseconds.
const RUN_MS: u64 = 1_000;
/// Time within which a job is of use: three times its stretch of two and the target of 1 s.
const USEFUL_MS: u64 = 9_000;

fn terms(priority: u32) -> Terms {
    Terms { pool: "pool".into(), priority, attempts: 3, stretch: 2.0, target_ms: 1_000 }
}

fn document() -> Document {
    let customer = |name: &str| Customer { name: name.into(), keys: Vec::new(), guaranteed: 0 };
    Document { customers: ["burst", "small", "other"].map(customer).into(), ..Document::default() }
}

fn work(tasks: u64) -> Share {
    let demand = Resources { accelerators: 1, ..Resources::default() };
    Backlog::new(CAPACITY).work(&demand, false, tasks, RUN_MS)
}

/// Waiting work as (priority, customer, tasks, is late).
fn admission(waiting: &[(u32, &str, u64, bool)]) -> Admission {
    let mut backlog = Backlog::new(CAPACITY);
    for (priority, customer, tasks, is_late) in waiting {
        backlog.add(*priority, customer, work(*tasks), *is_late);
    }
    let mut admission = Admission::default();
    admission.update(BTreeMap::from([("pool".into(), backlog)]), &Table::default(), 0);
    admission
}

fn request<'a>(id: u64, customer: &'a str, terms: &'a Terms, tasks: u64) -> Request<'a> {
    Request { id: Id(id), customer, terms, work: work(tasks), critical_path_ms: RUN_MS }
}

fn refusal(admission: &Admission, customer: &str, priority: u32, tasks: u64) -> Option<Refusal> {
    admission.refusal(&request(1, customer, &terms(priority), tasks), &document())
}

/// A pool that does 100 tasks a second does 1,700 in 17 s, twice the useful time less the job itself.
#[rstest]
#[case::idle(&[], false)]
#[case::in_time_if_run_times_were_half(&[(1, "burst", 1_700, false)], false)]
#[case::certainly_late(&[(1, "burst", 1_800, false)], true)]
#[case::behind_more_urgent_work(&[(0, "other", 1_800, true)], true)]
#[case::before_less_urgent_work(&[(2, "burst", 9_000, false)], false)]
#[case::before_work_that_is_late(&[(1, "burst", 9_000, true)], false)]
fn jobs_that_are_certainly_of_no_use_are_refused(
    #[case] waiting: &[(u32, &str, u64, bool)],
    #[case] is_refused: bool,
) {
    assert_eq!(refusal(&admission(waiting), "burst", 1, 10).is_some(), is_refused);
}

/// The same backlog refuses its own customer's jobs and not those of customers that take turns with it.
#[rstest]
#[case::burst("burst", true)]
#[case::small("small", false)]
fn a_burst_is_refused_and_others_are_not(#[case] customer: &str, #[case] is_refused: bool) {
    let admission = admission(&[(1, "burst", 5_000, false), (1, "small", 10, false)]);
    assert_eq!(refusal(&admission, customer, 1, 10).is_some(), is_refused);
}

/// Nothing is refused while the waiting work isn't known, as after a change of leader.
#[test]
fn an_unknown_backlog_refuses_nothing() {
    assert_eq!(refusal(&Admission::default(), "burst", 1, 10), None);
}

/// A hand-in whose outcome isn't known may still be committed.
#[test]
fn a_job_that_was_proposed_is_never_refused() {
    let mut admission = admission(&[(1, "burst", 9_000, false)]);
    assert!(refusal(&admission, "burst", 1, 10).is_some());
    admission.record_proposed(&request(1, "burst", &terms(1), 10), 0);
    assert_eq!(refusal(&admission, "burst", 1, 10), None);
}

/// Callers that are refused at the same moment are told to return at the rate at which the pool works: each
/// of the burst's jobs takes it 1 s.
#[test]
fn returns_are_spread() {
    let (terms, document) = (terms(1), document());
    let mut admission = admission(&[(1, "burst", 2_000, false)]);
    let mut delays = Vec::new();
    for id in 1..=5 {
        let request = request(id, "burst", &terms, 100);
        let refusal = admission.refusal(&request, &document).expect("it is refused");
        admission.record_refused(&request, refusal, 0);
        delays.push(refusal.retry_after_ms);
    }
    let first = 20_000 + RUN_MS - USEFUL_MS;
    assert_eq!(delays, (0..5).map(|at| first + at * 1_000).collect::<Vec<u64>>());
}

/// Who was refused first returns first: a new job of the same customer waits behind the places of those
/// before it, and they don't wait behind it.
#[test]
fn early_callers_are_not_overtaken() {
    let (terms, document) = (terms(1), document());
    let mut admission = admission(&[(1, "burst", 2_000, false)]);
    for id in 1..=10 {
        let request = request(id, "burst", &terms, 100);
        let refusal = admission.refusal(&request, &document).expect("it is refused");
        admission.record_refused(&request, refusal, 0);
    }
    // Most of the waiting work is done by the time that the first returns.
    let mut backlog = Backlog::new(CAPACITY);
    backlog.add(1, "burst", work(1_000), false);
    admission.update(BTreeMap::from([("pool".into(), backlog)]), &Table::default(), 12_000);
    assert_eq!(admission.refusal(&request(1, "burst", &terms, 100), &document), None);
    assert!(admission.refusal(&request(11, "burst", &terms, 100), &document).is_some());
    assert_eq!(admission.refusal(&request(12, "small", &terms, 100), &document), None);
}

/// Places that nobody claims don't keep others out.
#[test]
fn unclaimed_places_are_given_up() {
    let (terms, document) = (terms(1), document());
    let mut admission = admission(&[(1, "burst", 2_000, false)]);
    for id in 1..=20 {
        let request = request(id, "burst", &terms, 100);
        let refusal = admission.refusal(&request, &document).expect("it is refused");
        admission.record_refused(&request, refusal, 0);
    }
    let idle = || BTreeMap::from([("pool".to_string(), Backlog::new(CAPACITY))]);
    admission.update(idle(), &Table::default(), 1_000);
    assert!(admission.refusal(&request(30, "burst", &terms, 100), &document).is_some());
    admission.update(idle(), &Table::default(), 120_000);
    assert_eq!(admission.refusal(&request(30, "burst", &terms, 100), &document), None);
}
