//! `eelgrassvalved token`: prints the digest of a bearer token.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use miette::IntoDiagnostic;

use super::Run;
use crate::entry::token::digest;

/// Prints the digest of a bearer token for the token file.
pub(super) struct Token;

impl Run for Token {
    fn command(&self) -> Command {
        Command::new("token")
            .about("Reads a token from standard input and prints its SHA-256 for the token file")
            .after_help("Example:\n  printf %s \"$TOKEN\" | eelgrassvalved token")
    }

    fn run(&self, _matches: &ArgMatches) -> super::Result {
        let text = std::io::read_to_string(std::io::stdin()).into_diagnostic()?;
        let token = text.trim_end_matches(['\r', '\n']);
        let is_visible_ascii = token.bytes().all(|byte| byte.is_ascii_graphic());
        if token.is_empty() || !is_visible_ascii {
            miette::bail!("a token must be one or more visible ASCII characters");
        }
        println!("{}", digest(token));
        Ok(ExitCode::SUCCESS)
    }
}
