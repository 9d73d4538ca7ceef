//! Control members: the replicated state machine and the work that only the leader does.

pub mod client;
mod dispatch;
pub mod fleet;
pub mod gang;
mod group;
pub mod leader;
pub mod lease;
mod scheduler;
pub mod status;

use std::collections::BTreeSet;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::sync::Notify;

use crate::batch;
use crate::error::{Code, Error, Result};
use crate::kernel::lock::{Mutex, Rank};
use crate::kernel::task;
use crate::kernel::timer::Timer;
use crate::mesh::Mesh;
use crate::mesh::call::{Answer, Call, Lease, Renewal};
use crate::mesh::frame::Notice;
use crate::placement::Policy;
use crate::placement::order::{Order, orders};
use crate::placement::report::Report;
use crate::replica::member::{self, Id};
use crate::replica::{Message, store};
use crate::settings::Settings;
use crate::state::claim::{self, Key};
use crate::state::{Command, Machine, Reply, job};
pub use dispatch::membership::next_membership_change;
pub use group::{Group, MAX_COMMAND_BYTES, Status};

/// Timeout for committing a command through the replicated log.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Milliseconds between the leader's checks whether the owner of a pending claim still holds a
/// lease.
const OWNER_CHECK_INTERVAL_MS: u64 = 250;

/// A control member: a replica of the state machine and, while it leads, the scheduler.
pub struct Control {
    settings: Settings,
    timer: Timer,
    mesh: Mesh,
    group: Group,
    machine: Arc<Mutex<Machine>>,
    leases: Mutex<lease::Table>,
    fleet: Mutex<fleet::Table>,
    policy: Mutex<Option<(String, Box<dyn Policy>)>>,
    // Notified when an entry's lease is renewed.
    lease_renewed: Notify,
    // Notified when a claim is settled.
    claim_settled: Notify,
    // Notified when jobs or workers change, which starts a scheduling round.
    round_requested: Notify,
    dispatch: dispatch::Dispatch,
    local_notice_handler: OnceLock<Box<dyn Fn(Notice) + Send + Sync>>,
}

impl Control {
    /// Starts the member from its opened data folder.
    pub fn start(
        settings: &Settings,
        timer: Timer,
        mesh: Mesh,
        store: store::Store,
        saved: crate::replica::State,
    ) -> Arc<Self> {
        let machine = Arc::new(Mutex::new(Rank::StateMachine, Machine::default()));
        let group =
            Group::start(settings, timer.clone(), mesh.clone(), store, saved, machine.clone());
        let control = Arc::new(Self {
            settings: settings.clone(),
            timer,
            mesh,
            group,
            machine,
            leases: Mutex::new(Rank::Leases, lease::Table::default()),
            fleet: Mutex::new(Rank::Workers, fleet::Table::default()),
            policy: Mutex::new(Rank::Policy, None),
            lease_renewed: Notify::new(),
            claim_settled: Notify::new(),
            round_requested: Notify::new(),
            dispatch: dispatch::Dispatch::new(settings),
            local_notice_handler: OnceLock::new(),
        });
        task::spawn_critical("scheduler", scheduler::run(control.clone()));
        if settings.batch.is_enabled {
            task::spawn_critical("rounds", dispatch::round::run(control.clone()));
            task::spawn_critical("heartbeat rate", dispatch::lag::watch(control.clone()));
            let maintenance = dispatch::membership::maintain(control.clone());
            task::spawn_critical("membership", maintenance);
        }
        control
    }

    /// Role, leader and members as last published by the replica thread.
    pub fn group_status(&self) -> group::Status {
        self.group.status()
    }

    /// Passes a message from another replica to this one.
    pub fn on_replica(&self, from: Id, message: Message) {
        self.group.receive(from, message);
    }

    /// Transfers leadership to another member, if this one leads.
    pub async fn transfer_leadership(&self) {
        self.group.transfer_leadership().await;
    }

    /// Returns the name of the leader's daemon, if it is known.
    pub fn leader_name(&self) -> Option<String> {
        self.group.leader_name()
    }

    /// Answers a call. A member that does not lead redirects the caller to the leader.
    ///
    /// # Errors
    /// The reason why the call was refused.
    pub async fn on_call(&self, from: &str, call: Call) -> Result<Answer> {
        if matches!(&call, Call::Batch(request) if **request == batch::call::Request::Standing) {
            return Ok(Answer::Batch(Box::new(dispatch::membership_answer(self))));
        }
        if !self.group.is_leader() {
            return Ok(Answer::Redirect(self.group.leader_name()));
        }
        match call {
            Call::Propose(command) => self.propose(command).await.map(Answer::Reply),
            Call::Renew(renewal) => self.renew(from, &renewal).await.map(Answer::Lease),
            Call::AwaitInForce { version, within_ms } => {
                Ok(Answer::InForce(self.await_in_force(version, within_ms).await))
            }
            Call::AwaitClaim { key, within_ms } => {
                self.await_claim(key, within_ms).await.map(Answer::Claim)
            }
            Call::Report(report) => self.report(from, report).await.map(Answer::Orders),
            Call::Change(change) => {
                self.change_members(change).await?;
                Ok(Answer::Done)
            }
            Call::Batch(request) => {
                let answer = dispatch::handle_request(self, from, *request).await?;
                Ok(Answer::Batch(Box::new(answer)))
            }
            Call::AddMember { name } => {
                self.add_member(&name).await?;
                Ok(Answer::Done)
            }
            read => {
                self.group.read().await?;
                Ok(self.read(read))
            }
        }
    }

    /// Sets the handler of notices to the entry that runs in the same daemon.
    pub fn set_local_notice_handler(&self, handler: impl Fn(Notice) + Send + Sync + 'static) {
        // Called only once, while the daemon starts, so that the cell is empty.
        let _ = self.local_notice_handler.set(Box::new(handler));
    }

    fn notify_local_entry(&self, notice: Notice) {
        if let Some(handler) = self.local_notice_handler.get() {
            handler(notice);
        }
    }

    async fn propose(&self, command: Command) -> Result<Reply> {
        let affects_jobs = !matches!(&command, Command::Claim(_) | Command::Settle(_));
        let workers_to_notify = match &command {
            Command::Job(job::Command::Cancel { ids, .. }) => self.workers_of(ids),
            _ => BTreeSet::new(),
        };
        let settles_claim = matches!(&command, Command::Settle(_));
        let reply = self.group.propose(command, COMMIT_TIMEOUT).await?;
        if settles_claim {
            self.claim_settled.notify_waiters();
        }
        if let Reply::Configured(version) = reply {
            self.mesh.broadcast(&Notice::Configured { version });
            self.notify_local_entry(Notice::Configured { version });
        }
        for worker in workers_to_notify {
            scheduler::push_orders(self, &worker);
        }
        if affects_jobs {
            self.round_requested.notify_one();
        }
        Ok(reply)
    }

    /// Workers on which parts of these jobs are placed.
    fn workers_of(&self, ids: &[String]) -> BTreeSet<String> {
        let machine = self.machine.lock();
        let mut workers = BTreeSet::new();
        for id in ids {
            let Some(gang) = machine.jobs.get(id).and_then(|job| job.phase.gang()) else {
                continue;
            };
            workers.extend(gang.parts.iter().map(|part| part.worker.clone()));
        }
        workers
    }

    async fn renew(&self, from: &str, renewal: &Renewal) -> Result<Lease> {
        // Only a confirmed leader may grant a lease: a deposed one could pass on an outdated
        // document.
        self.group.read().await?;
        let now_ms = self.timer.now_ms();
        // An entry that holds a lease may grant leases to its workers, so that these workers must
        // count as live before the entry gets its lease.
        if !self.fleet.lock().record_contacts(from, &renewal.workers, now_ms) {
            return Err(Error::not_run(Code::Conflict, "the names of the workers are not known"));
        }
        let length_ms = self.settings.times.entry_lease_ms;
        let (version, document, entries) = {
            // Locked until the lease is recorded: a caller that waits for a later version to come
            // into force must see this lease.
            let machine = self.machine.lock();
            let version = machine.config.version;
            let is_newer = version > renewal.version;
            let document = is_newer.then(|| Box::new(machine.config.document.clone()));
            let mut leases = self.leases.lock();
            let expires_ms = now_ms + lease::with_clock_drift_ms(length_ms);
            leases.grant(from, renewal, version, now_ms, expires_ms);
            (version, document, leases.live(now_ms))
        };
        self.lease_renewed.notify_waiters();
        let term = self.group.term();
        Ok(Lease { length_ms, term, version, document, entries })
    }

    async fn await_in_force(&self, version: u64, within_ms: u64) -> bool {
        let deadline_ms = self.timer.now_ms() + within_ms;
        loop {
            let renewed = self.lease_renewed.notified();
            let now_ms = self.timer.now_ms();
            let are_leases_known = self.old_leases_have_expired(now_ms);
            let in_force_ms = self.leases.lock().in_force_at(version, now_ms);
            if are_leases_known && in_force_ms.is_none() {
                return self.group.is_leader();
            }
            if now_ms >= deadline_ms || !self.group.is_leader() {
                return false;
            }
            let wake_ms = in_force_ms.unwrap_or(now_ms + 50).clamp(now_ms + 1, deadline_ms);
            tokio::select! {
                () = renewed => {}
                () = self.timer.sleep_until(wake_ms) => {}
            }
        }
    }

    // A new leader has no record of which leases its predecessor granted, nor when the predecessor
    // noticed that it no longer leads. It waits until all of these leases have expired.
    fn old_leases_have_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.group.role_since_ms() + lease::takeover_wait_ms(&self.settings.times)
    }

    async fn await_claim(&self, key: Key, within_ms: u64) -> Result<Option<claim::State>> {
        let deadline_ms = self.timer.now_ms() + within_ms;
        loop {
            let settled = self.claim_settled.notified();
            self.group.read().await?;
            let state = self.claim(key);
            let now_ms = self.timer.now_ms();
            if !matches!(state, Some(claim::State::Pending(_))) || now_ms >= deadline_ms {
                return Ok(state);
            }
            tokio::select! {
                () = settled => {}
                () = self.timer.sleep_until(deadline_ms.min(now_ms + OWNER_CHECK_INTERVAL_MS)) => {}
            }
        }
    }

    fn claim(&self, key: Key) -> Option<claim::State> {
        let now_ms = self.timer.now_ms();
        let state = self.machine.lock().claims.get(key);
        let Some(claim::State::Pending(owner)) = &state else { return state };
        let is_owner_lost = !self.leases.lock().is_live(&owner.entry, owner.incarnation, now_ms);
        if is_owner_lost && self.old_leases_have_expired(now_ms) {
            return Some(claim::State::MayHaveRun);
        }
        state
    }

    async fn report(&self, from: &str, report: Report) -> Result<Vec<Order>> {
        // The entry passes the orders on, and the worker stops tasks that they don't name: a deposed
        // leader must not answer.
        self.group.read().await?;
        let worker = report.worker.clone();
        let now_ms = self.timer.now_ms();
        self.fleet.lock().record_report(from, report, now_ms);
        self.round_requested.notify_one();
        Ok(self.orders(&worker))
    }

    fn orders(&self, worker: &str) -> Vec<Order> {
        let machine = self.machine.lock();
        orders(&machine.jobs, worker, machine.config.document.placement.checkpoint_grace_ms)
    }

    async fn change_members(&self, change: member::Change) -> Result<()> {
        self.group.change(change, COMMIT_TIMEOUT).await
    }

    async fn add_member(&self, name: &str) -> Result<()> {
        let Some(hello) = self.mesh.hello(name) else {
            let message = format!("no link to a daemon named {name}");
            return Err(Error::not_run(Code::NotFound, message));
        };
        if !hello.is_control {
            let message = format!("{name} is not a control daemon");
            return Err(Error::not_run(Code::Unsatisfiable, message));
        }
        let id = hello.id;
        let change = member::Change::Add { id, name: name.into() };
        self.change_members(change).await?;
        self.promote(id).await
    }

    // The promotion of a learner that has not caught up is refused; it is tried 100 times.
    async fn promote(&self, id: Id) -> Result<()> {
        const POLL_INTERVAL: Duration = Duration::from_millis(100);
        const MAX_ATTEMPTS: usize = 100;
        let mut last_error = Error::not_run(Code::Conflict, "the learner has not caught up");
        for _ in 0..MAX_ATTEMPTS {
            match self.change_members(member::Change::Promote { id }).await {
                Ok(()) => return Ok(()),
                Err(error) => last_error = error,
            }
            self.timer.sleep(POLL_INTERVAL).await;
        }
        Err(last_error)
    }

    fn read(&self, call: Call) -> Answer {
        match call {
            Call::Config => {
                let machine = self.machine.lock();
                let document = Box::new(machine.config.document.clone());
                Answer::Config { version: machine.config.version, document }
            }
            Call::Job { id } => {
                Answer::Job(self.machine.lock().jobs.get(&id).cloned().map(Box::new))
            }
            Call::Jobs { customer } => {
                let machine = self.machine.lock();
                let all = machine.jobs.live.values().chain(machine.jobs.ended.values());
                let selected =
                    all.filter(|job| customer.as_ref().is_none_or(|c| job.customer == *c));
                Answer::Jobs(selected.cloned().collect())
            }
            Call::Explain { id } => Answer::Text(scheduler::explain(self, &id)),
            Call::Check(document) => Answer::Faults(scheduler::document_faults(self, &document)),
            Call::Status => Answer::Status(Box::new(self.status())),
            Call::Workers => Answer::Workers(self.workers()),
            _ => Answer::Done,
        }
    }

    fn status(&self) -> status::Cluster {
        let now_ms = self.timer.now_ms();
        let machine = self.machine.lock();
        let mut jobs = std::collections::BTreeMap::new();
        for job in machine.jobs.live.values() {
            *jobs.entry(job.phase.name().to_string()).or_insert(0) += 1;
        }
        let entries = self.leases.lock().live(now_ms);
        let status = self.group_status();
        let risks = scheduler::risks(self, &machine);
        status::Cluster {
            risks,
            leader: self.settings.name.clone(),
            term: status.term,
            commit: status.commit_index,
            config_version: machine.config.version,
            claims: machine.claims.len() as u64,
            members: status.members,
            entries,
            workers: self.fleet.lock().live(now_ms, self.worker_timeout_ms()).len() as u64,
            jobs,
        }
    }

    fn workers(&self) -> Vec<status::Worker> {
        let now_ms = self.timer.now_ms();
        let machine = self.machine.lock();
        let fleet = self.fleet.lock();
        fleet.status_rows(&machine.workers, machine.now_ms, now_ms, self.worker_timeout_ms())
    }

    /// Milliseconds without contact after which all leases of a worker have expired.
    fn worker_timeout_ms(&self) -> u64 {
        lease::worker_timeout_ms(&self.settings.times)
    }
}
