//! Table of upstreams: order of announcements, shares and borrowing of slots, ejection, retries.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eelgrassvalve::mesh::frame::{Frame, Notice, encode};
use eelgrassvalve::routing::outlier::{Health, may_eject};
use eelgrassvalve::routing::retry::Budget;
use eelgrassvalve::routing::share::compute_share;
use eelgrassvalve::routing::table::{Effect, Table};
use eelgrassvalve::routing::upstream::{Announcement, State, TTL_MS};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn announce(incarnation: u64, sequence: u64, state: State) -> Announcement {
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

fn table(own: &str) -> Table {
    Table::new(own, "zone-1", 60)
}

fn is_open(table: &Table, now_ms: u64) -> bool {
    table.capacity("plan", now_ms) > 0
}

use State::{Leaving, Serving};

/// Announcements as incarnation, sequence and state, in the order of their arrival.
#[rstest]
#[case::serving(&[(1, 1, Serving)], true)]
#[case::leaving(&[(1, 1, Serving), (1, 2, Leaving)], false)]
#[case::late_serving(&[(1, 2, Leaving), (1, 1, Serving)], false)]
#[case::serving_after_leaving(&[(1, 2, Leaving), (1, 3, Serving)], false)]
#[case::leaving_overtaken(&[(1, 3, Serving), (1, 2, Leaving)], false)]
#[case::new_incarnation(&[(1, 2, Leaving), (2, 1, Serving)], true)]
#[case::late_leaving_of_an_old_one(&[(2, 1, Serving), (1, 9, Leaving)], true)]
#[case::late_serving_of_an_old_one(&[(2, 1, Leaving), (1, 9, Serving)], false)]
fn leaving_holds_for_its_incarnation_in_any_order(
    #[case] announces: &[(u64, u64, State)],
    #[case] expected: bool,
    #[values(true, false)] directly: bool,
) {
    let mut table = table("host-1");
    for (incarnation, sequence, state) in announces {
        let announce = announce(*incarnation, *sequence, *state);
        if directly {
            table.receive("runner-1", &announce, 10);
        } else {
            table.merge("runner-1", &announce, 10);
        }
    }
    assert_eq!(is_open(&table, 11), expected);
}

#[test]
fn an_operators_drain_outlasts_later_announcements() {
    let mut table = table("host-1");
    table.receive("runner-1", &announce(1, 1, Serving), 0);
    table.drain("runner-1").expect("is known");
    assert_eq!(table.receive("runner-1", &announce(1, 2, Serving), 1), Effect::AlreadyLeaving);
    assert!(!is_open(&table, 2));
    assert_eq!(table.receive("runner-1", &announce(2, 1, Serving), 3), Effect::Changed);
    assert!(is_open(&table, 4));
}

#[test]
fn a_silent_upstream_gets_no_work_after_its_time_to_live() {
    let mut table = table("host-1");
    table.receive("runner-1", &announce(1, 1, Serving), 0);
    assert!(is_open(&table, TTL_MS - 1));
    // A repeated announcement is no sign of life.
    table.receive("runner-1", &announce(1, 1, Serving), TTL_MS - 1);
    assert!(!is_open(&table, TTL_MS));
}

#[test]
fn heartbeats_keep_a_row_alive_and_old_ones_do_not() {
    let (mut near, mut far) = (table("host-1"), table("host-2"));
    near.receive("runner-1", &announce(1, 1, Serving), 1_000);
    let first = near.take_heartbeats(1_000);
    assert_eq!(far.receive_heartbeats("host-1", &first, 500).len(), 1, "the row is asked for");
    for delta in near.updates_for(&far.receive_heartbeats("host-1", &first, 500), 1_000) {
        far.merge(&delta.id, &delta.announce, 500 - delta.age_ms);
    }
    near.receive("runner-1", &announce(1, 2, Serving), 2_000);
    assert!(far.receive_heartbeats("host-1", &near.take_heartbeats(2_000), 1_500).is_empty());
    assert!(is_open(&far, 500 + TTL_MS));
    near.receive("runner-1", &announce(1, 3, Serving), 3_000);
    // This one waits 4 s on the way: it counts from when it was sent.
    far.receive_heartbeats("host-1", &near.take_heartbeats(3_000), 6_500);
    assert!(!is_open(&far, 6_500));
}

#[test]
fn an_entry_that_missed_the_leaving_learns_of_it_from_any_other() {
    let (mut knows, mut missed) = (table("host-1"), table("host-2"));
    for table in [&mut knows, &mut missed] {
        table.merge("runner-1", &announce(1, 1, Serving), 0);
    }
    knows.drain("runner-1").expect("is known");
    missed.receive("runner-1", &announce(1, 2, Serving), 10);
    let unknown = knows.receive_heartbeats("host-2", &missed.take_heartbeats(20), 20);
    let deltas = missed.updates_for(&unknown, 20);
    assert_eq!(deltas.len(), 1);
    let heard = knows.merge(&deltas[0].id, &deltas[0].announce, 20);
    assert_eq!(heard, Effect::AlreadyLeaving);
    let answer = knows.update_for("runner-1", 20).expect("is known");
    missed.merge(&answer.id, &answer.announce, 20);
    assert!(!is_open(&missed, 21));
}

#[test]
fn the_table_is_bounded_and_forgets() {
    let mut table = table("host-1");
    let mut is_full = false;
    for at in 0..10_000 {
        is_full |=
            table.receive(&format!("runner-{at}"), &announce(1, 1, Serving), 0) == Effect::Full;
    }
    assert!(is_full && table.statuses(0).len() < 5_000);
    table.evict_expired(3_600_000);
    assert!(table.statuses(0).is_empty());
}

fn entries(count: usize) -> Vec<String> {
    (1..=count).map(|at| format!("host-{at}")).collect()
}

#[rstest]
#[case(8, 6)]
#[case(60, 6)]
#[case(8, 5)]
#[case(3, 6)]
#[case(1, 1)]
fn the_parts_of_all_entries_make_the_whole(#[case] slots: u32, #[case] count: usize) {
    let entries = entries(count);
    let mut totals: BTreeMap<&str, u32> = BTreeMap::new();
    for at in 0..50 {
        let upstream = format!("runner-{at}");
        let mut sum = 0;
        for entry in &entries {
            let part = compute_share(slots, &upstream, &entries, entry);
            sum += part;
            *totals.entry(entry).or_default() += part;
        }
        assert_eq!(sum, slots);
    }
    let even = 50 * slots / count as u32;
    for (entry, total) in totals {
        assert!(total * 2 >= even && total <= even * 2, "{entry} has {total} of {even}");
    }
}

#[test]
fn the_part_of_a_dead_entry_moves_on() {
    let mut table = table("host-1");
    table.set_entries(&entries(6));
    table.receive("runner-1", &announce(1, 1, Serving), 0);
    let before = table.capacity("plan", 1);
    assert!((1..=2).contains(&before));
    table.set_entries(&entries(2));
    assert_eq!(table.capacity("plan", 1), 4);
}

/// Seeded replay of the picks of six entries over 50 upstreams of 8 slots.
struct Replay {
    tables: Vec<Table>,
    held: Vec<Vec<String>>,
}

impl Replay {
    fn new() -> Self {
        let names = entries(6);
        let mut tables = Vec::new();
        for name in &names {
            let mut table = table(name);
            table.set_entries(&names);
            for at in 0..50 {
                table.receive(&format!("runner-{at}"), &announce(1, 1, Serving), 0);
            }
            tables.push(table);
        }
        Self { held: vec![Vec::new(); tables.len()], tables }
    }

    /// Takes slots for as many of `wanted` requests as possible.
    fn take(&mut self, at: usize, wanted: usize, rng: &mut SmallRng) {
        while self.held[at].len() < wanted {
            let Some(pick) = self.tables[at].pick("plan", &[], 1, rng) else { return };
            self.held[at].push(pick.upstream.id);
        }
    }

    fn take_all(&mut self, wanted: &[usize], rng: &mut SmallRng) {
        for (at, count) in wanted.iter().enumerate() {
            self.take(at, *count, rng);
        }
    }

    /// Ends every `nth` exchange.
    fn finish(&mut self, nth: usize, round: usize) {
        for (table, held) in self.tables.iter_mut().zip(&mut self.held) {
            let mut kept = Vec::new();
            for (at, id) in held.drain(..).enumerate() {
                if (at + round).is_multiple_of(nth) {
                    table.release(&id);
                } else {
                    kept.push(id);
                }
            }
            *held = kept;
        }
    }

    fn tell(&mut self, wanted: &[usize]) {
        let mut loads = Vec::new();
        for (at, table) in self.tables.iter_mut().enumerate() {
            let waiting = wanted[at] - self.held[at].len().min(wanted[at]);
            loads.push(table.report_load(waiting as u32, 1));
        }
        for (at, table) in self.tables.iter_mut().enumerate() {
            for (from, load) in loads.iter().enumerate() {
                if from != at {
                    table.receive_load(&format!("host-{}", from + 1), load.clone(), 1);
                }
            }
        }
    }

    /// Slots in use beyond what upstreams have, and slots that are free.
    fn excess(&self) -> (u32, u32) {
        let mut used: BTreeMap<&str, u32> = BTreeMap::new();
        for id in self.held.iter().flatten() {
            *used.entry(id).or_default() += 1;
        }
        let over = used.values().map(|used| used.saturating_sub(8)).sum();
        let in_use: u32 = used.values().map(|used| (*used).min(8)).sum();
        (over, 400 - in_use)
    }
}

#[rstest]
#[case::even([100, 100, 100, 100, 100, 100])]
#[case::skewed([400, 20, 20, 20, 20, 20])]
#[case::one_entry([400, 0, 0, 0, 0, 0])]
#[case::two_entries([300, 300, 0, 0, 0, 0])]
fn borrowing_fills_idle_slots_and_oversubscribes_none(
    #[case] wanted: [usize; 6],
    #[values(1, 2, 3)] seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut replay = Replay::new();
    replay.take_all(&wanted, &mut rng);
    let (over_before, idle_before) = replay.excess();
    for _ in 0..3 {
        replay.tell(&wanted);
        replay.tell(&wanted);
        replay.take_all(&wanted, &mut rng);
    }
    let (over, idle) = replay.excess();
    println!("{wanted:?} seed {seed}: idle {idle_before} -> {idle}, over {over_before} -> {over}");
    assert_eq!((over_before, over), (0, 0));
    let free = 400_usize.saturating_sub(wanted.iter().sum());
    assert!(idle as usize <= free + 8, "{idle} idle while requests wait");
}

/// All load is at one entry, which borrows; then the others get load too. In each round a third
/// of the exchanges end.
#[rstest]
fn lenders_get_their_shares_back(#[values(1, 2, 3)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut replay = Replay::new();
    for _ in 0..3 {
        replay.tell(&[400, 0, 0, 0, 0, 0]);
        replay.take_all(&[400, 0, 0, 0, 0, 0], &mut rng);
    }
    assert_eq!(replay.held[0].len(), 400);
    let wanted = [400, 100, 100, 100, 100, 100];
    // The load changes before the borrower's use was told.
    replay.take_all(&wanted, &mut rng);
    let (over_untold, _) = replay.excess();
    let mut most_over = 0;
    for round in 0..12 {
        replay.tell(&wanted);
        replay.finish(3, round);
        replay.take_all(&wanted, &mut rng);
        most_over = replay.excess().0.max(most_over);
    }
    let (over, idle) = replay.excess();
    println!(
        "seed {seed}: over {over_untold} untold, {most_over} told, {over} at last, {idle} idle"
    );
    assert_eq!((over_untold, most_over, over), (0, 0, 0));
    for (at, held) in replay.held.iter().enumerate() {
        assert!(held.len() >= 50, "host-{} has {} of about 66", at + 1, held.len());
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
fn an_ejected_upstream_gets_one_probe_at_a_time() {
    let mut health = Health::default();
    for _ in 0..5 {
        health.mark_start();
        health.mark_failure(0, true);
    }
    assert!(!health.is_available(0) && health.is_available(60_000));
    health.mark_start();
    assert!(!health.is_available(60_000), "a probe is under way");
    health.mark_failure(60_000, true);
    assert!(!health.is_available(60_001) && health.is_available(120_000));
    health.mark_start();
    health.mark_success();
    assert!(health.is_available(120_000) && !health.is_ejected());
}

#[test]
fn retries_are_a_bounded_share_of_successes() {
    let mut budget = Budget::default();
    while budget.try_withdraw() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += usize::from(budget.try_withdraw());
    }
    assert_eq!(retries, 100);
}

/// Bytes a second that one of six entries sends for 50 upstreams, framing of the link included.
#[rstest]
#[case::idle(0, 1_500)]
#[case::busy(400, 5_000)]
fn news_of_upstreams_stay_within_the_budget(#[case] wanted: usize, #[case] most: usize) {
    const PEERS: usize = 5;
    const LINK_BYTES: usize = 8;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut replay = Replay::new();
    replay.take_all(&[wanted / 6 + 1; 6], &mut rng);
    let table = &mut replay.tables[0];
    for at in 0..50 {
        let id = format!("runner-{at}");
        if at % 6 == 0 {
            table.receive(&id, &announce(1, 1_000_000, Serving), 86_400_000);
        } else {
            table.merge(&id, &announce(1, 1_000_000, Serving), 86_400_000);
        }
    }
    // The tables heard directly of all upstreams when the replay was laid out.
    table.take_heartbeats(0);
    for at in (0..50).step_by(6) {
        table.receive(&format!("runner-{at}"), &announce(1, 1_000_001, Serving), 86_400_000);
    }
    let beats = encode(&Frame::Notice(Notice::Beats(table.take_heartbeats(86_400_000)))).len();
    let load = table.report_load((wanted > 0).into(), 86_400_000);
    let load = encode(&Frame::Notice(Notice::Load(load))).len();
    let bytes = (beats + LINK_BYTES + 2 * (load + LINK_BYTES)) * PEERS;
    println!("wanted {wanted}: beats {beats} B, load {load} B, {bytes} B/s to {PEERS} entries");
    assert!(bytes <= most, "{bytes} B/s");
}
