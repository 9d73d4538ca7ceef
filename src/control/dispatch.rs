//! The leader's part in batch work: hand-ins, heartbeats of workers, and rounds of placement.

mod caller;
mod heartbeat;
pub(super) mod membership;
pub(super) mod round;

use std::sync::atomic::AtomicU64;
use std::time::Instant;

use tokio::sync::{Notify, watch};

use super::{COMMIT, Control};
use crate::batch::call::{Answer, Request};
use crate::batch::estimate::{Estimates, Sample};
use crate::batch::fleet::Fleet;
use crate::batch::plan::{Planner, Times};
use crate::batch::table::{Command as Batch, End, Table as Jobs};
use crate::batch::worker::Exit;
use crate::error::Result;
use crate::kernel::lock::{Rank, Table};
use crate::kernel::timer::wall_ms;
use crate::settings::Settings;
use crate::state::Command;
use crate::telemetry::Metrics;

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
        Request::Submit { target, spec } => caller::submit(control, &target, spec).await,
        Request::Status(target) => caller::status(control, &target).await,
        Request::Cancel(target) => caller::cancel(control, &target).await,
        Request::Beat(beat) => heartbeat::answer(control, *beat).await,
        Request::Leave { worker, incarnation } => {
            heartbeat::leave(control, &worker, incarnation).await
        }
        Request::Publish(document) => caller::publish(control, document).await,
        Request::Document => caller::document(control).await,
        Request::Standing => Ok(standing(control)),
        Request::Join { name, id } => membership::join(control, &name, id).await,
    }
}

/// Who leads and who the members are, as this member knows.
pub(super) fn standing(control: &Control) -> Answer {
    let standing = control.standing();
    let members = standing.members.iter().map(|member| member.name.clone()).collect();
    Answer::Standing { leader: standing.leader_name, members }
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
            if end.how != Exit::Done {
                continue;
            }
            let Some(job) = table.live.get(&end.task.job) else { continue };
            let Some(task) = job.task(&end.task) else { continue };
            let Some(run) = job.active_run(&end.task) else { continue };
            let Some(session) = self.fleet.session(&run.worker) else { continue };
            let step = &job.spec.steps[end.task.step as usize];
            let beat = &session.heartbeat;
            let is_far = !step.data_rack.is_empty() && step.data_rack != beat.rack;
            if !task.checkpoint.is_empty() || is_far || step.is_lasting {
                continue;
            }
            self.estimates.learn(&Sample {
                queue: &job.queue,
                zone: &beat.zone,
                declared_ms: step.estimate_ms,
                took_ms: wall_ms().saturating_sub(run.placed_ms),
            });
        }
    }
}
