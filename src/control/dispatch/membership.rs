//! Members of a group that keeps its own size: joins, promotions, replacements.

use std::sync::Arc;
use std::time::Duration;

use super::Control;
use crate::batch::call::Answer;
use crate::control::status::Member;
use crate::error::Result;
use crate::replica::member::{Change, Id};
use crate::telemetry::DECISION;

/// Between two looks at the members, in milliseconds.
const LOOK_MS: u64 = 250;
/// Silence of a voter after which a caught-up learner takes its place, in milliseconds: longer
/// than a restart, shorter than the time after which the next loss must be borne.
const REPLACE_MS: u64 = 2_500;
/// Silence of a learner after which it is dropped, in milliseconds.
const DROP_MS: u64 = 10_000;
/// Voters where that many members are there: they bear the loss of two.
const VOTERS: usize = 5;

pub(super) async fn join(control: &Control, name: &str, id: Id) -> Result<Answer> {
    let standing = control.group_status();
    if standing.members.iter().any(|member| member.id == id.to_string()) {
        return Ok(Answer::Done);
    }
    // A daemon that comes with a new identity has lost the folder of its old one.
    let old = standing.members.iter().find(|member| member.name == name);
    if let Some(old) = old.and_then(|member| Id::parse(&member.id)) {
        tracing::info!(target: DECISION, name, old = %old, new = %id, "member lost its folder; replaced");
        control.change_members(Change::Remove { id: old }).await?;
    }
    control.change_members(Change::Add { id, name: name.into() }).await?;
    tracing::info!(target: DECISION, name, id = %id, "member added as a learner");
    Ok(Answer::Done)
}

/// Keeps the group at its size, for ever: promotes learners, replaces silent voters.
pub(in crate::control) async fn keep(control: Arc<Control>) {
    loop {
        control.timer.sleep(Duration::from_millis(LOOK_MS)).await;
        let standing = control.group_status();
        let settled_ms = control.timer.now_ms().saturating_sub(standing.role_since_ms);
        if !standing.is_leader {
            continue;
        }
        let Some(change) =
            next_membership_change(&standing.members, control.dispatch.losses, settled_ms)
        else {
            continue;
        };
        match control.change_members(change.clone()).await {
            Ok(()) => tracing::info!(target: DECISION, ?change, "membership changed"),
            Err(error) => tracing::debug!(%error, ?change, "membership not changed yet"),
        }
    }
}

/// The next membership change, if one is due. `losses` members may be lost at once.
pub fn next_membership_change(
    members: &[Member],
    losses: usize,
    settled_ms: u64,
) -> Option<Change> {
    let wanted = (2 * losses + 1).max(VOTERS);
    let id_of = |member: &Member| Id::parse(&member.id);
    let voters = members.iter().filter(|member| member.is_voter).count();
    let is_ready = |member: &&Member| {
        !member.is_voter && member.matched > 0 && member.silent_ms < REPLACE_MS / 2
    };
    let learner = members.iter().find(is_ready);
    if let Some(learner) = learner.filter(|_| voters < wanted) {
        return id_of(learner).map(|id| Change::Promote { id });
    }
    if settled_ms < REPLACE_MS {
        return None;
    }
    if learner.is_some() {
        let silent = members.iter().find(|member| member.is_voter && member.silent_ms > REPLACE_MS);
        if let Some(id) = silent.and_then(id_of) {
            return Some(Change::Remove { id });
        }
    }
    let dropped = members.iter().find(|member| !member.is_voter && member.silent_ms > DROP_MS);
    dropped.and_then(id_of).map(|id| Change::Remove { id })
}
