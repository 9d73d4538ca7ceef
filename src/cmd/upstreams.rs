//! `eelgrassvalve upstreams`: lists the upstreams known to an entry.

use clap::{ArgMatches, Command};

use super::{Run, block_on, output, remote};
use crate::routing::upstream::Status;

/// Lists the upstreams known to the entry that answers.
pub(super) struct Upstreams;

impl Run for Upstreams {
    fn command(&self) -> Command {
        Command::new("upstreams").about("Lists the upstreams known to the entry that answers")
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let upstreams: Vec<Status> =
            block_on(remote::operator_client(matches).get("/v1/upstreams"))?;
        output::print(matches, &upstreams)
    }
}
