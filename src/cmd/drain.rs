//! `eelgrassvalve drain`: drains a worker or an upstream.

use clap::{Arg, ArgAction, ArgMatches, Command};
use http::Method;

use super::{Run, block_on, output, remote};
use crate::entry::operator::{Drain as DrainRequest, Message};

/// Drains a worker or an upstream, so that it receives no new work.
pub(super) struct Drain;

impl Run for Drain {
    fn command(&self) -> Command {
        let what = Arg::new("what").required(true).value_parser(["worker", "upstream"]);
        let id = Arg::new("id").required(true).help("Name of the worker or upstream");
        let undo = Arg::new("undo")
            .long("undo")
            .action(ArgAction::SetTrue)
            .help("Ends the drain of a worker");
        Command::new("drain")
            .about("Drains a worker or an upstream, so that it receives no new work")
            .args([what, id, undo])
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let what = matches.get_one::<String>("what").expect("the argument is required");
        let id = matches.get_one::<String>("id").expect("the argument is required");
        let request = DrainRequest { draining: !matches.get_flag("undo") };
        let path = format!("/v1/{what}s/{id}/drain");
        let client = remote::operator_client(matches);
        let text: Message = block_on(client.json(Method::POST, &path, &[], Some(&request)))?;
        output::print(matches, &text)
    }
}
