//! Limits of client accounts, summed over all instances.
//!
//! A limit is divided into shares by escrow. The [`ledger`] in the store says
//! which instance holds which part; a [`Book`] keeps the shares of one
//! instance and lends parts of them to others. `docs/design/limits.md` gives
//! the protocol and its argument.

mod book;
mod bucket;
pub mod homes;
pub mod keeper;
pub mod ledger;
mod loan;
pub mod quorum;
mod share;
mod weight;

pub use book::Book;
pub use bucket::Bucket;
pub use homes::Slot;
pub use keeper::Keeper;
pub use ledger::Holder;
pub use loan::Ask;
pub use loan::Lend;
pub use loan::LoanId;
pub use loan::Return;
pub use share::GivenBack;
pub use share::Held;
pub use share::LOAN_TIME;
pub use share::Lapsed;
pub use share::Lease;
pub use share::Lent;
pub use share::Moment;
pub use share::Receipt;
pub use share::Share;
pub use share::Short;
pub use weight::DRIFT_PARTS;
pub use weight::Limit;
pub use weight::NANOS;
pub use weight::Weight;
pub use weight::with_margin;
