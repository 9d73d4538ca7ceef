//! `eelgrassvalve job`: submits, reads, cancels and waits for jobs.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use http::Method;
use miette::{IntoDiagnostic, WrapErr};
use serde::Serialize;

use super::{Run, block_on, output, remote};
use crate::entry::caller::{Acknowledgement, Cancellation};
use crate::entry::operator::Message;
use crate::error;
use crate::state::job::{Job as JobRecord, Phase};

/// Longest wait for the end of a job in one request, in milliseconds.
const LONG_POLL_MS: u64 = 20_000;

/// Submits, reads, cancels and waits for jobs.
pub(super) struct Job;

/// Main fields of a job, for tables.
#[derive(Serialize)]
struct Summary<'a> {
    id: &'a str,
    kind: &'a str,
    phase: &'static str,
    parts: u32,
    accelerators: u32,
    submitted_ms: u64,
}

impl<'a> From<&'a JobRecord> for Summary<'a> {
    fn from(job: &'a JobRecord) -> Self {
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

impl Run for Job {
    fn command(&self) -> Command {
        let id = || Arg::new("id").required(true).help("Id of the job");
        let ids = Arg::new("ids").required(true).num_args(1..).help("Ids of the jobs");
        let file = Arg::new("file")
            .required(true)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("Job file, in JSON");
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
                Command::new("explain")
                    .about("Explains why a job waits (operators only)")
                    .arg(id()),
            )
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        match matches.subcommand() {
            Some(("submit", sub_matches)) => submit(sub_matches),
            Some(("get", sub_matches)) => {
                let path = format!("/v1/jobs/{}", job_id(sub_matches));
                let job: JobRecord = block_on(remote::caller_client(sub_matches).get(&path))?;
                output::print(sub_matches, &job)
            }
            Some(("list", sub_matches)) => {
                let jobs: Vec<JobRecord> =
                    block_on(remote::caller_client(sub_matches).get("/v1/jobs"))?;
                let summaries: Vec<Summary<'_>> = jobs.iter().map(Summary::from).collect();
                output::print(sub_matches, &summaries)
            }
            Some(("cancel", sub_matches)) => {
                let ids = sub_matches
                    .get_many::<String>("ids")
                    .expect("the argument is required")
                    .cloned()
                    .collect();
                let client = remote::caller_client(sub_matches);
                let request = Cancellation { ids };
                let response = client.json(Method::POST, "/v1/jobs/cancel", &[], Some(&request));
                let cancelled: Acknowledgement = block_on(response)?;
                output::print(sub_matches, &cancelled)
            }
            Some(("wait", sub_matches)) => {
                let job = block_on(wait_for_end(sub_matches))?;
                output::print(sub_matches, &Summary::from(&job))?;
                let is_finished = job.phase == Phase::Finished;
                Ok(ExitCode::from(if is_finished { 0 } else { 1 }))
            }
            Some((_, sub_matches)) => {
                let path = format!("/v1/jobs/{}/explain", job_id(sub_matches));
                let text: Message = block_on(remote::operator_client(sub_matches).get(&path))?;
                output::print(sub_matches, &text)
            }
            None => Ok(ExitCode::from(super::EXIT_USAGE)),
        }
    }
}

fn job_id(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("id").expect("the argument is required")
}

fn submit(matches: &ArgMatches) -> super::Result {
    let path: &PathBuf = matches.get_one("file").expect("the argument is required");
    let file_name = || path.display().to_string();
    let text = std::fs::read_to_string(path).into_diagnostic().wrap_err_with(file_name)?;
    let spec: serde_json::Value =
        serde_json::from_str(&text).into_diagnostic().wrap_err_with(file_name)?;
    let key = matches.get_one::<String>("key").cloned();
    let key = key.unwrap_or_else(|| uuid::Uuid::now_v7().to_string());
    let headers = [("idempotency-key", key.as_str())];
    let client = remote::caller_client(matches);
    let job: JobRecord = block_on(client.json(Method::POST, "/v1/jobs", &headers, Some(&spec)))?;
    output::print(matches, &Summary::from(&job))
}

async fn wait_for_end(matches: &ArgMatches) -> error::Result<JobRecord> {
    let client = remote::caller_client(matches);
    let path = format!("/v1/jobs/{}?wait_ms={LONG_POLL_MS}", job_id(matches));
    loop {
        let job: JobRecord = client.get(&path).await?;
        if job.phase.is_terminal() {
            return Ok(job);
        }
    }
}
