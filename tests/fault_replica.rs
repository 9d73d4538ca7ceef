//! The replica under seeded random schedules of faults, and one targeted test for each hazard.
//!
//! `EELGRASSVALVE_SEEDS` sets the number of runs of each schedule; `EELGRASSVALVE_SEED` runs a
//! single seed.

#[path = "support/schedule.rs"]
mod schedule;

use eelgrassvalve::replica::member::{Change, Id, Members};
use eelgrassvalve::replica::{Body, Effect, Input, Message, Replica, Snapshot, State, Vote};
use rstest::rstest;
use schedule::{Faults, Network, TIMING};

/// Runs of each schedule, unless `EELGRASSVALVE_SEEDS` is set.
const DEFAULT_SEEDS: u64 = 300;
/// Simulated time under faults.
const FAULT_PERIOD_MS: u64 = 2_000;
/// Simulated time within which a healed group must settle.
const SETTLE_TIMEOUT_MS: u64 = 4_000;

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
        None => (0..number("EELGRASSVALVE_SEEDS").unwrap_or(DEFAULT_SEEDS)).collect(),
    }
}

/// Prints the seed if a run panics.
struct SeedOnPanic(u64);

impl Drop for SeedOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("failed with EELGRASSVALVE_SEED={}", self.0);
        }
    }
}

fn heal_and_settle(network: &mut Network) -> bool {
    network.heal();
    network.run_until(SETTLE_TIMEOUT_MS, |network| network.leader().is_some());
    for _ in 0..20 {
        network.run(SETTLE_TIMEOUT_MS / 40);
        let Some(leader) = network.leader() else { continue };
        let value = network.propose(leader);
        let is_settled =
            |network: &Network| network.acked.contains(&value) && network.has_converged();
        if network.run_until(SETTLE_TIMEOUT_MS / 20, is_settled) {
            return true;
        }
    }
    false
}

#[rstest]
#[case::loss_and_reordering(3, 3, LOSSY)]
#[case::long_delays(5, 5, Faults { delay_ms: 250, ..LOSSY })]
#[case::crashes(3, 3, Faults { crash: 8, compact: 10, ..LOSSY })]
#[case::crashes_among_five(5, 5, Faults { crash: 8, compact: 10, transfer: 5, ..LOSSY })]
#[case::link_cuts(5, 5, Faults { cut: 40, compact: 20, ..LOSSY })]
#[case::transfers(3, 3, Faults { transfer: 20, cut: 10, ..LOSSY })]
#[case::membership_changes(5, 1, Faults { change: 60, compact: 10, transfer: 5, ..LOSSY })]
#[case::disk_losses(5, 3, Faults { wipe: 10, change: 60, compact: 10, crash: 3, ..LOSSY })]
#[case::all_faults(6, 3, Faults {
    wipe: 5, change: 40, compact: 10, crash: 5, cut: 15, transfer: 5, ..LOSSY
})]
fn acknowledged_writes_survive_faults(
    #[case] hosts: usize,
    #[case] voters: usize,
    #[case] faults: Faults,
) {
    let (mut acked, mut reads, mut installs, mut changes) = (0, 0, 0, 0);
    for seed in seeds() {
        let seed_on_panic = SeedOnPanic(seed);
        let mut network = Network::new(seed, hosts, voters);
        network.faults = faults;
        network.run(FAULT_PERIOD_MS);
        assert!(heal_and_settle(&mut network), "the group did not settle after the faults ended");
        acked += network.acked.len();
        reads += network.reads;
        installs += network.installs;
        changes += network.changes;
        drop(seed_on_panic);
    }
    println!("{acked} writes, {reads} reads, {installs} installs, {changes} changes applied");
    assert!(acked > 0 && reads > 0);
}

fn network_with_leader(hosts: usize, voters: usize) -> (Network, usize) {
    let mut network = Network::new(7, hosts, voters);
    assert!(network.run_until(SETTLE_TIMEOUT_MS, |network| network.leader().is_some()));
    network.run(100);
    let leader = network.leader().expect("the leader is unchanged");
    (network, leader)
}

fn term(network: &Network, host: usize) -> u64 {
    network.hosts[host].replica.as_ref().expect("the replica runs").term()
}

fn propose_and_commit(network: &mut Network, host: usize) -> bool {
    let value = network.propose(host);
    network.run_until(SETTLE_TIMEOUT_MS, |network| network.acked.contains(&value))
}

fn change_members_until(network: &mut Network, change: Change, is_done: impl Fn(&Network) -> bool) {
    for _ in 0..40 {
        if is_done(network) {
            return;
        }
        if let Some(leader) = network.leader() {
            network.change(leader, change.clone());
        }
        network.run(100);
    }
    panic!("membership change not applied: {change:?}");
}

#[test]
fn isolated_member_does_not_depose_the_leader() {
    let (mut network, leader) = network_with_leader(3, 3);
    let term_before = term(&network, leader);
    let other = (leader + 1) % 3;
    network.isolate(other, 3_000);
    network.run(3_500);
    assert_eq!(network.leader(), Some(leader));
    assert_eq!(term(&network, leader), term_before);
    assert_eq!(term(&network, other), term_before);
}

#[test]
fn isolated_leader_steps_down_and_refuses_reads() {
    let (mut network, leader) = network_with_leader(3, 3);
    network.isolate(leader, 3_000);
    network.run(TIMING.election_ms);
    let reads_before = network.reads;
    network.read(leader);
    assert!(network.run_until(1_000, |network| network.refused_reads == 1));
    assert_eq!(network.reads, reads_before);
    assert!(!network.hosts[leader].replica.as_ref().expect("the replica runs").leads());
    assert!(
        network.run_until(1_000, |network| network.leader().is_some_and(|host| host != leader))
    );
}

#[rstest]
#[case::empty_disk(State::default())]
#[case::removed_voter(three_voters())]
fn non_voter_never_campaigns(#[case] saved: State) {
    let mut replica = Replica::new(Id(9), TIMING, saved, 1, 0);
    for at_ms in (0..100_000).step_by(10) {
        assert_eq!(replica.step(Input::Tick, at_ms), Vec::new());
    }
}

#[test]
fn member_with_lost_disk_does_not_count_under_its_new_identity() {
    let (mut network, leader) = network_with_leader(3, 3);
    assert!(propose_and_commit(&mut network, leader));
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    network.wipe(lost);
    network.crash(leader);
    network.hosts[leader].prevent_restart();
    network.run(3_000);
    // One voter and one non-member are not a quorum of three.
    assert_eq!(network.leader(), None);
    assert!(!network.hosts[other].replica.as_ref().expect("the replica runs").leads());
    network.start(leader);
    assert!(network.run_until(SETTLE_TIMEOUT_MS, |network| network.leader().is_some()));
}

#[test]
fn second_host_loss_right_after_a_repair_loses_no_data() {
    let (mut network, leader) = network_with_leader(3, 3);
    for _ in 0..20 {
        assert!(propose_and_commit(&mut network, leader));
    }
    let lost = (leader + 1) % 3;
    let old_id = network.hosts[lost].id;
    network.compact(leader);
    network.wipe(lost);
    network.run(500);
    let id = network.hosts[lost].id;
    let add = Change::Add { id, name: "host".into() };
    change_members_until(&mut network, add, |network| network.members().name(id).is_some());
    change_members_until(&mut network, Change::Promote { id }, |network| {
        network.members().is_voter(id)
    });
    change_members_until(&mut network, Change::Remove { id: old_id }, |network| {
        network.members().name(old_id).is_none()
    });
    let second = (leader + 2) % 3;
    network.crash(second);
    network.hosts[second].prevent_restart();
    assert!(network.run_until(SETTLE_TIMEOUT_MS, |network| network.leader().is_some()));
    let leader = network.leader().expect("there is a leader");
    assert!(propose_and_commit(&mut network, leader));
    assert!(network.installs > 0);
    // The follower learns the commit index from the next message.
    assert!(network.run_until(1_000, |network| network.has_converged_except(second)));
}

#[test]
fn transfer_moves_leadership_within_an_election_timeout() {
    let (mut network, leader) = network_with_leader(3, 3);
    network.input(leader, Input::Transfer);
    let moved = |network: &Network| network.leader().is_some_and(|host| host != leader);
    assert!(network.run_until(TIMING.election_ms, moved));
}

#[test]
fn unreachable_learner_is_not_promoted() {
    let (mut network, leader) = network_with_leader(4, 3);
    let id = network.hosts[3].id;
    let add = Change::Add { id, name: "host-3".into() };
    change_members_until(&mut network, add, |network| network.members().name(id).is_some());
    network.run(200);
    network.isolate(3, 10_000);
    network.run(500);
    network.change(leader, Change::Promote { id });
    network.run(500);
    assert!(!network.members().is_voter(id));
}

#[test]
fn member_cut_off_from_the_leader_alone_does_not_depose_it() {
    let (mut network, leader) = network_with_leader(3, 3);
    let term_before = term(&network, leader);
    network.cut(leader, (leader + 1) % 3, 3_000);
    network.run(3_000);
    assert_eq!((network.leader(), term(&network, leader)), (Some(leader), term_before));
}

#[test]
fn late_campaign_of_a_transfer_voids_the_lease() {
    let (mut network, leader) = network_with_leader(3, 3);
    network.campaign_delay_ms = TIMING.election_ms * 2;
    network.input(leader, Input::Transfer);
    network.run(TIMING.election_ms * 2 - 5);
    assert_eq!(network.leader(), Some(leader));
    network.isolate(leader, 1_000);
    assert!(network.run_until(50, |network| network.leader().is_some_and(|host| host != leader)));
    let new_leader = network.leader().expect("there is a leader");
    let value = network.propose(new_leader);
    assert!(network.run_until(50, |network| network.acked.contains(&value)));
    // `Network` checks that no read misses a write that was acknowledged before it.
    assert!(network.hosts[leader].replica.as_ref().expect("the replica runs").leads());
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

fn request_vote(replica: &mut Replica, from: Id, at_ms: u64) -> Vec<Effect> {
    let body = Body::Ask { pre: false, transfer: false, last_index: 1, last_term: 0 };
    let message = Message { term: 5, body };
    replica.step(Input::Message { from, message }, at_ms)
}

fn vote_response(effects: &[Effect]) -> Option<(usize, bool)> {
    for (position, effect) in effects.iter().enumerate() {
        let Effect::Send { message, .. } = effect else { continue };
        let Body::Answer { granted, .. } = message.body else { continue };
        return Some((position, granted));
    }
    None
}

#[test]
fn vote_is_persisted_before_its_response_and_survives_a_restart() {
    let after_ms = TIMING.election_ms;
    let mut replica = Replica::new(Id(1), TIMING, three_voters(), 1, 0);
    let effects = request_vote(&mut replica, Id(2), after_ms);
    let vote = Vote { term: 5, candidate: Some(Id(2)) };
    let saved = effects.iter().position(|effect| *effect == Effect::SaveVote(vote));
    let (sent, granted) = vote_response(&effects).expect("a vote response");
    assert!(granted && saved.is_some_and(|saved| saved < sent), "{effects:?}");

    let mut replica = Replica::new(Id(1), TIMING, State { vote, ..three_voters() }, 1, 0);
    let effects = request_vote(&mut replica, Id(3), after_ms);
    assert_eq!(vote_response(&effects).map(|(_, granted)| granted), Some(false));
    let effects = request_vote(&mut replica, Id(2), after_ms);
    assert_eq!(vote_response(&effects).map(|(_, granted)| granted), Some(true));
}

#[test]
fn new_leader_holds_no_lease_before_a_quorum_responds() {
    let mut replica = follower_of(Id(2));
    hand_over(&mut replica, Id(2));
    assert!(replica.leads() && !replica.holds_lease());
}

/// Member 1 of three, which follows this leader of term 1.
fn follower_of(leader: Id) -> Replica {
    let mut replica = Replica::new(Id(1), TIMING, three_voters(), 1, 0);
    let body = Body::Append { prev_index: 1, prev_term: 0, entries: vec![], commit: 1, sent_ms: 0 };
    let message = Message { term: 1, body };
    replica.step(Input::Message { from: leader, message }, 1);
    replica
}

// Asks the replica to campaign, and grants it the vote of member 3.
fn hand_over(replica: &mut Replica, from: Id) {
    let message = Message { term: 1, body: Body::Campaign };
    replica.step(Input::Message { from, message }, 2);
    let message = Message { term: 2, body: Body::Answer { pre: false, granted: true } };
    replica.step(Input::Message { from: Id(3), message }, 3);
}

#[test]
fn only_the_leader_hands_over_its_leadership() {
    let mut replica = follower_of(Id(2));
    hand_over(&mut replica, Id(3));
    assert!(!replica.leads());
    let mut replica = Replica::new(Id(1), TIMING, three_voters(), 1, 0);
    hand_over(&mut replica, Id(2));
    assert!(!replica.leads(), "no leader of this term is known");
}

/// Answers to heartbeats arrive while batches are on their way.
#[test]
fn answers_to_heartbeats_do_not_raise_the_number_of_batches_in_flight() {
    let mut replica = follower_of(Id(2));
    hand_over(&mut replica, Id(2));
    let appended = |index| Body::Appended { index, matches: true, sent_ms: 3 };
    let mut step = |input| {
        let effects = replica.step(input, 4);
        let batches = effects.iter().filter(|effect| {
            matches!(effect, Effect::Send { to: Id(2), message } if matches!(
                &message.body, Body::Append { entries, .. } if !entries.is_empty()
            ))
        });
        batches.count()
    };
    let answer =
        |index| Input::Message { from: Id(2), message: Message { term: 2, body: appended(index) } };
    let mut sent = step(answer(2));
    for token in 0..20 {
        sent += step(Input::Propose { token, command: vec![0; 150] });
    }
    assert_eq!(sent, 8);
    let after_heartbeats: usize = (0..5).map(|_| step(answer(2))).sum();
    assert_eq!(after_heartbeats, 0);
    assert_eq!(step(answer(4)), 1, "the answer to two batches frees two places for one message");
}

/// With coarse ticks, members that had lost power together campaigned at the same time: three
/// requested votes within 5 ms, and the group had no leader for another second.
#[test]
fn replica_campaigns_exactly_at_its_next_tick() {
    let mut ticks = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let mut replica = one_of_three_voters(seed);
        let tick_ms = replica.next_tick_ms();
        assert!((TIMING.election_ms..2 * TIMING.election_ms).contains(&tick_ms), "{tick_ms}");
        assert_eq!(replica.step(Input::Tick, tick_ms - 1), Vec::new());
        assert!(!replica.step(Input::Tick, tick_ms).is_empty());
        assert!(replica.next_tick_ms() > tick_ms, "the next campaign is later");
        ticks.insert(tick_ms);
    }
    assert!(ticks.len() > 10, "{ticks:?}");
}

#[test]
fn learner_ticks_rarely_and_never_campaigns() {
    let mut replica = Replica::new(Id(9), TIMING, three_voters(), 1, 0);
    let mut ticks = 0;
    while replica.next_tick_ms() < 100 * TIMING.election_ms {
        let tick_ms = replica.next_tick_ms();
        assert_eq!(replica.step(Input::Tick, tick_ms), Vec::new());
        ticks += 1;
    }
    assert!(ticks <= 100, "{ticks}");
}

fn one_of_three_voters(seed: u64) -> Replica {
    Replica::new(Id(1), TIMING, three_voters(), seed, 0)
}
