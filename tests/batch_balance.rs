//! To which members the workers of a fleet send their heartbeats.

use std::collections::BTreeMap;

use eelgrassvalve::batch::balance::{Balancer, View};
use rstest::rstest;

const LEADER: &str = "member-0";
const FOLLOWERS: [&str; 4] = ["member-1", "member-2", "member-3", "member-4"];

fn next_member<'a>(view: &View<'a>, worker: &str, receiver: &'a str) -> &'a str {
    Balancer::default().next_member(view, worker, receiver, 0)
}

fn view(workers: usize) -> View<'static> {
    View { leader: LEADER, followers: &FOLLOWERS, workers }
}

#[rstest]
#[case::small_fleet_stays_with_the_leader(view(370), LEADER, LEADER)]
#[case::small_fleet_returns_to_the_leader(view(370), "member-1", LEADER)]
#[case::a_medium_fleet_stays_with_the_leader(view(900), LEADER, LEADER)]
#[case::a_medium_fleet_stays_with_a_follower(view(900), "member-1", "member-1")]
#[case::a_large_fleet_stays_with_a_follower(view(3_000), "member-1", "member-1")]
#[case::no_follower_answers(View { followers: &[], ..view(3_000) }, LEADER, LEADER)]
fn next_members(
    #[case] view: View<'static>,
    #[case] receiver: &'static str,
    #[case] expected: &str,
) {
    assert_eq!(next_member(&view, "worker-1", receiver), expected);
}

#[test]
fn a_large_fleet_is_spread_evenly_over_the_followers() {
    let mut shares: BTreeMap<&str, usize> = BTreeMap::new();
    for number in 0..3_000 {
        let member = next_member(&view(3_000), &format!("worker-{number}"), LEADER);
        *shares.entry(member).or_default() += 1;
    }
    assert_eq!(shares.keys().copied().collect::<Vec<_>>(), FOLLOWERS);
    let most = shares.values().max().copied().unwrap_or(0);
    assert!(most < 3_000 / FOLLOWERS.len() * 5 / 4, "{shares:?}");
}

#[test]
fn the_loss_of_a_follower_moves_only_its_workers() {
    let before = view(3_000);
    let after = View { followers: &FOLLOWERS[1..], ..before };
    for number in 0..1_000 {
        let worker = format!("worker-{number}");
        let was = next_member(&before, &worker, LEADER);
        if was != FOLLOWERS[0] {
            assert_eq!(next_member(&after, &worker, LEADER), was);
        }
    }
}

// A new leader of a large fleet hears of its workers one after the other. Were they called back while
// it knows few of them, it would serve their connections at the worst moment and send them away again.
#[test]
fn a_new_leader_of_a_large_fleet_calls_few_workers_back() {
    let mut balancer = Balancer::default();
    let mut returned = 0;
    for known in 0..3_000 {
        let worker = format!("worker-{known}");
        let member = balancer.next_member(&view(known), &worker, FOLLOWERS[0], known as u64 / 3);
        returned += usize::from(member == LEADER);
    }
    assert!((1..=200).contains(&returned), "{returned}");
}

#[test]
fn a_small_fleet_returns_within_two_seconds() {
    let mut balancer = Balancer::default();
    let mut forwarded = 370;
    for tenth in 0..20 {
        let mut returns = |number: &usize| {
            let worker = format!("worker-{number}");
            balancer.next_member(&view(370), &worker, FOLLOWERS[0], tenth * 100) == LEADER
        };
        forwarded -= (0..forwarded).filter(&mut returns).count();
    }
    assert_eq!(forwarded, 0);
}
