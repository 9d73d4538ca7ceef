//! Upstreams that leave, announcements out of order, entries that die, and whole answers under
//! load.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use eelgrassvalve::error::Result;
use eelgrassvalve::mesh::frame::{Frame, Notice, encode};
use eelgrassvalve::routing::limit::{Exceeded, Limiter};
use eelgrassvalve::routing::outlier::{Health, may_eject};
use eelgrassvalve::routing::queue::{Bounds, Queue, Refused, Room, Ticket};
use eelgrassvalve::routing::retry::Budget;
use eelgrassvalve::routing::share::part;
use eelgrassvalve::routing::table::{Heard, Table};
use eelgrassvalve::routing::upstream::{Announce, State, TTL_MS};
use eelgrassvalve::state::document::{Document, Limits};
use eelgrassvalve::verdict::Verdict;
use http::Method;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use support::cluster::Cluster;
use support::until;
use support::upstream::Upstream;

fn announce(incarnation: u64, sequence: u64, state: State) -> Announce {
    Announce {
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
            table.hear("runner-1", &announce, 10);
        } else {
            table.hear_of("runner-1", &announce, 10);
        }
    }
    assert_eq!(is_open(&table, 11), expected);
}

#[test]
fn an_operators_drain_outlasts_later_announcements() {
    let mut table = table("host-1");
    table.hear("runner-1", &announce(1, 1, Serving), 0);
    table.drain("runner-1").expect("is known");
    assert_eq!(table.hear("runner-1", &announce(1, 2, Serving), 1), Heard::Behind);
    assert!(!is_open(&table, 2));
    assert_eq!(table.hear("runner-1", &announce(2, 1, Serving), 3), Heard::Changed);
    assert!(is_open(&table, 4));
}

#[test]
fn a_silent_upstream_gets_no_work_after_its_time_to_live() {
    let mut table = table("host-1");
    table.hear("runner-1", &announce(1, 1, Serving), 0);
    assert!(is_open(&table, TTL_MS - 1));
    // A repeated announcement is no sign of life.
    table.hear("runner-1", &announce(1, 1, Serving), TTL_MS - 1);
    assert!(!is_open(&table, TTL_MS));
}

#[test]
fn heartbeats_keep_a_row_alive_and_old_ones_do_not() {
    let (mut near, mut far) = (table("host-1"), table("host-2"));
    near.hear("runner-1", &announce(1, 1, Serving), 1_000);
    let first = near.beats(1_000);
    assert_eq!(far.hear_beats("host-1", &first, 500).len(), 1, "the row is asked for");
    for delta in near.wanted(&far.hear_beats("host-1", &first, 500), 1_000) {
        far.hear_of(&delta.id, &delta.announce, 500 - delta.age_ms);
    }
    near.hear("runner-1", &announce(1, 2, Serving), 2_000);
    assert!(far.hear_beats("host-1", &near.beats(2_000), 1_500).is_empty());
    assert!(is_open(&far, 500 + TTL_MS));
    near.hear("runner-1", &announce(1, 3, Serving), 3_000);
    // This one waits 4 s on the way: it counts from when it was sent.
    far.hear_beats("host-1", &near.beats(3_000), 6_500);
    assert!(!is_open(&far, 6_500));
}

#[test]
fn an_entry_that_missed_the_leaving_learns_of_it_from_any_other() {
    let (mut knows, mut missed) = (table("host-1"), table("host-2"));
    for table in [&mut knows, &mut missed] {
        table.hear_of("runner-1", &announce(1, 1, Serving), 0);
    }
    knows.drain("runner-1").expect("is known");
    missed.hear("runner-1", &announce(1, 2, Serving), 10);
    let unknown = knows.hear_beats("host-2", &missed.beats(20), 20);
    let deltas = missed.wanted(&unknown, 20);
    assert_eq!(deltas.len(), 1);
    let heard = knows.hear_of(&deltas[0].id, &deltas[0].announce, 20);
    assert_eq!(heard, Heard::Behind);
    let answer = knows.delta("runner-1", 20).expect("is known");
    missed.hear_of(&answer.id, &answer.announce, 20);
    assert!(!is_open(&missed, 21));
}

#[test]
fn the_table_is_bounded_and_forgets() {
    let mut table = table("host-1");
    let mut is_full = false;
    for at in 0..10_000 {
        is_full |= table.hear(&format!("runner-{at}"), &announce(1, 1, Serving), 0) == Heard::Full;
    }
    assert!(is_full && table.rows(0).len() < 5_000);
    table.sweep(3_600_000);
    assert!(table.rows(0).is_empty());
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
            let part = part(slots, &upstream, &entries, entry);
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
    table.hear("runner-1", &announce(1, 1, Serving), 0);
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
                table.hear(&format!("runner-{at}"), &announce(1, 1, Serving), 0);
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
            loads.push(table.load(waiting as u32, 1));
        }
        for (at, table) in self.tables.iter_mut().enumerate() {
            for (from, load) in loads.iter().enumerate() {
                if from != at {
                    table.hear_load(&format!("host-{}", from + 1), load.clone(), 1);
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
        health.start();
        health.fail(0, true);
    }
    assert!(!health.is_open(0) && health.is_open(60_000));
    health.start();
    assert!(!health.is_open(60_000), "a probe is under way");
    health.fail(60_000, true);
    assert!(!health.is_open(60_001) && health.is_open(120_000));
    health.start();
    health.succeed();
    assert!(health.is_open(120_000) && !health.is_ejected());
}

#[test]
fn retries_are_a_bounded_share_of_successes() {
    let mut budget = Budget::default();
    while budget.spend() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        retries += usize::from(budget.spend());
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
            table.hear(&id, &announce(1, 1_000_000, Serving), 86_400_000);
        } else {
            table.hear_of(&id, &announce(1, 1_000_000, Serving), 86_400_000);
        }
    }
    // The tables heard directly of all upstreams when the replay was laid out.
    table.beats(0);
    for at in (0..50).step_by(6) {
        table.hear(&format!("runner-{at}"), &announce(1, 1_000_001, Serving), 86_400_000);
    }
    let beats = encode(&Frame::Notice(Notice::Beats(table.beats(86_400_000)))).len();
    let load = table.load((wanted > 0).into(), 86_400_000);
    let load = encode(&Frame::Notice(Notice::Load(load))).len();
    let bytes = (beats + LINK_BYTES + 2 * (load + LINK_BYTES)) * PEERS;
    println!("wanted {wanted}: beats {beats} B, load {load} B, {bytes} B/s to {PEERS} entries");
    assert!(bytes <= most, "{bytes} B/s");
}

fn ticket(number: u64, customer: &str, rank: u8, deadline_ms: u64) -> Ticket {
    Ticket {
        number,
        kind: format!("kind-{rank}"),
        customer: customer.into(),
        rank,
        share: if customer == "large" { 3 } else { 1 },
        bytes: 10,
        deadline_ms,
    }
}

const ROOM: Room = Room { capacity: 1, now_ms: 0 };

fn queue(requests: usize) -> Queue<u64> {
    Queue::new(Bounds { requests, bytes: 1_000 })
}

#[test]
fn the_queue_goes_by_rank_then_deadline() {
    let mut queue = queue(10);
    let rows = [(1, 1, 50), (2, 0, 90), (3, 0, 80), (4, 1, 40)];
    for (number, rank, deadline_ms) in rows {
        let ticket = ticket(number, "small", rank, deadline_ms);
        queue.push(ticket, number, ROOM, &mut Vec::new()).expect("there is room");
    }
    let mut order = Vec::new();
    while let Some((_, number)) = queue.pop(|_| true) {
        order.push(number);
    }
    assert_eq!(order, [3, 2, 4, 1]);
    assert_eq!(queue.bytes(), 0);
}

#[test]
fn customers_are_served_by_their_shares() {
    let mut queue = queue(1_000);
    for number in 0..80 {
        let customer = if number % 2 == 0 { "large" } else { "small" };
        let ticket = ticket(number, customer, 0, 1_000);
        queue.push(ticket, number, ROOM, &mut Vec::new()).expect("there is room");
    }
    let mut large = 0;
    for _ in 0..40 {
        let (ticket, _) = queue.pop(|_| true).expect("requests wait");
        large += usize::from(ticket.customer == "large");
    }
    assert!((29..=31).contains(&large), "{large} of 40 for a share of 3 to 1");
}

#[test]
fn a_full_queue_sheds_the_lowest_rank_and_refuses_its_like() {
    let mut queue = queue(2);
    let mut shed = Vec::new();
    queue.push(ticket(1, "small", 2, 50), 1, ROOM, &mut shed).expect("there is room");
    queue.push(ticket(2, "small", 1, 50), 2, ROOM, &mut shed).expect("there is room");
    let refused = queue.push(ticket(3, "small", 2, 10), 3, ROOM, &mut shed);
    assert_eq!((refused, shed.len()), (Err(Refused::Full), 0));
    queue.push(ticket(4, "small", 0, 50), 4, ROOM, &mut shed).expect("rank 2 gives way");
    assert_eq!(shed.iter().map(|(_, number)| *number).collect::<Vec<_>>(), [1]);
    assert_eq!(queue.len(), 2);
}

#[test]
fn what_cannot_meet_its_deadline_is_refused_early() {
    let mut queue = queue(1_000);
    for _ in 0..100 {
        queue.learn("kind-0", 100, 0);
    }
    let mut taken = 0;
    for number in 0..50 {
        let ticket = ticket(number, "small", 0, 1_000);
        taken += u32::from(queue.push(ticket, number, ROOM, &mut Vec::new()).is_ok());
    }
    // One slot of 100 ms: nine wait, the tenth would end at its deadline.
    assert_eq!(taken, 10);
}

#[test]
fn a_slow_past_does_not_refuse_for_ever() {
    let mut queue = queue(1_000);
    for _ in 0..100 {
        queue.learn("kind-0", 5_000, 0);
    }
    let push = |queue: &mut Queue<u64>, now_ms| {
        let ticket = ticket(1, "small", 0, now_ms + 1_000);
        queue.push(ticket, 1, Room { capacity: 1, now_ms }, &mut Vec::new())
    };
    assert_eq!(push(&mut queue, 0), Err(Refused::Late { wait_ms: 0 }));
    assert_eq!(push(&mut queue, 5_000), Ok(()));
}

#[test]
fn limits_are_divided_by_the_live_entries() {
    let limits = Limits { requests_per_second: 12, concurrent: 4, bytes: 100 };
    let limiter = Limiter::default();
    let first = limiter.admit("small", &limits, 2, 20, 0).expect("within all limits");
    let _second = limiter.admit("small", &limits, 2, 20, 0).expect("within all limits");
    let refused = |bytes| limiter.admit("small", &limits, 2, bytes, 0).map(drop);
    assert_eq!(refused(1), Err(Exceeded::Concurrent));
    drop(first);
    assert_eq!(refused(40), Err(Exceeded::Bytes));
    for _ in 0..4 {
        assert_eq!(refused(1), Ok(()));
    }
    assert_eq!(refused(1), Err(Exceeded::Rate));
    assert!(limiter.admit("small", &limits, 2, 1, 1_000).is_ok());
}

fn document() -> Document {
    serde_json::from_value(serde_json::json!({
        "kinds": [{ "name": "plan", "rank": 0, "deadline_ms": 10_000 }],
        "customers": [{ "name": "anyone" }],
    }))
    .expect("the document is valid")
}

/// Number of requests that one entry sends to a leaving upstream once it knows.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_new_work_from_any_entry() {
    let cluster = Cluster::start(3, 3).await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    // Each announces itself to one entry only.
    let one = [cluster.hosts[0].platform()];
    let leaving = Upstream::start("runner-1", &["plan"], Duration::from_millis(1), &one).await;
    let two = [cluster.hosts[1].platform()];
    let staying = Upstream::start("runner-2", &["plan"], Duration::from_millis(1), &two).await;
    let upstreams = [&leaving, &staying];
    for at in 0..3 {
        until("both upstreams known", || async {
            let all = send(&cluster, at, &upstreams).await.ok()?;
            (all > 0 && leaving.journal().len() > 2 && staying.journal().len() > 2).then_some(())
        })
        .await;
    }
    leaving.leave();
    // The announcement interval and the time to live.
    tokio::time::sleep(Duration::from_millis(TTL_MS)).await;
    let before = leaving.journal().len();
    for round in 0..90 {
        send(&cluster, round % 3, &upstreams).await.expect("the other upstream serves");
    }
    assert_eq!(leaving.journal().len(), before);
}

/// The only entry that hears of the leaving is cut off, and its late frames arrive afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_new_work_across_cut_links() {
    let mut cluster = Cluster::new(3, 3);
    cluster.relay_links().await;
    cluster.boot().await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let work = Duration::from_millis(1);
    let cut = [cluster.hosts[2].platform()];
    let leaving = Upstream::start("runner-1", &["plan"], work, &cut).await;
    let one = [cluster.hosts[0].platform()];
    let staying = Upstream::start("runner-2", &["plan"], work, &one).await;
    let upstreams = [&leaving, &staying];
    for at in 0..3 {
        until("both upstreams known", || async {
            let rows =
                cluster.operators(at).get::<serde_json::Value>("/v1/upstreams").await.ok()?;
            (rows.as_array()?.len() == 2).then_some(())
        })
        .await;
    }
    until("work at the one that will leave", || async {
        send(&cluster, 0, &upstreams).await.ok()?;
        (!leaving.journal().is_empty()).then_some(())
    })
    .await;
    cluster.set_links(2, false, true);
    leaving.leave();
    tokio::time::sleep(Duration::from_millis(TTL_MS)).await;
    let before = leaving.journal().len();
    until("requests served by the others", || async {
        send(&cluster, 0, &upstreams).await.ok()?;
        send(&cluster, 1, &upstreams).await.ok()
    })
    .await;
    for at in 0..60 {
        // The entry that is cut off refuses; the others may be electing a leader.
        let _ = send(&cluster, at % 3, &upstreams).await;
    }
    cluster.set_links(2, true, true);
    cluster.ready(2).await;
    for at in 0..60 {
        send(&cluster, at % 3, &upstreams).await.expect("the other upstream serves");
    }
    assert_eq!(leaving.journal().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_shares_of_a_killed_entry_move_to_the_others() {
    let mut cluster = Cluster::start(3, 3).await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let work = Duration::from_secs(1);
    let upstream = Upstream::start("runner-1", &["plan"], work, &platform[..2]).await;
    let used = async |cluster: &Cluster| {
        let rows = cluster.operators(0).get::<serde_json::Value>("/v1/upstreams").await.ok()?;
        rows.get(0)?.get("used")?.as_u64()
    };
    until("the upstream", || async { send(&cluster, 0, &[]).await.ok() }).await;
    cluster.kill(2);
    // Both that are left are kept busy; neither can borrow from the other.
    let mut callers = tokio::task::JoinSet::new();
    for at in 0..2 {
        for _ in 0..16 {
            let client = cluster.callers(at);
            callers.spawn(async move {
                for _ in 0..30 {
                    let key = uuid::Uuid::now_v7().to_string();
                    let headers =
                        [("idempotency-key", key.as_str()), ("eelgrassvalve-idempotent", "true")];
                    let path = "/v1/requests/plan";
                    let _ = client.send(Method::POST, path, &headers, "x".into()).await;
                }
            });
        }
    }
    // Eight slots over two entries; over three it would hold two or three.
    until("half of the slots in use", || async { (used(&cluster).await? == 4).then_some(()) })
        .await;
    callers.abort_all();
    drop(upstream);
}

async fn send(cluster: &Cluster, at: usize, upstreams: &[&Upstream]) -> Result<usize> {
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [("idempotency-key", key.as_str()), ("eelgrassvalve-idempotent", "true")];
    let client = cluster.callers(at);
    let answer = client.send(Method::POST, "/v1/requests/plan", &headers, "x".into()).await?;
    if !answer.status.is_success() {
        return Err(answer.error());
    }
    Ok(upstreams.iter().map(|upstream| upstream.journal().len()).sum())
}

#[tokio::test(flavor = "multi_thread")]
async fn each_of_thousands_of_callers_gets_its_own_whole_answer() {
    const CALLERS: usize = 120;
    const EACH: usize = 25;
    let cluster = std::sync::Arc::new(Cluster::start(3, 3).await);
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let mut upstreams = Vec::new();
    for at in 0..8 {
        let id = format!("runner-{at}");
        let work = Duration::from_millis(2 + at * 3);
        upstreams.push(Upstream::start(&id, &["plan"], work, &platform).await);
    }
    until("an upstream", || async { send(&cluster, 0, &[]).await.ok() }).await;
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        let cluster = cluster.clone();
        callers.spawn(async move {
            let mut not_run = Vec::new();
            let client = cluster.callers(caller % 3);
            for at in 0..EACH {
                let payload = format!("{caller}.{at}.{}", "x".repeat(at * 97));
                let key = format!("{caller}.{at}");
                // Some want an answer sooner than they can have it; some go away.
                let deadline = if at % 7 == 0 { "4" } else { "10000" };
                let headers = [("idempotency-key", &*key), ("eelgrassvalve-deadline-ms", deadline)];
                let sent = client.send(
                    Method::POST,
                    "/v1/requests/plan",
                    &headers,
                    payload.clone().into(),
                );
                let patience = Duration::from_millis(if at % 5 == 0 { 5 } else { 30_000 });
                let Ok(answer) = tokio::time::timeout(patience, sent).await else { continue };
                let answer = answer.expect("an answer");
                if answer.status.is_success() {
                    assert_eq!(answer.body, format!("plan:{payload}"));
                } else if answer.error().verdict == Verdict::NotRun {
                    not_run.push(payload);
                }
            }
            not_run
        });
    }
    let mut not_run = Vec::new();
    while let Some(ended) = callers.join_next().await {
        not_run.extend(ended.expect("each answer is the caller's own"));
    }
    let mut runs: BTreeMap<bytes::Bytes, usize> = BTreeMap::new();
    for ran in upstreams.iter().flat_map(Upstream::journal) {
        *runs.entry(ran.payload).or_default() += 1;
    }
    for (payload, count) in &runs {
        assert!(*count == 1 || payload == "x", "{payload:?} ran {count} times");
    }
    for payload in &not_run {
        assert!(!runs.contains_key(payload.as_bytes()), "{payload} was told not_run, but ran");
    }
    println!("{} ran, {} told not_run", runs.len(), not_run.len());
}
