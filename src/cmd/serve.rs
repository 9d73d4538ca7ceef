//! `eelgrassvalved serve` and `bootstrap`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use miette::IntoDiagnostic;

use super::{Subcommand, block_on};
use crate::daemon::Daemon;
use crate::replica::store::Store;
use crate::settings::Settings;
use crate::telemetry;

/// Runs the daemon.
pub(super) struct Serve;

/// Makes an empty data folder the first voter of a new cluster.
pub(super) struct Bootstrap;

/// The argument that names the settings file.
pub(super) fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("Settings of the daemon, in TOML")
}

/// Reads the settings file that the arguments name.
pub(super) fn settings(matches: &ArgMatches) -> miette::Result<Settings> {
    let path: &PathBuf = matches.get_one("settings").expect("is required");
    Ok(Settings::load(path)?)
}

impl Subcommand for Serve {
    fn command(&self) -> Command {
        Command::new("serve").about("Runs the daemon until SIGTERM").arg(settings_arg())
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let settings = settings(matches)?;
        telemetry::start_log(settings.log);
        block_on(async {
            let daemon = Daemon::open(settings)?.start().await?;
            daemon.run().await
        })?;
        Ok(ExitCode::SUCCESS)
    }
}

impl Subcommand for Bootstrap {
    fn command(&self) -> Command {
        Command::new("bootstrap")
            .about("Makes an empty data folder the first voter of a new cluster")
            .arg(settings_arg())
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let settings = settings(matches)?;
        let Some(folder) = &settings.data_folder else {
            miette::bail!("the settings name no data folder");
        };
        let id = Store::bootstrap(folder, &settings.name).into_diagnostic()?;
        println!("{} is the first voter, with identity {id}", settings.name);
        Ok(ExitCode::SUCCESS)
    }
}
