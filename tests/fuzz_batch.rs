//! Property tests of batch work: whatever callers submit and workers report, the leader decides
//! without a panic or an overflow, and one job takes no more than its share of memory.
//!
//! `EELGRASSVALVE_CASES` sets the number of cases.

mod support;

use eelgrassvalve::batch::document::{Customer, Document, Queue, Terms};
use eelgrassvalve::batch::job::{Id, MAX_TASKS, Resources, Schedule, Spec, Step, TaskId};
use eelgrassvalve::batch::table::{Command, Submission};
use eelgrassvalve::batch::worker::{End, Exit, Heartbeat, Run};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;
use support::batch::{Harness, document, step, task_id};

fn cases() -> u32 {
    std::env::var("EELGRASSVALVE_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(300)
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(5);
    ProptestConfig { cases: cases(), failure_persistence: None, rng_seed, ..Default::default() }
}

fn long() -> impl Strategy<Value = u64> {
    select(vec![0, 1, 2, 100, 5_000, 1 << 32, u64::MAX / 2, u64::MAX])
}

fn short() -> impl Strategy<Value = u32> {
    select(vec![0, 1, 2, 8, 9, 100, u32::MAX])
}

fn name() -> impl Strategy<Value = String> {
    select(vec!["", "a", "r0", "pool", "\u{1F980}"]).prop_map(Into::into)
}

fn demand() -> impl Strategy<Value = Resources> {
    (long(), long(), short()).prop_map(|(cpu_milli, memory_mb, accelerators)| Resources {
        cpu_milli,
        memory_mb,
        accelerators,
    })
}

prop_compose! {
    fn any_step()(
        count in 1u32..4,
        demand in demand(),
        estimate_ms in long(),
        after in vec(0u32..2, 0..2),
        flags in any::<[bool; 6]>(),
        names in (name(), name(), name()),
        limits in (short(), long(), short()),
    ) -> Step {
        let [is_checkpointing, is_gang, is_rack_local, is_speculative, is_lasting, is_filler] = flags;
        let (label, data_rack, image) = names;
        let (per_worker, target_ms, may_be_away) = limits;
        Step {
            count, demand, estimate_ms, after, is_checkpointing, is_gang, is_rack_local, label,
            data_rack, per_worker, is_speculative, is_lasting, image, target_ms, is_filler,
            may_be_away,
        }
    }
}

fn spec() -> impl Strategy<Value = Spec> {
    let schedule = (1u32..4, long(), long()).prop_map(|(count, first_ms, interval_ms)| Schedule {
        count,
        first_ms,
        interval_ms,
    });
    (vec(any_step(), 1..4), proptest::option::of(schedule)).prop_map(|(steps, schedule)| Spec {
        payload: "text".into(),
        steps,
        schedule,
    })
}

prop_compose! {
    fn terms()(
        priority in short(),
        attempts in short(),
        stretch in select(vec![0.0, 1.5, -3.0, 1e300, f64::INFINITY, f64::NAN]),
        target_ms in long(),
    ) -> Terms {
        Terms { pool: "pool".into(), priority, attempts, stretch, target_ms }
    }
}

fn exit() -> impl Strategy<Value = Exit> {
    select(vec![Exit::Done, Exit::Failed, Exit::Stopped, Exit::Lapsed, Exit::Broken, Exit::Refused])
}

fn task() -> impl Strategy<Value = TaskId> {
    (0u64..3, short(), short(), short()).prop_map(|(job, occurrence, step, index)| TaskId {
        job: Id(job),
        occurrence,
        step,
        index,
    })
}

/// What a worker reports besides the runs that it has.
#[derive(Clone, Debug)]
struct Report {
    worker: usize,
    capacity: Resources,
    numbers: (u64, u64, u64),
    remaining_ms: Option<u64>,
    is_draining: bool,
    percent: u8,
    exits: Option<Exit>,
    foreign: TaskId,
    advance_ms: u64,
}

prop_compose! {
    fn report()(
        worker in 0usize..3,
        capacity in prop_oneof![Just(support::batch::WORKER_CAPACITY), demand()],
        numbers in (long(), long(), long()),
        remaining_ms in proptest::option::of(long()),
        is_draining in any::<bool>(),
        percent in any::<u8>(),
        exits in proptest::option::of(exit()),
        foreign in task(),
        advance_ms in select(vec![0, 50, 700, 5_000, 100_000]),
    ) -> Report {
        Report {
            worker, capacity, numbers, remaining_ms, is_draining, percent, exits, foreign,
            advance_ms,
        }
    }
}

fn apply(report: &Report, heartbeat: &mut Heartbeat) {
    let (born, sequence, clock_ms) = report.numbers;
    heartbeat.capacity = report.capacity;
    heartbeat.incarnation = born.max(1);
    heartbeat.sequence = sequence.max(heartbeat.sequence);
    heartbeat.clock_ms = Some(clock_ms);
    heartbeat.remaining_ms = report.remaining_ms;
    heartbeat.is_draining = report.is_draining;
    for row in &mut heartbeat.running {
        row.percent = report.percent;
    }
    if let Some(how) = report.exits {
        for (at, row) in std::mem::take(&mut heartbeat.running).into_iter().enumerate() {
            let (task, run, checkpoint) = (row.task, row.run, row.checkpoint);
            heartbeat.ended.push(End { number: at as u64 + 1, task, run, how, checkpoint });
        }
    }
    let (task, run) = (report.foreign, sequence as u32);
    let checkpoint = String::new();
    heartbeat.running.push(Run { task, run, checkpoint, percent: report.percent, gauge: clock_ms });
}

fn submission(id: u64, terms: Terms, spec: Spec) -> Submission {
    Submission {
        id: Id(id),
        queue: "urgent".into(),
        address: String::new(),
        customer: "customer".into(),
        terms,
        spec,
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_submission_or_report_stops_the_leader(
        jobs in vec((spec(), terms()), 1..3),
        reports in vec(report(), 1..12),
        guaranteed in short(),
    ) {
        let mut harness = Harness::with_workers(3);
        let (_, terms) = &jobs[0];
        let queue = Queue { terms: terms.clone(), ..document().queues[0].clone() };
        let customer = Customer { guaranteed, ..document().customers[0].clone() };
        let changed =
            Document { revision: 2, queues: vec![queue], customers: vec![customer], ..document() };
        harness.apply(Command::Publish(changed.into()));
        for (id, (spec, terms)) in jobs.into_iter().enumerate() {
            if spec.fault().is_none() {
                harness.apply(Command::Submit(Box::new(submission(id as u64, terms, spec))));
            }
        }
        for report in reports {
            harness.run_round();
            harness.now_ms += report.advance_ms;
            let worker = format!("w{}", report.worker);
            let receipt = harness.receive_heartbeat(&worker, |heartbeat| apply(&report, heartbeat));
            harness.learn(&receipt);
            harness.commit_ends(receipt);
            let stuck = harness.stuck_runs();
            for (task, _) in stuck {
                harness.fleet.record_stall(&task, &harness.table, harness.now_ms);
            }
            harness.fleet.runs_to_evacuate(&harness.table, harness.now_ms);
            harness.fleet.issue_orders(&worker, &harness.table);
            if let Some(session) = harness.fleet.session(&worker) {
                session.next_end_ms(&harness.table, harness.now_ms);
            }
        }
    }
}

/// All occurrences of the schedule are due at once; there are far more of them than memory holds.
#[test]
fn a_schedule_opens_no_more_tasks_than_a_job_may_have() {
    let mut harness = Harness::with_workers(1);
    let schedule = Some(Schedule { count: u32::MAX, first_ms: 0, interval_ms: 0 });
    let spec = Spec { payload: String::new(), steps: vec![step(8)], schedule };
    assert_eq!(spec.fault(), None);
    harness.submit_spec(1, "small", spec);
    harness.run_round();
    let opened = |harness: &Harness| harness.table.live[&Id(1)].occurrences.len() as u32;
    assert_eq!(opened(&harness), MAX_TASKS / 8);
    assert!(!harness.table.has_due_occurrence(harness.now_ms));
    harness.run_round();
    for index in 0..8 {
        harness.end(task_id(1, 0, index), 1, Exit::Done);
    }
    assert_eq!(opened(&harness), MAX_TASKS / 8);
    assert_eq!(harness.table.live[&Id(1)].opened, MAX_TASKS / 8 + 1, "one occurrence is done");
}
