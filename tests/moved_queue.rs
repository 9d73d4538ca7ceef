//! Jobs whose queue is sent to another pool, or removed, by a later document.

mod support;

use eelgrassvalve::batch::document::{Document, Pool};
use eelgrassvalve::batch::job::Id;
use eelgrassvalve::batch::table::{Command, Submission};
use rstest::rstest;
use support::batch::{Harness, document, gang, step, task_id};

/// The document with the queue `small` sent to the pool `other`.
fn moved(revision: u64) -> Document {
    let mut moved = Document { revision, ..document() };
    moved.pools.push(Pool { name: "other".into(), rejects_overload: true });
    for queue in &mut moved.queues {
        if queue.name == "small" {
            queue.terms.pool = "other".into();
        }
    }
    moved
}

fn publish(harness: &mut Harness, document: Document) {
    harness.apply(Command::Publish(document.into()));
}

/// A harness with `w0` and `w1` in the pool `pool`, and `w2` and `w3` in the pool `other`.
fn with_two_pools() -> Harness {
    let mut harness = Harness::new();
    for _ in 0..2 {
        for (worker, pool) in [("w0", "pool"), ("w1", "pool"), ("w2", "other"), ("w3", "other")] {
            harness.receive_heartbeat(worker, |heartbeat| heartbeat.pool = pool.into());
            harness.answer_heartbeat(worker);
        }
    }
    harness
}

fn pool_of(harness: &Harness, job: u64) -> &str {
    &harness.table.live[&Id(job)].terms.pool
}

/// Guards against accepted jobs that wait for a pool which their queue has left and whose workers are
/// gone.
#[rstest]
#[case::tasks(step(4))]
#[case::gang(gang(2))]
fn a_waiting_job_follows_its_queue(#[case] step: eelgrassvalve::batch::job::Step) {
    let mut harness = with_two_pools();
    let count = step.count;
    harness.submit(1, "small", vec![step]);
    publish(&mut harness, moved(2));
    assert_eq!(harness.run_round().round.starts.len(), count as usize);
    for index in 0..count {
        let worker = harness.worker_of(task_id(1, 0, index)).expect("it is placed");
        assert!(["w2", "w3"].contains(&worker.as_str()), "{worker}");
    }
}

#[test]
fn what_runs_in_the_old_pool_goes_on_there() {
    let mut harness = with_two_pools();
    harness.submit(1, "small", vec![step(2)]);
    harness.start(task_id(1, 0, 0), 1, "w0");
    publish(&mut harness, moved(2));
    let round = harness.run_round().round;
    assert!(round.stops.is_empty());
    assert_eq!(harness.worker_of(task_id(1, 0, 0)).as_deref(), Some("w0"));
    assert_eq!(round.starts.len(), 1);
    assert_ne!(harness.worker_of(task_id(1, 0, 1)).as_deref(), Some("w0"));
}

/// The leader accepts a job under one document, and another one is committed before the job is.
#[test]
fn a_job_that_is_committed_after_the_move_follows_its_queue() {
    let mut harness = with_two_pools();
    harness.submit(1, "small", vec![step(1)]);
    let job = &harness.table.live[&Id(1)];
    let (terms, spec) = (job.terms.clone(), job.spec.clone());
    let submission = Submission {
        id: Id(2),
        queue: "small".into(),
        address: String::new(),
        customer: "customer".into(),
        terms,
        spec,
    };
    publish(&mut harness, moved(2));
    harness.apply(Command::Submit(Box::new(submission)));
    assert_eq!((pool_of(&harness, 1), pool_of(&harness, 2)), ("other", "other"));
}

#[test]
fn a_job_keeps_its_pool_and_terms_where_the_document_says_nothing_new() {
    let mut harness = with_two_pools();
    harness.submit(1, "small", vec![step(1)]);
    harness.submit(2, "large", vec![step(1)]);
    let attempts = |harness: &Harness| harness.table.live[&Id(1)].terms.attempts;
    let before = attempts(&harness);
    let mut changed = moved(3);
    changed.queues.iter_mut().for_each(|queue| queue.terms.attempts = 1);
    publish(&mut harness, changed);
    assert_eq!((pool_of(&harness, 1), pool_of(&harness, 2)), ("other", "pool"));
    assert_eq!(attempts(&harness), before, "the other terms are those of the submission");
    publish(&mut harness, Document { revision: 2, ..document() });
    assert_eq!(pool_of(&harness, 1), "other", "an older document changes nothing");
    publish(&mut harness, Document { revision: 4, queues: Vec::new(), ..document() });
    assert_eq!(pool_of(&harness, 1), "other", "a removed queue has no other pool");
    publish(&mut harness, Document { revision: 5, ..document() });
    assert_eq!(pool_of(&harness, 1), "pool", "the queue is back");
}
