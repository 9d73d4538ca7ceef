//! Slots of upstreams, and the requests that wait for them.

use std::collections::BTreeSet;
use std::sync::Arc;

use tokio::sync::oneshot;

use super::attempt::{Attempt, Queued};
use super::queue::{Conditions, Rejection, Ticket};
use super::table::Pick;
use super::upstream::Upstream;
use super::{Request, Router};
use crate::error::{Code, Error, Result};
use crate::telemetry::DECISION;

/// Milliseconds between two searches for another upstream.
const RECHECK_INTERVAL_MS: u64 = 10;

/// A slot of an upstream, released on drop.
pub struct Slot {
    router: Arc<Router>,
    /// Upstream that the slot belongs to.
    pub upstream: Upstream,
    /// Whether the request is the probe of an ejected upstream.
    pub is_probe: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.router.upstreams.lock().release(&self.upstream.id, self.is_probe);
        self.router.dispatch_waiting();
    }
}

/// Decision on a waiting request.
pub(super) enum Decision {
    /// The request gets a slot.
    Slot(Slot),
    /// The request was removed to make room for a more urgent request.
    Shed,
    /// The request can no longer meet its deadline.
    Late,
}

type Waiter = (Ticket, oneshot::Sender<Decision>);

impl Router {
    /// Waits for a slot of an upstream until the request's deadline.
    pub(super) async fn acquire_slot(
        self: &Arc<Self>,
        request: &Request,
        attempt: &Attempt<Queued>,
    ) -> Result<Slot> {
        let ticket = Ticket::from_request(request);
        let (sender, receiver) = oneshot::channel();
        self.enqueue(&ticket, sender, attempt)?;
        self.dispatch_waiting();
        tokio::select! {
            // A slot that is granted together with the deadline or a disconnect is used.
            biased;
            decision = receiver => match decision {
                Ok(Decision::Slot(slot)) => Ok(slot),
                Ok(Decision::Shed) => Err(refuse(request, attempt, Code::OverLimit, "gave way to more urgent requests")),
                Ok(Decision::Late) | Err(_) => Err(refuse(request, attempt, Code::Deadline, "the deadline can't be met any more")),
            },
            () = request.wait_for_disconnect() => {
                self.queue.lock().remove(&ticket);
                Err(refuse(request, attempt, Code::Deadline, "the caller went away"))
            }
            () = self.timer.sleep_until(request.deadline_ms) => {
                self.queue.lock().remove(&ticket);
                let is_served = self.upstreams.lock().capacity(&request.kind, self.timer.now_ms()) > 0;
                let code = if is_served { Code::Deadline } else { Code::NoUpstream };
                Err(refuse(request, attempt, code, "no upstream had a free slot in time"))
            }
        }
    }

    fn enqueue(
        self: &Arc<Self>,
        ticket: &Ticket,
        sender: oneshot::Sender<Decision>,
        attempt: &Attempt<Queued>,
    ) -> Result<()> {
        let now_ms = self.timer.now_ms();
        let mut shed = Vec::new();
        let pushed = {
            let mut queue = self.queue.lock();
            let capacity = self.upstreams.lock().capacity(&ticket.kind, now_ms);
            queue.push(ticket.clone(), sender, Conditions { capacity, now_ms }, &mut shed)
        };
        for (_, sender) in shed {
            // Fails if the shed request has stopped waiting.
            let _ = sender.send(Decision::Shed);
        }
        pushed.map_err(|rejection| {
            let code = match rejection {
                Rejection::Full => Code::OverLimit,
                Rejection::Late { .. } => Code::Deadline,
            };
            let reason = rejection.to_string();
            tracing::info!(target: DECISION, request = ticket.number, reason, "refuse");
            Error { retry_after_ms: Some(rejection.retry_after_ms()), ..attempt.fail(code, reason) }
        })
    }

    /// Waits for a slot of an upstream that is not in `failed`, until the request's deadline.
    /// Polls the upstreams instead of joining the queue.
    pub(super) async fn acquire_other_slot(
        self: &Arc<Self>,
        request: &Request,
        failed: &[String],
        attempt: &Attempt<Queued>,
    ) -> Result<Slot> {
        loop {
            let now_ms = self.timer.now_ms();
            let picked =
                self.upstreams.lock().pick(&request.kind, failed, now_ms, &mut rand::rng());
            if let Some(pick) = picked {
                return Ok(self.create_slot(request.number, pick));
            }
            if now_ms >= request.deadline_ms {
                let message = "no other upstream had a free slot in time";
                return Err(refuse(request, attempt, Code::NoUpstream, message));
            }
            self.timer.sleep_until(request.deadline_ms.min(now_ms + RECHECK_INTERVAL_MS)).await;
        }
    }

    fn create_slot(self: &Arc<Self>, number: u64, pick: Pick) -> Slot {
        tracing::info!(
            target: DECISION,
            request = number,
            candidates = pick.candidates,
            choice = pick.upstream.id,
            reason = %pick.reason,
            "route"
        );
        Slot { router: self.clone(), upstream: pick.upstream, is_probe: pick.is_probe }
    }

    /// Grants free slots to waiting requests. Has to be called after every change of slots or
    /// upstreams.
    pub fn dispatch_waiting(self: &Arc<Self>) {
        let mut exhausted_kinds = BTreeSet::new();
        loop {
            let Some((sender, decision)) = self.decide_next(&mut exhausted_kinds) else { return };
            // If the request has stopped waiting, dropping the decision releases its slot.
            let _ = sender.send(decision);
        }
    }

    // Adds kinds without a free slot to `exhausted_kinds`. Returns `None` if no waiting request
    // can get a slot.
    fn decide_next(
        self: &Arc<Self>,
        exhausted_kinds: &mut BTreeSet<String>,
    ) -> Option<(oneshot::Sender<Decision>, Decision)> {
        let now_ms = self.timer.now_ms();
        let mut queue = self.queue.lock();
        loop {
            let (ticket, sender): Waiter = queue.pop(|kind| !exhausted_kinds.contains(kind))?;
            if sender.is_closed() {
                queue.refund(&ticket);
                continue;
            }
            // A slot used for an answer that would miss its deadline is lost to other requests.
            if now_ms + queue.service_time_ms(&ticket.kind, now_ms) >= ticket.deadline_ms {
                queue.refund(&ticket);
                return Some((sender, Decision::Late));
            }
            let picked = self.upstreams.lock().pick(&ticket.kind, &[], now_ms, &mut rand::rng());
            let Some(pick) = picked else {
                exhausted_kinds.insert(ticket.kind.clone());
                queue.requeue(ticket, sender);
                continue;
            };
            drop(queue);
            let slot = self.create_slot(ticket.number, pick);
            return Some((sender, Decision::Slot(slot)));
        }
    }
}

fn refuse(request: &Request, attempt: &Attempt<Queued>, code: Code, reason: &str) -> Error {
    tracing::info!(target: DECISION, request = request.number, reason, "refuse");
    attempt.fail(code, reason)
}

impl Ticket {
    fn from_request(request: &Request) -> Self {
        Self {
            number: request.number,
            kind: request.kind.clone(),
            customer: request.customer.clone(),
            rank: request.rank,
            share: request.share,
            bytes: request.payload.len(),
            deadline_ms: request.deadline_ms,
        }
    }
}

impl Rejection {
    fn retry_after_ms(self) -> u64 {
        match self {
            Self::Full => 1_000,
            Self::Late { wait_ms } => wait_ms.clamp(100, 10_000),
        }
    }
}
