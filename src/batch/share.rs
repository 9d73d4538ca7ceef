//! Shares of a pool: what customers use of it and ask for, and the level up to which each is served when
//! the pool is too small for all (weighted max-min fairness over dominant shares).

use derive_more::{Add, AddAssign, Sum};

use super::document::Document;
use super::job::Resources;

/// Amounts of resources as fractions of a pool's capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Add, AddAssign, Sum)]
pub struct Share {
    /// Fraction of the processor time.
    pub cpu: f64,
    /// Fraction of the memory.
    pub memory: f64,
    /// Fraction of the accelerators.
    pub accelerators: f64,
}

impl Share {
    /// Share that `count` tasks with this demand need; processor time of fillers is not counted.
    pub fn of(demand: &Resources, is_filler: bool, count: u64, capacity: &Resources) -> Self {
        let mut needed = Resources::default();
        needed.add(demand, is_filler);
        let fraction = |needed: u64, total: u64| {
            if total == 0 { 0.0 } else { needed as f64 * count as f64 / total as f64 }
        };
        Self {
            cpu: fraction(needed.cpu_milli, capacity.cpu_milli),
            memory: fraction(needed.memory_mb, capacity.memory_mb),
            accelerators: fraction(needed.accelerators.into(), capacity.accelerators.into()),
        }
    }

    /// The largest of the fractions.
    pub fn dominant(&self) -> f64 {
        self.cpu.max(self.memory).max(self.accelerators)
    }

    /// This share multiplied by a factor.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            cpu: self.cpu * factor,
            memory: self.memory * factor,
            accelerators: self.accelerators * factor,
        }
    }
}

/// What a customer uses of a pool and asks for, together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Claim {
    /// Share that the customer uses and asks for.
    pub share: Share,
    /// Weight of the customer.
    pub weight: f64,
}

impl Claim {
    // Level from which on the customer has all that it asks for.
    fn full_level(&self) -> f64 {
        self.share.dominant() / self.weight
    }
}

/// Level up to which every customer is served: each gets what it claims, or the level times its weight,
/// whichever is less. `None` if the pool holds all claims.
pub fn fair_level(claims: &[Claim]) -> Option<f64> {
    let total: Share = claims.iter().map(|claim| claim.share).sum();
    if total.dominant() <= 1.0 {
        return None;
    }
    let mut open: Vec<&Claim> =
        claims.iter().filter(|claim| claim.share.dominant() > 0.0 && claim.weight > 0.0).collect();
    open.sort_by(|one, other| one.full_level().total_cmp(&other.full_level()));
    let mut served = Share::default();
    for (at, claim) in open.iter().enumerate() {
        // Share that the customers which are not served in full get per level.
        let rising: Share =
            open[at..].iter().map(|other| other.share.scaled(1.0 / other.full_level())).sum();
        let level = level_at_capacity(&served, &rising);
        if level < claim.full_level() {
            return Some(level);
        }
        served += claim.share;
    }
    None
}

// Level at which the first resource is used up.
fn level_at_capacity(served: &Share, rising: &Share) -> f64 {
    let level = |served: f64, rising: f64| {
        if rising > 0.0 { (1.0 - served).max(0.0) / rising } else { f64::INFINITY }
    };
    level(served.cpu, rising.cpu)
        .min(level(served.memory, rising.memory))
        .min(level(served.accelerators, rising.accelerators))
}

/// Weight of a customer: its part of all guarantees and an equal part for each customer, so that
/// customers without a guarantee have a weight, too.
pub fn weight(document: &Document, customer: &str) -> f64 {
    let equal_part = 1.0 / document.customers.len().max(1) as f64;
    let total: u64 = document.customers.iter().map(|customer| u64::from(customer.guaranteed)).sum();
    let own = document.customer(customer).map_or(0, |customer| customer.guaranteed);
    equal_part + f64::from(own) / total.max(1) as f64
}
