//! `eelgrassvalve members`.

use clap::{Arg, ArgMatches, Command};
use http::Method;

use super::{Subcommand, block_on, output, remote};
use crate::control::status::Member;
use crate::entry::operator::{Named, Text};

/// Lists, adds and removes control members.
pub(super) struct Members;

impl Subcommand for Members {
    fn command(&self) -> Command {
        let name = Arg::new("name").required(true).help("Name of a linked control daemon");
        let id = Arg::new("id").required(true).help("Identity, as listed");
        Command::new("members")
            .about("Control members; without a subcommand, lists them")
            .subcommand(Command::new("add").about("Adds a daemon and makes it a voter").arg(name))
            .subcommand(Command::new("remove").about("Removes a member").arg(id))
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        match matches.subcommand() {
            Some(("add", sub)) => {
                let name = sub.get_one::<String>("name").expect("is required").clone();
                let named = Named { name };
                let client = remote::operators(sub);
                let sent = client.json(Method::POST, "/v1/members", &[], Some(&named));
                let text: Text = block_on(sent)?;
                output::print(sub, &text)
            }
            Some((_, sub)) => {
                let id = sub.get_one::<String>("id").expect("is required");
                let path = format!("/v1/members/{id}");
                let client = remote::operators(sub);
                let sent = client.json(Method::DELETE, &path, &[], None::<&()>);
                let text: Text = block_on(sent)?;
                output::print(sub, &text)
            }
            None => {
                let members: Vec<Member> = block_on(remote::operators(matches).get("/v1/members"))?;
                output::print(matches, &members)
            }
        }
    }
}
