//! `eelgrassvalve status` and `workers`: print the state of the cluster and of its workers.

use clap::{ArgMatches, Command};

use super::{Run, block_on, output, remote};
use crate::control::status;

/// Prints the state of the cluster.
pub(super) struct Status;

/// Lists the workers.
pub(super) struct Workers;

impl Run for Status {
    fn command(&self) -> Command {
        Command::new("status").about("Prints the state of the cluster")
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let cluster: status::Cluster =
            block_on(remote::operator_client(matches).get("/v1/status"))?;
        output::print(matches, &cluster)
    }
}

impl Run for Workers {
    fn command(&self) -> Command {
        Command::new("workers").about("Lists the workers")
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let workers: Vec<status::Worker> =
            block_on(remote::operator_client(matches).get("/v1/workers"))?;
        output::print(matches, &workers)
    }
}
