//! What instances tell each other about crashes.

use serde::Deserialize;
use serde::Serialize;

use crate::names::Target;

/// Age up to which a loss makes a report urgent, in milliseconds.
const URGENT_AGE_MS: u32 = 5_000;

/// The crashes that an instance saw itself, and the quarantined parts that it
/// knows.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// Recent requests that were lost in crashes.
    pub lost: f32,
    /// Recent requests that were answered.
    pub answered: f32,
    /// Requests that were lost in crashes, by the parts of their prompts.
    pub losses: Vec<SuspectRecord>,
    /// Recent answers to requests with parts that are suspected here or
    /// elsewhere.
    pub answers: Vec<AnswersRecord>,
    /// Quarantined parts, and those whose quarantine was lifted lately.
    pub quarantined: Vec<QuarantineRecord>,
}

impl CrashReport {
    /// Tells whether the report has a loss so new that other instances may not
    /// have heard of it.
    pub fn is_urgent(&self) -> bool {
        let mut losses = self.losses.iter().flat_map(|suspect| &suspect.losses);
        losses.any(|loss| loss.age_ms < URGENT_AGE_MS)
    }
}

/// The requests with one part that an instance lost in crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The part.
    pub part: u64,
    /// The lost requests.
    pub losses: Vec<LossRecord>,
}

/// The answers to requests with one part that an instance saw.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AnswersRecord {
    /// The part.
    pub part: u64,
    /// Recent answered requests with the part.
    pub answers: f32,
}

/// A request that was lost in the crash of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LossRecord {
    /// The target.
    pub target: Target,
    /// Hash of the request's id.
    pub request: u64,
    /// Index of the part in the request's prompt.
    pub position: u16,
    /// Time since the loss, in milliseconds.
    pub age_ms: u32,
}

/// The quarantine of one part.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// The part.
    pub part: u64,
    /// Counts the changes of the part's quarantine.
    pub generation: u32,
    /// Length of the quarantine in milliseconds; 0 if it was lifted.
    pub length_ms: u32,
    /// Time since the change, in milliseconds.
    pub age_ms: u32,
}
