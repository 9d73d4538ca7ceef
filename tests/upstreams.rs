//! Upstream table: order of announcements, slot shares and borrowing, ejection, retry budget.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eelgrassvalve::mesh::frame::{Frame, Notice, encode};
use eelgrassvalve::routing::outlier::{Health, may_eject};
use eelgrassvalve::routing::retry::Budget;
use eelgrassvalve::routing::share::compute_share;
use eelgrassvalve::routing::table::{Effect, Outcome, Table};
use eelgrassvalve::routing::upstream::{Announcement, State, TTL_MS};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn announcement(incarnation: u64, sequence: u64, state: State) -> Announcement {
    Announcement {
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "zone-1".into(),
        slots: 8,
        connections: 60,
        kinds: ["plan".to_string()].into(),
        incarnation,
        sequence,
        state,
    }
}

fn new_table(entry: &str) -> Table {
    Table::new(entry, "zone-1", 60)
}

fn is_open(table: &Table, now_ms: u64) -> bool {
    table.capacity("plan", now_ms) > 0
}

use State::{Leaving, Serving};

/// Each case lists announcements as (incarnation, sequence, state), in order of arrival.
#[rstest]
#[case::serving(&[(1, 1, Serving)], true)]
#[case::leaving(&[(1, 1, Serving), (1, 2, Leaving)], false)]
#[case::late_serving(&[(1, 2, Leaving), (1, 1, Serving)], false)]
#[case::serving_after_leaving(&[(1, 2, Leaving), (1, 3, Serving)], false)]
#[case::late_leaving(&[(1, 3, Serving), (1, 2, Leaving)], false)]
#[case::new_incarnation(&[(1, 2, Leaving), (2, 1, Serving)], true)]
#[case::late_leaving_of_an_old_incarnation(&[(2, 1, Serving), (1, 9, Leaving)], true)]
#[case::late_serving_of_an_old_incarnation(&[(2, 1, Leaving), (1, 9, Serving)], false)]
fn leaving_is_final_for_its_incarnation_in_any_order_of_arrival(
    #[case] announcements: &[(u64, u64, State)],
    #[case] expected: bool,
    #[values(true, false)] is_direct: bool,
) {
    let mut table = new_table("host-1");
    for (incarnation, sequence, state) in announcements {
        let announcement = announcement(*incarnation, *sequence, *state);
        if is_direct {
            table.receive("runner-1", &announcement, 10);
        } else {
            table.merge("runner-1", &announcement, 10);
        }
    }
    assert_eq!(is_open(&table, 11), expected);
}

#[test]
fn operator_drain_persists_until_a_new_incarnation() {
    let mut table = new_table("host-1");
    table.receive("runner-1", &announcement(1, 1, Serving), 0);
    table.drain("runner-1").expect("is known");
    assert_eq!(table.receive("runner-1", &announcement(1, 2, Serving), 1), Effect::AlreadyLeaving);
    assert!(!is_open(&table, 2));
    assert_eq!(table.receive("runner-1", &announcement(2, 1, Serving), 3), Effect::Changed);
    assert!(is_open(&table, 4));
}

#[test]
fn silent_upstream_expires_after_its_time_to_live() {
    let mut table = new_table("host-1");
    table.receive("runner-1", &announcement(1, 1, Serving), 0);
    assert!(is_open(&table, TTL_MS - 1));
    // A duplicate announcement does not extend the time to live.
    table.receive("runner-1", &announcement(1, 1, Serving), TTL_MS - 1);
    assert!(!is_open(&table, TTL_MS));
}

#[test]
fn heartbeats_extend_the_time_to_live_from_when_they_were_sent() {
    let (mut direct, mut remote) = (new_table("host-1"), new_table("host-2"));
    direct.receive("runner-1", &announcement(1, 1, Serving), 1_000);
    let first = direct.take_heartbeats(1_000);
    assert_eq!(
        remote.receive_heartbeats("host-1", &first, 500).len(),
        1,
        "an update of the unknown row is requested"
    );
    for delta in direct.updates_for(&remote.receive_heartbeats("host-1", &first, 500), 1_000) {
        remote.merge(&delta.id, &delta.announce, 500 - delta.age_ms);
    }
    direct.receive("runner-1", &announcement(1, 2, Serving), 2_000);
    assert!(remote.receive_heartbeats("host-1", &direct.take_heartbeats(2_000), 1_500).is_empty());
    assert!(is_open(&remote, 500 + TTL_MS));
    direct.receive("runner-1", &announcement(1, 3, Serving), 3_000);
    // Delayed by 4 s in transit: the time to live counts from when the heartbeat was sent.
    remote.receive_heartbeats("host-1", &direct.take_heartbeats(3_000), 6_500);
    assert!(!is_open(&remote, 6_500));
}

#[test]
fn drain_reaches_an_entry_that_missed_it_through_any_other_entry() {
    let (mut informed, mut stale) = (new_table("host-1"), new_table("host-2"));
    for table in [&mut informed, &mut stale] {
        table.merge("runner-1", &announcement(1, 1, Serving), 0);
    }
    informed.drain("runner-1").expect("is known");
    stale.receive("runner-1", &announcement(1, 2, Serving), 10);
    let unknown = informed.receive_heartbeats("host-2", &stale.take_heartbeats(20), 20);
    let deltas = stale.updates_for(&unknown, 20);
    assert_eq!(deltas.len(), 1);
    let effect = informed.merge(&deltas[0].id, &deltas[0].announce, 20);
    assert_eq!(effect, Effect::AlreadyLeaving);
    let answer = informed.update_for("runner-1", 20).expect("is known");
    stale.merge(&answer.id, &answer.announce, 20);
    assert!(!is_open(&stale, 21));
}

/// A restarted entry has forgotten which upstreams leave; another entry tells it when they are linked.
#[test]
fn a_restarted_entry_does_not_use_an_upstream_that_leaves() {
    let mut other = new_table("host-2");
    other.receive("runner-1", &announcement(1, 5, Leaving), 1_000);
    let mut restarted = new_table("host-1");
    for update in other.all_updates(20_000) {
        restarted.merge(&update.id, &update.announce, 20_000 - update.age_ms);
    }
    let late = restarted.receive("runner-1", &announcement(1, 4, Serving), 20_100);
    let unaware = restarted.receive("runner-1", &announcement(1, 6, Serving), 20_200);
    assert_eq!((late, unaware), (Effect::AlreadyLeaving, Effect::AlreadyLeaving));
    let statuses = restarted.statuses(20_300);
    assert!(statuses.iter().all(|status| status.announce.state == Leaving), "{statuses:?}");
}

#[test]
fn table_size_is_bounded_and_expired_rows_are_evicted() {
    let mut table = new_table("host-1");
    let mut is_full = false;
    for index in 0..10_000 {
        is_full |= table.receive(&format!("runner-{index}"), &announcement(1, 1, Serving), 0)
            == Effect::Full;
    }
    assert!(is_full && table.statuses(0).len() < 5_000);
    table.evict_expired(3_600_000);
    assert!(table.statuses(0).is_empty());
}

fn entries(count: usize) -> Vec<String> {
    (1..=count).map(|index| format!("host-{index}")).collect()
}

#[rstest]
#[case(8, 6)]
#[case(60, 6)]
#[case(8, 5)]
#[case(3, 6)]
#[case(1, 1)]
fn shares_of_all_entries_add_up_to_the_slots(#[case] slots: u32, #[case] count: usize) {
    let entries = entries(count);
    let mut totals: BTreeMap<&str, u32> = BTreeMap::new();
    for index in 0..50 {
        let upstream = format!("runner-{index}");
        let mut sum = 0;
        for entry in &entries {
            let share = compute_share(slots, &upstream, &entries, entry);
            sum += share;
            *totals.entry(entry).or_default() += share;
        }
        assert_eq!(sum, slots);
    }
    let even_total = 50 * slots / count as u32;
    for (entry, total) in totals {
        assert!(
            total * 2 >= even_total && total <= even_total * 2,
            "{entry} has {total} slots, an even share is {even_total}"
        );
    }
}

#[test]
fn share_of_a_removed_entry_goes_to_the_others() {
    let mut table = new_table("host-1");
    table.set_entries(&entries(6));
    table.receive("runner-1", &announcement(1, 1, Serving), 0);
    let before = table.capacity("plan", 1);
    assert!((1..=2).contains(&before));
    table.set_entries(&entries(2));
    assert_eq!(table.capacity("plan", 1), 4);
}

/// Seeded simulation of six entries that pick from 50 upstreams of 8 slots.
struct Simulation {
    tables: Vec<Table>,
    /// Upstream of each slot in use, by entry.
    held: Vec<Vec<String>>,
}

impl Simulation {
    fn new() -> Self {
        let names = entries(6);
        let mut tables = Vec::new();
        for name in &names {
            let mut table = new_table(name);
            table.set_entries(&names);
            for index in 0..50 {
                table.receive(&format!("runner-{index}"), &announcement(1, 1, Serving), 0);
            }
            tables.push(table);
        }
        Self { held: vec![Vec::new(); tables.len()], tables }
    }

    /// Acquires slots until the entry holds `wanted` or no upstream has capacity.
    fn acquire(&mut self, index: usize, wanted: usize, rng: &mut SmallRng) {
        while self.held[index].len() < wanted {
            let Some(pick) = self.tables[index].pick("plan", &[], 1, rng) else { return };
            self.held[index].push(pick.upstream.id);
        }
    }

    fn acquire_all(&mut self, wanted: &[usize], rng: &mut SmallRng) {
        for (index, count) in wanted.iter().enumerate() {
            self.acquire(index, *count, rng);
        }
    }

    /// Completes every `nth` exchange.
    fn complete(&mut self, nth: usize, round: usize) {
        for (table, held) in self.tables.iter_mut().zip(&mut self.held) {
            let mut kept = Vec::new();
            for (index, id) in held.drain(..).enumerate() {
                if (index + round).is_multiple_of(nth) {
                    table.release(&id, false);
                } else {
                    kept.push(id);
                }
            }
            *held = kept;
        }
    }

    /// Sends the load report of each entry to all others.
    fn exchange_loads(&mut self, wanted: &[usize]) {
        let mut loads = Vec::new();
        for (index, table) in self.tables.iter_mut().enumerate() {
            let waiting = wanted[index] - self.held[index].len().min(wanted[index]);
            loads.push(table.report_load(waiting as u32, 1));
        }
        for (index, table) in self.tables.iter_mut().enumerate() {
            for (from, load) in loads.iter().enumerate() {
                if from != index {
                    table.receive_load(&format!("host-{}", from + 1), load.clone(), 1);
                }
            }
        }
    }

    /// Number of slots in use beyond the capacity of their upstreams, and number of idle slots.
    fn count_slots(&self) -> (u32, u32) {
        let mut used: BTreeMap<&str, u32> = BTreeMap::new();
        for id in self.held.iter().flatten() {
            *used.entry(id).or_default() += 1;
        }
        let excess = used.values().map(|used| used.saturating_sub(8)).sum();
        let in_use: u32 = used.values().map(|used| (*used).min(8)).sum();
        (excess, 400 - in_use)
    }
}

#[rstest]
#[case::even([100, 100, 100, 100, 100, 100])]
#[case::skewed([400, 20, 20, 20, 20, 20])]
#[case::one_entry([400, 0, 0, 0, 0, 0])]
#[case::two_entries([300, 300, 0, 0, 0, 0])]
fn borrowing_fills_idle_slots_without_oversubscription(
    #[case] wanted: [usize; 6],
    #[values(1, 2, 3)] seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut simulation = Simulation::new();
    simulation.acquire_all(&wanted, &mut rng);
    let (excess_before, idle_before) = simulation.count_slots();
    for _ in 0..3 {
        simulation.exchange_loads(&wanted);
        simulation.exchange_loads(&wanted);
        simulation.acquire_all(&wanted, &mut rng);
    }
    let (excess, idle) = simulation.count_slots();
    println!(
        "{wanted:?} seed {seed}: idle {idle_before} -> {idle}, excess {excess_before} -> {excess}"
    );
    assert_eq!((excess_before, excess), (0, 0));
    let unneeded = 400_usize.saturating_sub(wanted.iter().sum());
    assert!(idle as usize <= unneeded + 8, "{idle} slots idle while requests wait");
}

/// One entry has all load and borrows; then the other entries get load as well, and a third of the
/// exchanges completes in each round.
#[rstest]
fn lenders_regain_their_shares_when_they_get_load(#[values(1, 2, 3)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut simulation = Simulation::new();
    for _ in 0..3 {
        simulation.exchange_loads(&[400, 0, 0, 0, 0, 0]);
        simulation.acquire_all(&[400, 0, 0, 0, 0, 0], &mut rng);
    }
    assert_eq!(simulation.held[0].len(), 400);
    let wanted = [400, 100, 100, 100, 100, 100];
    // The load changes before the borrower has reported its use.
    simulation.acquire_all(&wanted, &mut rng);
    let (excess_unreported, _) = simulation.count_slots();
    let mut max_excess = 0;
    for round in 0..12 {
        simulation.exchange_loads(&wanted);
        simulation.complete(3, round);
        simulation.acquire_all(&wanted, &mut rng);
        max_excess = simulation.count_slots().0.max(max_excess);
    }
    let (excess, idle) = simulation.count_slots();
    println!(
        "seed {seed}: excess {excess_unreported} before the report, at most {max_excess} \
         after it, {excess} finally; {idle} idle"
    );
    assert_eq!((excess_unreported, max_excess, excess), (0, 0, 0));
    for (index, held) in simulation.held.iter().enumerate() {
        assert!(
            held.len() >= 50,
            "host-{} holds {} slots, expected about 66",
            index + 1,
            held.len()
        );
    }
}

#[rstest]
#[case(0, 1, false)]
#[case(0, 4, true)]
#[case(1, 4, false)]
#[case(14, 50, true)]
#[case(15, 50, false)]
fn ejection_is_capped(#[case] ejected: usize, #[case] live: usize, #[case] expected: bool) {
    assert_eq!(may_eject(ejected, live), expected);
}

#[test]
fn ejected_upstream_gets_one_probe_at_a_time() {
    let mut health = Health::default();
    for _ in 0..5 {
        assert!(!health.mark_start());
        health.mark_failure(0, false, true);
    }
    assert!(!health.is_available(0) && health.is_available(60_000));
    assert!(health.mark_start());
    assert!(!health.is_available(60_000), "a probe is in flight");
    health.mark_failure(60_000, true, true);
    assert!(!health.is_available(60_001) && health.is_available(120_000));
    health.mark_start();
    health.mark_success();
    assert!(health.is_available(120_000) && !health.is_ejected());
}

/// Requests that were in flight when the upstream was ejected end after that.
#[test]
fn requests_in_flight_at_an_ejection_do_not_extend_it() {
    let mut health = Health::default();
    for _ in 0..12 {
        health.mark_start();
    }
    let ejections: Vec<bool> = (0..12).map(|_| health.mark_failure(0, false, true)).collect();
    assert_eq!(ejections.iter().filter(|is_ejection| **is_ejection).count(), 1);
    assert!(health.is_available(2_000), "the first ejection lasts 2 s");
}

/// Guards against a second probe while the first one is in flight.
#[test]
fn a_slot_released_after_an_ejection_does_not_end_the_probe() {
    let mut table = new_table("a");
    table.receive("u", &announcement(1, 1, State::Serving), 0);
    // Keeps the ejected share below its limit.
    for other in ["v", "w", "x"] {
        table.receive(
            other,
            &Announcement { kinds: ["none".into()].into(), ..announcement(1, 1, State::Serving) },
            0,
        );
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pick = |table: &mut Table, now_ms| table.pick("plan", &[], now_ms, &mut rng);
    for _ in 0..2 {
        assert!(!pick(&mut table, 0).expect("the upstream has slots").is_probe);
    }
    for _ in 0..5 {
        table.record_outcome("u", Outcome::Failed, false, 0);
    }
    assert_eq!(pick(&mut table, 1), None, "the upstream is ejected");
    assert!(pick(&mut table, 2_500).expect("the ejection is over").is_probe);
    table.release("u", false);
    assert_eq!(pick(&mut table, 2_501), None, "the probe is in flight");
    table.release("u", true);
    assert!(pick(&mut table, 2_502).expect("the next request is the probe").is_probe);
}

#[test]
fn retries_are_limited_to_a_share_of_successes() {
    let mut budget = Budget::default();
    while budget.try_withdraw() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += usize::from(budget.try_withdraw());
    }
    assert_eq!(retries, 100);
}

/// Limits the bytes per second that one of six entries sends about 50 upstreams, including link
/// framing.
#[rstest]
#[case::idle(0, 1_500)]
#[case::busy(400, 5_000)]
fn upstream_updates_stay_within_the_bandwidth_budget(
    #[case] wanted: usize,
    #[case] max_bytes_per_second: usize,
) {
    const PEERS: usize = 5;
    const LINK_HEADER_BYTES: usize = 8;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut simulation = Simulation::new();
    simulation.acquire_all(&[wanted / 6 + 1; 6], &mut rng);
    let table = &mut simulation.tables[0];
    for index in 0..50 {
        let id = format!("runner-{index}");
        if index % 6 == 0 {
            table.receive(&id, &announcement(1, 1_000_000, Serving), 86_400_000);
        } else {
            table.merge(&id, &announcement(1, 1_000_000, Serving), 86_400_000);
        }
    }
    // Discards the heartbeats of the setup, in which every table received all upstreams directly.
    table.take_heartbeats(0);
    for index in (0..50).step_by(6) {
        table.receive(&format!("runner-{index}"), &announcement(1, 1_000_001, Serving), 86_400_000);
    }
    let heartbeats = encode(&Frame::Notice(Notice::Beats(table.take_heartbeats(86_400_000)))).len();
    let load = table.report_load((wanted > 0).into(), 86_400_000);
    let load = encode(&Frame::Notice(Notice::Load(load))).len();
    let bytes = (heartbeats + LINK_HEADER_BYTES + 2 * (load + LINK_HEADER_BYTES)) * PEERS;
    println!(
        "wanted {wanted}: heartbeats {heartbeats} B, load {load} B, {bytes} B/s to {PEERS} entries"
    );
    assert!(bytes <= max_bytes_per_second, "{bytes} B/s of at most {max_bytes_per_second} B/s");
}
