//! `eelgrassvalve members`: lists, adds and removes control members.

use clap::{Arg, ArgMatches, Command};
use http::Method;

use super::{Run, block_on, output, remote};
use crate::control::status::Member;
use crate::entry::operator::{self, Message};

/// Lists, adds and removes control members.
pub(super) struct Members;

impl Run for Members {
    fn command(&self) -> Command {
        let name = Arg::new("name")
            .required(true)
            .help("Name of a control daemon that is connected to the cluster");
        let id = Arg::new("id").required(true).help("Identity of the member, as listed");
        Command::new("members")
            .about("Lists the control members; subcommands add and remove them")
            .subcommand(
                Command::new("add")
                    .about("Adds a daemon as a member and makes it a voter")
                    .arg(name),
            )
            .subcommand(Command::new("remove").about("Removes a member").arg(id))
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        match matches.subcommand() {
            Some(("add", sub_matches)) => {
                let name = sub_matches
                    .get_one::<String>("name")
                    .expect("the argument is required")
                    .clone();
                let request = operator::Member { name };
                let client = remote::operator_client(sub_matches);
                let response = client.json(Method::POST, "/v1/members", &[], Some(&request));
                let text: Message = block_on(response)?;
                output::print(sub_matches, &text)
            }
            Some((_, sub_matches)) => {
                let id = sub_matches.get_one::<String>("id").expect("the argument is required");
                let path = format!("/v1/members/{id}");
                let client = remote::operator_client(sub_matches);
                let response = client.json(Method::DELETE, &path, &[], None::<&()>);
                let text: Message = block_on(response)?;
                output::print(sub_matches, &text)
            }
            None => {
                let members: Vec<Member> =
                    block_on(remote::operator_client(matches).get("/v1/members"))?;
                output::print(matches, &members)
            }
        }
    }
}
