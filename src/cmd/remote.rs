//! Arguments that select the daemon to call, and the clients built from them.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, value_parser};

use crate::client::Client;

/// Returns the global arguments of the tool, which all of its subcommands accept.
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
        address("callers", "EELGRASSVALVE_CALLERS", "127.0.0.1:7001")
            .help("Address of the callers' listener"),
        address("operators", "EELGRASSVALVE_OPERATORS", "127.0.0.1:7002")
            .help("Address of the operators' listener"),
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
            .help("Output format"),
    ]
}

/// Creates a client of the callers' listener.
pub(super) fn caller_client(matches: &ArgMatches) -> Client {
    create_client(matches, "callers")
}

/// Creates a client of the operators' listener.
pub(super) fn operator_client(matches: &ArgMatches) -> Client {
    create_client(matches, "operators")
}

fn create_client(matches: &ArgMatches, listener: &str) -> Client {
    let address: &SocketAddr = matches.get_one(listener).expect("the argument has a default value");
    let token = matches.get_one::<String>("token").map(String::as_str);
    Client::new(*address, token)
}
