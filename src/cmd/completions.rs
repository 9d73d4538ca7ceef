//! `completions`: prints a shell completion script.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use super::{Program, Run};

/// Prints a completion script for a shell.
pub(super) struct Completions {
    /// Builds the program that the script completes.
    pub(super) build_program: fn() -> Program,
}

impl Run for Completions {
    fn command(&self) -> Command {
        Command::new("completions")
            .about("Prints a completion script for a shell")
            .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell)))
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let shell: &Shell = matches.get_one("shell").expect("the argument is required");
        let program = (self.build_program)();
        clap_complete::generate(
            *shell,
            &mut program.command(),
            program.name,
            &mut std::io::stdout(),
        );
        Ok(ExitCode::SUCCESS)
    }
}
