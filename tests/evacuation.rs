//! Evacuated zones: their workers get no start orders until the evacuation ends.

mod support;

use eelgrassvalve::batch::job::{Id, Step};
use eelgrassvalve::batch::table::{Command, Evacuation, Table};
use eelgrassvalve::batch::worker::Exit;
use rstest::rstest;
use support::batch::{Harness, gang, step, task_id};

/// Workers of the zone `zone-1`, and as many of `zone-2` after them.
struct Cluster {
    harness: Harness,
    workers_of_zone: usize,
}

impl Cluster {
    fn new(workers_of_zone: usize) -> Self {
        let mut cluster = Self { harness: Harness::new(), workers_of_zone };
        cluster.receive_heartbeats(false);
        cluster.receive_heartbeats(false);
        cluster
    }

    /// A heartbeat of each worker. Those of the first zone may not list their runs.
    fn receive_heartbeats(&mut self, has_lost_orders: bool) -> usize {
        let mut lapsed = 0;
        for index in 0..2 * self.workers_of_zone {
            let worker = format!("w{index}");
            let is_first = index < self.workers_of_zone;
            let receipt = self.harness.receive_heartbeat(&worker, |heartbeat| {
                heartbeat.zone = if is_first { "zone-1" } else { "zone-2" }.into();
                if is_first && has_lost_orders {
                    heartbeat.running.clear();
                }
            });
            self.harness.answer_heartbeat(&worker);
            lapsed += receipt.ends.iter().filter(|end| end.how == Exit::Lapsed).count();
            self.harness.commit_ends(receipt);
        }
        lapsed
    }

    fn evacuate(&mut self, zone: &str, is_active: bool) {
        let evacuation = Evacuation { zone: zone.into(), is_active };
        self.harness.apply(Command::Evacuate(evacuation));
    }

    fn count_starts_in_first_zone(&mut self) -> usize {
        let starts = self.harness.run_round().round.starts;
        let is_first =
            |worker: &str| worker[1..].parse::<usize>().expect("a number") < self.workers_of_zone;
        starts.iter().filter(|start| is_first(&start.worker)).count()
    }
}

#[rstest]
#[case::small_tasks(1, step(16), 8)]
#[case::many_workers(20, step(320), 160)]
#[case::gang_that_needs_both_zones(2, gang(4), 2)]
fn nothing_is_placed_in_an_evacuated_zone_until_the_evacuation_ends(
    #[case] workers_of_zone: usize,
    #[case] step: Step,
    #[case] tasks_in_zone: usize,
) {
    let mut cluster = Cluster::new(workers_of_zone);
    cluster.evacuate("zone-1", true);
    cluster.harness.submit(1, "small", vec![step]);
    for _ in 0..3 {
        assert_eq!(cluster.count_starts_in_first_zone(), 0);
        cluster.harness.now_ms += 1_000;
        cluster.receive_heartbeats(false);
    }
    cluster.evacuate("zone-1", false);
    assert_eq!(cluster.count_starts_in_first_zone(), tasks_in_zone);
}

/// Guards against start orders that are repeated until the worker lists the run, however long the zone has been
/// evacuated.
#[rstest]
#[case::tasks(step(16), 8)]
#[case::gang(gang(2), 1)]
fn a_start_order_that_has_not_arrived_is_withdrawn(#[case] step: Step, #[case] lapsed: usize) {
    let mut cluster = Cluster::new(1);
    cluster.harness.submit(1, "small", vec![step]);
    assert!(cluster.count_starts_in_first_zone() > 0);
    cluster.evacuate("zone-1", true);
    let orders = cluster.harness.fleet.issue_orders("w0", &cluster.harness.table);
    assert_eq!(orders.start, []);
    assert_eq!(cluster.receive_heartbeats(true), lapsed, "they start elsewhere");
}

/// An evacuation stops nothing.
#[test]
fn runs_in_an_evacuated_zone_go_on() {
    let mut cluster = Cluster::new(1);
    cluster.harness.submit(1, "small", vec![step(16)]);
    cluster.harness.run_round();
    cluster.receive_heartbeats(false);
    cluster.evacuate("zone-1", true);
    assert_eq!(cluster.receive_heartbeats(false), 0);
    let orders = cluster.harness.fleet.issue_orders("w0", &cluster.harness.table);
    assert_eq!((orders.start, orders.stop), (Vec::new(), Vec::new()));
    assert_eq!(cluster.harness.table.runs_on("w0").count(), 8);
}

/// The capacity of an evacuated zone comes back, so that a job which needs it waits.
#[test]
fn a_job_that_needs_the_evacuated_zone_is_not_impossible() {
    let mut cluster = Cluster::new(1);
    cluster.evacuate("zone-1", true);
    let workers = cluster.harness.fleet.workers(&cluster.harness.table, cluster.harness.now_ms);
    let steps = [gang(2)];
    let found = eelgrassvalve::batch::plan::find_unsatisfiable_step(&workers, "pool", &steps);
    assert_eq!(found, None);
}

#[test]
fn evacuations_are_per_zone_and_may_be_repeated() {
    let mut cluster = Cluster::new(1);
    let active = |cluster: &Cluster| {
        ["zone-1", "zone-2"].map(|zone| cluster.harness.table.is_evacuated(zone))
    };
    for (zone, is_active, expected) in [
        ("zone-1", true, [true, false]),
        ("zone-1", true, [true, false]),
        ("zone-2", true, [true, true]),
        ("zone-1", false, [false, true]),
        ("zone-1", false, [false, true]),
        ("zone-9", false, [false, true]),
    ] {
        cluster.evacuate(zone, is_active);
        assert_eq!(active(&cluster), expected, "{zone} {is_active}");
    }
}

/// Evacuations are part of snapshots; those of earlier releases have none.
#[test]
fn evacuations_survive_a_snapshot() {
    let mut cluster = Cluster::new(1);
    cluster.evacuate("zone-1", true);
    cluster.harness.submit(1, "small", vec![step(1)]);
    let mut bytes = Vec::new();
    ciborium::into_writer(&cluster.harness.table, &mut bytes).expect("it is encoded");
    let table: Table = ciborium::from_reader(bytes.as_slice()).expect("it is decoded");
    assert_eq!(table, cluster.harness.table);
    assert!(table.is_evacuated("zone-1"));

    let value: ciborium::Value = ciborium::from_reader(bytes.as_slice()).expect("a value");
    let mut fields = value.into_map().expect("a map");
    let count = fields.len();
    fields.retain(|(name, _)| name.as_text() != Some("evacuated"));
    assert_eq!(fields.len(), count - 1);
    let mut bytes = Vec::new();
    ciborium::into_writer(&ciborium::Value::Map(fields), &mut bytes).expect("it is encoded");
    let earlier: Table = ciborium::from_reader(bytes.as_slice()).expect("it is decoded");
    assert!(!earlier.is_evacuated("zone-1") && earlier.live.contains_key(&Id(1)));
    assert!(earlier.active_run(&task_id(1, 0, 0)).is_none());
}
