//! `eelgrassvalve upstreams`.

use clap::{ArgMatches, Command};

use super::{Subcommand, block_on, output, remote};
use crate::routing::upstream::Status;

/// Prints the upstreams that the asked entry knows.
pub(super) struct Upstreams;

impl Subcommand for Upstreams {
    fn command(&self) -> Command {
        Command::new("upstreams").about("Prints the upstreams that the asked entry knows")
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let rows: Vec<Status> = block_on(remote::operators(matches).get("/v1/upstreams"))?;
        output::print(matches, &rows)
    }
}
