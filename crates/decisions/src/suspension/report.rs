//! What instances tell each other about requests that were lost in crashes.

use serde::Deserialize;
use serde::Serialize;

use super::REPORT_AGE_MS;
use super::RequestDigest;
use crate::names::Target;

/// The requests that an instance lost in crashes, and the answers to such
/// requests that it saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LostRequestsReport {
    /// The crashes.
    pub crashes: Vec<CrashRecord>,
    /// The answers.
    pub answers: Vec<RequestAnswer>,
}

impl LostRequestsReport {
    /// Tells whether the report has something so new that other instances may
    /// not have heard of it.
    pub fn is_urgent(&self) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.age_ms < REPORT_AGE_MS) || !self.answers.is_empty()
    }

    pub(super) fn add_loss(&mut self, target: &Target, age_ms: u32, request: RequestDigest) {
        let is_same = |known: &&mut CrashRecord| known.target == *target && known.age_ms == age_ms;
        match self.crashes.iter_mut().find(is_same) {
            Some(crash) => crash.requests.push(request),
            None => self.crashes.push(CrashRecord {
                target: target.clone(),
                age_ms,
                requests: vec![request],
            }),
        }
    }
}

/// The crash of a target, with requests that were lost in it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashRecord {
    /// The target.
    pub target: Target,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
    /// The lost requests.
    pub requests: Vec<RequestDigest>,
}

/// An answer to a request that was lost before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestAnswer {
    /// The request.
    pub request: RequestDigest,
    /// Time since the answer, in milliseconds.
    pub age_ms: u32,
}
