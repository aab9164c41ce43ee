//! What an instance does about its record in the store, by what it reads and
//! writes under its own name.
//!
//! The record may be removed or replaced by others at any time: a write of an
//! earlier process may be executed seconds late, and the end of that process's
//! lease then removes what it wrote. The instance therefore compares what stands
//! there with what it means, by revision.

use crate::revision::StoreRevision;

/// A record that names the process that wrote it.
pub trait ProcessRecord: PartialEq {
    /// Returns the number that identifies the process.
    fn incarnation(&self) -> u64;
}

/// What a key holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content<R> {
    /// The key does not exist.
    Nothing,
    /// A value that is no record.
    Unreadable,
    /// A record.
    Record(R),
}

/// What stands under the instance's name in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing<R> {
    /// Revision of the value; without one, a revision at which there was none.
    pub revision: StoreRevision,
    /// What the key holds.
    pub content: Content<R>,
}

impl<R> Standing<R> {
    /// Tells whether this was read or written after `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        match self.content {
            // The value of that revision may have been removed since.
            Content::Nothing => self.revision >= other.revision,
            Content::Unreadable | Content::Record(_) => self.revision > other.revision,
        }
    }
}

/// What to do about the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordStep {
    /// The store has the record as it is meant.
    Keep,
    /// The record has to be written.
    Write,
    /// The record has to be written under a new incarnation. Others have read
    /// another process's record after it, and take its process for ended.
    WriteAnew,
}

/// The instance's knowledge of its record in the store.
///
/// # Invariants
///
/// `standing` is never replaced by what was read before it, but for a correction
/// by the store itself.
#[derive(Clone, Debug)]
pub struct Registration<R> {
    standing: Option<Standing<R>>,
    /// Revision at which this process last wrote its record.
    written_at: Option<StoreRevision>,
    /// Whether a write since then got no response, so that it may be executed.
    has_open_write: bool,
}

impl<R> Default for Registration<R> {
    fn default() -> Self {
        Self {
            standing: None,
            written_at: None,
            has_open_write: false,
        }
    }
}

impl<R> Registration<R>
where
    R: ProcessRecord,
{
    /// Records what was read under the instance's name.
    pub fn observe(&mut self, read: Standing<R>) {
        let known = self.standing.as_ref();
        if known.is_none_or(|known| read.is_newer_than(known)) {
            self.standing = Some(read);
        }
    }

    /// Records what the store itself says that stands there, as the condition of a
    /// write did not hold.
    pub fn correct(&mut self, standing: Standing<R>) {
        self.standing = Some(standing);
    }

    /// Records that the store executed a write of this process.
    pub fn written(&mut self, record: R, revision: StoreRevision) {
        self.written_at = Some(revision);
        self.has_open_write = false;
        self.observe(Standing {
            revision,
            content: Content::Record(record),
        });
    }

    /// Records that a write of this process got no response.
    pub fn unanswered(&mut self) {
        self.has_open_write = true;
    }

    /// Returns the revision that a write replaces in an era of the
    /// store, 0 if the key must not exist. A guess that is wrong costs one more call.
    pub fn replaced_revision(&self, era: u64) -> u64 {
        let standing = self.standing.as_ref();
        let known = standing.filter(|known| known.revision.era == era);
        match known {
            Some(known) if !matches!(known.content, Content::Nothing) => known.revision.number,
            _ => 0,
        }
    }

    /// Returns what to do if the record is to be `meant`.
    pub fn next_step(&self, meant: &R) -> RecordStep {
        let Some(standing) = &self.standing else {
            return RecordStep::Write;
        };
        match &standing.content {
            Content::Record(record) if record == meant => RecordStep::Keep,
            Content::Record(record) if record.incarnation() != meant.incarnation() => {
                self.step_against_other(standing.revision.era)
            }
            Content::Record(_) | Content::Unreadable | Content::Nothing => RecordStep::Write,
        }
    }

    /// Returns what to do about another process's record, which was read in `era`.
    fn step_against_other(&self, era: u64) -> RecordStep {
        // The order of records of different eras is not known to anybody.
        let was_written = self.written_at.is_some_and(|at| at.era == era);
        match was_written || self.has_open_write {
            true => RecordStep::WriteAnew,
            false => RecordStep::Write,
        }
    }
}
