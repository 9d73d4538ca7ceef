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

/// A list of objects as columns; an object as rows of key and value, its lists below.
pub(super) fn table(value: &Value) -> String {
    match value {
        Value::Array(items) => columns(items),
        Value::Object(_) => sections(value),
        other => format!("{}\n", cell(other)),
    }
}

fn sections(value: &Value) -> String {
    let mut fields = Vec::new();
    flatten("", value, &mut fields);
    let mut rows = Vec::new();
    let mut lists = String::new();
    for (key, field) in fields {
        match field {
            Value::Array(items) if items.iter().any(Value::is_object) => {
                lists.push_str(&format!("\n{key}:\n{}", columns(items)));
            }
            field => rows.push(vec![key, cell(field)]),
        }
    }
    align(&rows) + &lists
}

fn columns(items: &[Value]) -> String {
    if items.is_empty() {
        return "none\n".into();
    }
    let mut keys: Vec<String> = Vec::new();
    let mut lines = Vec::new();
    for item in items {
        let mut fields = Vec::new();
        flatten("", item, &mut fields);
        for (key, _) in &fields {
            if !keys.contains(key) {
                keys.push(key.clone());
            }
        }
        lines.push(fields);
    }
    // What names a row goes first.
    keys.sort_by_key(|key| !matches!(key.as_str(), "id" | "name"));
    let mut rows = vec![headings(&keys)];
    for fields in lines {
        let mut row = Vec::new();
        for key in &keys {
            let found = fields.iter().find(|(name, _)| name == key);
            row.push(found.map_or("-".into(), |(_, field)| cell(field)));
        }
        rows.push(row);
    }
    align(&rows)
}

// The last step of a path is enough where no other column ends alike.
fn headings(keys: &[String]) -> Vec<String> {
    let last = |key: &str| key.rsplit('.').next().unwrap_or("").to_uppercase();
    let mut headings = Vec::new();
    for key in keys {
        let short = last(key);
        let alike = keys.iter().filter(|other| last(other) == short).count();
        headings.push(if alike > 1 { key.to_uppercase() } else { short });
    }
    headings
}

fn flatten<'a>(prefix: &str, value: &'a Value, fields: &mut Vec<(String, &'a Value)>) {
    let Value::Object(inner) = value else {
        fields.push((prefix.into(), value));
        return;
    };
    for (key, field) in inner {
        let path = if prefix.is_empty() { key.clone() } else { format!("{prefix}.{key}") };
        flatten(&path, field, fields);
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            format!("{} items", items.len())
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().map(cell).collect();
            if texts.is_empty() { "none".into() } else { texts.join(",") }
        }
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
