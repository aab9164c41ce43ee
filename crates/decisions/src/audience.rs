//! Whose words an instance passes on to others.
//!
//! In a large region instances report to hubs and hear of each other through
//! them (see [`crate::topology`]). No word may reach an instance twice, as
//! counts are added up.

use std::collections::HashSet;

use crate::names::Instance;

/// The instance that something is known from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// This instance saw it.
    Own,
    /// Another instance told it.
    Other(Instance),
}

/// Who gets a message.
#[derive(Clone, Copy, Debug)]
pub enum Audience<'a> {
    /// An instance that gets only what the sender saw itself.
    Direct,
    /// The other hubs, which get the words of the sender and of the instances
    /// that report to it.
    Hubs(&'a HashSet<Instance>),
    /// An instance that reports to the sender, and gets the words of all
    /// others from it.
    Reporter(&'a Instance),
}

impl Audience<'_> {
    /// Tells whether the audience gets what is known from `source`.
    pub fn includes(self, source: &Source) -> bool {
        match source {
            Source::Own => true,
            Source::Other(name) => self.includes_instance(name),
        }
    }

    /// Tells whether the audience gets the words of another instance.
    pub fn includes_instance(self, name: &Instance) -> bool {
        match self {
            Self::Direct => false,
            Self::Hubs(reporters) => reporters.contains(name),
            Self::Reporter(receiver) => name != receiver,
        }
    }
}
