//! Orders to workers under loss, delay and reordering: each gang reaches a settled state.

mod support;

use std::collections::BTreeMap;

use eelgrassvalve::control::fleet;
use eelgrassvalve::control::gang::{Clock, Observation, Rules};
use eelgrassvalve::entry::polls::Polls;
use eelgrassvalve::placement::order::{Action, Order, orders, revision};
use eelgrassvalve::placement::report::{Report, Shape, State, Task};
use eelgrassvalve::state::document::Placement;
use eelgrassvalve::state::job::{Command, Disposition, Part, Phase, Table};
use eelgrassvalve::state::worker;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::replay::spec;

const WORKERS: [&str; 2] = ["w-1", "w-2"];
const TICK_MS: u64 = 50;
/// Time from which on no message is lost or delayed, in milliseconds.
const CALM_FROM_MS: u64 = 20_000;
/// Time by which the gang has to run after that, in milliseconds: a prepare timeout, a stop, a new
/// placement and a start, each with one repetition of its orders.
const SETTLED_BY_MS: u64 = 32_000;
const START_MS: u64 = 1_000_000;

fn order(epoch: u64) -> Order {
    Order { job: "job".into(), part: 0, epoch, action: Action::Start }
}

fn report(worker: &str, tasks: Vec<Task>) -> Report {
    Report {
        worker: worker.into(),
        incarnation: 1,
        rack: "rack-1".into(),
        zone: "zone-1".into(),
        shape: Shape { accelerators: 8, cores: 64, memory_mib: 1 << 18 },
        tasks,
    }
}

fn current_epochs(polls: &Polls) -> Vec<u64> {
    let (orders, _) = polls.record_poll(&report("w-1", vec![]), 0);
    let orders = orders.borrow();
    orders.iter().map(|order| order.epoch).collect()
}

/// A leader that is deposed while it is frozen may push its orders late. A worker would stop the
/// tasks that they don't name.
#[test]
fn orders_of_an_earlier_leader_are_ignored() {
    let polls = Polls::default();
    polls.record_poll(&report("w-1", vec![]), 0);
    polls.push_orders("w-1", vec![order(2)], 5);
    polls.push_orders("w-1", vec![order(1)], 4);
    assert_eq!(current_epochs(&polls), [2]);
    polls.push_orders("w-1", vec![order(3)], 5);
    polls.push_orders("w-1", vec![order(4)], 0);
    assert_eq!(current_epochs(&polls), [4], "daemons of an older release push without a term");
}

#[test]
fn an_answer_that_crossed_pushed_orders_does_not_replace_them() {
    let polls = Polls::default();
    polls.record_poll(&report("w-1", vec![]), 0);
    let pushes = polls.pushes("w-1");
    polls.push_orders("w-1", vec![order(2)], 5);
    assert!(!polls.set_orders("w-1", vec![order(1)], pushes));
    assert_eq!(current_epochs(&polls), [2]);
    assert!(polls.set_orders("w-1", vec![order(3)], polls.pushes("w-1")));
    assert_eq!(current_epochs(&polls), [3]);
}

enum Message {
    Push { worker: usize, orders: Vec<Order> },
    Report { worker: usize, report: Report },
    Answer { worker: usize, orders: Vec<Order>, pushes: u64 },
}

/// A worker that follows docs/INTERFACES.md.
#[derive(Default)]
struct Agent {
    tasks: BTreeMap<u32, (u64, State)>,
    seen: u32,
    // Whether a report is on its way.
    is_reporting: bool,
}

impl Agent {
    fn apply(&mut self, orders: &[Order]) {
        self.tasks.retain(|part, _| orders.iter().any(|order| order.part == *part));
        for order in orders {
            let known = self.tasks.get(&order.part).copied();
            if known.is_some_and(|(epoch, _)| epoch > order.epoch) {
                continue;
            }
            let known = known.filter(|(epoch, _)| *epoch == order.epoch).map(|(_, state)| state);
            let state = match (&order.action, known) {
                (Action::Prepare { .. }, None) => State::Prepared,
                (Action::Start, Some(State::Prepared)) => State::Running,
                (Action::Stop { .. }, _) => State::Stopped,
                (_, Some(state)) => state,
                (_, None) => continue,
            };
            self.tasks.insert(order.part, (order.epoch, state));
        }
    }

    fn report(&self, worker: usize) -> Report {
        let mut tasks = Vec::new();
        for (part, (epoch, state)) in &self.tasks {
            tasks.push(Task {
                job: "job".into(),
                part: *part,
                epoch: *epoch,
                state: *state,
                checkpoint: None,
                usage_percent: None,
            });
        }
        report(WORKERS[worker], tasks)
    }
}

struct Simulation {
    rng: SmallRng,
    now_ms: u64,
    jobs: Table,
    fleet: fleet::Table,
    polls: Polls,
    agents: [Agent; 2],
    in_flight: Vec<(u64, Message)>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut jobs = Table::default();
        let spec = spec("usual", 2, 8);
        let submit = Command::Submit { id: "job".into(), customer: "anyone".into(), spec };
        jobs.apply(&submit, START_MS).expect("the job is new");
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now_ms: START_MS,
            jobs,
            fleet: fleet::Table::default(),
            polls: Polls::default(),
            agents: Default::default(),
            in_flight: Vec::new(),
        }
    }

    fn is_calm(&self) -> bool {
        self.now_ms >= START_MS + CALM_FROM_MS
    }

    // Pushes are lost where a link breaks; a lost report or answer is an error to the worker, which
    // polls again.
    fn send(&mut self, message: Message) {
        let (is_lost, delay_ms) = if self.is_calm() {
            (false, 10)
        } else {
            (self.rng.random_ratio(1, 4), self.rng.random_range(0..400))
        };
        match message {
            Message::Report { worker, .. } | Message::Answer { worker, .. } if is_lost => {
                self.agents[worker].is_reporting = false;
            }
            _ if is_lost => {}
            message => self.in_flight.push((self.now_ms + delay_ms, message)),
        }
    }

    fn push(&mut self) {
        for (worker, name) in WORKERS.iter().enumerate() {
            let orders = orders(&self.jobs, name, 0);
            self.send(Message::Push { worker, orders });
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<Message> =
            self.in_flight.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).map(|(_, m)| m).collect();
        for message in due {
            match message {
                Message::Push { worker, orders } => {
                    self.polls.push_orders(WORKERS[worker], orders, 1);
                }
                Message::Report { worker, report } => {
                    let pushes = self.polls.pushes(WORKERS[worker]);
                    self.fleet.record_report("entry", report.clone(), now_ms);
                    let orders = orders(&self.jobs, WORKERS[worker], 0);
                    self.polls.record_reported(report);
                    self.send(Message::Answer { worker, orders, pushes });
                }
                Message::Answer { worker, orders, pushes } => {
                    let _ = self.polls.set_orders(WORKERS[worker], orders, pushes);
                    self.agents[worker].is_reporting = false;
                }
            }
        }
    }

    fn poll(&mut self) {
        for worker in 0..WORKERS.len() {
            if self.agents[worker].is_reporting {
                continue;
            }
            let report = self.agents[worker].report(worker);
            let (orders, update) = self.polls.record_poll(&report, self.now_ms);
            let orders = orders.borrow().clone();
            if revision(&orders) != self.agents[worker].seen {
                self.agents[worker].seen = revision(&orders);
                self.agents[worker].apply(&orders);
                continue;
            }
            if update != eelgrassvalve::entry::polls::Update::Unchanged {
                self.agents[worker].is_reporting = true;
                self.send(Message::Report { worker, report });
            }
        }
    }

    fn lead(&mut self, is_periodic: bool) {
        let placement = Placement { prepare_timeout_ms: 2_000, ..Placement::default() };
        let records = worker::Table::default();
        let rules = Rules { placement: &placement, records: &records, wall_ms: self.now_ms };
        let clock = Clock {
            now_ms: self.now_ms,
            wall_ms: self.now_ms,
            worker_timeout_ms: 600_000,
            leader_for_ms: 600_000,
        };
        let job = self.jobs.get("job").expect("the job is known");
        let observed = Observation::new(&self.fleet, job, &clock);
        let is_resend_due = !rules.workers_to_resend(job, &observed).is_empty();
        let command = match &job.phase {
            Phase::Waiting => {
                let part = |name: &&str| Part { worker: (*name).into(), accelerators: 0xff };
                let parts = WORKERS.iter().map(part).collect();
                Some(Command::Place { id: "job".into(), parts, guaranteed: false })
            }
            Phase::Started(gang) if !self.is_calm() && self.rng.random_ratio(1, 20) => {
                let (id, epoch) = ("job".into(), gang.epoch);
                Some(Command::Stop { id, epoch, next: Disposition::Wait, failed_on: None })
            }
            _ => rules.next_command(job, &observed),
        };
        if let Some(command) = command {
            self.jobs.apply(&command, self.now_ms).expect("the command fits the phase");
            self.push();
        } else if is_periodic && is_resend_due {
            self.push();
        }
    }

    fn is_running(&self) -> bool {
        let Phase::Started(gang) = &self.jobs.get("job").expect("the job is known").phase else {
            return false;
        };
        let is_part_running = |(part, agent): (usize, &Agent)| {
            agent.tasks.get(&(part as u32)) == Some(&(gang.epoch, State::Running))
        };
        self.agents.iter().enumerate().all(is_part_running)
    }
}

/// Guards against a gang that waited for good: its stop order was lost, and neither the leader nor
/// the worker sent anything more.
#[test]
fn a_gang_runs_again_once_messages_arrive() {
    for seed in 0..500 {
        let mut simulation = Simulation::new(seed);
        while simulation.now_ms < START_MS + SETTLED_BY_MS {
            simulation.now_ms += TICK_MS;
            simulation.deliver();
            simulation.poll();
            simulation.lead(simulation.now_ms.is_multiple_of(1_000));
        }
        let phase = &simulation.jobs.get("job").expect("the job is known").phase;
        assert!(simulation.is_running(), "seed {seed}: {phase:?}");
    }
}
