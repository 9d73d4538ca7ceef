//! Entry point of the daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    eelgrassvalve::kernel::memory::release_large_blocks();
    eelgrassvalve::cmd::build_daemon().main()
}
