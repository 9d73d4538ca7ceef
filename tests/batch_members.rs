//! Automatic membership changes: when members are promoted, replaced and removed.

use eelgrassvalve::control::next_membership_change;
use eelgrassvalve::control::status::Member;
use eelgrassvalve::replica::member::{Change, Id};
use rstest::rstest;

/// How long the leader has led: long enough to have heard every member, in milliseconds.
const LEADER_FOR_MS: u64 = 60_000;

fn member(id: u64, is_voter: bool, silent_ms: u64) -> Member {
    let name = format!("127.0.0.{id}:7000");
    Member { id: Id(id).to_string(), name, is_voter, matched: 10, silent_ms }
}

fn voters(silent_ms: &[u64]) -> Vec<Member> {
    silent_ms.iter().zip(1..).map(|(silent_ms, id)| member(id, true, *silent_ms)).collect()
}

fn with_member(mut members: Vec<Member>, added: Member) -> Vec<Member> {
    members.push(added);
    members
}

#[rstest]
#[case::complete_group(voters(&[0, 0, 0, 0, 0]), None)]
#[case::a_learner_is_promoted(
    with_member(voters(&[0, 0, 0]), member(9, false, 0)),
    Some(Change::Promote { id: Id(9) })
)]
#[case::a_silent_learner_is_not_promoted(
    with_member(voters(&[0, 0, 0]), member(9, false, 2_000)),
    None
)]
#[case::a_learner_beyond_five_waits(
    with_member(voters(&[0, 0, 0, 0, 0]), member(9, false, 0)),
    None
)]
#[case::a_silent_voter_is_replaced(
    with_member(voters(&[0, 0, 0, 0, 3_000]), member(9, false, 0)),
    Some(Change::Remove { id: Id(5) })
)]
#[case::a_voter_has_time_to_restart(
    with_member(voters(&[0, 0, 0, 0, 2_000]), member(9, false, 0)),
    None
)]
#[case::without_a_learner_no_voter_is_removed(voters(&[0, 0, 0, 0, 60_000]), None)]
#[case::a_dead_learner_is_removed(
    with_member(voters(&[0, 0, 0, 0, 0]), member(9, false, 11_000)),
    Some(Change::Remove { id: Id(9) })
)]
fn the_due_membership_change_is_chosen(
    #[case] members: Vec<Member>,
    #[case] expected: Option<Change>,
) {
    assert_eq!(next_membership_change(&members, 1, LEADER_FOR_MS), expected);
}

/// A new leader has not heard the members yet, which must not count as their silence.
#[test]
fn a_new_leader_replaces_no_voter() {
    let members = with_member(voters(&[0, 3_000, 3_000, 3_000, 3_000]), member(9, false, 0));
    assert_eq!(next_membership_change(&members, 1, 1_000), None);
}

#[rstest]
#[case::one_loss(1, 5)]
#[case::two_losses(2, 5)]
#[case::three_losses(3, 7)]
fn the_group_grows_to_tolerate_losses(#[case] losses: usize, #[case] expected_voters: usize) {
    let mut members = voters(&[0]);
    for id in 10..30 {
        members.push(member(id, false, 0));
    }
    while let Some(Change::Promote { id }) = next_membership_change(&members, losses, LEADER_FOR_MS)
    {
        for member in &mut members {
            member.is_voter |= member.id == id.to_string();
        }
    }
    assert_eq!(members.iter().filter(|member| member.is_voter).count(), expected_voters);
}
