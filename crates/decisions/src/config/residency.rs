//! The regions in which requests may run.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::names::Region;

/// Regions in which a request may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Residency(Option<Vec<Region>>);

impl Residency {
    /// Allows any region.
    pub fn anywhere() -> Self {
        Self(None)
    }

    /// Allows only the given regions.
    pub fn only(regions: Vec<Region>) -> Self {
        Self(Some(regions))
    }

    /// Returns true if a request may run in any region.
    pub fn is_anywhere(&self) -> bool {
        self.0.is_none()
    }

    /// Returns true if a request may run in `region`.
    pub fn allows(&self, region: &Region) -> bool {
        match &self.0 {
            None => true,
            Some(regions) => regions.contains(region),
        }
    }

    /// Returns the intersection of two residencies.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(a), Some(b)) => Self(Some(a.iter().filter(|r| b.contains(r)).cloned().collect())),
        }
    }
}

/// The regions, separated by commas, or `any`.
impl fmt::Display for Residency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(regions) = &self.0 else {
            return f.write_str("any");
        };
        for (i, region) in regions.iter().enumerate() {
            let separator = if i == 0 { "" } else { "," };
            write!(f, "{separator}{region}")?;
        }
        Ok(())
    }
}
