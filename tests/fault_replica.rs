//! The replica under seeded schedules of faults, and one targeted case for each hazard.
//!
//! `EELGRASSVALVE_SEEDS` sets the runs of each schedule, `EELGRASSVALVE_SEED` runs one seed alone.

#[path = "support/schedule.rs"]
mod schedule;

use eelgrassvalve::replica::member::{Change, Id, Members};
use eelgrassvalve::replica::{Body, Effect, Input, Message, Replica, Snapshot, State, Vote};
use rstest::rstest;
use schedule::{Faults, Network, TIMING};

/// Runs of each schedule unless the environment says otherwise.
const SEEDS: u64 = 300;
/// Time under faults, in milliseconds.
const DISTURBED_MS: u64 = 2_000;
/// Time in which a healed group must settle, in milliseconds.
const SETTLED_MS: u64 = 4_000;

const LOSSY: Faults = Faults {
    loss: 50,
    duplication: 50,
    delay_ms: 30,
    crash: 0,
    wipe: 0,
    cut: 0,
    change: 0,
    transfer: 0,
    compact: 0,
};

fn seeds() -> Vec<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    match number("EELGRASSVALVE_SEED") {
        Some(seed) => vec![seed],
        None => (0..number("EELGRASSVALVE_SEEDS").unwrap_or(SEEDS)).collect(),
    }
}

/// Names the seed where a run panics.
struct Running(u64);

impl Drop for Running {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("failed with EELGRASSVALVE_SEED={}", self.0);
        }
    }
}

fn settles(network: &mut Network) -> bool {
    network.heal();
    network.run_until(SETTLED_MS, |network| network.leader().is_some());
    for _ in 0..20 {
        network.run(SETTLED_MS / 40);
        let Some(leader) = network.leader() else { continue };
        let value = network.propose(leader);
        let done = |network: &Network| network.acked.contains(&value) && network.is_settled();
        if network.run_until(SETTLED_MS / 20, done) {
            return true;
        }
    }
    false
}

#[rstest]
#[case::loss_and_reordering(3, 3, LOSSY)]
#[case::long_delays(5, 5, Faults { delay_ms: 250, ..LOSSY })]
#[case::crashes(3, 3, Faults { crash: 8, compact: 10, ..LOSSY })]
#[case::crashes_of_five(5, 5, Faults { crash: 8, compact: 10, transfer: 5, ..LOSSY })]
#[case::cuts(5, 5, Faults { cut: 40, compact: 20, ..LOSSY })]
#[case::transfers(3, 3, Faults { transfer: 20, cut: 10, ..LOSSY })]
#[case::membership(5, 1, Faults { change: 60, compact: 10, transfer: 5, ..LOSSY })]
#[case::lost_disks(5, 3, Faults { wipe: 10, change: 60, compact: 10, crash: 3, ..LOSSY })]
#[case::everything(6, 3, Faults {
    wipe: 5, change: 40, compact: 10, crash: 5, cut: 15, transfer: 5, ..LOSSY
})]
fn what_was_acknowledged_is_kept(
    #[case] hosts: usize,
    #[case] voters: usize,
    #[case] faults: Faults,
) {
    let (mut acked, mut reads, mut installs, mut changes) = (0, 0, 0, 0);
    for seed in seeds() {
        let running = Running(seed);
        let mut network = Network::new(seed, hosts, voters);
        network.faults = faults;
        network.run(DISTURBED_MS);
        assert!(settles(&mut network), "the group does not settle after the faults");
        acked += network.acked.len();
        reads += network.reads;
        installs += network.installs;
        changes += network.changes;
        drop(running);
    }
    println!("{acked} writes, {reads} reads, {installs} installs, {changes} changes applied");
    assert!(acked > 0 && reads > 0);
}

fn quiet(hosts: usize, voters: usize) -> (Network, usize) {
    let mut network = Network::new(7, hosts, voters);
    assert!(network.run_until(SETTLED_MS, |network| network.leader().is_some()));
    network.run(100);
    let leader = network.leader().expect("leads still");
    (network, leader)
}

fn term(network: &Network, at: usize) -> u64 {
    network.hosts[at].replica.as_ref().expect("runs").term()
}

fn commits(network: &mut Network, at: usize) -> bool {
    let value = network.propose(at);
    network.run_until(SETTLED_MS, |network| network.acked.contains(&value))
}

fn becomes(network: &mut Network, change: Change, holds: impl Fn(&Network) -> bool) {
    for _ in 0..40 {
        if holds(network) {
            return;
        }
        if let Some(leader) = network.leader() {
            network.change(leader, change.clone());
        }
        network.run(100);
    }
    panic!("the change is not made: {change:?}");
}

#[test]
fn a_member_that_was_cut_off_deposes_nobody() {
    let (mut network, leader) = quiet(3, 3);
    let before = term(&network, leader);
    let other = (leader + 1) % 3;
    network.isolate(other, 3_000);
    network.run(3_500);
    assert_eq!(network.leader(), Some(leader));
    assert_eq!(term(&network, leader), before);
    assert_eq!(term(&network, other), before);
}

#[test]
fn a_leader_that_is_cut_off_stops_believing_and_refuses_reads() {
    let (mut network, leader) = quiet(3, 3);
    network.isolate(leader, 3_000);
    network.run(TIMING.election_ms);
    let answered = network.reads;
    network.read(leader);
    assert!(network.run_until(1_000, |network| network.refused_reads == 1));
    assert_eq!(network.reads, answered);
    assert!(!network.hosts[leader].replica.as_ref().expect("runs").leads());
    assert!(network.run_until(1_000, |network| network.leader().is_some_and(|at| at != leader)));
}

#[rstest]
#[case::empty_disk(State::default())]
#[case::no_longer_a_voter(three_voters())]
fn a_host_that_is_no_voter_never_campaigns(#[case] saved: State) {
    let mut replica = Replica::new(Id(9), TIMING, saved, 1, 0);
    for at_ms in (0..100_000).step_by(10) {
        assert_eq!(replica.step(Input::Tick, at_ms), Vec::new());
    }
}

#[test]
fn a_member_that_lost_its_disk_does_not_count_under_its_new_identity() {
    let (mut network, leader) = quiet(3, 3);
    assert!(commits(&mut network, leader));
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    network.wipe(lost);
    network.crash(leader);
    network.hosts[leader].hold();
    network.run(3_000);
    // One voter and one stranger are no quorum of three.
    assert_eq!(network.leader(), None);
    assert!(!network.hosts[other].replica.as_ref().expect("runs").leads());
    network.start(leader);
    assert!(network.run_until(SETTLED_MS, |network| network.leader().is_some()));
}

#[test]
fn a_second_host_lost_right_after_a_repair_loses_nothing() {
    let (mut network, leader) = quiet(3, 3);
    for _ in 0..20 {
        assert!(commits(&mut network, leader));
    }
    let lost = (leader + 1) % 3;
    let old = network.hosts[lost].id;
    network.compact(leader);
    network.wipe(lost);
    network.run(500);
    let id = network.hosts[lost].id;
    let add = Change::Add { id, name: "host".into() };
    becomes(&mut network, add, |network| network.members().name(id).is_some());
    becomes(&mut network, Change::Promote { id }, |network| network.members().is_voter(id));
    becomes(&mut network, Change::Remove { id: old }, |network| {
        network.members().name(old).is_none()
    });
    let second = (leader + 2) % 3;
    network.crash(second);
    network.hosts[second].hold();
    assert!(network.run_until(SETTLED_MS, |network| network.leader().is_some()));
    let leader = network.leader().expect("leads");
    assert!(commits(&mut network, leader));
    assert!(network.installs > 0);
    // The follower learns what is committed from the next message.
    assert!(network.run_until(1_000, |network| network.is_settled_without(second)));
}

#[test]
fn a_transfer_moves_leadership_within_an_election_timeout() {
    let (mut network, leader) = quiet(3, 3);
    network.input(leader, Input::Transfer);
    let moved = |network: &Network| network.leader().is_some_and(|at| at != leader);
    assert!(network.run_until(TIMING.election_ms, moved));
}

#[test]
fn a_silent_learner_is_not_promoted() {
    let (mut network, leader) = quiet(4, 3);
    let id = network.hosts[3].id;
    let add = Change::Add { id, name: "host-3".into() };
    becomes(&mut network, add, |network| network.members().name(id).is_some());
    network.run(200);
    network.isolate(3, 10_000);
    network.run(500);
    network.change(leader, Change::Promote { id });
    network.run(500);
    assert!(!network.members().is_voter(id));
}

#[test]
fn a_member_that_alone_misses_the_leader_deposes_nobody() {
    let (mut network, leader) = quiet(3, 3);
    let before = term(&network, leader);
    network.cut(leader, (leader + 1) % 3, 3_000);
    network.run(3_000);
    assert_eq!((network.leader(), term(&network, leader)), (Some(leader), before));
}

#[test]
fn a_campaign_that_outlives_its_transfer_voids_the_lease() {
    let (mut network, leader) = quiet(3, 3);
    network.campaign_delay_ms = TIMING.election_ms * 2;
    network.input(leader, Input::Transfer);
    network.run(TIMING.election_ms * 2 - 5);
    assert_eq!(network.leader(), Some(leader));
    network.isolate(leader, 1_000);
    assert!(network.run_until(50, |network| network.leader().is_some_and(|at| at != leader)));
    let next = network.leader().expect("leads");
    let value = network.propose(next);
    assert!(network.run_until(50, |network| network.acked.contains(&value)));
    // The network checks that no read misses what was acknowledged before it.
    assert!(network.hosts[leader].replica.as_ref().expect("runs").leads());
    network.read(leader);
    assert!(network.run_until(1_000, |network| network.refused_reads == 1));
}

fn three_voters() -> State {
    let mut members = Members::default();
    for id in 1..=3 {
        members.voters.insert(Id(id), format!("host-{id}"));
    }
    let snapshot = Snapshot { index: 1, members, ..Snapshot::default() };
    State { snapshot, ..State::default() }
}

fn ask(replica: &mut Replica, from: Id, at_ms: u64) -> Vec<Effect> {
    let body = Body::Ask { pre: false, transfer: false, last_index: 1, last_term: 0 };
    let message = Message { term: 5, body };
    replica.step(Input::Message { from, message }, at_ms)
}

fn answer(effects: &[Effect]) -> Option<(usize, bool)> {
    for (at, effect) in effects.iter().enumerate() {
        let Effect::Send { message, .. } = effect else { continue };
        let Body::Answer { granted, .. } = message.body else { continue };
        return Some((at, granted));
    }
    None
}

#[test]
fn a_vote_is_persisted_before_its_answer_and_outlives_a_restart() {
    let after_ms = TIMING.election_ms;
    let mut replica = Replica::new(Id(1), TIMING, three_voters(), 1, 0);
    let effects = ask(&mut replica, Id(2), after_ms);
    let vote = Vote { term: 5, candidate: Some(Id(2)) };
    let saved = effects.iter().position(|effect| *effect == Effect::SaveVote(vote));
    let (sent, granted) = answer(&effects).expect("an answer");
    assert!(granted && saved.is_some_and(|saved| saved < sent), "{effects:?}");

    let mut replica = Replica::new(Id(1), TIMING, State { vote, ..three_voters() }, 1, 0);
    let effects = ask(&mut replica, Id(3), after_ms);
    assert_eq!(answer(&effects).map(|(_, granted)| granted), Some(false));
    let effects = ask(&mut replica, Id(2), after_ms);
    assert_eq!(answer(&effects).map(|(_, granted)| granted), Some(true));
}

#[test]
fn a_new_leader_trusts_no_lease_before_a_quorum_answered_it() {
    let mut replica = Replica::new(Id(1), TIMING, three_voters(), 1, 0);
    let message = Message { term: 0, body: Body::Campaign };
    replica.step(Input::Message { from: Id(2), message }, 1);
    let message = Message { term: 1, body: Body::Answer { pre: false, granted: true } };
    replica.step(Input::Message { from: Id(2), message }, 2);
    assert!(replica.leads() && !replica.holds_lease());
}

/// Found on scale-1 of Attica: members that lost power together woke at the same coarse ticks, three
/// asked for votes within 5 ms, and the group was without a leader for another second.
#[test]
fn a_replica_says_to_the_millisecond_when_it_campaigns() {
    let mut wakes = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let mut replica = voter_of_three(seed);
        let wake_ms = replica.next_tick_ms();
        assert!((TIMING.election_ms..2 * TIMING.election_ms).contains(&wake_ms), "{wake_ms}");
        assert_eq!(replica.step(Input::Tick, wake_ms - 1), Vec::new());
        assert!(!replica.step(Input::Tick, wake_ms).is_empty());
        assert!(replica.next_tick_ms() > wake_ms, "it waits before it campaigns again");
        wakes.insert(wake_ms);
    }
    assert!(wakes.len() > 10, "{wakes:?}");
}

#[test]
fn a_learner_wakes_rarely_and_never_campaigns() {
    let mut replica = Replica::new(Id(9), TIMING, three_voters(), 1, 0);
    let mut wakes = 0;
    while replica.next_tick_ms() < 100 * TIMING.election_ms {
        let wake_ms = replica.next_tick_ms();
        assert_eq!(replica.step(Input::Tick, wake_ms), Vec::new());
        wakes += 1;
    }
    assert!(wakes <= 100, "{wakes}");
}

fn voter_of_three(seed: u64) -> Replica {
    Replica::new(Id(1), TIMING, three_voters(), seed, 0)
}
