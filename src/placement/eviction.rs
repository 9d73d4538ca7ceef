//! Who may be evicted for whom, and what is lost by it.

use super::capacity::{Holder, Occupancy, Seat};
use super::fit::Area;
use super::guarantee::{Plan, block_on};
use crate::state::job::Phase;

/// Factor on the loss of a gang that can't run again unless its checkpoint succeeds.
const ONCE_ONLY: u64 = 16;

/// Who asks for room.
#[derive(Clone, Copy, Debug)]
pub struct Claimant {
    /// Index of its customer.
    pub customer: Option<usize>,
    /// Rank of its kind.
    pub rank: u8,
    /// Whether it claims cells of its own guarantee.
    pub guaranteed: bool,
}

impl Claimant {
    /// Whether a holder must make room for this claimant.
    pub fn may_evict(&self, holder: &Holder<'_>) -> bool {
        if holder.stopping {
            return true;
        }
        if !holder.job.spec.evictable {
            return false;
        }
        if self.guaranteed && holder.customer != self.customer {
            return !holder.covered;
        }
        let is_own = holder.customer == self.customer;
        holder.rank > self.rank && (is_own || !holder.covered)
    }

    /// What could be had by evictions, besides what is free.
    pub fn area(&self, board: &Occupancy<'_>, plan: &Plan) -> Area {
        let mut area = Area::none(board.spots.len());
        for (at, spot) in board.spots.iter().enumerate() {
            if !spot.worker.is_schedulable {
                continue;
            }
            let mut allowed = spot.all() & !spot.claimed;
            if self.guaranteed {
                allowed &= plan.own(self.customer, at);
            }
            if allowed == 0 && self.guaranteed {
                continue;
            }
            let (mut cores, mut memory_mib) = (spot.cores, spot.memory_mib);
            for &index in &spot.holders {
                let holder = &board.holders[index];
                if !self.may_evict(holder) {
                    allowed &= !block_on(&holder.seats, at);
                    continue;
                }
                let parts = parts_on(holder, at);
                cores += parts * i64::from(holder.job.spec.cores);
                memory_mib += parts * holder.job.spec.memory_mib as i64;
            }
            area.allowed[at] = allowed;
            area.cores[at] = cores;
            area.memory_mib[at] = memory_mib;
        }
        if self.guaranteed {
            limit_to_share(&mut area, board, plan, self.customer);
        }
        area
    }

    /// Holders that must stop so that the seats are free, cheapest first where any would do.
    pub fn victims(
        &self,
        board: &Occupancy<'_>,
        seats: &[Seat],
        cores: u32,
        memory_mib: u64,
        now_ms: u64,
    ) -> Vec<usize> {
        let mut victims = Vec::new();
        for seat in seats {
            for &index in &board.spots[seat.worker].holders {
                let here = block_on(&board.holders[index].seats, seat.worker);
                if here & seat.block != 0 && !victims.contains(&index) {
                    victims.push(index);
                }
            }
        }
        for seat in seats {
            let spot = &board.spots[seat.worker];
            let parts = seats.iter().filter(|other| other.worker == seat.worker).count() as i64;
            let mut rest: Vec<usize> = spot.holders.clone();
            rest.retain(|at| !victims.contains(at) && self.may_evict(&board.holders[*at]));
            rest.sort_by_key(|at| std::cmp::Reverse(loss(&board.holders[*at], now_ms)));
            loop {
                let freed = |of: &dyn Fn(&Holder<'_>) -> i64| -> i64 {
                    let gone = spot.holders.iter().filter(|at| victims.contains(at));
                    gone.map(|at| of(&board.holders[*at])).sum()
                };
                let core = |h: &Holder<'_>| parts_on(h, seat.worker) * i64::from(h.job.spec.cores);
                let mib = |h: &Holder<'_>| parts_on(h, seat.worker) * h.job.spec.memory_mib as i64;
                let enough = spot.cores + freed(&core) >= parts * i64::from(cores)
                    && spot.memory_mib + freed(&mib) >= parts * memory_mib as i64;
                if enough {
                    break;
                }
                let Some(next) = rest.pop() else { break };
                victims.push(next);
            }
        }
        victims
    }
}

/// Keeps a customer's guaranteed work to its cells' share of cores and memory.
pub fn limit_to_share(
    area: &mut Area,
    board: &Occupancy<'_>,
    plan: &Plan,
    customer: Option<usize>,
) {
    for (at, spot) in board.spots.iter().enumerate() {
        let own = i64::from(plan.own(customer, at).count_ones());
        if own == 0 {
            area.cores[at] = 0;
            area.memory_mib[at] = 0;
            continue;
        }
        let all = i64::from(spot.worker.shape.accelerators.max(1));
        let mut cores = i64::from(spot.worker.shape.cores) * own / all;
        let mut memory_mib = spot.worker.shape.memory_mib as i64 * own / all;
        for &index in &spot.holders {
            let holder = &board.holders[index];
            if holder.customer != customer || !holder.covered || holder.stopping {
                continue;
            }
            let parts = parts_on(holder, at);
            cores -= parts * i64::from(holder.job.spec.cores);
            memory_mib -= parts * holder.job.spec.memory_mib as i64;
        }
        area.cores[at] = area.cores[at].min(cores);
        area.memory_mib[at] = area.memory_mib[at].min(memory_mib);
    }
}

/// Parts that a gang has on a worker.
pub fn parts_on(holder: &Holder<'_>, worker: usize) -> i64 {
    holder.seats.iter().filter(|seat| seat.worker == worker).count() as i64
}

/// Work that an eviction loses: accelerator-milliseconds since the start or the last checkpoint.
pub fn loss(holder: &Holder<'_>, now_ms: u64) -> u64 {
    let Phase::Started(gang) = &holder.job.phase else { return 0 };
    let spec = &holder.job.spec;
    let accelerators = u64::from(spec.parts * spec.accelerators.max(1));
    let lost = now_ms.saturating_sub(gang.since_ms).saturating_mul(accelerators);
    let repeats = spec.idempotent || holder.job.checkpoint.is_some();
    if repeats { lost } else { lost.saturating_mul(ONCE_ONLY) }
}

/// Loss of all gangs that hold a seat.
pub fn seat_loss(board: &Occupancy<'_>, seat: Seat, now_ms: u64) -> u64 {
    let mut sum: u64 = 0;
    for &index in &board.spots[seat.worker].holders {
        let holder = &board.holders[index];
        if block_on(&holder.seats, seat.worker) & seat.block == 0 {
            continue;
        }
        // An eviction costs even where no progress is lost yet.
        let base = if holder.stopping { 0 } else { 1_000 };
        sum = sum.saturating_add(base + loss(holder, now_ms));
    }
    sum
}
