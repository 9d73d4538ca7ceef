//! Client that finds the leader of the control members and calls it, from any daemon.

use std::sync::Arc;
use std::time::Duration;

use super::Control;
use super::leader::Hint;
use crate::batch::call as batch;
use crate::error::{Code, Error, Result};
use crate::kernel::timer::Timer;
use crate::mesh::Mesh;
use crate::mesh::call::{Answer, Call};
use crate::settings::Settings;
use crate::state::{Command, Reply};
use crate::verdict::Verdict;

/// How long a batch request that no member has accepted waits for a leader: one and a half
/// elections.
const ELECTION_WAIT: Duration = Duration::from_millis(1_200);
/// Retry delay sent to a caller when no leader answers: about the duration of an election.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Timeout of a call to one daemon.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Client of the control members, with a hint which daemon leads.
#[derive(Clone)]
pub struct Client {
    own_name: String,
    mesh: Mesh,
    timer: Timer,
    local: Option<Arc<Control>>,
    members: Vec<String>,
    leader_hint: Arc<Hint>,
}

impl Client {
    /// Creates the client of the daemon that has these settings.
    pub fn new(settings: &Settings, timer: Timer, mesh: Mesh, local: Option<Arc<Control>>) -> Self {
        let mut members: Vec<String> = Vec::new();
        for peer in settings.peers.iter().filter(|_| !settings.batch.is_enabled) {
            if peer.is_control {
                members.push(peer.name.clone());
            }
        }
        if local.is_some() && !settings.batch.is_enabled {
            members.push(settings.name.clone());
        }
        let leader_hint = Arc::new(Hint::new(timer.clone()));
        Self { own_name: settings.name.clone(), mesh, timer, local, members, leader_hint }
    }

    /// Proposes a command to the replicated state machine. Commands are idempotent, so that they
    /// are resent until the deadline.
    ///
    /// # Errors
    /// The state machine's refusal, or `no_quorum` with a verdict that says whether any attempt may
    /// have run.
    pub async fn propose(&self, command: Command, within: Duration) -> Result<Reply> {
        match self.call(Call::Propose(command), within).await? {
            Answer::Reply(reply) => Ok(reply),
            other => Err(Error::unexpected(&other)),
        }
    }

    /// Name of the daemon that was last known to lead.
    pub fn leader(&self) -> Option<String> {
        let local_leader = self.local.as_ref().and_then(|local| local.leader_name());
        local_leader.or_else(|| self.leader_hint.get())
    }

    /// Sends a batch request to the leader, as [`Client::call`] does.
    ///
    /// # Errors
    /// As for [`Client::call`].
    pub async fn call_batch(
        &self,
        request: batch::Request,
        within: Duration,
    ) -> Result<batch::Answer> {
        match self.call(Call::Batch(Box::new(request)), within).await? {
            Answer::Batch(answer) => Ok(*answer),
            other => Err(Error::unexpected(&other)),
        }
    }

    /// Sets the leader hint, if `leader` is known.
    pub fn update_leader_hint(&self, leader: Option<String>) {
        if let Some(leader) = leader {
            self.leader_hint.set(leader);
        }
    }

    /// Sends a batch request to one daemon, without retries or redirects.
    ///
    /// # Errors
    /// As for [`Mesh::call`].
    pub async fn call_daemon(
        &self,
        daemon: &str,
        request: batch::Request,
        within: Duration,
    ) -> Result<Answer> {
        self.call_one(daemon, Call::Batch(Box::new(request)), within).await
    }

    /// Calls the leader, and follows redirects and retries until the deadline.
    ///
    /// # Errors
    /// The leader's refusal, or `no_quorum`, with a verdict that says whether any attempt may have
    /// run.
    pub async fn call(&self, call: Call, within: Duration) -> Result<Answer> {
        let deadline_ms = self.timer.now_ms() + within.as_millis() as u64;
        let election_deadline_ms =
            self.timer.now_ms().saturating_add(election_wait(&call).as_millis() as u64);
        let mut verdict = Verdict::NotRun;
        let mut attempt = 0;
        let mut turn = None;
        loop {
            let remaining_ms = deadline_ms.saturating_sub(self.timer.now_ms());
            let has_not_run = verdict == Verdict::NotRun;
            if remaining_ms == 0 || (has_not_run && self.timer.now_ms() >= election_deadline_ms) {
                let error = Error::new(verdict, Code::NoQuorum, "no leader answers");
                return Err(error.retry_after(RETRY_AFTER));
            }
            let target = self.next_target(attempt);
            attempt += 1;
            let timeout = Duration::from_millis(remaining_ms).min(call_timeout(&call));
            match self.call_one(&target, call.clone(), timeout).await {
                Ok(Answer::Redirect(leader)) => match leader.filter(|name| *name != target) {
                    Some(leader) => self.leader_hint.set(leader),
                    None => self.leader_hint.forget(&target),
                },
                Ok(answer) => {
                    self.leader_hint.set(target);
                    return Ok(answer);
                }
                // The refusal is about this attempt; an earlier one may still take effect.
                Err(error) if is_final(&error) && has_not_run => return Err(error),
                Err(error) if is_final(&error) => {
                    return Err(error.after_earlier_send().retry_after(RETRY_AFTER));
                }
                Err(error) => {
                    if call.is_durable() {
                        verdict = verdict.max(error.verdict);
                    }
                    self.leader_hint.forget(&target);
                }
            }
            if self.leader_hint.get().is_some() {
                turn = None;
                continue;
            }
            let last_ms = if verdict == Verdict::NotRun {
                deadline_ms.min(election_deadline_ms)
            } else {
                deadline_ms
            };
            turn = tokio::select! {
                turn = self.leader_hint.await_turn(turn) => turn,
                () = self.timer.sleep_until(last_ms) => None,
            };
        }
    }

    fn next_target(&self, attempt: usize) -> String {
        if let Some(leader) = self.local.as_ref().and_then(|local| local.leader_name()) {
            // A partitioned member may name a leader that is gone: every other attempt tries
            // elsewhere.
            if attempt.is_multiple_of(2) {
                return leader;
            }
        }
        if let Some(hint) = self.leader_hint.get() {
            return hint;
        }
        // If the settings name no control members, the linked ones are tried.
        let mut members = self.members.clone();
        if members.is_empty() {
            members = self.mesh.control_peers();
            members.extend(self.local.is_some().then(|| self.own_name.clone()));
        }
        let count = members.len().max(1);
        members.get(attempt % count).cloned().unwrap_or_default()
    }

    async fn call_one(&self, target: &str, call: Call, within: Duration) -> Result<Answer> {
        if target != self.own_name {
            return self.mesh.call(target, call, within).await;
        }
        let Some(local) = &self.local else {
            return Err(Error::not_run(Code::NoQuorum, "no control member here"));
        };
        match tokio::time::timeout(within, local.on_call(&self.own_name, call)).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::may_have_run(Code::NoQuorum, "no quorum answers")),
        }
    }
}

// How long a call that no member has accepted waits for a leader before it fails.
fn election_wait(call: &Call) -> Duration {
    match call {
        Call::Batch(_) => ELECTION_WAIT,
        _ => Duration::from_secs(86_400),
    }
}

// Timeout of one attempt: calls that block by design get a longer one.
fn call_timeout(call: &Call) -> Duration {
    const MARGIN: Duration = Duration::from_millis(500);
    const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(15);
    // A worker drops an answer that comes after 1 s, and a caller's deadline leaves time for a
    // second attempt.
    const BATCH_TIMEOUT: Duration = Duration::from_millis(900);
    match call {
        Call::AwaitInForce { within_ms, .. } | Call::AwaitClaim { within_ms, .. } => {
            Duration::from_millis(*within_ms) + MARGIN
        }
        Call::AddMember { .. } | Call::Change(_) => MEMBERSHIP_TIMEOUT,
        Call::Batch(_) => BATCH_TIMEOUT,
        _ => CALL_TIMEOUT,
    }
}

// Only the lack of a leader or of a quorum is worth another attempt.
fn is_final(error: &Error) -> bool {
    !matches!(error.code, Code::NoQuorum | Code::NotLeader)
}
