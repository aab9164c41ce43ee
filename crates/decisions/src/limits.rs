//! Limits of client accounts.

mod bucket;

pub use bucket::Bucket;
