//! Prints results for people or scripts.

use larkwick::tool::publish::Published;
use serde_json::Value;

/// How to print.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// One field a line.
    Text,
    /// Indented JSON.
    Json,
}

impl Format {
    /// From the flag `--json`.
    pub fn of(json: bool) -> Self {
        if json { Self::Json } else { Self::Text }
    }
}

/// Prints a JSON value.
pub fn print_value(value: &Value, format: Format) {
    match (format, value) {
        (Format::Text, Value::Object(fields)) => {
            for (name, field) in fields {
                print_field(name, field);
            }
        }
        (Format::Text, Value::Array(items)) => {
            for item in items {
                println!("{item}");
            }
        }
        _ => println!("{value:#}"),
    }
}

fn print_field(name: &str, field: &Value) {
    match field {
        Value::String(text) => println!("{name}: {text}"),
        Value::Array(items) => {
            println!("{name}:");
            for item in items {
                println!("  {item}");
            }
        }
        other => println!("{name}: {other}"),
    }
}

/// Prints what became of a publish.
pub fn print_published(published: &Published, format: Format) {
    if format == Format::Json {
        match serde_json::to_string(published) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("larkwick: {error}"),
        }
        return;
    }
    match published {
        Published::Accepted { publish_id, offset } => {
            println!("accepted: {publish_id} at offset {offset}");
        }
        Published::NothingToChange => println!("nothing to change"),
        Published::Rejected {
            publish_id,
            verdict,
        } => println!("rejected: {publish_id}: {verdict:?}"),
        Published::NotPublished { why } => println!("nothing published: {why}; try again"),
        Published::Unknown { publish_id } => {
            println!("unknown: try again with --publish-id {publish_id}");
        }
    }
}
