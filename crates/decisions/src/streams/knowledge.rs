//! What follows from what is known of a stream that is resumed.
//!
//! That nothing was heard of other software doesn't show that there is none: an
//! instance may have missed it. Software is marked in the store before streams
//! begin at it, so a complete read of the marks that began after the request
//! arrived has all of it, unless the store came back from an older copy. A read
//! that began earlier, or any other answer of the store, shows nothing.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::PoolSoftware;
use crate::names::Pool;
use crate::names::SoftwareVersion;

/// Whether all software is known that may have begun streams of a pool, later
/// values being better evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum History {
    /// The store came back from an older copy, which may lack marks, and the
    /// instance hasn't run for long enough to know of them by itself.
    #[default]
    MayLackMarks,
    /// It is what the instance has heard of, which may be out of date.
    Heard,
    /// All marks were read after the stream had begun.
    Confirmed,
}

impl History {
    /// Returns what an instance knows that has run for `age`. `requested_at` is
    /// when it got the request or was asked, and `marks_read_at` when its latest
    /// complete read of the marks began, both on its own clock.
    pub fn of(
        is_restored_store: bool,
        age: Duration,
        lifetime: Duration,
        requested_at: Duration,
        marks_read_at: Option<Duration>,
    ) -> Self {
        if is_restored_store && age < lifetime {
            return Self::MayLackMarks;
        }
        match marks_read_at.is_some_and(|read_at| read_at >= requested_at) {
            true => Self::Confirmed,
            false => Self::Heard,
        }
    }
}

/// What this and other instances know of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamKnowledge {
    /// What began the stream, if it is known.
    pub began_by: Option<PoolSoftware>,
    /// All software that may have begun streams of the pool.
    pub possible_versions: Vec<SoftwareVersion>,
    /// Whether there is no other.
    pub history: History,
}

/// What may continue a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Binding {
    /// The software that is known to have begun it.
    Known(SoftwareVersion),
    /// The only software that can have begun it.
    Only(SoftwareVersion),
    /// The pool has had no target.
    NoTarget,
    /// Nothing, as its route has moved to another pool since.
    OtherPool,
    /// One of several versions.
    OneOfSeveral,
    /// Only one version is known, but there may be more.
    Unconfirmed(SoftwareVersion),
}

impl StreamKnowledge {
    /// Adds what another instance knows.
    pub fn merge(&mut self, other: Self) {
        self.began_by = self.began_by.take().or(other.began_by);
        self.history = self.history.max(other.history);
        for software in other.possible_versions {
            if !self.possible_versions.contains(&software) {
                self.possible_versions.push(software);
            }
        }
    }

    /// Returns what may continue the stream in a pool.
    pub fn binding(&self, pool: &Pool) -> Binding {
        if let Some(began_by) = &self.began_by {
            return match began_by.pool == *pool {
                true => Binding::Known(began_by.software.clone()),
                false => Binding::OtherPool,
            };
        }
        match (self.possible_versions.as_slice(), self.history) {
            ([], _) => Binding::NoTarget,
            ([only], History::Confirmed) => Binding::Only(only.clone()),
            ([only], _) => Binding::Unconfirmed(only.clone()),
            _ => Binding::OneOfSeveral,
        }
    }
}
