//! The daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    eelgrassvalve::cmd::daemon().main()
}
