//! Prints results as text for people or as JSON for scripts.

use larkwick::tool::publish::PublishOutcome;
use serde_json::Value;

/// The output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// One field per line.
    Text,
    /// Indented JSON.
    Json,
}

impl Format {
    /// Returns the format that the flag `--json` selects.
    pub fn from_json_flag(json: bool) -> Self {
        if json { Self::Json } else { Self::Text }
    }
}

/// Prints a JSON value. In text format, only objects and arrays are split into lines.
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

/// Prints the outcome of a publish.
pub fn print_outcome(outcome: &PublishOutcome, format: Format) {
    if format == Format::Json {
        match serde_json::to_string(outcome) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("larkwick: {error}"),
        }
        return;
    }
    match outcome {
        PublishOutcome::Accepted { publish_id, offset } => {
            println!("accepted: {publish_id} at offset {offset}");
        }
        PublishOutcome::NothingToChange => println!("nothing to change"),
        PublishOutcome::Rejected {
            publish_id,
            verdict,
        } => println!("rejected: {publish_id}: {verdict:?}"),
        PublishOutcome::NotPublished { reason } => {
            println!("nothing published: {reason}; try again");
        }
        PublishOutcome::Unknown { publish_id } => {
            println!("unknown: try again with --publish-id {publish_id}");
        }
    }
}
