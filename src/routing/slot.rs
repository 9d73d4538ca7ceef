//! Waiting for a slot of an upstream, and the slot itself.

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

/// Wait before another upstream is looked for again, in milliseconds.
const RECHECK_MS: u64 = 10;

/// A slot of an upstream, given back when dropped.
pub struct Slot {
    router: Arc<Router>,
    /// Upstream.
    pub upstream: Upstream,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.router.upstreams.lock().release(&self.upstream.id);
        self.router.dispatch_waiting();
    }
}

/// What a waiting request is told.
pub(super) enum Grant {
    /// It has a slot.
    Slot(Slot),
    /// It gave way to a more urgent request.
    Shed,
    /// It can't meet its deadline any more.
    Late,
}

type Waiter = (Ticket, oneshot::Sender<Grant>);

impl Router {
    /// Waits for a slot of an upstream until the request's deadline.
    pub(super) async fn wait(
        self: &Arc<Self>,
        request: &Request,
        attempt: &Attempt<Queued>,
    ) -> Result<Slot> {
        let ticket = Ticket::of(request);
        let (sender, receiver) = oneshot::channel();
        self.join(&ticket, sender, attempt)?;
        self.dispatch_waiting();
        tokio::select! {
            // A slot that is granted at the last moment is used.
            biased;
            granted = receiver => match granted {
                Ok(Grant::Slot(slot)) => Ok(slot),
                Ok(Grant::Shed) => Err(refuse(request, attempt, Code::OverLimit, "gave way to more urgent requests")),
                Ok(Grant::Late) | Err(_) => Err(refuse(request, attempt, Code::Deadline, "the deadline can't be met any more")),
            },
            () = request.abandoned() => {
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

    fn join(
        self: &Arc<Self>,
        ticket: &Ticket,
        sender: oneshot::Sender<Grant>,
        attempt: &Attempt<Queued>,
    ) -> Result<()> {
        let now_ms = self.timer.now_ms();
        let mut shed = Vec::new();
        let pushed = {
            let mut queue = self.queue.lock();
            let capacity = self.upstreams.lock().capacity(&ticket.kind, now_ms);
            queue.push(ticket.clone(), sender, Conditions { capacity, now_ms }, &mut shed)
        };
        for (_, waiter) in shed {
            // The waiter may have given up meanwhile.
            let _ = waiter.send(Grant::Shed);
        }
        pushed.map_err(|refused| {
            let code = match refused {
                Rejection::Full => Code::OverLimit,
                Rejection::Late { .. } => Code::Deadline,
            };
            let reason = refused.to_string();
            tracing::info!(target: DECISION, request = ticket.number, reason, "refuse");
            Error { retry_after_ms: Some(refused.retry_after_ms()), ..attempt.fail(code, reason) }
        })
    }

    /// Looks for a slot of an upstream that is none of `failed`, until the request's deadline.
    pub(super) async fn wait_for_other(
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
                return Ok(self.slot(request.number, pick));
            }
            if now_ms >= request.deadline_ms {
                let message = "no other upstream had a free slot in time";
                return Err(refuse(request, attempt, Code::NoUpstream, message));
            }
            self.timer.sleep_until(request.deadline_ms.min(now_ms + RECHECK_MS)).await;
        }
    }

    fn slot(self: &Arc<Self>, number: u64, pick: Pick) -> Slot {
        tracing::info!(
            target: DECISION,
            request = number,
            candidates = pick.candidates,
            choice = pick.upstream.id,
            reason = %pick.reason,
            "route"
        );
        Slot { router: self.clone(), upstream: pick.upstream }
    }

    /// Gives free slots to waiting requests; to be called whenever slots or upstreams changed.
    pub fn dispatch_waiting(self: &Arc<Self>) {
        let mut full = BTreeSet::new();
        loop {
            let Some((waiter, grant)) = self.grant(&mut full) else { return };
            // A slot that nobody waits for any more is given back by its drop.
            let _ = waiter.send(grant);
        }
    }

    // Kinds without a free slot go into `full`; `None` once nothing can be granted.
    fn grant(
        self: &Arc<Self>,
        full: &mut BTreeSet<String>,
    ) -> Option<(oneshot::Sender<Grant>, Grant)> {
        let now_ms = self.timer.now_ms();
        let mut queue = self.queue.lock();
        loop {
            let (ticket, sender): Waiter = queue.pop(|kind| !full.contains(kind))?;
            if sender.is_closed() {
                continue;
            }
            // A slot spent on an answer that comes too late is lost for all others.
            if now_ms + queue.service_time_ms(&ticket.kind, now_ms) >= ticket.deadline_ms {
                return Some((sender, Grant::Late));
            }
            let picked = self.upstreams.lock().pick(&ticket.kind, &[], now_ms, &mut rand::rng());
            let Some(pick) = picked else {
                full.insert(ticket.kind.clone());
                queue.put_back(ticket, sender);
                continue;
            };
            drop(queue);
            let slot = self.slot(ticket.number, pick);
            return Some((sender, Grant::Slot(slot)));
        }
    }
}

fn refuse(request: &Request, attempt: &Attempt<Queued>, code: Code, reason: &str) -> Error {
    tracing::info!(target: DECISION, request = request.number, reason, "refuse");
    attempt.fail(code, reason)
}

impl Ticket {
    fn of(request: &Request) -> Self {
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
