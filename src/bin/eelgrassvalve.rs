//! Entry point of the command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    eelgrassvalve::cmd::build_tool().main()
}
