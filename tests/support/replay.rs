//! Simulation of placement on a manual clock, with a real policy and job table and tasks that only
//! take time.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassvalve::kernel::plugin;
use eelgrassvalve::kernel::timer::{self, Timer};
use eelgrassvalve::placement::report::Shape;
use eelgrassvalve::placement::{Decision, Policy, View, Worker};
use eelgrassvalve::state::document::Document;
use eelgrassvalve::state::job::{Command, Disposition, Job, Phase, Spec, Table};

/// Time that a gang takes to prepare, in milliseconds.
const PREPARE_MS: u64 = 300;
/// Time that a task takes to stop without a checkpoint, in milliseconds.
const STOP_MS: u64 = 200;

/// A simulated scheduler and its workers.
pub struct Replay {
    /// Configuration in force.
    pub document: Document,
    pub jobs: Table,
    /// Live workers, sorted by name.
    pub workers: Vec<Worker>,
    /// Decisions of the last round.
    pub decisions: Vec<Decision>,
    /// Accelerator time lost by evictions, in milliseconds.
    pub lost_accelerator_ms: u64,
    /// Whether evicted tasks write checkpoints.
    pub writes_checkpoints: bool,
    policy: Box<dyn Policy>,
    timer: Timer,
    clock: timer::Driver,
    // Remaining run time by job.
    remaining_ms: BTreeMap<String, u64>,
}

impl Replay {
    /// Simulates the named policy, or the policy of the document if `policy` is `None`.
    pub fn new(document: Document, workers: Vec<Worker>, policy: Option<&str>) -> Self {
        let name = policy.unwrap_or(&document.placement.policy);
        let policy = plugin::build_policy(name).expect("the policy is registered");
        let (timer, clock) = Timer::manual();
        clock.advance(Duration::from_secs(1_000));
        Self {
            document,
            jobs: Table::default(),
            workers,
            decisions: Vec::new(),
            lost_accelerator_ms: 0,
            writes_checkpoints: true,
            policy,
            timer,
            clock,
            remaining_ms: BTreeMap::new(),
        }
    }

    /// Simulated time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.timer.now_ms()
    }

    /// Submits a job whose actual run time is `run_ms`.
    pub fn submit(&mut self, id: &str, customer: &str, spec: Spec, run_ms: u64) {
        self.remaining_ms.insert(id.into(), run_ms);
        self.apply(Command::Submit { id: id.into(), customer: customer.into(), spec });
    }

    /// Applies a command to the job table; errors of outdated commands are ignored.
    pub fn apply(&mut self, command: Command) {
        let _ = self.jobs.apply(&command, self.timer.now_ms());
    }

    /// Removes a worker and stops every gang with a part on it.
    pub fn remove_worker(&mut self, name: &str) {
        self.workers.retain(|worker| worker.name != name);
        let mut stops = Vec::new();
        for job in self.jobs.live.values() {
            let Some(gang) = job.phase.gang() else { continue };
            if gang.parts.iter().any(|part| part.worker == name) {
                let (id, epoch) = (job.id.clone(), gang.epoch);
                stops.push(Command::Stop { id, epoch, next: Disposition::Wait, failed_on: None });
            }
        }
        for stop in stops {
            self.apply(stop);
        }
    }

    /// Advances the clock and all jobs, then runs the policy once.
    pub fn step(&mut self, by_ms: u64) {
        self.clock.advance(Duration::from_millis(by_ms));
        self.advance_jobs();
        self.decide();
    }

    /// Runs the policy and applies its decisions.
    pub fn decide(&mut self) {
        let view = View {
            document: &self.document,
            jobs: &self.jobs,
            workers: &self.workers,
            now_ms: self.timer.now_ms(),
            is_fleet_complete: true,
        };
        self.decisions = self.policy.decide(&view);
        for decision in self.decisions.clone() {
            let command = match decision {
                Decision::Place { job, parts, guaranteed, .. } => {
                    Command::Place { id: job, parts, guaranteed }
                }
                Decision::Stop { job, epoch, next, .. } => {
                    self.record_eviction(&job);
                    Command::Stop { id: job, epoch, next, failed_on: None }
                }
                Decision::Refuse { job, reason } => Command::Refuse { id: job, reason },
            };
            self.apply(command);
        }
    }

    /// The policy's reason why a job waits.
    pub fn explain(&self, id: &str) -> String {
        let view = View {
            document: &self.document,
            jobs: &self.jobs,
            workers: &self.workers,
            now_ms: self.timer.now_ms(),
            is_fleet_complete: true,
        };
        self.policy.explain(&view, self.jobs.get(id).expect("the job is known"))
    }

    /// Name of a job's phase.
    pub fn phase(&self, id: &str) -> &'static str {
        self.jobs.get(id).expect("the job is known").phase.name()
    }

    /// Accounts for the accelerator time and the progress that an eviction costs.
    fn record_eviction(&mut self, id: &str) {
        let now_ms = self.timer.now_ms();
        let Some(job) = self.jobs.get(id) else { return };
        let Phase::Started(gang) = &job.phase else { return };
        let ran_ms = now_ms - gang.since_ms;
        let accelerators = u64::from(job.spec.parts * job.spec.accelerators);
        if !self.writes_checkpoints {
            self.lost_accelerator_ms += ran_ms * accelerators;
            return;
        }
        // The accelerators are idle while the checkpoint is written.
        self.lost_accelerator_ms += self.document.placement.checkpoint_grace_ms * accelerators;
        if let Some(remaining_ms) = self.remaining_ms.get_mut(id) {
            *remaining_ms = remaining_ms.saturating_sub(ran_ms).max(1);
        }
    }

    fn advance_jobs(&mut self) {
        let now_ms = self.timer.now_ms();
        let mut commands = Vec::new();
        for job in self.jobs.live.values() {
            commands.extend(self.next_command(job, now_ms));
        }
        for command in commands {
            self.apply(command);
        }
    }

    /// The command that ends the job's current phase, once the phase has lasted long enough.
    fn next_command(&self, job: &Job, now_ms: u64) -> Option<Command> {
        let id = job.id.clone();
        match &job.phase {
            Phase::Preparing(gang) => {
                let is_prepared = now_ms >= gang.since_ms + PREPARE_MS;
                is_prepared.then_some(Command::Start { id, epoch: gang.epoch })
            }
            Phase::Started(gang) => {
                let remaining_ms = self.remaining_ms.get(&job.id).copied().unwrap_or(0);
                let is_done = now_ms >= gang.since_ms + remaining_ms;
                is_done.then_some(Command::Finish { id, epoch: gang.epoch })
            }
            Phase::Stopping { gang, next } => {
                let is_eviction = *next == Disposition::Wait && job.may_have_started;
                let checkpoint = (self.writes_checkpoints && is_eviction).then(|| "kept".into());
                let grace_ms = self.document.placement.checkpoint_grace_ms;
                let stop_ms = if checkpoint.is_some() { grace_ms } else { STOP_MS };
                let is_done = now_ms >= gang.since_ms + stop_ms;
                is_done.then_some(Command::Stopped { id, epoch: gang.epoch, checkpoint })
            }
            _ => None,
        }
    }
}

/// Workers of the shape used in deployments, eight per rack, in three availability zones.
pub fn fleet(count: usize, accelerators: u32) -> Vec<Worker> {
    let mut workers = Vec::with_capacity(count);
    for index in 0..count {
        workers.push(Worker {
            name: format!("worker-{index:03}"),
            rack: format!("rack-{:02}", index / 8),
            zone: format!("zone-{}", index / 8 % 3),
            shape: Shape { accelerators, cores: 64, memory_mib: 262_144 },
            is_schedulable: true,
        });
    }
    workers
}

/// Spec of an evictable, idempotent gang.
pub fn spec(kind: &str, parts: u32, accelerators: u32) -> Spec {
    let spec = serde_json::json!({
        "kind": kind, "parts": parts, "accelerators": accelerators,
        "evictable": true, "idempotent": true,
    });
    serde_json::from_value(spec).expect("the spec is valid")
}
