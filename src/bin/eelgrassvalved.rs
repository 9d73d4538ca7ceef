//! Entry point of the daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    eelgrassvalve::cmd::build_daemon().main()
}
