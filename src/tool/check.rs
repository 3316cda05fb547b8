//! Reads and checks files of objects.

use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::Deserialize;

use crate::endpoint;
use crate::kernel::object::{InvalidField, Object};
use crate::settings::{FileError, Settings, line_of_field, parse_jsonc};

/// A file of objects.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ObjectFile {
    /// The objects.
    pub objects: Vec<Object>,
}

fn read_text(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(|error| FileError {
        file: path.display().to_string(),
        line: 0,
        message: error.to_string(),
    })
}

/// Reads files of objects and checks each object by itself.
///
/// # Errors
/// File, line and field of the first fault.
pub fn read_objects(paths: &[PathBuf]) -> Result<Vec<Object>, FileError> {
    let mut objects = Vec::new();
    for path in paths {
        let text = read_text(path)?;
        objects.extend(parse_objects(&path.display().to_string(), &text)?);
    }
    Ok(objects)
}

/// Reads the objects of one file's text.
///
/// # Errors
/// Line and field of the first fault.
pub fn parse_objects(file: &str, text: &str) -> Result<Vec<Object>, FileError> {
    let parsed: ObjectFile = parse_jsonc(file, text)?;
    for object in &parsed.objects {
        check_object(object).map_err(|invalid| located(file, text, object, &invalid))?;
    }
    Ok(parsed.objects)
}

fn check_object(object: &Object) -> Result<(), InvalidField> {
    object.validate()?;
    let Object::Endpoint(published) = object else {
        return Ok(());
    };
    let known = endpoint::names();
    if known.contains(&published.plugin.as_str()) {
        return Ok(());
    }
    Err(InvalidField {
        object: object.key().to_string(),
        field: "plugin".to_owned(),
        allowed: format!("one of {}", known.join(", ")),
    })
}

/// Finds the field's line: its first appearance after the object's name, else the line of the name.
fn located(file: &str, text: &str, object: &Object, invalid: &InvalidField) -> FileError {
    let name = format!("\"{}\"", object.key().name);
    let name_line = text
        .lines()
        .position(|line| line.contains(&name))
        .unwrap_or(0);
    let after: Vec<&str> = text.lines().skip(name_line).collect();
    let offset = line_of_field(&after.join("\n"), &invalid.field);
    FileError {
        file: file.to_owned(),
        line: name_line + offset,
        message: invalid.to_string(),
    }
}

/// Checks a file of objects or of settings, whichever it is; gives a line that says what it is.
///
/// # Errors
/// File, line and field of the first fault.
pub fn check_file(path: &Path) -> Result<String, FileError> {
    let text = read_text(path)?;
    if text.contains("\"objects\"") {
        let objects = parse_objects(&path.display().to_string(), &text)?;
        return Ok(format!("{}: {} objects", path.display(), objects.len()));
    }
    Settings::read(path)?;
    Ok(format!("{}: settings", path.display()))
}
