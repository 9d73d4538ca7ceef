//! A small worker that obeys orders, with tasks that only wait.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassvalve::client::Client;
use eelgrassvalve::entry::platform::{Assignment, Poll};
use eelgrassvalve::placement::order::{Action, Order};
use eelgrassvalve::placement::report::{Report, Shape, State, Task};
use http::Method;
use tokio::task::JoinHandle;

use super::cluster::Cluster;

/// How a stand-in behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Does what it is ordered to.
    Obeys,
    /// Fails every task when it starts.
    FailsTasks,
    /// Fails to prepare any task.
    RefusesTasks,
    /// Never gets a task ready.
    StallsTasks,
    /// Loses its tasks as soon as they run, as by a restart, and reports none.
    LosesTasks,
}

/// A running stand-in.
pub struct Worker {
    /// Name.
    pub name: String,
    starts: Arc<Mutex<Vec<(String, u32, u64)>>>,
    task: JoinHandle<()>,
}

impl Worker {
    /// Starts a worker with eight accelerators. A task's payload is its run time in milliseconds.
    pub fn start(
        name: &str,
        rack: &str,
        zone: &str,
        manner: Manner,
        entries: &[SocketAddr],
    ) -> Self {
        let starts: Arc<Mutex<Vec<(String, u32, u64)>>> = Arc::default();
        let shape = Shape { accelerators: 8, cores: 64, memory_mib: 262_144 };
        let report = Report {
            worker: name.into(),
            incarnation: rand::random::<u32>().into(),
            rack: rack.into(),
            zone: zone.into(),
            shape,
            tasks: Vec::new(),
        };
        let state = Running { report, manner, tasks: BTreeMap::new(), starts: starts.clone() };
        let task = tokio::spawn(state.run(entries.to_vec()));
        Self { name: name.into(), starts, task }
    }

    /// Job, part and epoch of every start so far.
    pub fn starts(&self) -> Vec<(String, u32, u64)> {
        self.starts.lock().expect("no holder panics").clone()
    }
}

/// Starts `worker-0` and so on in one rack, one for each manner, known to all entries.
pub fn start_workers(cluster: &Cluster, manners: &[Manner]) -> Vec<Worker> {
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let mut workers = Vec::new();
    for (at, manner) in manners.iter().enumerate() {
        let name = format!("worker-{at}");
        workers.push(Worker::start(&name, "rack-1", "zone-1", *manner, &platform));
    }
    workers
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Held {
    epoch: u64,
    state: State,
    run: Duration,
    ends: Option<Instant>,
    checkpoint: Option<String>,
}

struct Running {
    report: Report,
    manner: Manner,
    tasks: BTreeMap<(String, u32), Held>,
    starts: Arc<Mutex<Vec<(String, u32, u64)>>>,
}

impl Running {
    async fn run(mut self, entries: Vec<SocketAddr>) {
        let mut turn = 0;
        let mut seen = 0;
        let mut lease_until = Instant::now();
        loop {
            self.progress(Instant::now() > lease_until);
            let sent = Instant::now();
            let client = Client::new(entries[turn % entries.len()], None);
            match self.poll(&client, seen).await {
                Some(polled) => {
                    lease_until = sent + Duration::from_millis(polled.lease_ms);
                    seen = polled.revision;
                    self.obey(&polled.orders);
                }
                None => {
                    turn += 1;
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    async fn poll(&mut self, client: &Client, seen: u32) -> Option<Assignment> {
        self.report.tasks.clear();
        for ((job, part), held) in &self.tasks {
            self.report.tasks.push(Task {
                job: job.clone(),
                part: *part,
                epoch: held.epoch,
                state: held.state,
                checkpoint: held.checkpoint.clone(),
                usage_percent: Some(100),
            });
        }
        let poll = Poll { report: self.report.clone(), seen };
        let path = format!("/v1/workers/{}/poll", self.report.worker);
        let sent = client.json::<Assignment>(Method::POST, &path, &[], Some(&poll));
        // The next end of a task is news too, so the poll waits no longer than that.
        let next_end = self.tasks.values().filter_map(|held| held.ends).min();
        let wait = next_end.map(|end| end.saturating_duration_since(Instant::now()));
        let wait = wait.unwrap_or(Duration::from_secs(2)).max(Duration::from_millis(1));
        tokio::time::timeout(wait, sent).await.ok()?.ok()
    }

    fn progress(&mut self, lease_lost: bool) {
        let now = Instant::now();
        for held in self.tasks.values_mut() {
            if lease_lost && matches!(held.state, State::Running | State::Prepared) {
                held.state = State::Stopped;
                held.ends = None;
            }
            if held.ends.is_some_and(|ends| ends <= now) {
                held.state = State::Finished;
                held.ends = None;
            }
        }
    }

    fn obey(&mut self, orders: &[Order]) {
        self.tasks.retain(|(job, part), held| {
            let named = |order: &&Order| order.job == *job && order.part == *part;
            orders.iter().find(named).is_some_and(|order| order.epoch >= held.epoch)
        });
        for order in orders {
            let key = (order.job.clone(), order.part);
            let newer = self.tasks.get(&key).is_none_or(|held| held.epoch < order.epoch);
            match &order.action {
                Action::Prepare { payload, .. } if newer => {
                    let run = Duration::from_millis(payload.parse().unwrap_or(0));
                    let state = match self.manner {
                        Manner::RefusesTasks => State::Failed,
                        Manner::StallsTasks => continue,
                        _ => State::Prepared,
                    };
                    let held =
                        Held { epoch: order.epoch, state, run, ends: None, checkpoint: None };
                    self.tasks.insert(key, held);
                }
                Action::Start => self.start_task(&key),
                Action::Stop { grace_ms } => {
                    let Some(held) = self.tasks.get_mut(&key) else {
                        // Never heard of: confirm that nothing runs.
                        let held = Held {
                            epoch: order.epoch,
                            state: State::Stopped,
                            run: Duration::ZERO,
                            ends: None,
                            checkpoint: None,
                        };
                        self.tasks.insert(key, held);
                        continue;
                    };
                    if matches!(held.state, State::Running | State::Prepared) {
                        let ran = held.state == State::Running;
                        held.checkpoint = (*grace_ms > 0 && ran).then(|| "half-way".into());
                        held.state = State::Stopped;
                        held.ends = None;
                    }
                }
                _ => {}
            }
        }
    }

    fn start_task(&mut self, key: &(String, u32)) {
        let Some(held) = self.tasks.get_mut(key) else { return };
        if held.state != State::Prepared {
            return;
        }
        let start = (key.0.clone(), key.1, held.epoch);
        self.starts.lock().expect("no holder panics").push(start);
        if self.manner == Manner::LosesTasks {
            self.tasks.remove(key);
            self.report.incarnation += 1;
            return;
        }
        if self.manner == Manner::FailsTasks {
            held.state = State::Failed;
            return;
        }
        held.state = State::Running;
        held.ends = Some(Instant::now() + held.run);
    }
}
