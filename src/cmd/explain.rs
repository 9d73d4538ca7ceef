//! `eelgrassvalve explain`: the lines of all logs about one job or request, in order.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use miette::{IntoDiagnostic, WrapErr};
use serde_json::{Map, Value};

use super::Subcommand;

/// Puts log lines of several processes about one id in order.
pub(super) struct Explain;

/// Messages of lines that decide what becomes of a job, the last one first.
const DECIDING: [&str; 4] = ["job ended", "job cancelled", "request refused", "placement"];

/// A log line.
#[derive(Debug, PartialEq)]
pub struct Line {
    /// When it was written.
    pub timestamp: String,
    /// Process that wrote it: what stands before the JSON in a collected log, else the file's name.
    pub process: String,
    /// Message.
    pub message: String,
    /// Its other fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads one line of a log; `None` where it is no JSON.
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let begin = text.find('{')?;
        let Value::Object(mut fields) = serde_json::from_str(&text[begin..]).ok()? else {
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
        let before = text[..begin].split_whitespace().next_back().unwrap_or(file);
        Some(Self { timestamp, process: before.into(), message, fields })
    }
}

/// The lines about an id, in order of time.
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

/// The line that decided what became of the id.
pub fn find_deciding_line(lines: &[Line]) -> Option<&Line> {
    let last = |message: &&str| lines.iter().rev().find(|line| line.message == **message);
    DECIDING.iter().find_map(last)
}

impl Subcommand for Explain {
    fn command(&self) -> Command {
        let id = Arg::new("id").required(true).help("Job, task or path, as it stands in the logs");
        let logs = Arg::new("logs")
            .long("logs")
            .value_name("FILE")
            .required(true)
            .num_args(1..)
            .action(ArgAction::Append)
            .value_parser(value_parser!(PathBuf));
        Command::new("explain")
            .about("Puts the log lines of all processes about one job in order")
            .arg(id)
            .arg(logs.help("Logs of the processes, as JSON lines"))
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let id: &String = matches.get_one("id").expect("is required");
        let mut logs = Vec::new();
        for path in matches.get_many::<PathBuf>("logs").expect("is required") {
            let text = std::fs::read_to_string(path).into_diagnostic();
            let text = text.wrap_err_with(|| format!("log {}", path.display()))?;
            logs.push((path.file_stem().unwrap_or_default().to_string_lossy().into_owned(), text));
        }
        let lines = find_lines(id, &logs);
        if lines.is_empty() {
            eprintln!("no line of these logs is about {id}");
            return Ok(ExitCode::from(1));
        }
        for line in &lines {
            print(line);
        }
        if let Some(line) = find_deciding_line(&lines) {
            println!();
            print!("decided by: ");
            print(line);
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn print(line: &Line) {
    let fields: Vec<String> =
        line.fields.iter().map(|(key, value)| format!("{key}={value}")).collect();
    println!("{} {} {}: {}", line.timestamp, line.process, line.message, fields.join(" "));
}
