//! A group that keeps its own size: who is promoted, replaced and dropped, and when.

use eelgrassvalve::control::next_membership_change;
use eelgrassvalve::control::status::Member;
use eelgrassvalve::replica::member::{Change, Id};
use rstest::rstest;

/// A leader that leads for long.
const SETTLED_MS: u64 = 60_000;

fn member(id: u64, is_voter: bool, silent_ms: u64) -> Member {
    let name = format!("127.0.0.{id}:7000");
    Member { id: Id(id).to_string(), name, is_voter, matched: 10, silent_ms }
}

fn voters(silent_ms: &[u64]) -> Vec<Member> {
    silent_ms.iter().zip(1..).map(|(silent_ms, id)| member(id, true, *silent_ms)).collect()
}

fn with(mut members: Vec<Member>, more: Member) -> Vec<Member> {
    members.push(more);
    members
}

#[rstest]
#[case::whole(voters(&[0, 0, 0, 0, 0]), None)]
#[case::room_for_a_voter(
    with(voters(&[0, 0, 0]), member(9, false, 0)),
    Some(Change::Promote { id: Id(9) })
)]
#[case::a_silent_learner_is_not_promoted(with(voters(&[0, 0, 0]), member(9, false, 2_000)), None)]
#[case::a_learner_beyond_five_waits(with(voters(&[0, 0, 0, 0, 0]), member(9, false, 0)), None)]
#[case::a_silent_voter_is_replaced(
    with(voters(&[0, 0, 0, 0, 3_000]), member(9, false, 0)),
    Some(Change::Remove { id: Id(5) })
)]
#[case::a_restart_is_waited_for(with(voters(&[0, 0, 0, 0, 2_000]), member(9, false, 0)), None)]
#[case::without_a_learner_nobody_goes(voters(&[0, 0, 0, 0, 60_000]), None)]
#[case::a_dead_learner_is_dropped(
    with(voters(&[0, 0, 0, 0, 0]), member(9, false, 11_000)),
    Some(Change::Remove { id: Id(9) })
)]
fn the_next_change_is(#[case] members: Vec<Member>, #[case] change: Option<Change>) {
    assert_eq!(next_membership_change(&members, 1, SETTLED_MS), change);
}

/// A new leader has heard nobody yet: it must not take that for silence.
#[test]
fn a_new_leader_replaces_nobody() {
    let members = with(voters(&[0, 3_000, 3_000, 3_000, 3_000]), member(9, false, 0));
    assert_eq!(next_membership_change(&members, 1, 1_000), None);
}

#[rstest]
#[case::one_loss(1, 5)]
#[case::two_losses(2, 5)]
#[case::three_losses(3, 7)]
fn the_group_grows_to_bear_its_losses(#[case] losses: usize, #[case] wanted: usize) {
    let mut members = voters(&[0]);
    for id in 10..30 {
        members.push(member(id, false, 0));
    }
    while let Some(Change::Promote { id }) = next_membership_change(&members, losses, SETTLED_MS) {
        for held in &mut members {
            held.is_voter |= held.id == id.to_string();
        }
    }
    assert_eq!(members.iter().filter(|member| member.is_voter).count(), wanted);
}
