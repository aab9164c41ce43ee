//! How values of the standard library's types are read from a file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use jsonc_parser::common::Ranged;

use super::Name;
use super::Read;
use super::Reader;
use super::Value;

/// Names a value's type as operators know it.
pub(super) fn kind(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

/// Reads a text and turns it into something else.
pub fn parse_text<T, F>(value: &Value<'_>, reader: &mut Reader<'_>, parse: F) -> Option<T>
where
    F: FnOnce(&str) -> Result<T, String>,
{
    let Some(text) = value.as_string_lit() else {
        reader.fault(
            value.start(),
            format!("a text is expected, not {}", kind(value)),
        );
        return None;
    };
    match parse(&text.value) {
        Ok(parsed) => Some(parsed),
        Err(reason) => {
            reader.fault(value.start(), reason);
            None
        }
    }
}

impl Read for String {
    fn read(value: &Value<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        parse_text(value, reader, |s| Ok(s.to_owned()))
    }
}

impl Read for PathBuf {
    fn read(value: &Value<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        parse_text(value, reader, |s| Ok(s.into()))
    }
}

impl Read for SocketAddr {
    fn read(value: &Value<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        let parse = |s: &str| {
            s.parse()
                .map_err(|_| format!("{s:?} is not an IP address and port"))
        };
        parse_text(value, reader, parse)
    }
}

impl Read for bool {
    fn read(value: &Value<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        if value.as_boolean_lit().is_none() {
            let reason = format!("true or false is expected, not {}", kind(value));
            reader.fault(value.start(), reason);
        }
        value.as_boolean_lit().map(|b| b.value)
    }
}

macro_rules! read_number {
    ($($type:ty),*) => {
        $(
            impl Read for $type {
                fn read(value: &Value<'_>, reader: &mut Reader<'_>) -> Option<Self> {
                    let number = value.as_number_lit().and_then(|n| n.value.parse().ok());
                    if number.is_none() {
                        let reason = format!("a whole number up to {} is expected", <$type>::MAX);
                        reader.fault(value.start(), reason);
                    }
                    number
                }
            }
        )*
    };
}

read_number!(u16, u32, u64, usize);

impl Read for f64 {
    fn read(value: &Value<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        let number = value.as_number_lit().and_then(|n| n.value.parse().ok());
        if number.is_none() {
            reader.fault(
                value.start(),
                format!("a number is expected, not {}", kind(value)),
            );
        }
        number
    }
}

impl<T> Read for Option<T>
where
    T: Read,
{
    fn read(value: &Value<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        if value.as_null_keyword().is_some() {
            return Some(None);
        }
        T::read(value, reader).map(Some)
    }
}

impl<T> Read for Vec<T>
where
    T: Read,
{
    fn read(value: &Value<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        let Some(array) = value.as_array() else {
            reader.fault(
                value.start(),
                format!("a list is expected, not {}", kind(value)),
            );
            return None;
        };
        let read: Vec<Option<T>> = array
            .elements
            .iter()
            .enumerate()
            .map(|(i, element)| reader.child(&i.to_string(), element))
            .collect();
        read.into_iter().collect()
    }
}

/// Reads a table of named entries. Faulty entries are noted and left out.
impl<K, V> Read for BTreeMap<K, V>
where
    K: Ord + for<'s> TryFrom<Name<'s>, Error = String>,
    V: Read,
{
    fn read(value: &Value<'_>, reader: &mut Reader<'_>) -> Option<Self> {
        let Some(object) = value.as_object() else {
            reader.fault(
                value.start(),
                format!("an object is expected, not {}", kind(value)),
            );
            return None;
        };
        let mut map = Self::new();
        for prop in &object.properties {
            let name = prop.name.as_str();
            let at = prop.range.start;
            let entry = reader.child(name, &prop.value);
            let key = match K::try_from(Name(name)) {
                Ok(key) => key,
                Err(reason) => {
                    reader.fault(at, reason);
                    continue;
                }
            };
            if map.contains_key(&key) {
                reader.fault(at, format!("the key {name} stands twice"));
            }
            if let Some(entry) = entry {
                map.insert(key, entry);
            }
        }
        Some(map)
    }
}
