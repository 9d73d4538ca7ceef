//! `eelgrassvalved serve` and `bootstrap`: run the daemon, and create a cluster.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use miette::IntoDiagnostic;

use super::{Run, block_on};
use crate::daemon::Daemon;
use crate::replica::store::Store;
use crate::settings::Settings;
use crate::telemetry;

/// Runs the daemon until it receives a signal to stop.
pub(super) struct Serve;

/// Initializes an empty data folder as the first voter of a new cluster.
pub(super) struct Bootstrap;

/// Returns the argument for the path of the settings file.
pub(super) fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("Settings file of the daemon, in TOML")
}

/// Loads the settings file given in the arguments.
pub(super) fn load_settings(matches: &ArgMatches) -> miette::Result<Settings> {
    let path: &PathBuf = matches.get_one("settings").expect("the argument is required");
    Ok(Settings::load(path)?)
}

impl Run for Serve {
    fn command(&self) -> Command {
        Command::new("serve").about("Runs the daemon until SIGTERM").arg(settings_arg())
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let settings = load_settings(matches)?;
        telemetry::start_log(settings.log);
        block_on(async {
            let daemon = Daemon::open(settings)?.start().await?;
            daemon.run().await
        })?;
        Ok(ExitCode::SUCCESS)
    }
}

impl Run for Bootstrap {
    fn command(&self) -> Command {
        Command::new("bootstrap")
            .about("Initializes an empty data folder as the first voter of a new cluster")
            .arg(settings_arg())
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let settings = load_settings(matches)?;
        let Some(folder) = &settings.data_folder else {
            miette::bail!("the settings contain no data folder");
        };
        let id = Store::bootstrap(folder, &settings.name).into_diagnostic()?;
        println!("{} is the first voter, with identity {id}", settings.name);
        Ok(ExitCode::SUCCESS)
    }
}
