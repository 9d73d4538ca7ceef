//! Command lines of the daemon and of the tool. Each subcommand implements [`Run`].

mod check;
mod completions;
mod config;
mod drain;
pub mod explain;
mod job;
mod listing;
mod load;
mod members;
mod output;
mod remote;
mod request;
mod serve;
mod token;
mod upstreams;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::error::Error;

/// Result of a subcommand. On success it holds the exit code of the process.
pub type Result = miette::Result<ExitCode>;

/// Implemented by each subcommand of the daemon and of the tool.
pub trait Run: Sync {
    /// Returns the clap definition: name, help and arguments.
    fn command(&self) -> Command;

    /// Runs the subcommand with its parsed arguments.
    ///
    /// # Errors
    /// Any failure, as a report for the user.
    fn run(&self, matches: &ArgMatches) -> Result;
}

/// Exit code for invalid arguments or input files.
const EXIT_USAGE: u8 = 2;

const DAEMON_HELP: &str = "\
First start of a cluster, on one control host only:
  eelgrassvalved check --settings host-1.toml
  eelgrassvalved bootstrap --settings host-1.toml
  eelgrassvalved serve --settings host-1.toml
On every other host, run only `serve`; `eelgrassvalve members add NAME` makes it a voter.
SIGTERM starts a graceful shutdown. EELGRASSVALVE_LOG sets the log filter, for example
info,decision=off.";

const TOOL_HELP: &str = "\
Examples:
  eelgrassvalve --operators 10.0.0.1:7002 status
  eelgrassvalve config get --output json
  eelgrassvalve config apply config.json
  eelgrassvalve job submit job.json --key night-1
  eelgrassvalve job wait kochi-dispatch.night-1
  eelgrassvalve request plan 'round 7' --key round-7

Exit codes:
  0  ran: the answer is on standard output
  1  ran, but failed or its answer is lost; `job wait`: the job did not finish
  2  an argument or a file is invalid; `config check`: the document has faults
  3  not run: it is safe to send again
  4  may have run: send again only under the same key";

/// Builds the command line of the daemon.
pub fn build_daemon() -> Program {
    Program {
        name: "eelgrassvalved",
        about: "Daemon of eelgrassvalve, a scheduler for multi-accelerator jobs",
        after_help: DAEMON_HELP,
        is_remote: false,
        subcommands: vec![
            Box::new(serve::Serve),
            Box::new(serve::Bootstrap),
            Box::new(check::Check),
            Box::new(token::Token),
            Box::new(completions::Completions { build_program: build_daemon }),
        ],
    }
}

/// Builds the command line of the tool.
pub fn build_tool() -> Program {
    Program {
        name: "eelgrassvalve",
        about: "Command-line client of eelgrassvalve: configuration, jobs, requests and status",
        after_help: TOOL_HELP,
        is_remote: true,
        subcommands: vec![
            Box::new(config::Config),
            Box::new(listing::Status),
            Box::new(listing::Workers),
            Box::new(upstreams::Upstreams),
            Box::new(members::Members),
            Box::new(job::Job),
            Box::new(request::Request),
            Box::new(load::Load),
            Box::new(drain::Drain),
            Box::new(explain::Explain),
            Box::new(completions::Completions { build_program: build_tool }),
        ],
    }
}

/// The command line of a program.
pub struct Program {
    name: &'static str,
    about: &'static str,
    after_help: &'static str,
    is_remote: bool,
    subcommands: Vec<Box<dyn Run>>,
}

impl Program {
    /// Builds the clap command with all subcommands.
    pub fn command(&self) -> Command {
        let mut command = Command::new(self.name)
            .about(self.about)
            .after_help(self.after_help)
            .version(env!("CARGO_PKG_VERSION"))
            .subcommand_required(true)
            .arg_required_else_help(true);
        if self.is_remote {
            command = command.args(remote::args());
        }
        for subcommand in &self.subcommands {
            command = command.subcommand(subcommand.command());
        }
        command
    }

    /// Parses the arguments of the process and runs the selected subcommand.
    pub fn main(&self) -> ExitCode {
        let matches = self.command().get_matches();
        let Some((name, args)) = matches.subcommand() else { return ExitCode::from(EXIT_USAGE) };
        let found =
            self.subcommands.iter().find(|candidate| candidate.command().get_name() == name);
        let Some(subcommand) = found else { return ExitCode::from(EXIT_USAGE) };
        match subcommand.run(args) {
            Ok(code) => code,
            Err(report) => print_failure(&report),
        }
    }
}

// Prints a report and returns the exit code. A typed error gives the exit code of its verdict, or 1
// if the verdict is `ran`; any other error counts as invalid input.
fn print_failure(report: &miette::Report) -> ExitCode {
    eprintln!("{report:?}");
    match report.downcast_ref::<Error>() {
        Some(error) => ExitCode::from(error.verdict.exit_code().max(1)),
        None => ExitCode::from(EXIT_USAGE),
    }
}

// Runs a future on a new runtime.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Runtime::new().expect("the Tokio runtime starts");
    runtime.block_on(future)
}
