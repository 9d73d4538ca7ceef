//! `eelgrassvalve config`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use http::Method;
use miette::{IntoDiagnostic, WrapErr};

use super::{Subcommand, block_on, output, remote};
use crate::entry::operator::{Checked, Config as Current, Configured};

/// Reads, checks and applies the configuration document.
pub(super) struct Config;

impl Subcommand for Config {
    fn command(&self) -> Command {
        let file = || {
            Arg::new("file")
                .required(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Document, in JSON")
        };
        let expected = Arg::new("version")
            .long("version")
            .value_name("N")
            .value_parser(value_parser!(u64))
            .help("Version that the change is based on; the current one where absent");
        let request = Arg::new("request-id")
            .long("request-id")
            .value_name("ID")
            .help("Operator request id; a resend with the same id gets the first outcome");
        Command::new("config")
            .about("The configuration document")
            .after_help(
                "Examples:\n  eelgrassvalve config check config.json\n  \
                 eelgrassvalve config apply config.json --version 7 --request-id change-12\n\n\
                 `apply` prints `in_force` once every live entry serves by the new version, and\n\
                 `accepted` where it is committed but some entry has not confirmed it yet.",
            )
            .subcommand_required(true)
            .subcommand(Command::new("get").about("Prints version and document"))
            .subcommand(Command::new("check").about("Names every fault of a document").arg(file()))
            .subcommand(Command::new("apply").about("Replaces the document").args([
                file(),
                expected,
                request,
            ]))
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        match matches.subcommand() {
            Some(("check", sub)) => check(sub),
            Some(("apply", sub)) => apply(sub),
            Some((_, sub)) => {
                let current: Current = block_on(remote::operators(sub).get("/v1/config"))?;
                output::print(sub, &current)
            }
            None => Ok(ExitCode::from(super::USAGE)),
        }
    }
}

fn document(matches: &ArgMatches) -> miette::Result<serde_json::Value> {
    let path: &PathBuf = matches.get_one("file").expect("is required");
    let context = || path.display().to_string();
    let text = std::fs::read_to_string(path).into_diagnostic().wrap_err_with(context)?;
    serde_json::from_str(&text).into_diagnostic().wrap_err_with(context)
}

fn check(matches: &ArgMatches) -> super::Result {
    let document = document(matches)?;
    let client = remote::operators(matches);
    let sent = client.json(Method::POST, "/v1/config/check", &[], Some(&document));
    let checked: Checked = block_on(sent)?;
    output::print(matches, &checked)?;
    let code = if checked.faults.is_empty() { 0 } else { super::USAGE };
    Ok(ExitCode::from(code))
}

fn apply(matches: &ArgMatches) -> super::Result {
    let document = document(matches)?;
    let client = remote::operators(matches);
    let request_id = match matches.get_one::<String>("request-id") {
        Some(id) => id.clone(),
        None => uuid::Uuid::now_v7().to_string(),
    };
    let configured: Configured = block_on(async {
        let expected = match matches.get_one::<u64>("version") {
            Some(version) => *version,
            None => client.get::<Current>("/v1/config").await?.version,
        };
        let expected = expected.to_string();
        let headers = [("if-match", &*expected), ("eelgrassvalve-request-id", &*request_id)];
        client.json(Method::PUT, "/v1/config", &headers, Some(&document)).await
    })?;
    output::print(matches, &configured)
}
