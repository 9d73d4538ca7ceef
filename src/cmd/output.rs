//! Prints values as a table or as JSON.

use std::process::ExitCode;

use clap::ArgMatches;
use serde::Serialize;
use serde_json::Value;

/// Prints a value in the format of the `output` argument.
pub(super) fn print<T: Serialize>(matches: &ArgMatches, value: &T) -> super::Result {
    let value = serde_json::to_value(value).unwrap_or(Value::Null);
    let is_json = matches.get_one::<String>("output").is_some_and(|format| format == "json");
    if is_json {
        println!("{value:#}");
    } else {
        print!("{}", format_table(&value));
    }
    Ok(ExitCode::SUCCESS)
}

/// Formats a list of objects as a table with one column per field, and an object as rows of key and
/// value, followed by a table for each list of objects in it.
pub(super) fn format_table(value: &Value) -> String {
    match value {
        Value::Array(items) => format_list(items),
        Value::Object(_) => format_object(value),
        other => format!("{}\n", format_cell(other)),
    }
}

fn format_object(value: &Value) -> String {
    let mut fields = Vec::new();
    flatten_fields("", value, &mut fields);
    let mut rows = Vec::new();
    let mut nested_tables = String::new();
    for (key, field) in fields {
        match field {
            Value::Array(items) if items.iter().any(Value::is_object) => {
                nested_tables.push_str(&format!("\n{key}:\n{}", format_list(items)));
            }
            field => rows.push(vec![key, format_cell(field)]),
        }
    }
    align_columns(&rows) + &nested_tables
}

fn format_list(items: &[Value]) -> String {
    if items.is_empty() {
        return "none\n".into();
    }
    let mut keys: Vec<String> = Vec::new();
    let mut fields_by_item = Vec::new();
    for item in items {
        let mut fields = Vec::new();
        flatten_fields("", item, &mut fields);
        for (key, _) in &fields {
            if !keys.contains(key) {
                keys.push(key.clone());
            }
        }
        fields_by_item.push(fields);
    }
    // The column that identifies a row comes first.
    keys.sort_by_key(|key| !matches!(key.as_str(), "id" | "name"));
    let mut rows = vec![build_headings(&keys)];
    for fields in fields_by_item {
        let mut row = Vec::new();
        for key in &keys {
            let found = fields.iter().find(|(name, _)| name == key);
            row.push(found.map_or("-".into(), |(_, field)| format_cell(field)));
        }
        rows.push(row);
    }
    align_columns(&rows)
}

// A heading is the last segment of the field's path, or the whole path where several columns share
// the last segment.
fn build_headings(keys: &[String]) -> Vec<String> {
    let last_segment = |key: &str| key.rsplit('.').next().unwrap_or("").to_uppercase();
    let mut headings = Vec::new();
    for key in keys {
        let short = last_segment(key);
        let same_count = keys.iter().filter(|other| last_segment(other) == short).count();
        headings.push(if same_count > 1 { key.to_uppercase() } else { short });
    }
    headings
}

fn flatten_fields<'a>(prefix: &str, value: &'a Value, fields: &mut Vec<(String, &'a Value)>) {
    let Value::Object(members) = value else {
        fields.push((prefix.into(), value));
        return;
    };
    for (key, field) in members {
        let path = if prefix.is_empty() { key.clone() } else { format!("{prefix}.{key}") };
        flatten_fields(&path, field, fields);
    }
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            format!("{} items", items.len())
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().map(format_cell).collect();
            if texts.is_empty() { "none".into() } else { texts.join(",") }
        }
        other => other.to_string(),
    }
}

fn align_columns(rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = Vec::new();
    for row in rows {
        for (column, text) in row.iter().enumerate() {
            if column == widths.len() {
                widths.push(0);
            }
            widths[column] = widths[column].max(text.chars().count());
        }
    }
    let mut output = String::new();
    for row in rows {
        let mut line = String::new();
        for (text, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{text:<width$}  "));
        }
        output.push_str(line.trim_end());
        output.push('\n');
    }
    output
}
