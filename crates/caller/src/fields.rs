//! The fields of an OpenAI-compatible body that decisions use, read without
//! keeping the rest of it.
//!
//! A body of many short values would take many times its size as a tree.

use std::fmt;

use chiverelay_decisions::placement::prefix::PrefixHasher;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::DeserializeSeed;
use serde::de::Error;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// The fields of a body.
#[derive(Debug, Default)]
pub(crate) struct Fields {
    /// The model asked for.
    pub(crate) model: Option<String>,
    /// The largest answer in tokens.
    pub(crate) max_tokens: Option<u64>,
    /// The largest answer in tokens, by its newer name.
    pub(crate) max_completion_tokens: Option<u64>,
    /// Hashes of the prompt; of the text of each part, or of its JSON if it is not
    /// text.
    pub(crate) prefix: Vec<u64>,
}

impl<'de> Deserialize<'de> for Fields {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

/// Sets a field that must come just once.
fn set<T, E>(field: &mut Option<T>, value: T, name: &'static str) -> Result<(), E>
where
    E: Error,
{
    match field.replace(value) {
        Some(_) => Err(E::duplicate_field(name)),
        None => Ok(()),
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Fields;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A>(self, mut map: A) -> Result<Fields, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut hasher = PrefixHasher::new();
        let (mut model, mut max_tokens, mut max_completion) = (None, None, None);
        let (mut messages, mut prompt) = (None, None);
        while let Some(key) = map.next_key::<Key>()? {
            match key {
                Key::Model => set(&mut model, map.next_value()?, "model")?,
                Key::MaxTokens => set(&mut max_tokens, map.next_value()?, "max_tokens")?,
                Key::MaxCompletionTokens => {
                    let value = map.next_value()?;
                    set(&mut max_completion, value, "max_completion_tokens")?;
                }
                Key::Messages => {
                    map.next_value_seed(Turns(&mut hasher))?;
                    set(&mut messages, (), "messages")?;
                }
                Key::Prompt => {
                    map.next_value_seed(Part::top(&mut hasher))?;
                    set(&mut prompt, (), "prompt")?;
                }
                Key::Role | Key::Content | Key::Other => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(Fields {
            model: model.flatten(),
            max_tokens: max_tokens.flatten(),
            max_completion_tokens: max_completion.flatten(),
            prefix: hasher.finish(),
        })
    }
}

/// Name of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Key {
    Model,
    MaxTokens,
    MaxCompletionTokens,
    Messages,
    Prompt,
    Role,
    Content,
    #[serde(other)]
    Other,
}

/// The messages of a chat.
struct Turns<'a>(&'a mut PrefixHasher);

impl<'de> DeserializeSeed<'de> for Turns<'_> {
    type Value = ();

    fn deserialize<D>(self, deserializer: D) -> Result<(), D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for Turns<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of messages")
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<(), A::Error>
    where
        A: SeqAccess<'de>,
    {
        while seq.next_element_seed(Turn(self.0))?.is_some() {}
        Ok(())
    }
}

/// A message of a chat.
struct Turn<'a>(&'a mut PrefixHasher);

impl<'de> DeserializeSeed<'de> for Turn<'_> {
    type Value = ();

    fn deserialize<D>(self, deserializer: D) -> Result<(), D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for Turn<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a message")
    }

    fn visit_map<A>(self, mut map: A) -> Result<(), A::Error>
    where
        A: MapAccess<'de>,
    {
        let (mut role, mut content) = (None, None);
        while let Some(key) = map.next_key::<Key>()? {
            match key {
                Key::Role => {
                    let text: std::borrow::Cow<'_, str> = map.next_value()?;
                    self.0.push(&text);
                    set(&mut role, (), "role")?;
                }
                Key::Content => {
                    map.next_value_seed(Part::top(self.0))?;
                    set(&mut content, (), "content")?;
                }
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(())
    }
}

/// A part of a prompt: text, or any JSON, which is hashed as such.
struct Part<'a> {
    hasher: &'a mut PrefixHasher,
    is_top: bool,
}

impl<'a> Part<'a> {
    fn top(hasher: &'a mut PrefixHasher) -> Self {
        Self {
            hasher,
            is_top: true,
        }
    }

    fn within(hasher: &'a mut PrefixHasher) -> Self {
        Self {
            hasher,
            is_top: false,
        }
    }
}

impl<'de> DeserializeSeed<'de> for Part<'_> {
    type Value = ();

    fn deserialize<D>(self, deserializer: D) -> Result<(), D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Part<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }

    fn visit_bool<E>(self, value: bool) -> Result<(), E> {
        self.hasher.push(if value { "true" } else { "false" });
        Ok(())
    }

    fn visit_i64<E>(self, value: i64) -> Result<(), E> {
        self.hasher.push(&value.to_string());
        Ok(())
    }

    fn visit_u64<E>(self, value: u64) -> Result<(), E> {
        self.hasher.push(&value.to_string());
        Ok(())
    }

    fn visit_f64<E>(self, value: f64) -> Result<(), E> {
        self.hasher.push(&value.to_string());
        Ok(())
    }

    fn visit_str<E>(self, value: &str) -> Result<(), E> {
        match self.is_top {
            true => self.hasher.push(value),
            false => {
                self.hasher.push("\"");
                self.hasher.push(value);
                self.hasher.push("\"");
            }
        }
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        if !self.is_top {
            self.hasher.push("null");
        }
        Ok(())
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<(), A::Error>
    where
        A: SeqAccess<'de>,
    {
        self.hasher.push("[");
        while seq.next_element_seed(Part::within(self.hasher))?.is_some() {
            self.hasher.push(",");
        }
        self.hasher.push("]");
        Ok(())
    }

    fn visit_map<A>(self, mut map: A) -> Result<(), A::Error>
    where
        A: MapAccess<'de>,
    {
        self.hasher.push("{");
        while map.next_key_seed(Part::within(self.hasher))?.is_some() {
            self.hasher.push(":");
            map.next_value_seed(Part::within(self.hasher))?;
            self.hasher.push(",");
        }
        self.hasher.push("}");
        Ok(())
    }
}
