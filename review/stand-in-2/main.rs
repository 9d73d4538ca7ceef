//! Runs one case of the review: `case NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod cluster;
mod http;
mod json;
mod record;
mod runner;

use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = arguments.as_slice() else {
        eprintln!("usage: case NAME RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(if is_troubled { "with the disruption" } else { "without the disruption" });
    let (text, code) = match cases::run(name, &record, is_troubled) {
        Ok(None) => ("the rule held".to_string(), 0),
        Ok(Some(breach)) => (format!("RULE BROKEN: {breach}"), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{name}: {text}");
    ExitCode::from(code)
}
