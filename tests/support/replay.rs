//! Placement under a manual clock: policy and job table, with tasks that only take time.

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassvalve::kernel::plugin;
use eelgrassvalve::kernel::timer::{self, Timer};
use eelgrassvalve::placement::report::Shape;
use eelgrassvalve::placement::{Decision, Policy, View, Worker};
use eelgrassvalve::state::document::Document;
use eelgrassvalve::state::job::{Command, Disposition, Job, Phase, Spec, Table};

/// Milliseconds in which a gang prepares.
const PREPARE_MS: u64 = 300;
/// Milliseconds in which a task stops without a checkpoint.
const STOP_MS: u64 = 200;

/// A running replay.
pub struct Replay {
    /// Document in force.
    pub document: Document,
    /// Jobs.
    pub jobs: Table,
    /// Live workers, sorted by name.
    pub workers: Vec<Worker>,
    /// What was decided last.
    pub decided: Vec<Decision>,
    /// Accelerator-milliseconds that evictions lost.
    pub lost: u64,
    /// Whether evicted tasks make checkpoints.
    pub checkpoints: bool,
    policy: Box<dyn Policy>,
    timer: Timer,
    hand: timer::Driver,
    // Milliseconds that each job has yet to run.
    rest: BTreeMap<String, u64>,
}

impl Replay {
    /// A replay of one policy; the document's own where `policy` is `None`.
    pub fn new(document: Document, workers: Vec<Worker>, policy: Option<&str>) -> Self {
        let name = policy.unwrap_or(&document.placement.policy);
        let policy = plugin::build_policy(name).expect("the policy registered");
        let (timer, hand) = Timer::manual();
        hand.advance(Duration::from_secs(1_000));
        Self {
            document,
            jobs: Table::default(),
            workers,
            decided: Vec::new(),
            lost: 0,
            checkpoints: true,
            policy,
            timer,
            hand,
            rest: BTreeMap::new(),
        }
    }

    /// Time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.timer.now_ms()
    }

    /// Submits a job that truly runs for `run_ms`.
    pub fn submit(&mut self, id: &str, customer: &str, spec: Spec, run_ms: u64) {
        self.rest.insert(id.into(), run_ms);
        self.apply(Command::Submit { id: id.into(), customer: customer.into(), spec });
    }

    /// Applies a change of jobs; one that comes too late is dropped.
    pub fn apply(&mut self, command: Command) {
        let _ = self.jobs.apply(&command, self.timer.now_ms());
    }

    /// Loses a worker and every gang with a part on it.
    pub fn lose(&mut self, name: &str) {
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

    /// Moves time on, lets tasks go on and decides once.
    pub fn step(&mut self, by_ms: u64) {
        self.hand.advance(Duration::from_millis(by_ms));
        self.follow();
        self.decide();
    }

    /// Asks the policy and applies what it decides.
    pub fn decide(&mut self) {
        let view = View {
            document: &self.document,
            jobs: &self.jobs,
            workers: &self.workers,
            now_ms: self.timer.now_ms(),
            is_fleet_complete: true,
        };
        self.decided = self.policy.decide(&view);
        for decision in self.decided.clone() {
            let command = match decision {
                Decision::Place { job, parts, guaranteed, .. } => {
                    Command::Place { id: job, parts, guaranteed }
                }
                Decision::Stop { job, epoch, next, .. } => {
                    self.evict(&job);
                    Command::Stop { id: job, epoch, next, failed_on: None }
                }
                Decision::Refuse { job, reason } => Command::Refuse { id: job, reason },
            };
            self.apply(command);
        }
    }

    /// Why a job waits.
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

    /// Phase of a job.
    pub fn phase(&self, id: &str) -> &'static str {
        self.jobs.get(id).expect("the job is known").phase.name()
    }

    fn evict(&mut self, id: &str) {
        let now_ms = self.timer.now_ms();
        let Some(job) = self.jobs.get(id) else { return };
        let Phase::Started(gang) = &job.phase else { return };
        let ran_ms = now_ms - gang.since_ms;
        let accelerators = u64::from(job.spec.parts * job.spec.accelerators);
        if !self.checkpoints {
            self.lost += ran_ms * accelerators;
            return;
        }
        // Seats stand still while the checkpoint is made.
        self.lost += self.document.placement.checkpoint_grace_ms * accelerators;
        if let Some(rest) = self.rest.get_mut(id) {
            *rest = rest.saturating_sub(ran_ms).max(1);
        }
    }

    fn follow(&mut self) {
        let now_ms = self.timer.now_ms();
        let mut commands = Vec::new();
        for job in self.jobs.live.values() {
            commands.extend(self.next(job, now_ms));
        }
        for command in commands {
            self.apply(command);
        }
    }

    fn next(&self, job: &Job, now_ms: u64) -> Option<Command> {
        let id = job.id.clone();
        match &job.phase {
            Phase::Preparing(gang) => {
                let ready = now_ms >= gang.since_ms + PREPARE_MS;
                ready.then_some(Command::Start { id, epoch: gang.epoch })
            }
            Phase::Started(gang) => {
                let rest_ms = self.rest.get(&job.id).copied().unwrap_or(0);
                let done = now_ms >= gang.since_ms + rest_ms;
                done.then_some(Command::Finish { id, epoch: gang.epoch })
            }
            Phase::Stopping { gang, next } => {
                let is_eviction = *next == Disposition::Wait && job.may_have_started;
                let checkpoint = (self.checkpoints && is_eviction).then(|| "kept".into());
                let grace_ms = self.document.placement.checkpoint_grace_ms;
                let wait_ms = if checkpoint.is_some() { grace_ms } else { STOP_MS };
                let done = now_ms >= gang.since_ms + wait_ms;
                done.then_some(Command::Stopped { id, epoch: gang.epoch, checkpoint })
            }
            _ => None,
        }
    }
}

/// Workers of the deployments' shape, eight to a rack, three availability zones.
pub fn fleet(count: usize, accelerators: u32) -> Vec<Worker> {
    let mut workers = Vec::with_capacity(count);
    for at in 0..count {
        workers.push(Worker {
            name: format!("worker-{at:03}"),
            rack: format!("rack-{:02}", at / 8),
            zone: format!("zone-{}", at / 8 % 3),
            shape: Shape { accelerators, cores: 64, memory_mib: 262_144 },
            is_schedulable: true,
        });
    }
    workers
}

/// A gang that may be evicted and run again.
pub fn spec(kind: &str, parts: u32, accelerators: u32) -> Spec {
    let spec = serde_json::json!({
        "kind": kind, "parts": parts, "accelerators": accelerators,
        "evictable": true, "idempotent": true,
    });
    serde_json::from_value(spec).expect("the spec is whole")
}
