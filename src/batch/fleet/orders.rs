//! Orders for workers, derived from the table and from their latest heartbeats.

use super::Fleet;
use super::throttling::step_of;
use crate::batch::job::TaskId;
use crate::batch::table::Table;
use crate::batch::worker::{Orders, Rate, Stamp, Start};

/// Maximum size of the orders in one answer, in bytes. A worker drops an answer of more than 4 MiB, and
/// each byte of text may take six in the answer if it has to be escaped.
const MAX_ORDERS_BYTES: usize = 512 << 10;
/// Size of an order without its texts, in bytes.
const ORDER_BYTES: usize = 64;

impl Fleet {
    /// Derives the orders for a worker from the table and the worker's latest heartbeat, and
    /// records the starts as sent. The orders carry the term of this view: a worker ignores those of
    /// an earlier term than the latest that it has seen. Orders that would make the answer too long
    /// follow with the answers to the next heartbeats.
    pub fn issue_orders(&mut self, worker: &str, table: &Table) -> Orders {
        let mut orders = Orders { term: self.term, ..Orders::default() };
        let Some(session) = self.sessions.get_mut(worker) else { return orders };
        let is_closed = session.is_closed(table);
        let heartbeat = &session.heartbeat;
        let listed_runs = heartbeat.listed_runs();
        let mut budget = OrderBudget { left: MAX_ORDERS_BYTES, is_exceeded: false };
        for end in &heartbeat.ended {
            // Ends are acknowledged in the order of the list, once the table has recorded them.
            if table.accepts_end(&end.task, end.run, end.how) {
                break;
            }
            orders.acknowledged = end.number;
        }
        for row in &heartbeat.running {
            let active = table.active_run(&row.task).filter(|active| {
                active.number == row.run
                    && active.worker == *worker
                    && active.incarnation == heartbeat.incarnation
            });
            let has_ended = self.pending_ends.contains(&row.task, row.run);
            let must_stop = has_ended || active.is_none_or(|active| active.is_stopping);
            if must_stop && budget.take(0) {
                orders.stop.push((row.task, row.run));
            }
            if !must_stop && is_filler(table, &row.task) && budget.take(0) {
                let percent = session.throttle.percent();
                orders.rates.push(Rate { task: row.task, run: row.run, percent });
            }
        }
        for (task, run) in table.runs_on(worker) {
            if listed_runs.contains(&(*task, run.number)) || run.incarnation > heartbeat.incarnation
            {
                continue;
            }
            let is_former = run.incarnation < heartbeat.incarnation;
            if is_former && self.pending_ends.contains(task, run.number) {
                continue;
            }
            if run.is_stopping || is_former {
                // The worker rejects the run if a start order of an earlier leader, or to an earlier
                // incarnation, still arrives.
                if budget.take(0) {
                    if is_former {
                        session.former.revoke(*task, run.number);
                    }
                    orders.stop.push((*task, run.number));
                }
                continue;
            }
            if is_closed {
                continue;
            }
            let Some(job) = table.live.get(&task.job) else { continue };
            let is_gang = job.spec.steps.get(task.step as usize).is_some_and(|step| step.is_gang);
            let has_ended = self.pending_ends.contains(task, run.number)
                || (is_gang && self.pending_ends.contains_step_run(task, run.number));
            if has_ended {
                continue;
            }
            let checkpoint = job.task(task).map_or("", |task| task.checkpoint.as_str());
            if budget.take(job.spec.payload.len() + checkpoint.len()) {
                let (payload, checkpoint) = (job.spec.payload.clone(), checkpoint.to_string());
                orders.start.push(Start { task: *task, run: run.number, payload, checkpoint });
                if is_filler(table, task) {
                    let percent = session.throttle.percent();
                    orders.rates.push(Rate { task: *task, run: run.number, percent });
                }
            }
        }
        session.record_orders(orders.start.iter().map(|start| (start.task, start.run)).collect());
        session.has_more_orders = budget.is_exceeded;
        orders
    }

    /// As [`Fleet::issue_orders`], for the answer to the heartbeat with this stamp; `None` if a later one was
    /// received. The worker has given the answer up then, or restarted: the next incarnation might follow
    /// orders that are derived from its own heartbeat, under a lease that counts from an earlier one.
    pub fn answer(&mut self, worker: &str, stamp: Stamp, table: &Table) -> Option<Orders> {
        let is_latest = self.session(worker).is_some_and(|known| known.heartbeat.stamp() == stamp);
        is_latest.then(|| self.issue_orders(worker, table))
    }
}

fn is_filler(table: &Table, task: &TaskId) -> bool {
    step_of(table, task).is_some_and(|step| step.is_filler)
}

/// Bytes that are left in an answer. At least one order is sent, however long it is.
struct OrderBudget {
    left: usize,
    is_exceeded: bool,
}

impl OrderBudget {
    // Takes the bytes of an order with this length of text, if they are left.
    fn take(&mut self, text_bytes: usize) -> bool {
        let bytes = ORDER_BYTES + text_bytes;
        if self.is_exceeded || (bytes > self.left && self.left < MAX_ORDERS_BYTES) {
            self.is_exceeded = true;
            return false;
        }
        self.left = self.left.saturating_sub(bytes);
        true
    }
}
