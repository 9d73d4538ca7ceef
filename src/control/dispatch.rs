//! Batch work at the leader: job submissions, worker heartbeats and scheduling rounds.

mod caller;
mod heartbeat;
pub(super) mod lag;
pub(super) mod membership;
mod neighbour;
mod refusal;
pub(super) mod round;

use std::sync::atomic::AtomicU64;
use std::time::Instant;

use tokio::sync::{Notify, watch};

use super::{COMMIT_TIMEOUT, Control};
use crate::batch::admission::Admission;
use crate::batch::balance::Balancer;
use crate::batch::call::{Answer, Request};
use crate::batch::estimate::{Estimates, Kind};
use crate::batch::fleet::Fleet;
use crate::batch::pace::Rate;
use crate::batch::plan::{Planner, Times};
use crate::batch::room::Room;
use crate::batch::table::{Command as Batch, End, MAX_ROUND_BYTES, Round, Table as Jobs};
use crate::batch::throttle;
use crate::batch::worker::Exit;
use crate::error::{Code, Error, Result};
use crate::kernel::lock::{Mutex, Rank};
use crate::kernel::timer::wall_ms;
use crate::settings::Settings;
use crate::state::Command;
use crate::telemetry::{DECISION, Metrics};

/// Change of the spread of learned speeds that is logged, as a logarithm: a twentieth.
const LOGGED_SPREAD_CHANGE: f64 = 0.05;

/// State of batch dispatch that is kept in memory only.
pub(super) struct Dispatch {
    term_state: Mutex<Term>,
    // Starts a round at once.
    round_requested: Notify,
    // Number of completed rounds.
    rounds: watch::Sender<u64>,
    load_logged_at_ms: AtomicU64,
    heartbeat_rate: Mutex<Rate>,
    times: Times,
    throttle_times: throttle::Times,
    lease_ms: u64,
    tolerated_losses: usize,
    // Memory for accepted jobs.
    room_bytes: u64,
    max_runs: u64,
    // Held while a document is committed.
    publication: tokio::sync::Mutex<()>,
}

// State that is valid for one term of leadership only; the estimates outlive it.
#[derive(Default)]
struct Term {
    fleet: Fleet,
    balancer: Balancer,
    planner: Planner,
    admission: Admission,
    room: Room,
    estimates: Estimates,
    // How far zones, racks and workers differ in speed, as last logged.
    logged_spreads: [f64; 3],
}

impl Dispatch {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            term_state: Mutex::new(Rank::Dispatch, Term::default()),
            round_requested: Notify::new(),
            rounds: watch::Sender::new(0),
            load_logged_at_ms: AtomicU64::new(0),
            heartbeat_rate: Mutex::new(Rank::HeartbeatRate, Rate::default()),
            times: settings.batch.times,
            throttle_times: settings.batch.throttle_times,
            lease_ms: settings.times.worker_lease_ms,
            tolerated_losses: settings.batch.tolerated_losses,
            room_bytes: settings.limits.accepted_bytes() as u64,
            max_runs: settings.limits.max_runs() as u64,
            publication: tokio::sync::Mutex::new(()),
        }
    }
}

/// Handles a batch request at the leader and counts refusals. `receiver` is the daemon that received
/// the request from its sender.
pub(super) async fn handle_request(
    control: &Control,
    receiver: &str,
    request: Request,
) -> Result<Answer> {
    let answer = route_request(control, receiver, request).await;
    if let Err(error) = &answer {
        Metrics::global().count_refusal(error.code);
    }
    answer
}

async fn route_request(control: &Control, receiver: &str, request: Request) -> Result<Answer> {
    match request {
        Request::Submit { target, spec } => caller::submit(control, &target, spec).await,
        Request::Status(target) => caller::status(control, &target).await,
        Request::Cancel(target) => caller::cancel(control, &target).await,
        Request::Beat(heartbeat) => heartbeat::handle(control, receiver, *heartbeat).await,
        Request::Leave { worker, incarnation } => {
            heartbeat::leave(control, &worker, incarnation).await
        }
        Request::Publish(document) => caller::publish(control, document).await,
        Request::Evacuate(evacuation) => caller::evacuate(control, evacuation).await,
        Request::Document => caller::document(control).await,
        Request::Standing => Ok(membership_answer(control)),
        Request::Join { name, id } => membership::join(control, &name, id).await,
    }
}

/// Leader and members, as known to this member.
pub(super) fn membership_answer(control: &Control) -> Answer {
    let status = control.group_status();
    let members = status.members.iter().map(|member| member.name.clone()).collect();
    Answer::Standing { leader: status.leader_name, members }
}

async fn propose(control: &Control, command: Batch) -> Result<()> {
    let started = Instant::now();
    control.group.propose(Command::Batch(command), COMMIT_TIMEOUT).await?;
    Metrics::global().record_commit(started.elapsed().as_secs_f64());
    Ok(())
}

// Proposes a round that was decided on what this leader knew in a term. The parts of a large one are
// committed one after the other, so that smaller changes need not wait for all of it.
async fn propose_round(control: &Control, round: Round, term: u64) -> Result<()> {
    for part in round.into_parts(MAX_ROUND_BYTES) {
        let started = Instant::now();
        let command = Command::Batch(Batch::Round(part));
        control.group.propose_in_term(command, term, COMMIT_TIMEOUT).await?;
        Metrics::global().record_commit(started.elapsed().as_secs_f64());
    }
    Ok(())
}

impl Term {
    // Enters the term in which this member was confirmed as the leader. Heartbeats of an earlier term
    // are outdated; only the estimates are kept. Fails if the term has ended meanwhile: the table may
    // lack what the next leader has committed.
    fn enter(&mut self, term: u64, control: &Control) -> Result<()> {
        let current_term = control.group.term();
        if current_term != term {
            let message = format!("term {term} is over; this is term {current_term}");
            return Err(Error::not_run(Code::NotLeader, message));
        }
        if self.fleet.term() != term {
            let estimates = std::mem::take(&mut self.estimates);
            let fleet = Fleet::of_term(term).with_throttle_times(control.dispatch.throttle_times);
            let room = Room::new(control.dispatch.room_bytes);
            let planner = Planner::default().with_max_runs(control.dispatch.max_runs);
            *self = Self { fleet, estimates, room, planner, ..Self::default() };
        }
        Ok(())
    }

    fn record_durations(&mut self, table: &Jobs, ends: &[End]) {
        for end in ends {
            if end.how != Exit::Done {
                continue;
            }
            let Some(job) = table.live.get(&end.task.job) else { continue };
            let Some(task) = job.task(&end.task) else { continue };
            let Some(run) = job.active_run(&end.task) else { continue };
            let Some(session) = self.fleet.session(&run.worker) else { continue };
            let step = &job.spec.steps[end.task.step as usize];
            let heartbeat = &session.heartbeat;
            let is_data_remote = !step.data_rack.is_empty() && step.data_rack != heartbeat.rack;
            let was_paced = session.was_paced(&end.task, end.run);
            if !task.checkpoint.is_empty() || is_data_remote || step.is_lasting || was_paced {
                continue;
            }
            let took_ms = wall_ms().saturating_sub(run.placed_ms);
            self.estimates.learn_run_time(&Kind::of(job, step), &heartbeat.location(), took_ms);
        }
    }

    fn record_paces(&mut self, table: &Jobs, worker: &str) {
        self.fleet.learn_paces(worker, table, &mut self.estimates);
        let spreads = self.estimates.speeds().spreads();
        let mut changes = spreads.iter().zip(&self.logged_spreads);
        if !changes.any(|(spread, logged)| (spread - logged).abs() >= LOGGED_SPREAD_CHANGE) {
            return;
        }
        self.logged_spreads = spreads;
        let [zones, racks, workers] = spreads;
        for (level, spread) in [("zone", zones), ("rack", racks), ("worker", workers)] {
            Metrics::global().set_speed_spread(level, spread);
        }
        tracing::info!(target: DECISION, zones, racks, workers, "speed of workers");
    }
}
