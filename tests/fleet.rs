//! What the leader learns of workers from their reports and from lease renewals of entries.

use eelgrassvalve::control::fleet;
use eelgrassvalve::mesh::call::ActiveWorkers;
use eelgrassvalve::placement::report::{Report, Shape, State, Task};
use rstest::rstest;

fn report(worker: &str) -> Report {
    let task = Task {
        job: "a.1".into(),
        part: 0,
        epoch: 7,
        state: State::Running,
        checkpoint: None,
        usage_percent: Some(50),
    };
    Report {
        worker: worker.into(),
        incarnation: 1,
        rack: "rack-1".into(),
        zone: "zone-1".into(),
        shape: Shape { accelerators: 8, cores: 64, memory_mib: 1_024 },
        tasks: vec![task],
    }
}

#[rstest]
#[case::unchanged(|_: &mut Report| {}, false)]
#[case::small_usage_change(|r: &mut Report| r.tasks[0].usage_percent = Some(69), false)]
#[case::large_usage_change(|r: &mut Report| r.tasks[0].usage_percent = Some(70), true)]
#[case::usage_missing(|r: &mut Report| r.tasks[0].usage_percent = None, true)]
#[case::state(|r: &mut Report| r.tasks[0].state = State::Finished, true)]
#[case::epoch(|r: &mut Report| r.tasks[0].epoch = 8, true)]
#[case::checkpoint(|r: &mut Report| r.tasks[0].checkpoint = Some("c".into()), true)]
#[case::task_removed(|r: &mut Report| r.tasks.clear(), true)]
#[case::restarted(|r: &mut Report| r.incarnation = 2, true)]
#[case::shape(|r: &mut Report| r.shape.accelerators = 7, true)]
fn significant_updates_are_detected(#[case] change: fn(&mut Report), #[case] expected: bool) {
    let mut update = report("w");
    change(&mut update);
    assert_eq!(update.is_significant_update(&report("w")), expected);
}

#[test]
fn a_renewal_may_refer_to_names_that_the_leader_holds() {
    let mut fleet = fleet::Table::default();
    fleet.record_report("entry-1", report("w-1"), 100);
    let names = vec!["w-1".to_string()];
    let unchanged = ActiveWorkers::Same { revision: ActiveWorkers::revision(&names) };

    // A leader that is new, or that holds other names, has to receive the names first.
    assert!(!fleet.record_contacts("entry-1", &unchanged, 200));
    assert_eq!(fleet.last_heard_ms("w-1"), Some(100));

    assert!(fleet.record_contacts("entry-1", &ActiveWorkers::Names(names), 300));
    assert!(fleet.record_contacts("entry-1", &unchanged, 400));
    assert_eq!(fleet.last_heard_ms("w-1"), Some(400));
    assert!(!fleet.record_contacts("entry-2", &unchanged, 500));

    let other_revision = ActiveWorkers::revision(&["w-1".to_string(), "w-2".to_string()]);
    assert!(!fleet.record_contacts(
        "entry-1",
        &ActiveWorkers::Same { revision: other_revision },
        600
    ));
    assert_eq!(fleet.last_heard_ms("w-1"), Some(400));
}
