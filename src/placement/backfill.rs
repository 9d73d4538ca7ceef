//! Reservation for the oldest large job, which backfill must not delay.

use super::capacity::{Occupancy, Seat};
use super::fit::{self, Area};
use super::guarantee::block_on;
use super::queue::Entry;

/// Seats kept for a waiting job from a time on.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// Its job.
    pub job: String,
    /// Rank of the job's kind.
    pub rank: u8,
    /// Accelerators by worker.
    pub blocks: Vec<u32>,
    /// When the last of them is expected to be free, in wall-clock milliseconds.
    pub at_ms: u64,
}

impl Reservation {
    /// Seats that are expected to be free first.
    pub fn new(board: &Occupancy<'_>, entry: &Entry<'_>) -> Option<Self> {
        let area = whole(board);
        let cost = |seat: Seat| free_at_ms(board, seat);
        let seats = fit::find(board, entry.job, &area, &cost)?;
        let mut blocks = vec![0; board.spots.len()];
        let mut at_ms = 0;
        for seat in seats {
            blocks[seat.worker] |= seat.block;
            at_ms = at_ms.max(free_at_ms(board, seat));
        }
        Some(Self { job: entry.job.id.clone(), rank: entry.rank, blocks, at_ms })
    }

    /// Whether a job would hold reserved seats beyond their time.
    pub fn blocks(&self, entry: &Entry<'_>, now_ms: u64) -> bool {
        // Ranks are the operator's word: a more urgent job never waits for a reservation.
        let is_bound = entry.rank >= self.rank && entry.job.id != self.job;
        is_bound && now_ms.saturating_add(entry.run_ms) > self.at_ms
    }
}

fn whole(board: &Occupancy<'_>) -> Area {
    let mut area = Area::none(board.spots.len());
    for (at, spot) in board.spots.iter().enumerate() {
        if !spot.worker.is_schedulable {
            continue;
        }
        area.allowed[at] = spot.all() & !spot.claimed;
        area.cores[at] = spot.worker.shape.cores.into();
        area.memory_mib[at] = spot.worker.shape.memory_mib as i64;
    }
    area
}

fn free_at_ms(board: &Occupancy<'_>, seat: Seat) -> u64 {
    let mut at_ms = 0;
    for &index in &board.spots[seat.worker].holders {
        let holder = &board.holders[index];
        if block_on(&holder.seats, seat.worker) & seat.block != 0 {
            at_ms = at_ms.max(holder.ends_ms);
        }
    }
    at_ms
}
