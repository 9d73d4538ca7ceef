//! `eelgrassvalve request`: sends a request to an upstream.

use std::io::{Read, Write};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use http::Method;
use miette::IntoDiagnostic;

use super::{Run, block_on, remote};

/// Sends a request and prints the upstream's answer.
pub(super) struct Request;

impl Run for Request {
    fn command(&self) -> Command {
        let kind = Arg::new("kind").required(true).help("Kind of the request");
        let payload = Arg::new("payload").help("Payload; read from standard input by default");
        let key = Arg::new("key").long("key").value_name("KEY").help("Idempotency key");
        let idempotent = Arg::new("idempotent")
            .long("idempotent")
            .action(ArgAction::SetTrue)
            .help("The request may run more than once");
        let deadline = Arg::new("deadline-ms")
            .long("deadline-ms")
            .value_name("MS")
            .value_parser(value_parser!(u64).range(1..))
            .help("Deadline in milliseconds; that of the kind by default");
        Command::new("request")
            .about("Sends a request; the exit code gives the verdict: 0 ran, 3 not run, 4 may have run")
            .after_help(
                "Without --key, a new key is generated and printed on standard error, so that the\n\
                 request can be sent again under it.\n\n\
                 Examples:\n  eelgrassvalve request plan 'round 7' --key round-7\n  \
                 eelgrassvalve request menu-check --idempotent < menu.txt",
            )
            .args([kind, payload, key, idempotent, deadline])
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let kind = matches.get_one::<String>("kind").expect("the argument is required");
        let payload = match matches.get_one::<String>("payload") {
            Some(payload) => payload.clone().into_bytes(),
            None => {
                let mut bytes = Vec::new();
                std::io::stdin().read_to_end(&mut bytes).into_diagnostic()?;
                bytes
            }
        };
        let key = matches.get_one::<String>("key").cloned();
        let key = key.unwrap_or_else(|| {
            let generated = uuid::Uuid::now_v7().to_string();
            eprintln!("key {generated}");
            generated
        });
        let idempotent = matches.get_flag("idempotent").to_string();
        let deadline = matches.get_one::<u64>("deadline-ms").map(u64::to_string);
        let mut headers =
            vec![("idempotency-key", key.as_str()), ("eelgrassvalve-idempotent", &idempotent)];
        if let Some(deadline) = &deadline {
            headers.push(("eelgrassvalve-deadline-ms", deadline));
        }
        let client = remote::caller_client(matches);
        let path = format!("/v1/requests/{kind}");
        let answer = block_on(client.send(Method::POST, &path, &headers, payload.into()))?;
        if !answer.status.is_success() {
            return Err(answer.error().into());
        }
        std::io::stdout().write_all(&answer.body).into_diagnostic()?;
        Ok(ExitCode::SUCCESS)
    }
}
