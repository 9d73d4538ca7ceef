//! Prints answers as a table or as JSON.

use std::process::ExitCode;

use clap::ArgMatches;
use serde::Serialize;
use serde_json::Value;

/// Prints a value in the form that was asked for.
pub(super) fn print<T: Serialize>(matches: &ArgMatches, value: &T) -> super::Result {
    let value = serde_json::to_value(value).unwrap_or(Value::Null);
    let is_json = matches.get_one::<String>("output").is_some_and(|form| form == "json");
    if is_json {
        println!("{value:#}");
    } else {
        print!("{}", table(&value));
    }
    Ok(ExitCode::SUCCESS)
}

/// A list of objects as columns, an object as rows of key and value.
pub(super) fn table(value: &Value) -> String {
    match value {
        Value::Array(items) => columns(items),
        Value::Object(fields) => {
            let mut rows = Vec::new();
            for (key, field) in fields {
                rows.push(vec![key.clone(), cell(field)]);
            }
            align(&rows)
        }
        other => format!("{}\n", cell(other)),
    }
}

fn columns(items: &[Value]) -> String {
    let mut rows = Vec::new();
    for item in items {
        let Value::Object(fields) = item else {
            rows.push(vec![cell(item)]);
            continue;
        };
        if rows.is_empty() {
            rows.push(fields.keys().map(|key| key.to_uppercase()).collect());
        }
        rows.push(fields.values().map(cell).collect());
    }
    align(&rows)
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

fn align(rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = Vec::new();
    for row in rows {
        for (at, text) in row.iter().enumerate() {
            if at == widths.len() {
                widths.push(0);
            }
            widths[at] = widths[at].max(text.chars().count());
        }
    }
    let mut out = String::new();
    for row in rows {
        let mut line = String::new();
        for (text, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{text:<width$}  "));
        }
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}
