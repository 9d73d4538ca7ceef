//! `eelgrassvalve job`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use http::Method;
use miette::{IntoDiagnostic, WrapErr};
use serde::Serialize;

use super::{Subcommand, block_on, output, remote};
use crate::entry::caller::{Cancel, Cancelled};
use crate::entry::operator::Text;
use crate::error;
use crate::state::job::{Job as Row, Phase};

/// Longest wait of one request, in milliseconds.
const WAIT_MS: u64 = 20_000;

/// Submits, reads and cancels jobs.
pub(super) struct Job;

/// A job in short.
#[derive(Serialize)]
struct Short<'a> {
    id: &'a str,
    kind: &'a str,
    phase: &'static str,
    parts: u32,
    accelerators: u32,
    submitted_ms: u64,
}

impl<'a> From<&'a Row> for Short<'a> {
    fn from(job: &'a Row) -> Self {
        Self {
            id: &job.id,
            kind: &job.spec.kind,
            phase: job.phase.name(),
            parts: job.spec.parts,
            accelerators: job.spec.accelerators,
            submitted_ms: job.submitted_ms,
        }
    }
}

impl Subcommand for Job {
    fn command(&self) -> Command {
        let id = || Arg::new("id").required(true).help("Id of the job");
        let ids = Arg::new("ids").required(true).num_args(1..).help("Ids of jobs");
        let file = Arg::new("file")
            .required(true)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("Job, in JSON");
        let key = Arg::new("key").long("key").value_name("KEY").help("Idempotency key");
        Command::new("job")
            .about("Jobs")
            .after_help(
                "Examples:\n  eelgrassvalve job submit job.json --key night-1\n  \
                 eelgrassvalve job wait kochi-dispatch.night-1\n\nA job file:\n  \
                 {\"kind\": \"menu-training\", \"parts\": 2, \"accelerators\": 8, \
                 \"payload\": \"epoch 7\"}",
            )
            .subcommand_required(true)
            .subcommand(Command::new("submit").about("Submits a job").args([file, key]))
            .subcommand(Command::new("get").about("Prints a job").arg(id()))
            .subcommand(Command::new("list").about("Lists the customer's jobs"))
            .subcommand(Command::new("cancel").about("Cancels jobs").arg(ids))
            .subcommand(Command::new("wait").about("Waits until a job has ended").arg(id()))
            .subcommand(
                Command::new("explain").about("Tells why a job waits (operators)").arg(id()),
            )
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        match matches.subcommand() {
            Some(("submit", sub)) => submit(sub),
            Some(("get", sub)) => {
                let path = format!("/v1/jobs/{}", id(sub));
                let job: Row = block_on(remote::callers(sub).get(&path))?;
                output::print(sub, &job)
            }
            Some(("list", sub)) => {
                let jobs: Vec<Row> = block_on(remote::callers(sub).get("/v1/jobs"))?;
                let rows: Vec<Short<'_>> = jobs.iter().map(Short::from).collect();
                output::print(sub, &rows)
            }
            Some(("cancel", sub)) => {
                let ids = sub.get_many::<String>("ids").expect("is required").cloned().collect();
                let client = remote::callers(sub);
                let batch = Cancel { ids };
                let sent = client.json(Method::POST, "/v1/jobs/cancel", &[], Some(&batch));
                let cancelled: Cancelled = block_on(sent)?;
                output::print(sub, &cancelled)
            }
            Some(("wait", sub)) => {
                let job = block_on(wait(sub))?;
                output::print(sub, &Short::from(&job))?;
                let finished = job.phase == Phase::Finished;
                Ok(ExitCode::from(if finished { 0 } else { 1 }))
            }
            Some((_, sub)) => {
                let path = format!("/v1/jobs/{}/explain", id(sub));
                let text: Text = block_on(remote::operators(sub).get(&path))?;
                output::print(sub, &text)
            }
            None => Ok(ExitCode::from(super::USAGE)),
        }
    }
}

fn id(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("id").expect("is required")
}

fn submit(matches: &ArgMatches) -> super::Result {
    let path: &PathBuf = matches.get_one("file").expect("is required");
    let context = || path.display().to_string();
    let text = std::fs::read_to_string(path).into_diagnostic().wrap_err_with(context)?;
    let spec: serde_json::Value =
        serde_json::from_str(&text).into_diagnostic().wrap_err_with(context)?;
    let key = matches.get_one::<String>("key").cloned();
    let key = key.unwrap_or_else(|| uuid::Uuid::now_v7().to_string());
    let headers = [("idempotency-key", key.as_str())];
    let client = remote::callers(matches);
    let job: Row = block_on(client.json(Method::POST, "/v1/jobs", &headers, Some(&spec)))?;
    output::print(matches, &Short::from(&job))
}

async fn wait(matches: &ArgMatches) -> error::Result<Row> {
    let client = remote::callers(matches);
    let path = format!("/v1/jobs/{}?wait_ms={WAIT_MS}", id(matches));
    loop {
        let job: Row = client.get(&path).await?;
        if job.phase.is_terminal() {
            return Ok(job);
        }
    }
}
