//! Scripts of the third review: `stand-in CASE FOLDER` starts a small deployment, plays one case and writes
//! `record.txt` in the folder. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.

mod config;
mod crash_loop;
mod foreign_job;
mod hopeless;
mod host_case;
mod http;
mod json;
mod moved_queue;
mod record;
mod reserved;
mod runner;
mod same_shape;
mod scene;
mod small_tasks;
mod system;
mod two_queues;

use std::panic::AssertUnwindSafe;
use std::process::ExitCode;

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: stand-in CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    if !system::is_built() {
        eprintln!("build the deploy file first");
        return ExitCode::from(2);
    }
    let record = record::Record::create(folder);
    record.line(&format!("case {case}, TROUBLE={}", u8::from(has_trouble)));
    let play = || play(case, &record, has_trouble);
    // A stand-in that fails says nothing of the rule.
    let outcome = std::panic::catch_unwind(AssertUnwindSafe(play)).unwrap_or(Outcome::CouldNotRun);
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held"),
        Outcome::Broken => (1, "the rule was broken"),
        Outcome::CouldNotRun => (2, "the case couldn't run"),
    };
    record.line(text);
    ExitCode::from(code)
}

fn play(case: &str, record: &record::Record, has_trouble: bool) -> Outcome {
    match case {
        "small-tasks" => small_tasks::run(record, has_trouble),
        "foreign-job" => foreign_job::run(record, has_trouble),
        "two-queues" => two_queues::run(record, has_trouble),
        "reserved" => reserved::run(record, has_trouble),
        "crash-loop" => crash_loop::run(record, has_trouble),
        "hopeless" => hopeless::run(record, has_trouble),
        "same-shape" => same_shape::run(record, has_trouble),
        "moved-queue" => moved_queue::run(record, has_trouble),
        "host-case" => host_case::run(record, has_trouble),
        _ => Outcome::CouldNotRun,
    }
}
