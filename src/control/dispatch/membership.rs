//! Automatic membership of the control group: joins, promotions and replacements of members.

use std::sync::Arc;
use std::time::Duration;

use super::Control;
use crate::batch::call::Answer;
use crate::control::status::Member;
use crate::error::Result;
use crate::replica::member::{Change, Id};
use crate::telemetry::DECISION;

/// Interval of the membership checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 250;
/// Time without an answer from a voter after which it is removed in favour of a caught-up learner,
/// in milliseconds: longer than a restart, shorter than the time after which the group must survive
/// the next loss.
const REPLACE_AFTER_MS: u64 = 2_500;
/// Time without an answer from a learner after which it is removed, in milliseconds.
const DROP_AFTER_MS: u64 = 10_000;
/// Least target number of voters, if there are that many members: five survive the loss of two.
const MIN_VOTERS: usize = 5;

pub(super) async fn join(control: &Control, name: &str, id: Id) -> Result<Answer> {
    let status = control.group_status();
    if status.members.iter().any(|member| member.id == id.to_string()) {
        return Ok(Answer::Done);
    }
    // A known daemon that joins under a new identity has lost its data folder.
    let old = status.members.iter().find(|member| member.name == name);
    if let Some(old) = old.and_then(|member| Id::parse(&member.id)) {
        tracing::info!(target: DECISION, name, old = %old, new = %id, "member rejoined with a new identity; removing the old one");
        control.change_members(Change::Remove { id: old }).await?;
    }
    control.change_members(Change::Add { id, name: name.into() }).await?;
    tracing::info!(target: DECISION, name, id = %id, "member added as a learner");
    Ok(Answer::Done)
}

/// Maintains the membership in an endless loop while this member leads: promotes learners, and
/// removes unresponsive members.
pub(in crate::control) async fn maintain(control: Arc<Control>) {
    loop {
        control.timer.sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let status = control.group_status();
        let leader_for_ms = control.timer.now_ms().saturating_sub(status.role_since_ms);
        if !status.is_leader {
            continue;
        }
        let Some(change) = next_membership_change(
            &status.members,
            control.dispatch.tolerated_losses,
            leader_for_ms,
        ) else {
            continue;
        };
        match control.change_members(change.clone()).await {
            Ok(()) => tracing::info!(target: DECISION, ?change, "membership changed"),
            Err(error) => tracing::debug!(%error, ?change, "membership change failed; retrying"),
        }
    }
}

/// The next membership change, if one is due. The group must survive the loss of
/// `tolerated_losses` members at once.
pub fn next_membership_change(
    members: &[Member],
    tolerated_losses: usize,
    leader_for_ms: u64,
) -> Option<Change> {
    let target_voters = (2 * tolerated_losses + 1).max(MIN_VOTERS);
    let id_of = |member: &Member| Id::parse(&member.id);
    let voters = members.iter().filter(|member| member.is_voter).count();
    let can_be_promoted = |member: &&Member| {
        !member.is_voter && member.matched > 0 && member.silent_ms < REPLACE_AFTER_MS / 2
    };
    let learner = members.iter().find(can_be_promoted);
    if let Some(learner) = learner.filter(|_| voters < target_voters) {
        return id_of(learner).map(|id| Change::Promote { id });
    }
    if leader_for_ms < REPLACE_AFTER_MS {
        return None;
    }
    if learner.is_some() {
        let silent_voter =
            members.iter().find(|member| member.is_voter && member.silent_ms > REPLACE_AFTER_MS);
        if let Some(id) = silent_voter.and_then(id_of) {
            return Some(Change::Remove { id });
        }
    }
    let dead_learner =
        members.iter().find(|member| !member.is_voter && member.silent_ms > DROP_AFTER_MS);
    dead_learner.and_then(id_of).map(|id| Change::Remove { id })
}
