//! Merges the log files of instances into one time line.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use chiverelay_decisions::event::EventFilter;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use super::Error;

/// Which lines of the logs are wanted.
#[derive(Clone, Debug)]
pub(crate) struct Wanted {
    /// By request, account, instance and time.
    pub(crate) filter: EventFilter,
    /// By a target that the line names.
    pub(crate) target: Option<String>,
}

/// A line of a log.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Line {
    /// Time of day at the instance, in milliseconds since 1970.
    ms: u64,
    /// The instance.
    instance: String,
    /// The part that wrote the line.
    part: String,
    /// What happened.
    text: String,
    /// The inputs and the outcome.
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// Fields in which a line names a target.
const TARGET_FIELDS: [&str; 3] = ["to", "name", "peer"];

impl Line {
    /// Reads a line, whatever stands before its object.
    fn read(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        serde_json::from_str(&text[start..]).ok()
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    fn names_target(&self, target: &str) -> bool {
        let named = TARGET_FIELDS.iter().filter_map(|name| self.field(name));
        named
            .into_iter()
            .any(|value| value.split(' ').any(|word| word == target))
    }

    fn is_wanted(&self, wanted: &Wanted) -> bool {
        let filter = &wanted.filter;
        let is = |asked: Option<&str>, found: Option<&str>| asked.is_none() || asked == found;
        let request = filter.request.as_ref().map(|r| r.as_str());
        let account = filter.account.as_ref().map(|a| a.as_str());
        let instance = filter.instance.as_ref().map(|i| i.as_str());
        let target = wanted.target.as_deref();
        is(request, self.field("id"))
            && is(account, self.field("account"))
            && is(instance, Some(&self.instance))
            && target.is_none_or(|target| self.names_target(target))
            && (filter.from_ms..=filter.to_ms).contains(&self.ms)
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}  {}  {}: {}",
            self.ms, self.instance, self.part, self.text
        )?;
        let shown = self.fields.iter().filter(|(name, _)| *name != "level");
        for (name, value) in shown {
            match value.as_str() {
                Some(text) => write!(f, "  {name}={text}")?,
                None => write!(f, "  {name}={value}")?,
            }
        }
        Ok(())
    }
}

/// Reads the wanted lines of log files, in the order of their times; the lines
/// of one file keep their order where they have the same time.
///
/// # Errors
///
/// Fails if a file can't be read. Lines that are no log lines are left out.
pub(crate) fn merge(files: &[PathBuf], wanted: &Wanted) -> Result<Vec<Line>, Error> {
    let mut lines = Vec::new();
    for path in files {
        let text = read(path)?;
        let read = text.lines().filter_map(Line::read);
        lines.extend(read.filter(|line| line.is_wanted(wanted)));
    }
    lines.sort_by_key(|line| line.ms);
    Ok(lines)
}

fn read(path: &Path) -> Result<String, Error> {
    let data = std::fs::read(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })?;
    Ok(String::from_utf8_lossy(&data).into_owned())
}
