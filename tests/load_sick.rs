//! Workers that turn slow, fail or stall what they run: whom work leaves, and whom it does not.

mod support;

use eelgrassvalve::batch::job::Step;
use rstest::rstest;
use support::batch::{Desk, name, step};

/// A job of four tasks on four workers, whose progress after four seconds is as given.
fn after_four_seconds(percents: [u8; 4], step: Step) -> Desk {
    let mut desk = Desk::with_workers(4);
    desk.submit(1, "small", vec![step]);
    desk.round();
    desk.now_ms += 4_000;
    for at in 0..4 {
        desk.hear(&format!("w{at}"), |beat| {
            for row in &mut beat.running {
                row.percent = percents[row.task.index as usize];
            }
        });
    }
    desk
}

fn spread() -> Step {
    Step { per_worker: 1, ..step(4) }
}

#[rstest]
#[case::one_is_slow([60, 60, 60, 10], 1)]
#[case::all_alike([10, 10, 10, 10], 0)]
#[case::sound_workers_differ([60, 75, 50, 40], 0)]
#[case::slow_but_nearly_there([100, 100, 100, 90], 0)]
fn a_run_on_a_slow_worker_moves(#[case] percents: [u8; 4], #[case] stopped: usize) {
    let desk = after_four_seconds(percents, spread());
    assert_eq!(desk.fleet.laggards(&desk.table, desk.now_ms).len(), stopped);
}

#[test]
fn runs_away_from_their_data_are_not_held_against_their_workers() {
    let step = Step { data_rack: "r9".into(), ..spread() };
    let desk = after_four_seconds([60, 60, 60, 10], step);
    assert!(desk.fleet.laggards(&desk.table, desk.now_ms).is_empty());
}

#[test]
fn a_worker_that_is_excluded_gets_its_next_chance_later_each_time() {
    let mut desk = Desk::with_workers(1);
    let mut pauses = Vec::new();
    for _ in 0..3 {
        desk.fleet.exclude("w0", desk.now_ms);
        let begun_ms = desk.now_ms;
        while !desk.fleet.places(&desk.table, desk.now_ms)[0].is_open {
            desk.now_ms += 100;
            desk.hear("w0", |_| {});
        }
        pauses.push(desk.now_ms - begun_ms);
    }
    assert!(pauses[0] < pauses[1] && pauses[1] < pauses[2], "{pauses:?}");
}

#[test]
fn a_task_goes_elsewhere_after_it_failed() {
    let mut desk = Desk::with_workers(2);
    desk.submit(1, "small", vec![step(1)]);
    desk.round();
    let first = desk.worker_of(name(1, 0, 0)).expect("is placed");
    desk.end(name(1, 0, 0), 1, eelgrassvalve::batch::worker::How::Failed);
    desk.hear_all(2);
    desk.round();
    assert_ne!(desk.worker_of(name(1, 0, 0)).expect("is placed again"), first);
}
