//! Consistency check: every guarantee can be reclaimed and no accelerator is allocated twice.

use derive_more::Display;

use super::capacity::Occupancy;
use super::guarantee::{Plan, accelerators_on};

/// An allocation that breaks a placement invariant.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// A job that can't be evicted occupies a cell reserved for another customer.
    #[display("{job} on {worker} can't be evicted from a cell of another customer")]
    Held {
        /// ID of the job.
        job: String,
        /// Name of the worker.
        worker: String,
    },
    /// A job that can't be evicted was placed outside its customer's guarantee.
    #[display("{job} can't be evicted and was placed outside its guarantee")]
    Outside {
        /// ID of the job.
        job: String,
    },
    /// Two gangs were given the same accelerator.
    #[display("{job} shares accelerators of {worker}")]
    Shared {
        /// ID of the job.
        job: String,
        /// Name of the worker.
        worker: String,
    },
}

/// Returns all violations; empty if every guarantee can be reclaimed.
pub fn violations(occupancy: &Occupancy<'_>, plan: &Plan) -> Vec<Violation> {
    let mut violations = Vec::new();
    for allocation in &occupancy.allocations {
        let is_unevictable = !allocation.job.spec.evictable && !allocation.stopping;
        if is_unevictable && !allocation.guaranteed {
            violations.push(Violation::Outside { job: allocation.job.id.clone() });
        }
    }
    for assignment in &plan.assignments {
        for slot in &assignment.slots {
            let usage = &occupancy.workers[slot.worker];
            for &index in &usage.allocations {
                let allocation = &occupancy.allocations[index];
                let overlaps = accelerators_on(&allocation.slots, slot.worker) & slot.block != 0;
                let can_be_freed = allocation.stopping
                    || (allocation.job.spec.evictable && !allocation.in_reserved_cells);
                if overlaps && allocation.customer != Some(assignment.customer) && !can_be_freed {
                    violations.push(Violation::Held {
                        job: allocation.job.id.clone(),
                        worker: usage.worker.name.clone(),
                    });
                }
            }
        }
    }
    for usage in &occupancy.workers {
        let mut claimed = 0;
        for &index in &usage.allocations {
            let allocation = &occupancy.allocations[index];
            let Some(worker) = allocation
                .slots
                .iter()
                .map(|slot| slot.worker)
                .find(|index| std::ptr::eq(occupancy.workers[*index].worker, usage.worker))
            else {
                continue;
            };
            let block = accelerators_on(&allocation.slots, worker);
            if claimed & block != 0 {
                let (job, worker) = (allocation.job.id.clone(), usage.worker.name.clone());
                violations.push(Violation::Shared { job, worker });
            }
            claimed |= block;
        }
    }
    violations
}
