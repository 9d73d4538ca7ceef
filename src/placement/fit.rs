//! Search for seats of a gang inside an area.

use super::capacity::{Occupancy, Seat};
use super::cell;
use crate::state::job::{Adjacency, Job};

/// What a gang may take of each worker.
#[derive(Clone, Debug)]
pub struct Area {
    /// Accelerators, by worker.
    pub allowed: Vec<u32>,
    /// Processor cores, by worker.
    pub cores: Vec<i64>,
    /// Memory in MiB, by worker.
    pub memory_mib: Vec<i64>,
}

impl Area {
    /// An area of nothing.
    pub fn none(workers: usize) -> Self {
        Self { allowed: vec![0; workers], cores: vec![0; workers], memory_mib: vec![0; workers] }
    }

    /// What is free now.
    pub fn free(board: &Occupancy<'_>) -> Self {
        let mut area = Self::none(board.spots.len());
        for (at, spot) in board.spots.iter().enumerate() {
            if !spot.worker.is_schedulable {
                continue;
            }
            area.allowed[at] = spot.free();
            area.cores[at] = spot.cores;
            area.memory_mib[at] = spot.memory_mib;
        }
        area
    }

    fn size(&self) -> u32 {
        self.allowed.iter().map(|allowed| allowed.count_ones()).sum()
    }

    // Parts of a job that cores and memory of a worker allow.
    fn room(&self, at: usize, job: &Job) -> usize {
        let mut room = job.spec.parts as i64;
        if job.spec.cores > 0 {
            room = room.min(self.cores[at] / i64::from(job.spec.cores));
        }
        if job.spec.memory_mib > 0 {
            room = room.min(self.memory_mib[at] / job.spec.memory_mib as i64);
        }
        room.max(0) as usize
    }
}

/// Cost of one seat; lower is better.
pub type Cost<'a> = dyn Fn(Seat) -> u64 + 'a;

/// Cheapest seats for all parts, as close together as can be.
pub fn find(board: &Occupancy<'_>, job: &Job, area: &Area, cost: &Cost<'_>) -> Option<Vec<Seat>> {
    if area.size() < job.spec.parts * job.spec.accelerators {
        return None;
    }
    if job.spec.parts > 1 {
        if let Some(seats) = find_in(board.order.chunks(1), board, job, area, cost) {
            return Some(seats);
        }
        if job.spec.adjacency == Adjacency::Worker {
            return None;
        }
        if let Some(seats) = find_in(slices(&board.racks), board, job, area, cost) {
            return Some(seats);
        }
        if job.spec.adjacency == Adjacency::Rack {
            return None;
        }
        if let Some(seats) = find_in(slices(&board.zones), board, job, area, cost) {
            return Some(seats);
        }
        if job.spec.adjacency == Adjacency::Zone {
            return None;
        }
    }
    find_in(std::iter::once(board.order.as_slice()), board, job, area, cost)
}

fn slices(groups: &[Vec<usize>]) -> impl Iterator<Item = &[usize]> {
    groups.iter().map(Vec::as_slice)
}

fn find_in<'g>(
    groups: impl Iterator<Item = &'g [usize]>,
    board: &Occupancy<'_>,
    job: &Job,
    area: &Area,
    cost: &Cost<'_>,
) -> Option<Vec<Seat>> {
    let mut best: Option<((u64, u32), Vec<Seat>)> = None;
    let wanted = job.spec.parts * job.spec.accelerators;
    for group in groups {
        let free: u32 = group.iter().map(|at| area.allowed[*at].count_ones()).sum();
        if free < wanted {
            continue;
        }
        let Some((sum, seats)) = seats_in(group, board, job, area, cost) else { continue };
        if best.as_ref().is_none_or(|(least, _)| (sum, free) < *least) {
            best = Some(((sum, free), seats));
        }
    }
    best.map(|(_, seats)| seats)
}

fn seats_in(
    group: &[usize],
    board: &Occupancy<'_>,
    job: &Job,
    area: &Area,
    cost: &Cost<'_>,
) -> Option<(u64, Vec<Seat>)> {
    let spec = &job.spec;
    let parts = spec.parts as usize;
    let mut offers: Vec<(u64, Seat)> = Vec::new();
    for &worker in group {
        let room = area.room(worker, job);
        if room == 0 {
            continue;
        }
        let shape = &board.spots[worker].worker.shape;
        let start = offers.len();
        if spec.accelerators == 0 {
            if !board.spots[worker].worker.is_schedulable {
                continue;
            }
            let seat = Seat { worker, block: 0 };
            offers.extend(std::iter::repeat_n((cost(seat), seat), room));
            continue;
        }
        for block in cell::blocks(area.allowed[worker], shape.accelerators, spec.accelerators) {
            let seat = Seat { worker, block };
            offers.push((cost(seat), seat));
        }
        offers[start..].sort_by_key(|(cost, _)| *cost);
        offers.truncate(start + room);
    }
    if offers.len() < parts {
        return None;
    }
    offers.sort_by_key(|(cost, seat)| (*cost, seat.worker));
    offers.truncate(parts);
    let sum = offers.iter().map(|(cost, _)| *cost).fold(0, u64::saturating_add);
    Some((sum, offers.into_iter().map(|(_, seat)| seat).collect()))
}
