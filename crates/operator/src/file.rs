//! Files that operators write, JSON with comments, checked whole.
//!
//! A type that implements [`Read`] says what it needs of a value and notes
//! every fault at its place, so that all faults of a file are told at once.

mod values;

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::path::PathBuf;

use chiverelay_decisions::config;
use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use thiserror::Error as ThisError;
use values::kind;

pub use jsonc_parser::ast::Value;
pub use values::parse_text;

/// Faults that are listed of one file.
const MAX_FAULTS: usize = 200;

/// A fault at its place in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of keys to the value.
    pub path: Vec<String>,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path.join("."))?;
        }
        f.write_str(&self.reason)
    }
}

/// Why a file can't be used.
#[derive(Debug)]
#[derive(ThisError)]
pub enum Error {
    /// The file can't be read.
    #[error("configure: {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is faulty.
    #[error("{}", list(path, faults))]
    Faulty {
        /// The file.
        path: PathBuf,
        /// Every fault, in the order of the file.
        faults: Vec<Fault>,
    },
}

fn list(path: &Path, faults: &[Fault]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{}:{fault}", path.display()))
        .collect();
    lines.join("\n")
}

/// A type that can be read out of a file.
pub trait Read: Sized {
    /// Reads a value; notes every fault and returns `None` if there is one.
    fn read(value: &Value<'_>, reader: &mut Reader<'_>) -> Option<Self>;
}

/// Notes faults and the places of values.
///
/// # Invariants
///
/// `path` names the value that is being read; `places` has the offset of each
/// value read so far.
#[derive(Debug)]
pub struct Reader<'a> {
    text: &'a str,
    path: Vec<String>,
    places: BTreeMap<Vec<String>, usize>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            text,
            path: Vec::new(),
            places: BTreeMap::new(),
            faults: Vec::new(),
        }
    }

    /// Notes a fault of the value that is being read.
    pub fn fault(&mut self, at: usize, reason: impl Into<String>) {
        let path = self.path.clone();
        self.push(at, path, reason.into());
    }

    fn push(&mut self, at: usize, path: Vec<String>, reason: String) {
        if self.faults.len() >= MAX_FAULTS {
            return;
        }
        let before = self.text.get(..at).unwrap_or(self.text);
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        self.faults.push(Fault {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            path,
            reason,
        });
    }

    /// Notes a fault at the value that `path` names, or at the nearest one
    /// around it.
    pub fn fault_at(&mut self, path: &[String], reason: String) {
        let at = (0..=path.len())
            .rev()
            .find_map(|len| self.places.get(&path[..len]).copied());
        self.push(at.unwrap_or(0), path.to_vec(), reason);
    }

    /// Reads a value under a key.
    pub fn child<T>(&mut self, key: &str, value: &Value<'_>) -> Option<T>
    where
        T: Read,
    {
        self.path.push(key.to_owned());
        self.places.insert(self.path.clone(), value.start());
        let read = T::read(value, self);
        self.path.pop();
        read
    }
}

/// An object whose fields are read one after the other.
#[derive(Debug)]
pub struct Fields<'v, 'r, 'a> {
    object: &'v ast::Object<'v>,
    known: Vec<String>,
    reader: &'r mut Reader<'a>,
}

impl<'v, 'r, 'a> Fields<'v, 'r, 'a> {
    /// Begins to read an object.
    pub fn enter(value: &'v Value<'v>, reader: &'r mut Reader<'a>) -> Option<Self> {
        let Some(object) = value.as_object() else {
            reader.fault(
                value.start(),
                format!("an object is expected, not {}", kind(value)),
            );
            return None;
        };
        Some(Self {
            object,
            known: Vec::new(),
            reader,
        })
    }

    /// Reads a field; one without a default must be there.
    pub fn field<T>(&mut self, name: &str, default: Option<T>) -> Option<T>
    where
        T: Read,
    {
        let name = name.replace('_', "-");
        let found = self.object.get(&name);
        self.known.push(name.clone());
        match (found, default) {
            (Some(prop), _) => self.reader.child(&name, &prop.value),
            (None, Some(default)) => Some(default),
            (None, None) => {
                let at = self.object.range.start;
                self.reader.fault(at, format!("the key {name} is missing"));
                None
            }
        }
    }

    /// Notes a fault of a field that was read.
    pub fn check<T>(&mut self, name: &str, value: &Option<T>, check: fn(&T) -> Result<(), String>) {
        let Some(Err(reason)) = value.as_ref().map(check) else {
            return;
        };
        let mut path = self.reader.path.clone();
        path.push(name.replace('_', "-"));
        self.reader.fault_at(&path, reason);
    }

    /// Notes every key that is unknown or stands twice.
    pub fn end(self) {
        let mut seen = Vec::new();
        for prop in &self.object.properties {
            let name = prop.name.as_str();
            let at = prop.range.start;
            if !self.known.iter().any(|k| k == name) {
                self.reader.fault(at, format!("unknown key {name}"));
            } else if seen.contains(&name) {
                self.reader
                    .fault(at, format!("the key {name} stands twice"));
            }
            seen.push(name);
        }
    }
}

/// Reads a struct field by field: its name, `= default` if it may be missing,
/// and `=> check` if the value is checked by itself.
#[macro_export]
macro_rules! read_struct {
    ($type:ty { $($field:ident $(= $default:expr)? $(=> $check:expr)?),* $(,)? }) => {
        impl $crate::file::Read for $type {
            fn read(
                value: &$crate::file::Value<'_>,
                reader: &mut $crate::file::Reader<'_>,
            ) -> Option<Self> {
                let mut fields = $crate::file::Fields::enter(value, reader)?;
                $(
                    let $field = fields.field(
                        stringify!($field),
                        $crate::read_struct!(@default $($default)?),
                    );
                    $(fields.check(stringify!($field), &$field, $check);)?
                )*
                fields.end();
                Some(Self { $($field: $field?),* })
            }
        }
    };
    (@default) => { None };
    (@default $default:expr) => { Some($default) };
}

/// A key of a table before it is checked as a name.
#[derive(Clone, Copy, Debug)]
pub struct Name<'a>(pub &'a str);

/// Reads a whole text; `check` looks at what fits together.
///
/// # Errors
///
/// Returns every fault, in the order of the text.
pub fn parse<T, F>(text: &str, check: F) -> Result<T, Vec<Fault>>
where
    T: Read,
    F: FnOnce(&T, &Value<'_>) -> Vec<config::ConfigFault>,
{
    let options = ParseOptions {
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
        ..ParseOptions::default()
    };
    let mut reader = Reader::new(text);
    let parsed = match jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(parsed) => parsed,
        Err(e) => {
            reader.fault(e.range().start, e.kind().to_string());
            return Err(reader.faults);
        }
    };
    let Some(value) = parsed.value else {
        reader.fault(0, "the file is empty");
        return Err(reader.faults);
    };
    reader.places.insert(Vec::new(), value.start());
    let read = T::read(&value, &mut reader);
    if let Some(read) = &read {
        for fault in check(read, &value) {
            reader.fault_at(&fault.path, fault.reason);
        }
    }
    let mut faults = reader.faults;
    faults.sort();
    faults.dedup();
    match read {
        Some(read) if faults.is_empty() => Ok(read),
        _ => Err(faults),
    }
}

/// Reads a whole file; `check` looks at what fits together.
///
/// # Errors
///
/// Fails if the file can't be read or has faults.
pub fn read<T, F>(path: &Path, check: F) -> Result<T, Error>
where
    T: Read,
    F: FnOnce(&T, &Value<'_>) -> Vec<config::ConfigFault>,
{
    let unreadable = |source| Error::Unreadable {
        path: path.to_owned(),
        source,
    };
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    parse(&text, check).map_err(|faults| Error::Faulty {
        path: path.to_owned(),
        faults,
    })
}
