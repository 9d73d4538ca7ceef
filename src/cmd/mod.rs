//! Subcommands of the daemon and of the tool, one file each, behind [`Subcommand`].

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

/// Result of a subcommand; the code tells the verdict.
pub type Result = miette::Result<ExitCode>;

/// A subcommand.
pub trait Subcommand: Sync {
    /// Its name and arguments.
    fn command(&self) -> Command;

    /// Runs it.
    ///
    /// # Errors
    /// Whatever a person should read.
    fn run(&self, matches: &ArgMatches) -> Result;
}

/// Exit code for faults of the input.
const USAGE: u8 = 2;

const DAEMON_HELP: &str = "\
First start of a cluster, on one control host only:
  eelgrassvalved check --settings host-1.toml
  eelgrassvalved bootstrap --settings host-1.toml
  eelgrassvalved serve --settings host-1.toml
Every other host only serves; `eelgrassvalve members add NAME` makes it a voter.
SIGTERM asks for a planned stop. EELGRASSVALVE_LOG filters the log, as in info,decision=off.";

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
  1  ran, but failed or its answer is gone; `job wait`: the job did not finish
  2  the arguments or a file are at fault; `config check`: the document has faults
  3  not run: it is safe to send again
  4  may have run: send again only under the same key";

/// The daemon's command line.
pub fn build_daemon() -> Program {
    Program {
        name: "eelgrassvalved",
        about: "Daemon of eelgrassvalve, a scheduler for multi-accelerator jobs",
        help: DAEMON_HELP,
        remote: false,
        commands: vec![
            Box::new(serve::Serve),
            Box::new(serve::Bootstrap),
            Box::new(check::Check),
            Box::new(token::Token),
            Box::new(completions::Completions { of: build_daemon }),
        ],
    }
}

/// The tool's command line.
pub fn build_tool() -> Program {
    Program {
        name: "eelgrassvalve",
        about: "Drives eelgrassvalve: configuration, jobs, requests and status",
        help: TOOL_HELP,
        remote: true,
        commands: vec![
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
            Box::new(completions::Completions { of: build_tool }),
        ],
    }
}

/// A program: its name and subcommands.
pub struct Program {
    name: &'static str,
    about: &'static str,
    help: &'static str,
    remote: bool,
    commands: Vec<Box<dyn Subcommand>>,
}

impl Program {
    /// Its clap command.
    pub fn command(&self) -> Command {
        let mut command = Command::new(self.name)
            .about(self.about)
            .after_help(self.help)
            .version(env!("CARGO_PKG_VERSION"))
            .subcommand_required(true)
            .arg_required_else_help(true);
        if self.remote {
            command = command.args(remote::args());
        }
        for sub in &self.commands {
            command = command.subcommand(sub.command());
        }
        command
    }

    /// Parses the arguments and runs a subcommand.
    pub fn main(&self) -> ExitCode {
        let matches = self.command().get_matches();
        let Some((name, sub)) = matches.subcommand() else { return ExitCode::from(USAGE) };
        let found = self.commands.iter().find(|command| command.command().get_name() == name);
        let Some(command) = found else { return ExitCode::from(USAGE) };
        match command.run(sub) {
            Ok(code) => code,
            Err(report) => fail(&report),
        }
    }
}

// The verdict of a typed error is the exit code.
fn fail(report: &miette::Report) -> ExitCode {
    eprintln!("{report:?}");
    match report.downcast_ref::<Error>() {
        Some(error) => ExitCode::from(error.verdict.exit_code().max(1)),
        None => ExitCode::from(USAGE),
    }
}

// Runs a future on a runtime of its own.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be started");
    runtime.block_on(future)
}
