//! Limits on requests that targets state in their answers.

use super::Traffic;
use crate::names::Target;

impl Traffic {
    /// Records what an answer of a target stated: its limit in requests per
    /// second, or `None` if it has none. Returns whether that is a change.
    pub fn record_stated_limit(&mut self, target: &Target, per_s: Option<f64>) -> bool {
        let old = match per_s {
            Some(per_s) => self.stated_limits.insert(target.clone(), per_s),
            None => self.stated_limits.remove(target),
        };
        old != per_s
    }
}
