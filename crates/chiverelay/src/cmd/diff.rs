//! `chiverelay diff`: shows what a file would change.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;

use chiverelay_operator::api::Document;
use chiverelay_operator::document;
use serde::Serialize;
use serde_json::Value;

use super::Connection;
use super::Error;
use super::Output;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay diff --instance ADDRESS [--token-file FILE] FILE\n    \
     Shows what applying the file would change."
}

/// Executes the subcommand.
pub(crate) async fn execute(mut args: pico_args::Arguments, out: Output) -> Result<(), Error> {
    let conn = Connection::from_args(&mut args)?;
    let path: PathBuf = args.free_from_str()?;
    super::finish(args)?;
    let document = document::read(&path)?;
    let config = conn.client().config().await?;
    let changes = changes(&config.document, &document)?;
    out.print(&changes, |changes| describe_changes(changes))
}

/// A value that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct Change {
    /// Path of keys.
    path: String,
    /// What stands there now, if anything.
    old: Option<Value>,
    /// What would stand there, if anything.
    new: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "{}: {old} became {new}", self.path),
            (Some(old), None) => write!(f, "{}: {old} is gone", self.path),
            (None, Some(new)) => write!(f, "{}: {new} is new", self.path),
            (None, None) => f.write_str(&self.path),
        }
    }
}

/// Lists what differs between two documents.
pub(crate) fn changes(old: &Document, new: &Document) -> Result<Vec<Change>, Error> {
    let (mut before, mut after) = (BTreeMap::new(), BTreeMap::new());
    flatten("", &serde_json::to_value(old)?, &mut before);
    flatten("", &serde_json::to_value(new)?, &mut after);
    let mut changes = Vec::new();
    for (path, value) in &before {
        let new = after.get(path);
        if new != Some(value) {
            changes.push(Change {
                path: path.clone(),
                old: Some(value.clone()),
                new: new.cloned(),
            });
        }
    }
    for (path, value) in after {
        if !before.contains_key(&path) {
            changes.push(Change {
                path,
                old: None,
                new: Some(value),
            });
        }
    }
    changes.sort_by(|a, b| a.path.cmp(&b.path));
    Ok(changes)
}

/// Lists the values that are no objects by their paths.
fn flatten(path: &str, value: &Value, into: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(map) if !map.is_empty() => {
            for (key, value) in map {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                flatten(&path, value, into);
            }
        }
        value => {
            into.insert(path.to_owned(), value.clone());
        }
    }
}

/// Writes changes, a line for each value that goes or comes.
fn describe_changes(changes: &[Change]) -> String {
    if changes.is_empty() {
        return "no changes".to_owned();
    }
    let mut lines = Vec::new();
    for change in changes {
        if let Some(old) = &change.old {
            lines.push(format!("- {}: {old}", change.path));
        }
        if let Some(new) = &change.new {
            lines.push(format!("+ {}: {new}", change.path));
        }
    }
    lines.join("\n")
}
