//! Check that every guarantee can still be had.

use derive_more::Display;

use super::capacity::Occupancy;
use super::guarantee::{Plan, block_on};

/// Work that keeps a customer from its guarantee.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Breach {
    /// Work that can't be evicted holds another customer's cell.
    #[display("{job} on {worker} can't be evicted from a cell of another customer")]
    Held {
        /// Job.
        job: String,
        /// Worker.
        worker: String,
    },
    /// Work that can't be evicted was placed outside its customer's guarantee.
    #[display("{job} can't be evicted and was placed outside its guarantee")]
    Outside {
        /// Job.
        job: String,
    },
    /// Two gangs hold the same accelerator.
    #[display("{job} shares accelerators of {worker}")]
    Shared {
        /// Job.
        job: String,
        /// Worker.
        worker: String,
    },
}

/// Everything that breaks the invariant; empty where each guarantee can be reclaimed.
pub fn breaches(board: &Occupancy<'_>, plan: &Plan) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for holder in &board.holders {
        let is_firm = !holder.job.spec.evictable && !holder.stopping;
        if is_firm && !holder.guaranteed {
            breaches.push(Breach::Outside { job: holder.job.id.clone() });
        }
    }
    for kept in &plan.kept {
        for seat in &kept.seats {
            let spot = &board.spots[seat.worker];
            for &at in &spot.holders {
                let holder = &board.holders[at];
                let here = block_on(&holder.seats, seat.worker) & seat.block != 0;
                let yields = holder.stopping || (holder.job.spec.evictable && !holder.covered);
                if here && holder.customer != Some(kept.customer) && !yields {
                    breaches.push(Breach::Held {
                        job: holder.job.id.clone(),
                        worker: spot.worker.name.clone(),
                    });
                }
            }
        }
    }
    for spot in &board.spots {
        let mut seen = 0;
        for &at in &spot.holders {
            let holder = &board.holders[at];
            let Some(worker) = holder
                .seats
                .iter()
                .map(|seat| seat.worker)
                .find(|at| std::ptr::eq(board.spots[*at].worker, spot.worker))
            else {
                continue;
            };
            let block = block_on(&holder.seats, worker);
            if seen & block != 0 {
                let (job, worker) = (holder.job.id.clone(), spot.worker.name.clone());
                breaches.push(Breach::Shared { job, worker });
            }
            seen |= block;
        }
    }
    breaches
}
