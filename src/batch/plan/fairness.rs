//! Turns of customers in a pool that is too small for what waits.

use std::collections::{BTreeMap, BTreeSet};

use super::{Candidate, Cluster};
use crate::batch::job::{Job, Resources, State};
use crate::batch::share::{Claim, Share, fair_level, weight};

/// A customer that has more than its fair share of a pool, or asks for more.
#[derive(Clone, Debug, PartialEq)]
pub struct Excess {
    /// Name of the pool.
    pub pool: String,
    /// Priority class in which the customer's jobs yield.
    pub priority: u32,
    /// Name of the customer.
    pub customer: String,
    /// Share of the pool that the customer uses and asks for, of the resource of which it needs most.
    pub claimed: f64,
    /// Fair share of the customer.
    pub fair: f64,
}

/// Marks the candidates that exceed the fair share of their customer. A class is concerned with the work
/// that is at least as urgent; what a customer has beside that costs it no turn.
pub(super) fn mark_excess(candidates: &mut [Candidate<'_>], cluster: &Cluster<'_>) -> Vec<Excess> {
    let mut excess = Vec::new();
    for (pool, priority) in contested_classes(candidates) {
        let class = Class::new(pool, priority, candidates, cluster);
        let claims: Vec<Claim> = class.claims.values().copied().collect();
        let Some(level) = fair_level(&claims) else { continue };
        let mut used = class.used;
        let mut exceeding = BTreeSet::new();
        for candidate in candidates.iter_mut() {
            let terms = &candidate.job.terms;
            if terms.pool != pool || terms.priority > priority {
                continue;
            }
            let customer = candidate.job.customer.as_str();
            let share = used.entry(customer).or_default();
            let fair = class.claims[customer].weight * level;
            if terms.priority == priority && share.dominant() >= fair {
                candidate.exceeds_share = true;
                exceeding.insert(customer);
            }
            *share += needed(candidate, &class.capacity);
        }
        excess.extend(exceeding.into_iter().map(|customer| Excess {
            pool: pool.to_string(),
            priority,
            customer: customer.to_string(),
            claimed: class.claims[customer].share.dominant(),
            fair: class.claims[customer].weight * level,
        }));
    }
    excess
}

// Pools and classes in which more than one customer waits.
fn contested_classes<'a>(candidates: &[Candidate<'a>]) -> BTreeSet<(&'a str, u32)> {
    let mut customers: BTreeMap<(&str, u32), &str> = BTreeMap::new();
    let mut contested = BTreeSet::new();
    for candidate in candidates {
        let job: &'a Job = candidate.job;
        let class = (job.terms.pool.as_str(), job.terms.priority);
        if *customers.entry(class).or_insert(&job.customer) != job.customer {
            contested.insert(class);
        }
    }
    contested
}

/// What the customers of a pool use and ask for in a class and the more urgent ones.
struct Class<'a> {
    capacity: Resources,
    used: BTreeMap<&'a str, Share>,
    claims: BTreeMap<&'a str, Claim>,
}

impl<'a> Class<'a> {
    fn new(
        pool: &'a str,
        priority: u32,
        candidates: &[Candidate<'a>],
        cluster: &Cluster<'a>,
    ) -> Self {
        let capacity = open_capacity(cluster, pool);
        let mut used: BTreeMap<&str, Share> = BTreeMap::new();
        for job in cluster.view.table.live.values() {
            if job.terms.pool != pool || job.terms.priority > priority {
                continue;
            }
            let share = running(job, &capacity);
            if share.dominant() > 0.0 {
                *used.entry(&job.customer).or_default() += share;
            }
        }
        let document = &cluster.view.table.document;
        let mut claims = BTreeMap::new();
        let new_claim =
            |customer| Claim { share: Share::default(), weight: weight(document, customer) };
        for (customer, share) in &used {
            claims.entry(*customer).or_insert_with(|| new_claim(customer)).share += *share;
        }
        for candidate in candidates {
            let job: &'a Job = candidate.job;
            if job.terms.pool != pool || job.terms.priority > priority {
                continue;
            }
            let claim = claims.entry(&job.customer).or_insert_with(|| new_claim(&job.customer));
            claim.share += needed(candidate, &capacity);
        }
        Self { capacity, used, claims }
    }
}

// Capacity of the workers of a pool that take new work.
fn open_capacity(cluster: &Cluster<'_>, pool: &str) -> Resources {
    let mut capacity = Resources::default();
    for worker in cluster.workers.iter().filter(|worker| worker.pool == pool && worker.is_open) {
        capacity.add(&worker.capacity, false);
    }
    capacity
}

fn needed(candidate: &Candidate<'_>, capacity: &Resources) -> Share {
    let step = candidate.step;
    Share::of(&step.demand, step.is_filler, candidate.tasks.len() as u64, capacity)
}

// Share that the runs of a job use.
fn running(job: &Job, capacity: &Resources) -> Share {
    let mut share = Share::default();
    for occurrence in job.occurrences.values() {
        for (step, progress) in job.spec.steps.iter().zip(&occurrence.steps) {
            let is_active = |state: &State| matches!(state, State::Active(_));
            let count = progress.tasks.begun().iter().filter(|task| is_active(&task.state)).count();
            if count > 0 {
                share += Share::of(&step.demand, step.is_filler, count as u64, capacity);
            }
        }
    }
    share
}
