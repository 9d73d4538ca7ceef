//! `eelgrassvalved check`.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use super::Subcommand;
use super::serve::{settings, settings_arg};

/// Checks a settings file.
pub(super) struct Check;

impl Subcommand for Check {
    fn command(&self) -> Command {
        Command::new("check")
            .about("Checks a settings file and names every fault")
            .arg(settings_arg())
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let settings = settings(matches)?;
        println!("{}: the settings are valid", settings.name);
        Ok(ExitCode::SUCCESS)
    }
}
