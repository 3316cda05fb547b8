//! Reads and validates files of configuration objects.

use std::collections::HashMap;
use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::Deserialize;

use crate::endpoint;
use crate::kernel::object::{ClientAccount, InvalidField, Object};
use crate::settings::{FileError, Settings, line_of_field, parse_jsonc};

/// The contents of an object file.
#[derive(Debug, Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ObjectFile {
    /// Objects in the order of the file.
    pub objects: Vec<Object>,
}

fn read_text(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(|error| FileError {
        file: path.display().to_string(),
        line: 0,
        message: error.to_string(),
    })
}

/// Reads object files and validates each object separately; references between objects are not
/// checked.
///
/// # Errors
/// Returns the file, line and field of the first invalid object, or the file that could not be
/// read or parsed.
pub fn read_objects(paths: &[PathBuf]) -> Result<Vec<Object>, FileError> {
    let mut objects = Vec::new();
    for path in paths {
        let text = read_text(path)?;
        objects.extend(parse_objects(&path.display().to_string(), &text)?);
    }
    Ok(objects)
}

/// Parses and validates the objects in the text of one file. `file` is used in error messages
/// only.
///
/// # Errors
/// Returns the line and field of the first invalid object, or the position of a syntax error.
pub fn parse_objects(file: &str, text: &str) -> Result<Vec<Object>, FileError> {
    let parsed: ObjectFile = parse_jsonc(file, text)?;
    for object in &parsed.objects {
        validate_object(object).map_err(|invalid| locate_error(file, text, object, &invalid))?;
    }
    if let Some((object, invalid)) = find_shared_key(std::iter::empty(), &parsed.objects) {
        return Err(locate_error(file, text, object, &invalid));
    }
    Ok(parsed.objects)
}

/// Returns the first added client account whose key one of another name has: an account in force or
/// one that was added before it.
pub(crate) fn find_shared_key<'a>(
    in_force: impl Iterator<Item = &'a Object>,
    added: &'a [Object],
) -> Option<(&'a Object, InvalidField)> {
    let mut names_by_key: HashMap<String, &str> = in_force
        .filter_map(client_account)
        .map(|account| (comparable_key(account), account.name.as_str()))
        .collect();
    for object in added {
        let Some(account) = client_account(object) else {
            continue;
        };
        let key = comparable_key(account);
        let holder = *names_by_key.entry(key).or_insert(&account.name);
        if holder != account.name {
            let invalid = InvalidField {
                object: object.key().to_string(),
                field: "key_blake3".to_owned(),
                allowed: format!(
                    "a key that no other account has; client_account/{holder} has this one"
                ),
            };
            return Some((object, invalid));
        }
    }
    None
}

fn client_account(object: &Object) -> Option<&ClientAccount> {
    match object {
        Object::ClientAccount(account) => Some(account),
        _ => None,
    }
}

fn comparable_key(account: &ClientAccount) -> String {
    account.key_blake3.to_ascii_lowercase()
}

fn validate_object(object: &Object) -> Result<(), InvalidField> {
    object.validate()?;
    let Object::Endpoint(endpoint_object) = object else {
        return Ok(());
    };
    let plugin_names = endpoint::names();
    if plugin_names.contains(&endpoint_object.plugin.as_str()) {
        return Ok(());
    }
    Err(InvalidField {
        object: object.key().to_string(),
        field: "plugin".to_owned(),
        allowed: format!("one of {}", plugin_names.join(", ")),
    })
}

/// Builds an error that points at the line of the invalid field: the first occurrence of the field
/// after the object's name, or the line of the name if the field does not occur.
fn locate_error(file: &str, text: &str, object: &Object, invalid: &InvalidField) -> FileError {
    let quoted_name = format!("\"{}\"", object.key().name);
    let name_line = text
        .lines()
        .position(|line| line.contains(&quoted_name))
        .unwrap_or(0);
    let lines_from_name: Vec<&str> = text.lines().skip(name_line).collect();
    let offset = line_of_field(&lines_from_name.join("\n"), &invalid.field);
    FileError {
        file: file.to_owned(),
        line: name_line + offset,
        message: invalid.to_string(),
    }
}

/// Validates an object file or a settings file, detected by its content. Returns a line for the
/// user that names the kind of the file.
///
/// # Errors
/// Returns the file, line and field of the first error.
pub fn check_file(path: &Path) -> Result<String, FileError> {
    let text = read_text(path)?;
    if text.contains("\"objects\"") {
        let objects = parse_objects(&path.display().to_string(), &text)?;
        return Ok(format!("{}: {} objects", path.display(), objects.len()));
    }
    Settings::read(path)?;
    Ok(format!("{}: settings", path.display()))
}
