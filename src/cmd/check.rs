//! `eelgrassvalved check`: validates a settings file.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use super::Run;
use super::serve::{load_settings, settings_arg};

/// Validates a settings file.
pub(super) struct Check;

impl Run for Check {
    fn command(&self) -> Command {
        Command::new("check")
            .about("Validates a settings file and lists every error")
            .arg(settings_arg())
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let settings = load_settings(matches)?;
        println!("{}: the settings are valid", settings.name);
        Ok(ExitCode::SUCCESS)
    }
}
