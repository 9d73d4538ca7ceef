//! The leader's part in batch work: hand-ins, heartbeats of workers, and rounds of placement.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, watch};

use super::{COMMIT, Control};
use crate::batch::call::{Answer, Request, Target};
use crate::batch::document::{Document, Queue};
use crate::batch::estimate::Estimates;
use crate::batch::fleet::{Fleet, lease_bound_ms};
use crate::batch::job::{Id, Spec};
use crate::batch::plan::{Plan, Planner, Times, View};
use crate::batch::table::{Command as Batch, End, Round, Submission, Table as Jobs};
use crate::batch::worker::{Beat, How, Orders};
use crate::error::{Code, Error, Result};
use crate::kernel::lock::{Rank, Table};
use crate::kernel::timer::wall_ms;
use crate::replica::member::{self, Id as MemberId};
use crate::settings::Settings;
use crate::state::Command;
use crate::telemetry::{DECISION, Metrics};

/// Longest time between two rounds, in milliseconds; news begin one at once.
const ROUND_MS: u64 = 200;
/// Longest wait of a heartbeat for the round that stores its ends: a worker drops an answer that
/// comes later than a second after it sent the heartbeat.
const STORE_MS: u64 = 700;
/// Longest wait of a heartbeat for orders, bounded in the same way.
const HOLD_MS: u64 = 600;
/// Shortest wait that is worth holding a heartbeat for, in milliseconds.
const HOLD_MIN_MS: u64 = 60;
/// Part of the time until the next end during which a heartbeat is not held, in milliseconds: a
/// held heartbeat delays the news of an end.
const END_MARGIN_MS: u64 = 60;
/// Wait of a worker before its next heartbeat, in milliseconds; its heartbeats are held instead.
const NEXT_MS: u64 = 20;
/// Wait of a worker whose next end is near, in milliseconds; the end begins a heartbeat at once.
const NEAR_END_MS: u64 = 150;
/// Between two log lines about the load, in milliseconds.
const LOAD_MS: u64 = 1_000;
/// Silence of a voter after which a caught-up learner takes its place, in milliseconds: longer
/// than a restart, shorter than the time after which the next loss must be borne.
const REPLACE_MS: u64 = 2_500;
/// Silence of a learner after which it is dropped, in milliseconds.
const DROP_MS: u64 = 10_000;

/// Soft state of a leader.
pub(super) struct Dispatch {
    desk: Table<Desk>,
    changed: Notify,
    rounds: watch::Sender<u64>,
    load_logged_ms: AtomicU64,
    times: Times,
    lease_ms: u64,
    losses: usize,
}

#[derive(Default)]
struct Desk {
    term: u64,
    fleet: Fleet,
    planner: Planner,
    estimates: Estimates,
    // Ends that the next round stores.
    ends: Vec<End>,
}

impl Dispatch {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            desk: Table::new(Rank::Desk, Desk::default()),
            changed: Notify::new(),
            rounds: watch::Sender::new(0),
            load_logged_ms: AtomicU64::new(0),
            times: settings.batch.times,
            lease_ms: settings.times.worker_lease_ms,
            losses: settings.batch.losses,
        }
    }
}

/// Answers a request at the leader.
pub(super) async fn answer(control: &Control, request: Request) -> Result<Answer> {
    let answer = route(control, request).await;
    if let Err(error) = &answer {
        Metrics::global().count_refusal(error.code);
    }
    answer
}

async fn route(control: &Control, request: Request) -> Result<Answer> {
    match request {
        Request::Submit { target, spec } => submit(control, &target, spec).await,
        Request::Status(target) => status(control, &target).await,
        Request::Cancel(target) => cancel(control, &target).await,
        Request::Beat(beat) => beat_of(control, *beat).await,
        Request::Leave { worker, incarnation } => leave(control, &worker, incarnation).await,
        Request::Publish(document) => publish(control, document).await,
        Request::Document => document(control).await,
        Request::Standing => Ok(standing(control)),
        Request::Join { name, id } => join(control, &name, id).await,
    }
}

/// Who leads and who the members are, as this member knows.
pub(super) fn standing(control: &Control) -> Answer {
    let standing = control.standing();
    let members = standing.members.iter().map(|member| member.name.clone()).collect();
    Answer::Standing { leader: standing.leader_name, members }
}

async fn submit(
    control: &Control,
    target: &Target,
    spec: std::result::Result<Spec, String>,
) -> Result<Answer> {
    control.group.read().await?;
    let (submission, revision) = {
        let machine = control.machine.lock();
        let (queue, rest, customer) = authorize(&machine.batch.document, target)?;
        let id = job_id(rest)?;
        if let Some(job) = machine.batch.job(id) {
            return Ok(Answer::Phase(job.phase()));
        }
        let spec = spec.map_err(|message| Error::not_run(Code::BadRequest, message))?;
        if let Some(fault) = spec.fault() {
            return Err(Error::not_run(Code::BadRequest, fault));
        }
        let (queue, terms) = (queue.name.clone(), queue.terms.clone());
        (Submission { id, queue, customer, terms, spec }, machine.batch.document.revision)
    };
    let (id, queue) = (submission.id, submission.queue.clone());
    let steps = submission.spec.steps.len();
    propose(control, Batch::Submit(Box::new(submission))).await?;
    tracing::info!(target: DECISION, job = %id, queue, steps, revision, "job accepted");
    Metrics::global().count_job("accepted");
    control.dispatch.changed.notify_one();
    Ok(Answer::Phase(crate::batch::job::Phase::Queued))
}

async fn status(control: &Control, target: &Target) -> Result<Answer> {
    control.group.read().await?;
    let machine = control.machine.lock();
    let (queue, rest, _) = authorize(&machine.batch.document, target)?;
    if rest.is_empty() {
        return Ok(Answer::Pending(machine.batch.pending(&queue.name)));
    }
    let Some(job) = job_id(rest).ok().and_then(|id| machine.batch.job(id)) else {
        return Err(Error::not_run(Code::KeyExpired, "no such job"));
    };
    Ok(Answer::Phase(job.phase()))
}

async fn cancel(control: &Control, target: &Target) -> Result<Answer> {
    control.group.read().await?;
    let id = {
        let machine = control.machine.lock();
        let (_, rest, _) = authorize(&machine.batch.document, target)?;
        let id = job_id(rest)?;
        if machine.batch.job(id).is_none() {
            return Err(Error::not_run(Code::KeyExpired, "no such job"));
        }
        id
    };
    propose(control, Batch::Cancel(id)).await?;
    tracing::info!(target: DECISION, job = %id, "job cancelled");
    Metrics::global().count_job("cancelled");
    control.dispatch.changed.notify_one();
    Ok(Answer::Done)
}

async fn publish(control: &Control, document: Box<Document>) -> Result<Answer> {
    let faults = document.faults();
    if !faults.is_empty() {
        let all: Vec<String> =
            faults.iter().map(|f| format!("{}: {}", f.path, f.message)).collect();
        return Err(Error::not_run(Code::Unsatisfiable, all.join("; ")));
    }
    control.group.read().await?;
    let revision = document.revision;
    let held = control.machine.lock().batch.document.revision;
    if revision > held {
        propose(control, Batch::Publish(document)).await?;
    }
    tracing::info!(target: DECISION, revision, held, "document taken");
    control.dispatch.changed.notify_one();
    Ok(Answer::Done)
}

async fn document(control: &Control) -> Result<Answer> {
    control.group.read().await?;
    let machine = control.machine.lock();
    let document = &machine.batch.document;
    if document.revision == 0 {
        return Err(Error::not_run(Code::NoLease, "no document yet"));
    }
    Ok(Answer::Document { revision: document.revision, source: document.source.clone() })
}

async fn beat_of(control: &Control, beat: Beat) -> Result<Answer> {
    control.group.read().await?;
    let dispatch = &control.dispatch;
    let now_ms = control.timer.now_ms();
    let worker = beat.worker.clone();
    let (heard, hold_ms, wake) = {
        let machine = control.machine.lock();
        let mut desk = dispatch.desk.lock();
        desk.renew(control);
        let heard = desk.fleet.hear(beat, &machine.batch, dispatch.lease_ms, now_ms);
        if heard.is_stale {
            tracing::debug!(target: DECISION, worker, "late heartbeat dropped");
            return Ok(Answer::Orders(Box::default()));
        }
        desk.learn(&machine.batch, &heard.ends);
        desk.ends.extend(heard.ends.iter().cloned());
        let orders = desk.fleet.orders(&worker, &machine.batch);
        let has_orders = !orders.start.is_empty() || !orders.stop.is_empty();
        let session = desk.fleet.session(&worker);
        let next_end_ms = session.and_then(|held| held.next_end_ms(&machine.batch, wall_ms()));
        let hold_ms = hold_ms(has_orders, next_end_ms);
        (heard, hold_ms, session.map(|held| held.orders.clone()))
    };
    if !heard.ends.is_empty() {
        await_round(control, &heard.ends).await;
    } else if let (Some(hold_ms), Some(wake)) = (hold_ms, wake) {
        // The round that has orders for the worker wakes this heartbeat.
        let _ = tokio::time::timeout(Duration::from_millis(hold_ms), wake.notified()).await;
    }
    control.group.read().await?;
    let machine = control.machine.lock();
    let mut desk = dispatch.desk.lock();
    let mut orders = desk.fleet.orders(&worker, &machine.batch);
    orders.lease_ms = Some(dispatch.lease_ms);
    orders.term = control.standing().term;
    orders.next_ms = if hold_ms.is_some() { NEXT_MS } else { NEAR_END_MS };
    orders.leader = control.settings.name.clone();
    log_orders(&worker, &orders);
    Metrics::global().record_beat((control.timer.now_ms() - now_ms) as f64 / 1_000.0);
    Ok(Answer::Orders(Box::new(orders)))
}

// How long a heartbeat is held for orders, if it is.
fn hold_ms(has_orders: bool, next_end_ms: Option<u64>) -> Option<u64> {
    if has_orders {
        return None;
    }
    let until_ms = next_end_ms.map_or(HOLD_MS, |end_ms| end_ms.saturating_sub(END_MARGIN_MS));
    (until_ms >= HOLD_MIN_MS).then_some(until_ms.min(HOLD_MS))
}

fn log_orders(worker: &str, orders: &Orders) {
    for start in &orders.start {
        let (task, run) = (start.task, start.run);
        tracing::info!(target: DECISION, %task, run, worker, term = orders.term, "start told");
    }
    for (task, run) in &orders.stop {
        tracing::info!(target: DECISION, %task, run, worker, term = orders.term, "stop told");
    }
}

// Waits until a round has stored these ends and decided what starts in the freed room.
async fn await_round(control: &Control, ends: &[End]) {
    let mut rounds = control.dispatch.rounds.subscribe();
    rounds.mark_unchanged();
    control.dispatch.changed.notify_one();
    let is_stored = || {
        let machine = control.machine.lock();
        !ends.iter().any(|end| machine.batch.is_active(&end.task, end.run))
    };
    let stored = async {
        // A round that was under way may have missed the news: the one after it has them.
        while rounds.changed().await.is_ok() && !is_stored() {}
    };
    let _ = tokio::time::timeout(Duration::from_millis(STORE_MS), stored).await;
}

async fn leave(control: &Control, worker: &str, incarnation: Option<u64>) -> Result<Answer> {
    control.group.read().await?;
    let runs = {
        let machine = control.machine.lock();
        let mut desk = control.dispatch.desk.lock();
        desk.renew(control);
        desk.fleet.leave(worker, incarnation, control.timer.now_ms());
        machine.batch.placed_on(worker).count()
    };
    tracing::info!(target: DECISION, worker, runs, "worker left");
    control.dispatch.changed.notify_one();
    Ok(Answer::Done)
}

fn authorize<'a, 'b>(
    document: &'a Document,
    target: &'b Target,
) -> Result<(&'a Queue, &'b str, String)> {
    if document.revision == 0 {
        return Err(Error::not_run(Code::NoLease, "no document yet"));
    }
    let Some((queue, rest)) = document.queue_at(&target.host, &target.path) else {
        return Err(Error::not_run(Code::NotFound, "no such queue"));
    };
    let customer = target.key.as_deref().and_then(|key| document.customer_of(key));
    match customer {
        Some(customer) => Ok((queue, rest, customer.name.clone())),
        None if queue.is_open => Ok((queue, rest, String::new())),
        None => Err(Error::not_run(Code::Unauthorized, "no known key")),
    }
}

fn job_id(rest: &str) -> Result<Id> {
    let id = Id::parse(rest);
    id.ok_or_else(|| Error::not_run(Code::BadRequest, "a job's name has 16 hexadecimal digits"))
}

async fn propose(control: &Control, command: Batch) -> Result<()> {
    let begun = Instant::now();
    control.group.propose(Command::Batch(command), COMMIT).await?;
    Metrics::global().record_commit(begun.elapsed().as_secs_f64());
    Ok(())
}

impl Desk {
    // What an earlier term's leader heard is too old to decide by.
    fn renew(&mut self, control: &Control) {
        let term = control.standing().term;
        if self.term != term {
            *self =
                Self { term, estimates: std::mem::take(&mut self.estimates), ..Self::default() };
        }
    }

    fn learn(&mut self, table: &Jobs, ends: &[End]) {
        for end in ends {
            if end.how != How::Done {
                continue;
            }
            let Some(job) = table.live.get(&end.task.job) else { continue };
            let Some(task) = job.task(&end.task) else { continue };
            let Some(run) = job.run(&end.task) else { continue };
            if task.checkpoint.is_empty() {
                let took_ms = wall_ms().saturating_sub(run.placed_ms);
                self.estimates.learn(&job.queue, took_ms);
            }
        }
    }
}

/// Runs rounds for ever; does something only while this member leads.
pub(super) async fn run(control: Arc<Control>) {
    loop {
        tokio::select! {
            () = control.dispatch.changed.notified() => {}
            () = control.timer.sleep(Duration::from_millis(ROUND_MS)) => {}
        }
        if !control.standing().leads || control.group.read().await.is_err() {
            continue;
        }
        if let Err(error) = round(&control).await {
            tracing::warn!(%error, "round not committed; workers report their ends again");
        }
    }
}

async fn round(control: &Control) -> Result<()> {
    let dispatch = &control.dispatch;
    let mut touched = BTreeSet::new();
    let news = gather(control);
    if !news.is_empty() {
        log_ends(control, &news);
        let jobs: BTreeSet<Id> = news.ends.iter().map(|end| end.task.job).collect();
        propose(control, Batch::Round(news)).await?;
        log_outcomes(control, &jobs);
    }
    let begun = Instant::now();
    let plan = decide(control);
    log_load(control, &plan);
    Metrics::global().record_placement(begun.elapsed().as_secs_f64());
    Metrics::global().set_steps_waiting(plan.waiting as u64);
    if !plan.round.is_empty() {
        log_plan(control, &plan);
        touched.extend(plan.round.starts.iter().map(|start| start.worker.clone()));
        touched.extend(stopping_on(control, &plan.round));
        propose(control, Batch::Round(plan.round)).await?;
    }
    dispatch.rounds.send_modify(|number| *number += 1);
    let desk = dispatch.desk.lock();
    for worker in &touched {
        desk.fleet.wake(worker);
    }
    Ok(())
}

// What ended, what is lost, and which occurrences are due.
fn gather(control: &Control) -> Round {
    let now_ms = control.timer.now_ms();
    let machine = control.machine.lock();
    let mut desk = control.dispatch.desk.lock();
    desk.renew(control);
    let mut ends = std::mem::take(&mut desk.ends);
    let since_ms = control.standing().since_ms;
    let unheard_until_ms = since_ms + lease_bound_ms(control.dispatch.lease_ms);
    ends.extend(desk.fleet.lost(&machine.batch, unheard_until_ms, now_ms));
    desk.fleet.forget_gone(now_ms);
    ends.retain(|end| machine.batch.is_active(&end.task, end.run));
    let wall_ms = wall_ms();
    let due_ms = if machine.batch.is_due(wall_ms) { wall_ms } else { 0 };
    Round { ends, due_ms, ..Round::default() }
}

fn decide(control: &Control) -> Plan {
    let now_ms = control.timer.now_ms();
    let machine = control.machine.lock();
    let mut desk = control.dispatch.desk.lock();
    let Desk { fleet, planner, estimates, .. } = &mut *desk;
    let stuck = fleet.stuck(&machine.batch, now_ms);
    for (name, _) in &stuck {
        if let Some(run) = machine.batch.active(name) {
            fleet.exclude(&run.worker, now_ms);
        }
    }
    let view = View {
        table: &machine.batch,
        fleet,
        estimates,
        times: control.dispatch.times,
        now_ms,
        wall_ms: wall_ms(),
    };
    let mut plan = planner.decide(view);
    for (name, run) in stuck {
        tracing::info!(target: DECISION, task = %name, run, "run makes no progress and is stopped");
        plan.round.stops.push((name, run));
    }
    plan
}

// One line a second, however many rounds there are.
fn log_load(control: &Control, plan: &Plan) {
    let now_ms = control.timer.now_ms();
    let last_ms = control.dispatch.load_logged_ms.load(Ordering::Relaxed);
    if plan.waiting == 0 || now_ms < last_ms + LOAD_MS {
        return;
    }
    control.dispatch.load_logged_ms.store(now_ms, Ordering::Relaxed);
    let (waiting, hopeless) = (plan.waiting, plan.hopeless);
    for (pool, used) in &plan.used {
        let used = (used * 100.0) as u64;
        tracing::info!(target: DECISION, pool, used_percent = used, waiting, hopeless, "load");
    }
}

fn stopping_on(control: &Control, round: &Round) -> BTreeSet<String> {
    let machine = control.machine.lock();
    let runs = round.stops.iter().filter_map(|(name, _)| machine.batch.active(name));
    runs.map(|run| run.worker.clone()).collect()
}

fn log_ends(control: &Control, round: &Round) {
    let machine = control.machine.lock();
    for end in &round.ends {
        let Some(run) = machine.batch.active(&end.task) else { continue };
        let (task, how, worker) = (end.task, end.how, &run.worker);
        let took_ms = wall_ms().saturating_sub(run.placed_ms);
        tracing::info!(target: DECISION, %task, run = end.run, %how, worker, took_ms, "run ended");
        Metrics::global().count_run(how);
    }
}

// One line for each job that these ends ended.
fn log_outcomes(control: &Control, jobs: &BTreeSet<Id>) {
    let machine = control.machine.lock();
    for id in jobs {
        let Some(job) = machine.batch.ended.get(id) else { continue };
        let (phase, queue) = (job.phase(), &job.queue);
        let took_ms = job.ended_ms.saturating_sub(job.accepted_ms);
        tracing::info!(target: DECISION, job = %id, queue, %phase, took_ms, "job ended");
        Metrics::global().count_job(&phase.to_string());
        Metrics::global().record_completion(took_ms as f64 / 1_000.0);
    }
}

fn log_plan(control: &Control, plan: &Plan) {
    note_first_starts(control, plan);
    Metrics::global().count_evictions(plan.verdicts.iter().map(|v| v.evicted.len() as u64).sum());
    for verdict in &plan.verdicts {
        let (job, occurrence, step) = verdict.key;
        let (seated, evicted, reason) = (verdict.seated, verdict.evicted.len(), verdict.reason);
        for (task, run) in &verdict.evicted {
            tracing::info!(target: DECISION, %task, run, yields_to = %job, "run is stopped for a more urgent job");
        }
        let waiting = plan.waiting;
        tracing::info!(target: DECISION, %job, occurrence, step, seated, evicted, waiting, reason, "placement");
    }
}

fn note_first_starts(control: &Control, plan: &Plan) {
    let machine = control.machine.lock();
    let jobs: BTreeSet<Id> = plan.round.starts.iter().map(|start| start.task.job).collect();
    for id in jobs {
        let Some(job) = machine.batch.live.get(&id).filter(|job| !job.has_started) else {
            continue;
        };
        let waited_ms = wall_ms().saturating_sub(job.accepted_ms);
        Metrics::global().record_first_start(waited_ms as f64 / 1_000.0);
    }
}

async fn join(control: &Control, name: &str, id: MemberId) -> Result<Answer> {
    let standing = control.standing();
    if standing.members.iter().any(|member| member.id == id.to_string()) {
        return Ok(Answer::Done);
    }
    // A daemon that comes with a new identity has lost the folder of its old one.
    let old = standing.members.iter().find(|member| member.name == name);
    if let Some(old) = old.and_then(|member| MemberId::parse(&member.id)) {
        tracing::info!(target: DECISION, name, old = %old, new = %id, "member lost its folder; replaced");
        control.change_members(member::Change::Remove { id: old }).await?;
    }
    control.change_members(member::Change::Add { id, name: name.into() }).await?;
    tracing::info!(target: DECISION, name, id = %id, "member added as a learner");
    Ok(Answer::Done)
}

/// Keeps the group at its size, for ever: promotes learners, replaces silent voters.
pub(super) async fn keep_members(control: Arc<Control>) {
    /// Between two looks, in milliseconds.
    const LOOK_MS: u64 = 250;
    loop {
        control.timer.sleep(Duration::from_millis(LOOK_MS)).await;
        let standing = control.standing();
        let settled_ms = control.timer.now_ms().saturating_sub(standing.since_ms);
        if !standing.leads {
            continue;
        }
        let Some(change) = next_change(&standing.members, control.dispatch.losses, settled_ms)
        else {
            continue;
        };
        match control.change_members(change.clone()).await {
            Ok(()) => tracing::info!(target: DECISION, ?change, "membership changed"),
            Err(error) => tracing::debug!(%error, ?change, "membership not changed yet"),
        }
    }
}

/// The next membership change, if one is due. `losses` members may be lost at once.
pub fn next_change(
    members: &[super::status::Member],
    losses: usize,
    settled_ms: u64,
) -> Option<member::Change> {
    let wanted = (2 * losses + 1).max(VOTERS);
    let id_of = |member: &super::status::Member| MemberId::parse(&member.id);
    let voters = members.iter().filter(|member| member.is_voter).count();
    let is_ready = |member: &&super::status::Member| {
        !member.is_voter && member.matched > 0 && member.silent_ms < REPLACE_MS / 2
    };
    let learner = members.iter().find(is_ready);
    if let Some(learner) = learner.filter(|_| voters < wanted) {
        return id_of(learner).map(|id| member::Change::Promote { id });
    }
    if settled_ms < REPLACE_MS {
        return None;
    }
    if learner.is_some() {
        let silent = members.iter().find(|member| member.is_voter && member.silent_ms > REPLACE_MS);
        if let Some(id) = silent.and_then(id_of) {
            return Some(member::Change::Remove { id });
        }
    }
    let dropped = members.iter().find(|member| !member.is_voter && member.silent_ms > DROP_MS);
    dropped.and_then(id_of).map(|id| member::Change::Remove { id })
}

/// Voters where that many members are there: they bear the loss of two.
const VOTERS: usize = 5;
