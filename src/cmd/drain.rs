//! `eelgrassvalve drain`.

use clap::{Arg, ArgAction, ArgMatches, Command};
use http::Method;

use super::{Subcommand, block_on, output, remote};
use crate::entry::operator::{Drain as Wanted, Text};

/// Keeps new work away from a worker or upstream.
pub(super) struct Drain;

impl Subcommand for Drain {
    fn command(&self) -> Command {
        let what = Arg::new("what").required(true).value_parser(["worker", "upstream"]);
        let id = Arg::new("id").required(true).help("Its name");
        let undo = Arg::new("undo")
            .long("undo")
            .action(ArgAction::SetTrue)
            .help("Ends the drain of a worker");
        Command::new("drain")
            .about("Keeps new work away from a worker or upstream")
            .args([what, id, undo])
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let what = matches.get_one::<String>("what").expect("is required");
        let id = matches.get_one::<String>("id").expect("is required");
        let wanted = Wanted { draining: !matches.get_flag("undo") };
        let path = format!("/v1/{what}s/{id}/drain");
        let client = remote::operators(matches);
        let text: Text = block_on(client.json(Method::POST, &path, &[], Some(&wanted)))?;
        output::print(matches, &text)
    }
}
