//! A small worker that follows orders and whose tasks only wait.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassvalve::client::Client;
use eelgrassvalve::entry::platform::{self, Poll};
use eelgrassvalve::placement::order::{Action, Order};
use eelgrassvalve::placement::report::{Report, Shape, State, Task};
use http::Method;
use tokio::task::JoinHandle;

use super::cluster::Cluster;

/// How a [`Worker`] treats its orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Carries out all orders.
    Normal,
    /// Fails every task at its start.
    FailsTasks,
    /// Fails the preparation of every task.
    FailsPreparation,
    /// Never completes the preparation of a task.
    StallsPreparation,
    /// Loses each task at its start and reports a new incarnation, as after a restart.
    LosesTasks,
}

/// A running worker; dropping it stops it.
pub struct Worker {
    pub name: String,
    starts: Arc<Mutex<Vec<(String, u32, u64)>>>,
    task: JoinHandle<()>,
}

impl Worker {
    /// Starts a worker with eight accelerators. The payload of a task is its run time in
    /// milliseconds.
    pub fn start(
        name: &str,
        rack: &str,
        zone: &str,
        behavior: Behavior,
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
        let agent = Agent { report, behavior, tasks: BTreeMap::new(), starts: starts.clone() };
        let task = tokio::spawn(agent.run(entries.to_vec()));
        Self { name: name.into(), starts, task }
    }

    /// Job, part and epoch of every task started so far.
    pub fn starts(&self) -> Vec<(String, u32, u64)> {
        self.starts.lock().expect("the mutex is not poisoned").clone()
    }
}

/// Starts one worker per behavior, named `worker-0` and so on, in one rack. Each polls any entry of
/// the cluster.
pub fn start_workers(cluster: &Cluster, behaviors: &[Behavior]) -> Vec<Worker> {
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let mut workers = Vec::new();
    for (index, behavior) in behaviors.iter().enumerate() {
        let name = format!("worker-{index}");
        workers.push(Worker::start(&name, "rack-1", "zone-1", *behavior, &platform));
    }
    workers
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A task that the worker has been ordered to prepare or stop.
struct Assignment {
    epoch: u64,
    state: State,
    run_time: Duration,
    ends_at: Option<Instant>,
    checkpoint: Option<String>,
}

/// Polling loop and tasks of a worker.
struct Agent {
    report: Report,
    behavior: Behavior,
    tasks: BTreeMap<(String, u32), Assignment>,
    starts: Arc<Mutex<Vec<(String, u32, u64)>>>,
}

impl Agent {
    async fn run(mut self, entries: Vec<SocketAddr>) {
        let mut entry_index = 0;
        let mut seen = 0;
        let mut lease_end = Instant::now();
        loop {
            self.advance_tasks(Instant::now() > lease_end);
            let sent = Instant::now();
            let client = Client::new(entries[entry_index % entries.len()], None);
            match self.poll(&client, seen).await {
                Some(response) => {
                    lease_end = sent + Duration::from_millis(response.lease_ms);
                    seen = response.revision;
                    self.apply_orders(&response.orders);
                }
                None => {
                    entry_index += 1;
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    async fn poll(&mut self, client: &Client, seen: u32) -> Option<platform::Assignment> {
        self.report.tasks.clear();
        for ((job, part), assignment) in &self.tasks {
            self.report.tasks.push(Task {
                job: job.clone(),
                part: *part,
                epoch: assignment.epoch,
                state: assignment.state,
                checkpoint: assignment.checkpoint.clone(),
                usage_percent: Some(100),
            });
        }
        let poll = Poll { report: self.report.clone(), seen };
        let path = format!("/v1/workers/{}/poll", self.report.worker);
        let sent = client.json::<platform::Assignment>(Method::POST, &path, &[], Some(&poll));
        // The end of a task has to be reported at once, so the poll ends when the next task does.
        let next_end = self.tasks.values().filter_map(|assignment| assignment.ends_at).min();
        let wait = next_end.map(|ends_at| ends_at.saturating_duration_since(Instant::now()));
        let wait = wait.unwrap_or(Duration::from_secs(2)).max(Duration::from_millis(1));
        tokio::time::timeout(wait, sent).await.ok()?.ok()
    }

    fn advance_tasks(&mut self, lease_expired: bool) {
        let now = Instant::now();
        for assignment in self.tasks.values_mut() {
            if lease_expired && matches!(assignment.state, State::Running | State::Prepared) {
                assignment.state = State::Stopped;
                assignment.ends_at = None;
            }
            if assignment.ends_at.is_some_and(|ends_at| ends_at <= now) {
                assignment.state = State::Finished;
                assignment.ends_at = None;
            }
        }
    }

    fn apply_orders(&mut self, orders: &[Order]) {
        self.tasks.retain(|(job, part), assignment| {
            let matches_task = |order: &&Order| order.job == *job && order.part == *part;
            orders.iter().find(matches_task).is_some_and(|order| order.epoch >= assignment.epoch)
        });
        for order in orders {
            let key = (order.job.clone(), order.part);
            let is_newer =
                self.tasks.get(&key).is_none_or(|assignment| assignment.epoch < order.epoch);
            match &order.action {
                Action::Prepare { payload, .. } if is_newer => {
                    let run_time = Duration::from_millis(payload.parse().unwrap_or(0));
                    let state = match self.behavior {
                        Behavior::FailsPreparation => State::Failed,
                        Behavior::StallsPreparation => continue,
                        _ => State::Prepared,
                    };
                    let assignment = Assignment {
                        epoch: order.epoch,
                        state,
                        run_time,
                        ends_at: None,
                        checkpoint: None,
                    };
                    self.tasks.insert(key, assignment);
                }
                Action::Start => self.start_task(&key),
                Action::Stop { grace_ms } => {
                    let known = self.tasks.get_mut(&key);
                    let Some(assignment) = known.filter(|task| task.epoch == order.epoch) else {
                        // The task of this epoch is unknown: confirm that it does not run.
                        let assignment = Assignment {
                            epoch: order.epoch,
                            state: State::Stopped,
                            run_time: Duration::ZERO,
                            ends_at: None,
                            checkpoint: None,
                        };
                        self.tasks.insert(key, assignment);
                        continue;
                    };
                    if matches!(assignment.state, State::Running | State::Prepared) {
                        let was_running = assignment.state == State::Running;
                        assignment.checkpoint =
                            (*grace_ms > 0 && was_running).then(|| "half-way".into());
                        assignment.state = State::Stopped;
                        assignment.ends_at = None;
                    }
                }
                _ => {}
            }
        }
    }

    fn start_task(&mut self, key: &(String, u32)) {
        let Some(assignment) = self.tasks.get_mut(key) else { return };
        if assignment.state != State::Prepared {
            return;
        }
        let start = (key.0.clone(), key.1, assignment.epoch);
        self.starts.lock().expect("the mutex is not poisoned").push(start);
        if self.behavior == Behavior::LosesTasks {
            self.tasks.remove(key);
            self.report.incarnation += 1;
            return;
        }
        if self.behavior == Behavior::FailsTasks {
            assignment.state = State::Failed;
            return;
        }
        assignment.state = State::Running;
        assignment.ends_at = Some(Instant::now() + assignment.run_time);
    }
}
