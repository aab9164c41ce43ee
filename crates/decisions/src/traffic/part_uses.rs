//! The prompt parts that were lately sent to targets, to be told to other
//! instances.

use std::collections::VecDeque;

use super::PromptPartUse;
use crate::audience::Audience;
use crate::audience::Source;

/// Number of uses that are kept.
const KEPT_USES: usize = 1024;

/// Largest number of uses that are told at once.
const MAX_TOLD_USES: usize = 256;

/// Up to where an audience was told the uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartUseCursor(u64);

/// The last uses of prompt parts, with the instances that told them.
///
/// # Invariants
///
/// `uses` has the last [`KEPT_USES`] uses at most, oldest first. `next` is the
/// number of the use that comes after the last one.
#[derive(Debug, Default)]
pub(super) struct PartUseLog {
    uses: VecDeque<(PromptPartUse, Source)>,
    next: u64,
}

impl PartUseLog {
    pub(super) fn push(&mut self, part_use: PromptPartUse, source: Source) {
        if self.uses.len() >= KEPT_USES {
            self.uses.pop_front();
        }
        self.uses.push_back((part_use, source));
        self.next += 1;
    }

    /// Returns the newest uses since a cursor that an audience is told of, and
    /// moves the cursor to the end.
    pub(super) fn since(
        &self,
        cursor: &mut PartUseCursor,
        audience: Audience<'_>,
    ) -> Vec<PromptPartUse> {
        let new = self.next.saturating_sub(cursor.0);
        let new = usize::try_from(new).unwrap_or(usize::MAX);
        cursor.0 = self.next;
        let newest_first = self.uses.iter().rev().take(new);
        let told = newest_first.filter(|(_, source)| audience.includes(source));
        let told = told
            .take(MAX_TOLD_USES)
            .map(|(part_use, _)| part_use.clone());
        told.collect()
    }
}
