//! Tasks that slow each other down on one worker: they are placed apart where there is room, and nothing
//! waits for it.

mod support;

use std::collections::BTreeMap;

use eelgrassvalve::batch::interference::{Image, Interference, Sample};
use eelgrassvalve::batch::job::{Step, TaskId};
use eelgrassvalve::batch::worker::{End, Exit};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use support::batch::{Harness, step, task_id};

/// Interval of rounds and heartbeats, in milliseconds.
const TICK_MS: u64 = 250;
/// Run time of a task by itself, in milliseconds.
const RUN_MS: f64 = 4_000.0;
const MINUTE_MS: u64 = 60_000;

fn image(name: &str, count: u32) -> Step {
    Step { image: name.into(), estimate_ms: RUN_MS as u64, ..step(count) }
}

/// Workers on which runs of the image `fragile` take longer beside runs of the image `noisy`.
struct Load {
    harness: Harness,
    workers: usize,
    slowdown: f64,
    // Work left, in milliseconds, by run.
    left_ms: BTreeMap<(TaskId, u32), f64>,
    next_job: u64,
    rng: SmallRng,
}

impl Load {
    fn new(workers: usize, slowdown: f64) -> Self {
        let harness = Harness::with_workers(workers);
        let rng = SmallRng::seed_from_u64(1);
        Self { harness, workers, slowdown, left_ms: BTreeMap::new(), next_job: 1, rng }
    }

    fn images_on(&self, worker: &str) -> Vec<(TaskId, u32, String)> {
        let table = &self.harness.table;
        let runs = table.runs_on(worker).map(|(task, run)| (*task, run.number));
        let image = |task: &TaskId| table.live[&task.job].spec.steps[0].image.clone();
        runs.map(|(task, run)| (task, run, image(&task))).collect()
    }

    // Submits jobs, and lets all runs work until the next tick. Returns the number of fragile runs, and
    // how many of them are beside a noisy one.
    fn tick(&mut self) -> (usize, usize) {
        for name in ["fragile", "noisy", "plain"] {
            if self.rng.random_bool(0.08) {
                self.harness.submit(self.next_job, "small", vec![image(name, 2)]);
                self.next_job += 1;
            }
        }
        self.harness.run_round();
        self.harness.now_ms += TICK_MS;
        let (mut fragile, mut disturbed) = (0, 0);
        for worker in (0..self.workers).map(|at| format!("w{at}")) {
            let runs = self.images_on(&worker);
            let is_noisy = runs.iter().any(|(_, _, image)| image == "noisy");
            let mut done = Vec::new();
            for (task, run, image) in runs {
                let is_fragile = image == "fragile";
                fragile += usize::from(is_fragile);
                disturbed += usize::from(is_fragile && is_noisy);
                let factor = if is_fragile && is_noisy { self.slowdown } else { 1.0 };
                let work_ms = RUN_MS * self.rng.random_range(0.8..1.2);
                let left_ms = self.left_ms.entry((task, run)).or_insert(work_ms);
                *left_ms -= TICK_MS as f64 / factor;
                if *left_ms <= 0.0 {
                    done.push((task, run));
                }
            }
            self.report(&worker, &done);
        }
        (fragile, disturbed)
    }

    fn report(&mut self, worker: &str, done: &[(TaskId, u32)]) {
        let receipt = self.harness.receive_heartbeat(worker, |heartbeat| {
            heartbeat.running.retain(|row| !done.contains(&(row.task, row.run)));
            heartbeat.ended = (1..)
                .zip(done)
                .map(|(number, (task, run))| End {
                    number,
                    task: *task,
                    run: *run,
                    how: Exit::Done,
                    checkpoint: String::new(),
                })
                .collect();
        });
        self.harness.answer_heartbeat(worker);
        let now_ms = self.harness.now_ms;
        for end in &receipt.ends {
            let Harness { fleet, table, estimates, .. } = &mut self.harness;
            let session = fleet.session(worker).expect("it has a session");
            let expected_ms = session.expected_run_ms(&end.task, table, estimates, 3);
            estimates.interference.observe_end(table, end, Some(expected_ms), now_ms);
        }
        self.harness.learn(&receipt);
        self.harness.commit_ends(receipt);
    }

    // Share of the fragile runs' time that is spent beside noisy ones, over some minutes.
    fn disturbed_share(&mut self, minutes: u64) -> f64 {
        let (mut fragile, mut disturbed) = (0, 0);
        for _ in 0..minutes * MINUTE_MS / TICK_MS {
            let counts = self.tick();
            fragile += counts.0;
            disturbed += counts.1;
        }
        disturbed as f64 / fragile as f64
    }
}

/// A half-full pool in which best fit puts all images on the same workers.
#[test]
fn images_that_slow_each_other_down_are_apart_after_some_minutes() {
    let mut load = Load::new(8, 2.0);
    let before = load.disturbed_share(1);
    load.disturbed_share(4);
    let after = load.disturbed_share(5);
    assert!(before > 0.5, "{before}");
    assert!(after < 0.1, "{after}");
    let now_ms = load.harness.now_ms;
    let pairs = load.harness.estimates.interference.pairs(now_ms);
    assert!(
        pairs.iter().all(|pair| pair.image == "fragile" && pair.beside == "noisy"),
        "{pairs:?}"
    );
}

/// Images that don't affect each other share workers, so that whole workers stay free for gangs.
#[test]
fn images_without_effect_on_each_other_stay_together() {
    let mut load = Load::new(8, 1.0);
    let before = load.disturbed_share(3);
    let after = load.disturbed_share(5);
    assert!((after - before).abs() < 0.2, "{before} {after}");
    let now_ms = load.harness.now_ms;
    assert_eq!(load.harness.estimates.interference.pairs(now_ms), []);
}

/// A pool in which the only free room is beside a noisy run.
#[rstest]
#[case::urgent("urgent")]
#[case::small("small")]
fn nothing_waits_for_room_apart(#[case] queue: &str) {
    let mut harness = Harness::with_workers(2);
    suspect(&mut harness.estimates.interference, harness.now_ms);
    harness.submit(1, "small", vec![image("noisy", 15)]);
    harness.run_round();
    harness.receive_heartbeats(2);
    harness.submit(2, queue, vec![image("fragile", 1)]);
    harness.run_round();
    assert!(harness.worker_of(task_id(2, 0, 0)).is_some());
}

/// Each direction of an effect keeps a pair apart, also within one decision.
#[rstest]
#[case::disturbed_task_second("noisy", "fragile")]
#[case::disturbing_task_second("fragile", "noisy")]
fn a_suspected_pair_is_placed_apart(#[case] first: &str, #[case] second: &str) {
    let mut harness = Harness::with_workers(2);
    suspect(&mut harness.estimates.interference, harness.now_ms);
    harness.submit(1, "small", vec![image(first, 1)]);
    harness.submit(2, "small", vec![image(second, 1)]);
    harness.run_round();
    assert_ne!(harness.worker_of(task_id(1, 0, 0)), harness.worker_of(task_id(2, 0, 0)));
}

fn learn(interference: &mut Interference, ratio: f64, is_beside: bool, now_ms: u64) {
    let noisy = interference.register(Image::Named("noisy"), now_ms);
    let beside = if is_beside { vec![(noisy, 1.0)] } else { Vec::new() };
    let sample = Sample { image: Image::Named("fragile"), ratio, weight: 1.0, beside };
    interference.learn(&sample, now_ms);
}

// Makes `noisy` count as disturbing `fragile`.
fn suspect(interference: &mut Interference, now_ms: u64) {
    for _ in 0..20 {
        learn(interference, 1.0, false, now_ms);
        learn(interference, 2.0, true, now_ms);
    }
    assert_eq!(interference.pairs(now_ms).len(), 1);
}

#[test]
fn a_suspicion_fades_without_new_samples() {
    let mut interference = Interference::default();
    suspect(&mut interference, 0);
    assert_eq!(interference.pairs(5 * MINUTE_MS).len(), 1);
    assert_eq!(interference.pairs(20 * MINUTE_MS), []);
}

#[test]
fn a_suspicion_ends_when_samples_disagree() {
    let mut interference = Interference::default();
    suspect(&mut interference, 0);
    for minute in 0..5 {
        for _ in 0..20 {
            learn(&mut interference, 1.0, true, minute * MINUTE_MS);
            learn(&mut interference, 1.0, false, minute * MINUTE_MS);
        }
    }
    assert_eq!(interference.pairs(5 * MINUTE_MS), []);
}

/// An even fleet with scattered run times, of which one in thirty is seven times as long.
#[rstest]
fn a_long_tail_raises_no_suspicion(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut interference = Interference::default();
    for at in 0..3_000 {
        let tail = if rng.random_bool(1.0 / 30.0) { 7.0 } else { 1.0 };
        let ratio = rng.random_range(0.6..1.6) * tail;
        learn(&mut interference, ratio, rng.random_bool(0.4), at * 200);
        assert_eq!(interference.pairs(at * 200), []);
    }
}

/// A harmless image that always runs beside a disturbing one.
#[test]
fn a_harmless_companion_of_a_disturbing_image_is_not_suspected() {
    let mut interference = Interference::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let noisy = interference.register(Image::Named("noisy"), 0);
    let plain = interference.register(Image::Named("plain"), 0);
    for at in 0..1_000 {
        let (is_noisy, is_plain) = match rng.random_range(0..4) {
            0 => (true, true),
            1 => (true, rng.random_bool(0.5)),
            2 => (false, true),
            _ => (false, false),
        };
        let mut beside = Vec::new();
        beside.extend(is_noisy.then_some((noisy, 1.0)));
        beside.extend(is_plain.then_some((plain, 1.0)));
        let ratio = rng.random_range(0.8..1.2) * if is_noisy { 2.0 } else { 1.0 };
        let image = Image::Named("fragile");
        interference.learn(&Sample { image, ratio, weight: 1.0, beside }, at * 500);
    }
    let pairs = interference.pairs(500_000);
    let beside: Vec<&str> = pairs.iter().map(|pair| pair.beside.as_str()).collect();
    assert_eq!(beside, ["noisy"], "{pairs:?}");
}

#[test]
fn memory_is_bounded_however_many_images_there_are() {
    let mut interference = Interference::default();
    for at in 0..10_000 {
        let id = interference.register(Image::Named(&format!("image-{at}")), at);
        assert!(id < 64);
    }
}
