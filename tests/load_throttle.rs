//! Tasks that fill workers beside tasks with a latency target: they are slowed down before users are
//! harmed, and work at full pace when it is calm.

mod support;

use eelgrassvalve::batch::fleet::Fleet;
use eelgrassvalve::batch::job::Step;
use eelgrassvalve::batch::throttle::{Throttle, Times};
use eelgrassvalve::batch::worker::{Heartbeat, Rate};
use rstest::rstest;
use support::batch::{Harness, step, task_id};

const TIMES: Times = Times { pace_ms: 100, impact_ms: 4_000 };
/// Interval of heartbeats, in milliseconds: one that is held and the transit of the answer.
const HEARTBEAT_MS: u64 = 650;

/// Latency of a task in percent of its target, at a pace of the tasks that fill its worker.
struct Latency {
    alone: u64,
    at_full_pace: u64,
}

impl Latency {
    fn at(&self, percent: u8) -> u64 {
        self.alone + (self.at_full_pace - self.alone) * u64::from(percent) / 100
    }
}

/// Follows the latency for a while. Returns the longest time over the target in milliseconds, the number of
/// changes of direction of the pace, and the last pace.
fn follow(throttle: &mut Throttle, latency: &Latency, from_ms: u64, for_ms: u64) -> (u64, u32, u8) {
    let (mut over_ms, mut longest_ms, mut turns) = (0, 0, 0);
    let mut last_direction = std::cmp::Ordering::Equal;
    for now_ms in (from_ms..from_ms + for_ms).step_by(HEARTBEAT_MS as usize) {
        let previous = throttle.percent();
        let strain = latency.at(previous);
        over_ms = if strain > 100 { over_ms + HEARTBEAT_MS } else { 0 };
        longest_ms = longest_ms.max(over_ms);
        throttle.observe(Some(strain), TIMES, now_ms);
        let direction = throttle.percent().cmp(&previous);
        if direction.is_ne() {
            turns += u32::from(last_direction.is_ne() && direction != last_direction);
            last_direction = direction;
        }
    }
    (longest_ms, turns, throttle.percent())
}

#[rstest]
#[case::harmless(Latency { alone: 30, at_full_pace: 60 }, 100, 100)]
#[case::near_the_target(Latency { alone: 30, at_full_pace: 85 }, 100, 100)]
#[case::a_little_too_much(Latency { alone: 30, at_full_pace: 120 }, 40, 60)]
#[case::far_too_much(Latency { alone: 30, at_full_pace: 1_000 }, 0, 10)]
#[case::hardly_any_room(Latency { alone: 85, at_full_pace: 500 }, 0, 0)]
#[case::over_by_itself(Latency { alone: 130, at_full_pace: 400 }, 0, 0)]
fn the_target_is_met_well_before_harm(
    #[case] latency: Latency,
    #[case] least: u8,
    #[case] most: u8,
) {
    let mut throttle = Throttle::full(0);
    let (longest_ms, turns, percent) = follow(&mut throttle, &latency, 10_000, 60_000);
    if latency.alone < 100 {
        assert!(longest_ms < TIMES.impact_ms / 2, "{longest_ms}");
    }
    assert!(turns <= 2 * 60 / 30, "the pace swings: {turns}");
    assert!((least..=most).contains(&percent), "{percent}");
}

#[test]
fn full_pace_returns_when_it_is_calm() {
    let mut throttle = Throttle::full(0);
    follow(&mut throttle, &Latency { alone: 80, at_full_pace: 500 }, 10_000, 20_000);
    assert_eq!(throttle.percent(), 0);
    let (longest_ms, _, percent) =
        follow(&mut throttle, &Latency { alone: 10, at_full_pace: 40 }, 30_000, 60_000);
    assert_eq!((longest_ms, percent), (0, 100));
    throttle.observe(Some(200), TIMES, 100_000);
    throttle.observe(None, TIMES, 100_100);
    assert_eq!(throttle.percent(), 100, "nobody is left to be disturbed");
}

/// Load that rises and falls every few seconds.
#[test]
fn a_load_that_swings_is_never_over_the_target_for_long() {
    let mut throttle = Throttle::full(0);
    for at in 0..30 {
        let alone = if at % 2 == 0 { 20 } else { 60 };
        let latency = Latency { alone, at_full_pace: 4 * alone };
        let (longest_ms, _, _) = follow(&mut throttle, &latency, 10_000 + at * 5_200, 5_200);
        assert!(longest_ms < TIMES.impact_ms / 2, "{longest_ms}");
    }
}

fn serving() -> Step {
    Step { is_lasting: true, target_ms: 100, image: "serving".into(), ..step(1) }
}

fn filler() -> Step {
    Step { is_filler: true, image: "filler".into(), ..step(1) }
}

/// A worker that runs a task with a latency target, one that fills and an ordinary one.
fn harness() -> Harness {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, "urgent", vec![serving()]);
    harness.submit(2, "small", vec![filler()]);
    harness.submit(3, "small", vec![step(1)]);
    harness.run_round();
    harness
}

fn report_latency(heartbeat: &mut Heartbeat, latency_ms: u64) {
    for row in heartbeat.running.iter_mut().filter(|row| row.task.job.0 == 1) {
        row.percent = 100;
        row.gauge = latency_ms;
    }
}

impl Harness {
    // Passes some time, reports a latency and returns the paces in the answer.
    fn paces(&mut self, latency_ms: u64) -> Vec<Rate> {
        self.now_ms += HEARTBEAT_MS;
        self.receive_heartbeat("w0", |heartbeat| report_latency(heartbeat, latency_ms));
        let orders = self.fleet.issue_orders("w0", &self.table);
        self.answer_heartbeat("w0");
        orders.rates
    }
}

fn pace(percent: u8) -> Vec<Rate> {
    vec![Rate { task: task_id(2, 0, 0), run: 1, percent }]
}

#[test]
fn only_tasks_that_fill_are_paced() {
    let mut harness = harness();
    assert_eq!(harness.paces(50), pace(100));
    assert_eq!(harness.paces(300), pace(50));
    assert_eq!(harness.paces(300), pace(25));
    assert_eq!(harness.paces(300), pace(0));
    let session = harness.fleet.session("w0").expect("it has a session");
    assert!(session.was_paced(&task_id(2, 0, 0), 1));
    assert!(!session.was_paced(&task_id(3, 0, 0), 1));
}

#[test]
fn a_task_that_starts_while_others_are_paced_begins_at_their_pace() {
    let mut harness = harness();
    harness.paces(300);
    harness.submit(4, "small", vec![filler()]);
    harness.run_round();
    let rates = harness.paces(80);
    assert!(rates.iter().all(|rate| rate.percent == 50), "{rates:?}");
    assert_eq!(rates.len(), 2);
}

/// Runs keep the pace that they were told last, which a new leader doesn't know.
#[test]
fn a_new_leader_begins_with_a_low_pace_and_raises_it() {
    let mut harness = harness();
    harness.paces(50);
    harness.fleet = Fleet::of_term(2);
    assert_eq!(harness.paces(50), pace(25));
    assert_eq!(harness.paces(50), pace(35));
}

#[test]
fn a_new_leader_releases_tasks_that_disturb_nobody() {
    let mut harness = harness();
    harness.end(task_id(1, 0, 0), 1, eelgrassvalve::batch::worker::Exit::Failed);
    harness.fleet = Fleet::of_term(2);
    assert_eq!(harness.paces(0), pace(100));
}

/// A run at a pace of 0 makes no progress for a minute.
#[test]
fn a_paced_run_does_not_count_as_stuck() {
    let mut harness = harness();
    for _ in 0..100 {
        harness.paces(300);
    }
    let stuck: Vec<u64> = harness.stuck_runs().iter().map(|(task, _)| task.job.0).collect();
    assert_eq!(stuck, [3], "the ordinary run stands still as well");
}
