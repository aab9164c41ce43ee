//! Rate limits of client accounts, enforced over all instances together.
//!
//! Each limit is divided into shares owned by the instances: an instance admits
//! requests from its own share without asking the others. The [`ledger`] in the
//! store records which fraction of a limit is allocated to each instance; an
//! instance uses at most that fraction. A [`ShareTable`] holds the shares of
//! one instance and lends parts of them to other instances.
//! `docs/design/limits.md` describes the protocol and why the shares never add
//! up to more than the limit.

mod bucket;
mod fraction;
mod lease;
pub mod lease_manager;
pub mod ledger;
mod loan;
pub mod partitions;
pub mod quorum;
mod share;
mod share_table;

pub use bucket::TokenBucket;
pub use fraction::CLOCK_DRIFT_DIVISOR;
pub use fraction::Fraction;
pub use fraction::Limit;
pub use fraction::NANO_TOKENS_PER_TOKEN;
pub use fraction::shorten_for_drift;
pub use lease::Lease;
pub use lease_manager::LeaseManager;
pub use ledger::Holder;
pub use loan::LoanGrant;
pub use loan::LoanId;
pub use loan::LoanRequest;
pub use loan::LoanReturn;
pub use partitions::Partition;
pub use share::Active;
pub use share::Expired;
pub use share::InsufficientTokens;
pub use share::LoanTerms;
pub use share::MAX_LOAN_DURATION;
pub use share::Receipt;
pub use share::ReturnedLoan;
pub use share::Share;
pub use share::ShareContext;
pub use share_table::ShareTable;
