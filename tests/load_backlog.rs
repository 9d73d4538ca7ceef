//! Large backlogs that become due at once: what a leader writes to its log and sends to workers stays
//! within its limits, and urgent work doesn't wait for the backlog.

mod support;

use eelgrassvalve::batch::job::{Id, Resources, Schedule, Spec, State, Step, TaskId};
use eelgrassvalve::batch::table::{Command, End, MAX_ROUND_BYTES, Round, Start};
use eelgrassvalve::batch::worker::Exit;
use eelgrassvalve::control::MAX_COMMAND_BYTES;
use eelgrassvalve::mesh::frame::encode;
use eelgrassvalve::state;
use rstest::rstest;
use support::batch::{Harness, step, task_id};

/// Size limit of an answer to a worker, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A step of `count` tasks, of which a worker holds thousands.
fn tiny(count: u32) -> Step {
    let demand = Resources { cpu_milli: 20, memory_mb: 20, accelerators: 0 };
    Step { count, demand, estimate_ms: 1_000, ..Step::default() }
}

fn log_bytes(round: Round) -> usize {
    let command = state::Command::Batch(Command::Round(round));
    encode(&state::Record { at_ms: u64::MAX, command }).len()
}

fn assert_fits_log(round: &Round) {
    for part in round.clone().into_parts(MAX_ROUND_BYTES) {
        let bytes = log_bytes(part);
        assert!(bytes <= MAX_COMMAND_BYTES, "{bytes} bytes");
    }
}

fn is_placed(harness: &Harness, job: u64) -> bool {
    let occurrence = &harness.table.live[&Id(job)].occurrences[&0];
    let mut tasks = occurrence.steps.iter().flat_map(|step| &step.tasks);
    tasks.all(|task| matches!(task.state, State::Active(_)))
}

/// Guards against a decision that is too long for the log, which was made again in each round while
/// nothing started for anybody.
#[rstest]
#[case::one_job(&[9_500])]
#[case::six_jobs(&[9_500; 6])]
#[case::many_jobs(&[100; 300])]
fn a_backlog_that_is_due_at_once_is_placed(#[case] sizes: &[u32]) {
    let mut harness = Harness::with_workers(20);
    for (id, size) in (1..).zip(sizes) {
        harness.submit(id, "large", vec![tiny(*size)]);
    }
    let total: usize = sizes.iter().map(|size| *size as usize).sum();
    let mut placed = 0;
    let mut rounds = 0;
    while placed < total {
        let plan = harness.run_round();
        assert_fits_log(&plan.round);
        assert_eq!(plan.is_cut_short, placed + plan.round.starts.len() < total);
        placed += plan.round.starts.len();
        rounds += 1;
        assert!(rounds <= 100, "{placed} of {total} tasks are placed");
    }
    assert!((1..=sizes.len() as u64).all(|id| is_placed(&harness, id)));
}

/// An urgent job that arrives while a backlog is being placed is in the next decision.
#[test]
fn an_urgent_job_goes_before_the_rest_of_a_backlog() {
    let mut harness = Harness::with_workers(20);
    harness.submit(1, "large", vec![tiny(9_500)]);
    assert!(harness.run_round().is_cut_short);
    harness.submit(2, "urgent", vec![tiny(3)]);
    harness.run_round();
    assert!(is_placed(&harness, 2) && !is_placed(&harness, 1));
}

/// Gangs are placed as a whole, also by a decision that is cut short, and in one change of the log.
#[test]
fn a_large_gang_is_not_split() {
    let mut harness = Harness::with_workers(20);
    let large_gang = |count| Step { is_gang: true, ..tiny(count) };
    harness.submit(1, "urgent", vec![tiny(1_999)]);
    harness.submit(2, "large", vec![large_gang(10_000)]);
    let plan = harness.run_round();
    assert!(is_placed(&harness, 2));
    assert_fits_log(&plan.round);
    let parts = plan.round.into_parts(MAX_ROUND_BYTES);
    let with_gang = parts.iter().filter(|part| part.starts.iter().any(|one| one.task.job == Id(2)));
    assert_eq!(with_gang.count(), 1);
}

fn worker_name(at: u32) -> String {
    format!("{at:0256}")
}

/// The parts of a round change the table as the whole round does, and none is larger than asked for,
/// with the longest texts and numbers.
#[rstest]
#[case::empty(0, 0)]
#[case::small(3, 10)]
#[case::long_checkpoints(1_000, 5_000)]
#[case::many(9_999, 64)]
fn the_parts_of_a_round_have_the_effect_of_the_whole(
    #[case] count: u32,
    #[case] checkpoint_bytes: usize,
) {
    let mut harness = Harness::new();
    let job = |id| task_id(id, 0, 0).job;
    for id in [u64::MAX, u64::MAX - 1, u64::MAX - 2] {
        harness.submit(id, "small", vec![step(count.max(1))]);
    }
    let task = |id, index| TaskId { job: job(id), ..task_id(0, 0, index) };
    let start = |id, index| Start {
        task: task(id, index),
        run: u32::MAX - 1,
        worker: worker_name(index),
        incarnation: u64::MAX,
    };
    let placed = [u64::MAX, u64::MAX - 1];
    let starts = placed.iter().flat_map(|id| (0..count).map(|index| start(*id, index))).collect();
    harness.apply(Command::Round(Round { starts, ..Round::default() }));
    let end = |index| End {
        task: task(u64::MAX, index),
        run: u32::MAX - 1,
        how: Exit::Stopped,
        checkpoint: "c".repeat(checkpoint_bytes),
    };
    let mut starts: Vec<Start> = (0..count).map(|index| start(u64::MAX - 2, index)).collect();
    starts.extend((0..count).map(|index| Start { run: u32::MAX, ..start(u64::MAX, index) }));
    let round = Round {
        ends: (0..count).map(end).collect(),
        stops: (0..count).map(|index| (task(u64::MAX - 1, index), u32::MAX - 1)).collect(),
        starts,
        due_ms: harness.now_ms,
    };
    let mut whole = harness.table.clone();
    whole.apply(&Command::Round(round.clone()), harness.now_ms).expect("the command is valid");
    let max_bytes = 1 << 16;
    let steps_bytes = |part: &Round| part.starts.len() * (128 + 256);
    for part in round.into_parts(max_bytes) {
        let steps = part.starts.chunk_by(|one, next| one.task.job == next.task.job).count();
        let limit = if steps == 1 { max_bytes.max(steps_bytes(&part)) } else { max_bytes };
        assert!(log_bytes(part.clone()) <= limit + 256, "{} bytes", log_bytes(part));
        harness.apply(Command::Round(part));
    }
    assert!(harness.table == whole);
}

/// Occurrences that are due are opened by the first part.
#[test]
fn a_round_without_other_changes_opens_occurrences() {
    let mut harness = Harness::new();
    let schedule = Some(Schedule { count: 1, first_ms: 0, interval_ms: 0 });
    harness.submit_spec(1, "small", Spec { steps: vec![step(1)], schedule, ..Spec::default() });
    for part in (Round { due_ms: harness.now_ms, ..Round::default() }).into_parts(1) {
        harness.apply(Command::Round(part));
    }
    assert_eq!(harness.table.live[&Id(1)].opened, 1);
}

/// Size of the text of the orders if each byte has to be escaped.
fn answer_bytes(orders: &eelgrassvalve::batch::worker::Orders) -> usize {
    let texts = orders.start.iter().map(|start| 6 * (start.payload.len() + start.checkpoint.len()));
    texts.sum::<usize>() + 64 * (orders.start.len() + orders.stop.len())
}

/// Guards against a worker that is cut off for good by an answer that is longer than it accepts.
#[rstest]
#[case::small_payloads(1_500, 35)]
#[case::long_payloads(1_500, 4_000)]
#[case::longest_payloads(200, 64 << 10)]
#[case::gang_with_long_payloads(2_000, 4_000)]
fn start_orders_are_spread_over_answers(#[case] count: u32, #[case] payload_bytes: usize) {
    let mut harness = Harness::with_workers(1);
    let payload = "x".repeat(payload_bytes);
    harness.submit_spec(1, "large", Spec { payload, steps: vec![tiny(count)], schedule: None });
    assert_eq!(harness.run_round().round.starts.len(), count as usize);
    let mut begun = std::collections::BTreeSet::new();
    let mut answers = 0;
    while begun.len() < count as usize {
        harness.receive_heartbeat("w0", |heartbeat| {
            heartbeat.running.retain(|row| begun.contains(&row.task));
        });
        let orders = harness.fleet.issue_orders("w0", &harness.table);
        assert!(answer_bytes(&orders) <= MAX_ANSWER_BYTES, "{} starts", orders.start.len());
        assert!(!orders.start.is_empty());
        begun.extend(orders.start.iter().map(|start| start.task));
        assert_eq!(harness.fleet.has_more_orders("w0"), begun.len() < count as usize);
        answers += 1;
    }
    assert!(answers <= count as usize * payload_bytes.max(64) / (256 << 10) + 1, "{answers}");
}

/// Stop orders of a cancelled job, whose worker runs a great many tasks, are spread likewise.
#[test]
fn stop_orders_are_spread_over_answers() {
    let mut harness = Harness::with_workers(1);
    for id in 1..=3 {
        harness.submit(id, "large", vec![Step { demand: Resources::default(), ..tiny(9_000) }]);
    }
    while harness.run_round().is_cut_short {}
    let mut left = 0;
    harness.receive_heartbeat("w0", |heartbeat| left = heartbeat.running.len());
    assert_eq!(left, 16_000, "the heartbeat of a worker stays short enough to be accepted");
    (1..=3).for_each(|id| harness.apply(Command::Cancel(Id(id))));
    let mut running = harness.fleet.session("w0").expect("it is known").heartbeat.running.clone();
    while !running.is_empty() {
        harness.receive_heartbeat("w0", |heartbeat| heartbeat.running.clone_from(&running));
        let orders = harness.fleet.issue_orders("w0", &harness.table);
        assert!(answer_bytes(&orders) <= MAX_ANSWER_BYTES && !orders.stop.is_empty());
        let stopped: std::collections::BTreeSet<TaskId> =
            orders.stop.iter().map(|(task, _)| *task).collect();
        running.retain(|row| !stopped.contains(&row.task));
    }
}
