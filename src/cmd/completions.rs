//! `completions`: a completion script for the shell.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use super::{Program, Subcommand};

/// Prints a completion script.
pub(super) struct Completions {
    /// The program to complete.
    pub(super) of: fn() -> Program,
}

impl Subcommand for Completions {
    fn command(&self) -> Command {
        Command::new("completions")
            .about("Prints a completion script for a shell")
            .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell)))
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let shell: &Shell = matches.get_one("shell").expect("is required");
        let tool = (self.of)();
        clap_complete::generate(*shell, &mut tool.command(), tool.name, &mut std::io::stdout());
        Ok(ExitCode::SUCCESS)
    }
}
