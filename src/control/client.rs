//! Finds the leader and calls it, from any daemon.

use std::sync::Arc;
use std::time::Duration;

use super::Control;
use crate::batch::call as batch;
use crate::error::{Code, Error, Result};
use crate::kernel::lock::{Rank, Table};
use crate::kernel::timer::Timer;
use crate::mesh::Mesh;
use crate::mesh::call::{Answer, Call};
use crate::settings::Settings;
use crate::state::{Command, Reply};
use crate::verdict::Verdict;

/// Wait of a batch request for a leader while nobody has taken it: an election and a half.
const UNTRIED: Duration = Duration::from_millis(1_200);
/// Wait before the leader is looked for again.
const PAUSE: Duration = Duration::from_millis(50);
/// When a caller may try again where no leader answers: an election takes about as long.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest wait for one daemon's answer.
const ATTEMPT: Duration = Duration::from_millis(1_500);

/// A client of the control members.
#[derive(Clone)]
pub struct Client {
    own: String,
    mesh: Mesh,
    timer: Timer,
    local: Option<Arc<Control>>,
    members: Vec<String>,
    hint: Arc<Table<Option<String>>>,
}

impl Client {
    /// A client for the daemon of these settings.
    pub fn new(settings: &Settings, timer: Timer, mesh: Mesh, local: Option<Arc<Control>>) -> Self {
        let mut members: Vec<String> = Vec::new();
        for peer in settings.peers.iter().filter(|_| !settings.batch.is_on) {
            if peer.is_control {
                members.push(peer.name.clone());
            }
        }
        if local.is_some() && !settings.batch.is_on {
            members.push(settings.name.clone());
        }
        let hint = Arc::new(Table::new(Rank::Leader, None));
        Self { own: settings.name.clone(), mesh, timer, local, members, hint }
    }

    /// Orders a durable change. Commands are idempotent, so they are resent until the deadline.
    ///
    /// # Errors
    /// The machine's refusal, or `no_quorum` with the verdict that the sends allow.
    pub async fn propose(&self, command: Command, within: Duration) -> Result<Reply> {
        match self.call(Call::Propose(command), within).await? {
            Answer::Reply(reply) => Ok(reply),
            other => Err(Error::unexpected(&other)),
        }
    }

    /// Name of the daemon that was last found to lead.
    pub fn leader(&self) -> Option<String> {
        let own = self.local.as_ref().and_then(|local| local.leader_name());
        own.or_else(|| self.hint())
    }

    /// As [`Client::call`], for batch work.
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

    /// Takes news of who leads.
    pub fn update_leader_hint(&self, leader: Option<String>) {
        if leader.is_some() {
            self.set_hint(leader);
        }
    }

    /// Asks one daemon once.
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

    /// Calls the leader, wherever it is, until the deadline.
    ///
    /// # Errors
    /// The leader's refusal, or `no_quorum` with the verdict that the sends allow.
    pub async fn call(&self, call: Call, within: Duration) -> Result<Answer> {
        let until_ms = self.timer.now_ms() + within.as_millis() as u64;
        let untried_until_ms =
            self.timer.now_ms().saturating_add(untried(&call).as_millis() as u64);
        let mut verdict = Verdict::NotRun;
        let mut turn = 0;
        loop {
            let left_ms = until_ms.saturating_sub(self.timer.now_ms());
            let is_untried = verdict == Verdict::NotRun;
            if left_ms == 0 || (is_untried && self.timer.now_ms() >= untried_until_ms) {
                let error = Error::new(verdict, Code::NoQuorum, "no leader answers");
                return Err(error.retry_after(RETRY_AFTER));
            }
            let target = self.target(turn);
            turn += 1;
            let patience = Duration::from_millis(left_ms).min(patience(&call));
            match self.call_one(&target, call.clone(), patience).await {
                Ok(Answer::Redirect(leader)) => {
                    self.set_hint(leader.filter(|name| *name != target))
                }
                Ok(answer) => {
                    self.set_hint(Some(target));
                    return Ok(answer);
                }
                Err(error) if is_final(&error) => return Err(error),
                Err(error) => {
                    if call.is_durable() {
                        verdict = verdict.max(error.verdict);
                    }
                    self.set_hint(None);
                }
            }
            if self.hint().is_none() {
                self.timer.sleep(PAUSE).await;
            }
        }
    }

    fn target(&self, turn: usize) -> String {
        if let Some(leader) = self.local.as_ref().and_then(|local| local.leader_name()) {
            // A cut-off member may name a leader that is gone: every other turn asks around.
            if turn.is_multiple_of(2) {
                return leader;
            }
        }
        if let Some(hint) = self.hint() {
            return hint;
        }
        // Where the settings name no members, those that are linked are asked.
        let mut members = self.members.clone();
        if members.is_empty() {
            members = self.mesh.control_peers();
            members.extend(self.local.is_some().then(|| self.own.clone()));
        }
        let count = members.len().max(1);
        members.get(turn % count).cloned().unwrap_or_default()
    }

    async fn call_one(&self, target: &str, call: Call, within: Duration) -> Result<Answer> {
        if target != self.own {
            return self.mesh.call(target, call, within).await;
        }
        let Some(local) = &self.local else {
            return Err(Error::not_run(Code::NoQuorum, "no control member here"));
        };
        match tokio::time::timeout(within, local.on_call(&self.own, call)).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::may_have_run(Code::NoQuorum, "no quorum answers")),
        }
    }

    fn hint(&self) -> Option<String> {
        self.hint.lock().clone()
    }

    fn set_hint(&self, leader: Option<String>) {
        *self.hint.lock() = leader;
    }
}

// How long a call that nobody took waits for a leader before its caller is sent away.
fn untried(call: &Call) -> Duration {
    match call {
        Call::Batch(_) => UNTRIED,
        _ => Duration::from_secs(86_400),
    }
}

// Calls that wait by design get their own patience.
fn patience(call: &Call) -> Duration {
    const MARGIN: Duration = Duration::from_millis(500);
    const MEMBERSHIP: Duration = Duration::from_secs(15);
    // A worker drops an answer after a second, and a caller's deadline holds a second try.
    const BATCH: Duration = Duration::from_millis(900);
    match call {
        Call::AwaitInForce { within_ms, .. } | Call::AwaitClaim { within_ms, .. } => {
            Duration::from_millis(*within_ms) + MARGIN
        }
        Call::AddMember { .. } | Call::Change(_) => MEMBERSHIP,
        Call::Batch(_) => BATCH,
        _ => ATTEMPT,
    }
}

// Only troubles of the group itself are worth another try.
fn is_final(error: &Error) -> bool {
    !matches!(error.code, Code::NoQuorum | Code::NotLeader)
}
