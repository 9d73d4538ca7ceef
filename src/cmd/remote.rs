//! Arguments that say which daemon to talk to.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, value_parser};

use crate::client::Client;

/// Arguments of every subcommand of the tool.
pub(super) fn args() -> [Arg; 4] {
    let address = |name: &'static str, variable: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .env(variable)
            .value_name("IP:PORT")
            .value_parser(value_parser!(SocketAddr))
            .default_value(default)
            .global(true)
    };
    [
        address("callers", "EELGRASSVALVE_CALLERS", "127.0.0.1:7001").help("Callers' listener"),
        address("operators", "EELGRASSVALVE_OPERATORS", "127.0.0.1:7002")
            .help("Operators' listener"),
        Arg::new("token")
            .long("token")
            .env("EELGRASSVALVE_TOKEN")
            .hide_env_values(true)
            .value_name("TOKEN")
            .global(true)
            .help("Bearer token"),
        Arg::new("output")
            .long("output")
            .value_name("FORM")
            .value_parser(["table", "json"])
            .default_value("table")
            .global(true)
            .help("Form of what is printed"),
    ]
}

/// Client of the callers' listener.
pub(super) fn callers(matches: &ArgMatches) -> Client {
    client(matches, "callers")
}

/// Client of the operators' listener.
pub(super) fn operators(matches: &ArgMatches) -> Client {
    client(matches, "operators")
}

fn client(matches: &ArgMatches, listener: &str) -> Client {
    let address: &SocketAddr = matches.get_one(listener).expect("has a default");
    let token = matches.get_one::<String>("token").map(String::as_str);
    Client::new(*address, token)
}
