//! Guarantees: packing, admission, and their invariant under random sequences of events.

mod support;

use eelgrassvalve::placement::guarantee;
use eelgrassvalve::state::document::Document;
use eelgrassvalve::state::job::{Phase, Spec};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};
use support::replay::{Replay, fleet, spec};

fn document(guarantees: &[Value], spare_workers: u32) -> Document {
    let mut customers = Vec::new();
    for (index, guarantee) in guarantees.iter().enumerate() {
        customers.push(json!({ "name": format!("customer-{index}"), "guarantee": guarantee }));
    }
    let document = json!({
        "placement": { "policy": "cells", "spare_workers": spare_workers },
        "kinds": [
            { "name": "urgent", "rank": 0 }, { "name": "usual", "rank": 1 },
            { "name": "idle", "rank": 3, "deadline_ms": 86_400_000 },
        ],
        "customers": customers,
    });
    serde_json::from_value(document).expect("the document is valid")
}

fn default_document() -> Document {
    let rack = json!([{ "cell": "rack", "count": 1 }]);
    let workers = json!([{ "cell": "worker", "count": 3 }, { "cell": "2", "count": 2 }]);
    document(&[rack, workers, json!([{ "cell": "4", "count": 3 }])], 1)
}

#[rstest]
#[case::fits(json!([{ "cell": "rack", "count": 2 }]), 0, 16, None)]
#[case::too_many_racks(json!([{ "cell": "rack", "count": 3 }]), 0, 16, Some("1 of 3 cells of level rack"))]
#[case::no_spare_rack(json!([{ "cell": "rack", "count": 2 }]), 1, 16, Some("once 1 workers are lost"))]
#[case::spare_rack(json!([{ "cell": "rack", "count": 2 }]), 1, 24, None)]
#[case::spare_workers(json!([{ "cell": "worker", "count": 14 }]), 2, 16, None)]
#[case::no_spare_worker(json!([{ "cell": "worker", "count": 15 }]), 2, 16, Some("1 of 15 cells of level worker"))]
#[case::mixed_cells(json!([{ "cell": "4", "count": 1 }, { "cell": "2", "count": 62 }]), 0, 16, None)]
#[case::too_many_mixed_cells(json!([{ "cell": "4", "count": 1 }, { "cell": "2", "count": 63 }]), 0, 16, Some("1 of 63 cells of level 2"))]
#[case::no_workers_known(json!([{ "cell": "rack", "count": 9 }]), 3, 0, None)]
fn a_document_is_admitted_only_if_its_guarantees_fit(
    #[case] guarantee: Value,
    #[case] spare_workers: u32,
    #[case] workers: usize,
    #[case] expected: Option<&str>,
) {
    let faults = guarantee::validate(&document(&[guarantee], spare_workers), &fleet(workers, 8));
    match expected {
        Some(message) => assert!(faults[0].message.contains(message), "{faults:?}"),
        None => assert_eq!(faults, Vec::new()),
    }
}

#[test]
fn workers_with_one_accelerator_hold_worker_cells() {
    let guarantee = json!([{ "cell": "worker", "count": 40 }, { "cell": "1", "count": 9 }]);
    let faults = guarantee::validate(&document(&[guarantee], 1), &fleet(50, 1));
    assert_eq!(faults, Vec::new());
}

#[test]
fn a_guarantee_is_reclaimed_from_work_of_other_customers() {
    let mut replay = Replay::new(default_document(), fleet(16, 8), None);
    for index in 0..16 {
        replay.submit(&format!("foreign-{index:02}"), "customer-2", spec("urgent", 1, 8), 600_000);
    }
    replay.step(200);
    replay.step(400);
    let mut own = spec("idle", 8, 8);
    own.evictable = false;
    replay.submit("own", "customer-0", own, 1_000);
    let submitted_ms = replay.now_ms();
    while replay.phase("own") != "started" {
        replay.step(200);
        assert!(replay.now_ms() < submitted_ms + 6_200, "{}", replay.explain("own"));
    }
}

#[test]
fn a_lost_worker_moves_cells_or_is_reported_as_a_risk() {
    let document = default_document();
    let all_workers = fleet(16, 8);
    let mut workers = all_workers.clone();
    workers.remove(0);
    assert_eq!(guarantee::find_risks(&document, &workers, &all_workers), Vec::new());
    workers.pop();
    let risks = guarantee::find_risks(&document, &workers, &all_workers);
    assert_eq!(risks[0].customer, "customer-0");
}

#[derive(Clone, Debug)]
enum Event {
    Submit { customer: usize, kind: usize, parts: u32, accelerators: u32, evictable: bool },
    Cancel(usize),
    Lose(usize),
    Return,
    Reconfigure(usize),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..4usize, 0..3usize, 1..6u32, 1..9u32, any::<bool>()).prop_map(
            |(customer, kind, parts, accelerators, evictable)| Event::Submit {
                customer, kind, parts, accelerators, evictable,
            },
        ),
        1 => (0..40usize).prop_map(Event::Cancel),
        1 => (0..20usize).prop_map(Event::Lose),
        1 => Just(Event::Return),
        1 => (0..3usize).prop_map(Event::Reconfigure),
        6 => (200..5_000u64).prop_map(Event::Wait),
    ]
}

fn documents() -> [Document; 3] {
    let workers = json!([{ "cell": "worker", "count": 4 }]);
    let rack = json!([{ "cell": "rack", "count": 1 }, { "cell": "1", "count": 3 }]);
    let fewer = document(&[workers.clone(), rack, json!([{ "cell": "2", "count": 1 }])], 0);
    let none = document(&[json!([]), workers, json!([])], 0);
    [default_document(), fewer, none]
}

struct Simulation {
    replay: Replay,
    lost_workers: Vec<eelgrassvalve::placement::Worker>,
    submitted_jobs: usize,
}

impl Simulation {
    fn apply(&mut self, event: &Event) {
        match event {
            Event::Submit { customer, kind, parts, accelerators, evictable } => {
                let kind = ["urgent", "usual", "idle"][*kind];
                let spec = Spec { evictable: *evictable, ..spec(kind, *parts, *accelerators) };
                let id = format!("job-{:03}", self.submitted_jobs);
                self.submitted_jobs += 1;
                self.replay.submit(&id, &format!("customer-{customer}"), spec, 4_000);
            }
            Event::Cancel(index) => {
                let customer = format!("customer-{}", index % 4);
                let ids = vec![format!("job-{index:03}")];
                self.replay.apply(eelgrassvalve::state::job::Command::Cancel { customer, ids });
            }
            Event::Lose(index) if self.replay.workers.len() > 14 => {
                let worker = self.replay.workers[index % self.replay.workers.len()].clone();
                self.replay.remove_worker(&worker.name);
                self.lost_workers.push(worker);
            }
            Event::Return => {
                self.replay.workers.append(&mut self.lost_workers);
                self.replay.workers.sort_by(|a, b| a.name.cmp(&b.name));
            }
            Event::Reconfigure(index) => self.replay.document = documents()[*index].clone(),
            Event::Wait(by_ms) => self.replay.step(*by_ms),
            Event::Lose(_) => {}
        }
    }

    // Reads only the job table, so that the check does not rely on the policy's own bookkeeping.
    fn check_placements(&self) {
        let mut used_accelerators: std::collections::BTreeMap<&str, u32> = Default::default();
        for job in self.replay.jobs.live.values() {
            let Some(gang) = job.phase.gang() else { continue };
            assert!(
                gang.guaranteed || job.spec.evictable,
                "{} is not evictable and was placed outside its guarantee",
                job.id
            );
            assert_eq!(
                gang.parts.len(),
                job.spec.parts as usize,
                "{} lacks some of its parts",
                job.id
            );
            for part in &gang.parts {
                assert_eq!(part.accelerators.count_ones(), job.spec.accelerators);
                let used = used_accelerators.entry(&part.worker).or_default();
                assert_eq!(*used & part.accelerators, 0, "{} shares accelerators", job.id);
                *used |= part.accelerators;
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    // In debug builds, the policy asserts after each decision that every guarantee can be met.
    #[test]
    fn no_sequence_of_events_breaks_the_invariant(events in prop::collection::vec(event(), 1..120)) {
        let replay = Replay::new(default_document(), fleet(20, 8), None);
        let mut simulation = Simulation { replay, lost_workers: Vec::new(), submitted_jobs: 0 };
        for event in &events {
            simulation.apply(event);
            simulation.replay.decide();
            simulation.check_placements();
        }
    }

    // Whatever other customers run, a whole guarantee is met within the target time.
    #[test]
    fn a_guarantee_is_always_met_in_time(jobs in prop::collection::vec((0..3usize, 1..9u32, 1..9u32, any::<bool>()), 1..60)) {
        let mut replay = Replay::new(default_document(), fleet(20, 8), None);
        for (index, (kind, parts, accelerators, evictable)) in jobs.iter().enumerate() {
            let kind = ["urgent", "usual", "idle"][*kind];
            let spec = Spec { evictable: *evictable, ..spec(kind, *parts, *accelerators) };
            let customer = if index % 2 == 0 { "customer-1" } else { "customer-2" };
            replay.submit(&format!("foreign-{index:02}"), customer, spec, 3_600_000);
            replay.step(200);
        }
        let own = Spec { evictable: false, ..spec("idle", 8, 8) };
        replay.submit("own", "customer-0", own, 1_000);
        let submitted_ms = replay.now_ms();
        while !matches!(replay.jobs.get("own").map(|job| &job.phase), Some(Phase::Started(_))) {
            replay.step(200);
            prop_assert!(replay.now_ms() < submitted_ms + 6_200, "{}", replay.explain("own"));
        }
    }
}
