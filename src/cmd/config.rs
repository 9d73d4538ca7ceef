//! `eelgrassvalve config`: reads, checks and replaces the configuration document.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use http::Method;
use miette::{IntoDiagnostic, WrapErr};

use super::{Run, block_on, output, remote};
use crate::entry::operator::{Config as CurrentConfig, Rollout, Validation};

/// Reads, checks and replaces the configuration document.
pub(super) struct Config;

impl Run for Config {
    fn command(&self) -> Command {
        let file = || {
            Arg::new("file")
                .required(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Configuration document, in JSON")
        };
        let version = Arg::new("version")
            .long("version")
            .value_name("N")
            .value_parser(value_parser!(u64))
            .help("Version that the change is based on; the current one by default");
        let request_id = Arg::new("request-id").long("request-id").value_name("ID").help(
            "Operator request id; a request sent again with the same id gets the first outcome",
        );
        Command::new("config")
            .about("Reads, checks and replaces the configuration document")
            .after_help(
                "Examples:\n  eelgrassvalve config check config.json\n  \
                 eelgrassvalve config apply config.json --version 7 --request-id change-12\n\n\
                 `apply` prints `in_force` once every live entry uses the new version, and\n\
                 `accepted` if it is committed but some entry has not confirmed it yet.",
            )
            .subcommand_required(true)
            .subcommand(Command::new("get").about("Prints the version and the document"))
            .subcommand(Command::new("check").about("Lists every fault of a document").arg(file()))
            .subcommand(Command::new("apply").about("Replaces the document").args([
                file(),
                version,
                request_id,
            ]))
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        match matches.subcommand() {
            Some(("check", sub_matches)) => check(sub_matches),
            Some(("apply", sub_matches)) => apply(sub_matches),
            Some((_, sub_matches)) => {
                let current: CurrentConfig =
                    block_on(remote::operator_client(sub_matches).get("/v1/config"))?;
                output::print(sub_matches, &current)
            }
            None => Ok(ExitCode::from(super::EXIT_USAGE)),
        }
    }
}

fn read_document(matches: &ArgMatches) -> miette::Result<serde_json::Value> {
    let path: &PathBuf = matches.get_one("file").expect("the argument is required");
    let file_name = || path.display().to_string();
    let text = std::fs::read_to_string(path).into_diagnostic().wrap_err_with(file_name)?;
    serde_json::from_str(&text).into_diagnostic().wrap_err_with(file_name)
}

fn check(matches: &ArgMatches) -> super::Result {
    let document = read_document(matches)?;
    let client = remote::operator_client(matches);
    let response = client.json(Method::POST, "/v1/config/check", &[], Some(&document));
    let checked: Validation = block_on(response)?;
    output::print(matches, &checked)?;
    let exit_code = if checked.faults.is_empty() { 0 } else { super::EXIT_USAGE };
    Ok(ExitCode::from(exit_code))
}

fn apply(matches: &ArgMatches) -> super::Result {
    let document = read_document(matches)?;
    let client = remote::operator_client(matches);
    let request_id = match matches.get_one::<String>("request-id") {
        Some(id) => id.clone(),
        None => uuid::Uuid::now_v7().to_string(),
    };
    let configured: Rollout = block_on(async {
        let expected = match matches.get_one::<u64>("version") {
            Some(version) => *version,
            None => client.get::<CurrentConfig>("/v1/config").await?.version,
        };
        let expected = expected.to_string();
        let headers = [("if-match", &*expected), ("eelgrassvalve-request-id", &*request_id)];
        client.json(Method::PUT, "/v1/config", &headers, Some(&document)).await
    })?;
    output::print(matches, &configured)
}
