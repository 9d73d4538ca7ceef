//! `eelgrassvalve explain`: merges the log lines of several processes about one job or request.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use miette::{IntoDiagnostic, WrapErr};
use serde_json::{Map, Value};

use super::Run;

/// Prints the log lines of several processes about one ID in order of time.
pub(super) struct Explain;

/// Messages of log lines that decide the outcome of a job or request, last decision first.
/// The messages must equal those that the dispatcher and the node log.
const DECIDING_MESSAGES: [&str; 4] = ["job ended", "job cancelled", "request refused", "placement"];

/// A parsed log line.
#[derive(Debug, PartialEq)]
pub struct Line {
    /// Time at which the line was written, as in the log.
    pub timestamp: String,
    /// Process that wrote the line: the last word before the JSON, as log collectors add it,
    /// or else the name of the file.
    pub process: String,
    /// Message of the line.
    pub message: String,
    /// Fields other than the timestamp, the message, the level and the target.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses one line of a log; `None` if it contains no JSON object.
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let json_start = text.find('{')?;
        let Value::Object(mut fields) = serde_json::from_str(&text[json_start..]).ok()? else {
            return None;
        };
        let mut take = |key: &str| match fields.remove(key) {
            Some(Value::String(text)) => text,
            Some(other) => other.to_string(),
            None => String::new(),
        };
        let (timestamp, message) = (take("timestamp"), take("message"));
        take("level");
        take("target");
        let process = text[..json_start].split_whitespace().next_back().unwrap_or(file);
        Some(Self { timestamp, process: process.into(), message, fields })
    }
}

/// Returns the lines that contain an ID, in order of time. `logs` are pairs of a file name and the
/// text of the file.
pub fn find_lines(id: &str, logs: &[(String, String)]) -> Vec<Line> {
    let mut found = Vec::new();
    for (file, text) in logs {
        for line in text.lines() {
            if !line.contains(id) {
                continue;
            }
            found.extend(Line::parse(line, file));
        }
    }
    found.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
    found
}

/// Returns the line that decided the outcome of the job or request.
pub fn find_deciding_line(lines: &[Line]) -> Option<&Line> {
    let find_last = |message: &&str| lines.iter().rev().find(|line| line.message == **message);
    DECIDING_MESSAGES.iter().find_map(find_last)
}

impl Run for Explain {
    fn command(&self) -> Command {
        let id = Arg::new("id")
            .required(true)
            .help("Id of a job or task, or a path, as written in the logs");
        let logs = Arg::new("logs")
            .long("logs")
            .value_name("FILE")
            .required(true)
            .num_args(1..)
            .action(ArgAction::Append)
            .value_parser(value_parser!(PathBuf));
        Command::new("explain")
            .about("Prints the log lines of all processes about one job in order of time")
            .arg(id)
            .arg(logs.help("Log files of the processes, in JSON lines"))
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let id: &String = matches.get_one("id").expect("the argument is required");
        let mut logs = Vec::new();
        for path in matches.get_many::<PathBuf>("logs").expect("the argument is required") {
            let text = std::fs::read_to_string(path).into_diagnostic();
            let text = text.wrap_err_with(|| format!("cannot read log file {}", path.display()))?;
            logs.push((path.file_stem().unwrap_or_default().to_string_lossy().into_owned(), text));
        }
        let lines = find_lines(id, &logs);
        if lines.is_empty() {
            eprintln!("no line of these logs contains {id}");
            return Ok(ExitCode::from(1));
        }
        for line in &lines {
            print_line(line);
        }
        if let Some(line) = find_deciding_line(&lines) {
            println!();
            print!("decided by: ");
            print_line(line);
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn print_line(line: &Line) {
    let fields: Vec<String> =
        line.fields.iter().map(|(key, value)| format!("{key}={value}")).collect();
    println!("{} {} {}: {}", line.timestamp, line.process, line.message, fields.join(" "));
}
