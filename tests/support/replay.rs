//! Replays request traces through the decisions on a virtual clock, before
//! small fakes of engines.

mod engine;
mod gateway;
mod measure;
mod policy;
mod run;
mod trace;

pub use measure::Measures;
pub use policy::Policy;
pub use run::replay;
pub use trace::Ask;
pub use trace::Fault;
pub use trace::Kind;
pub use trace::Trace;
pub use trace::User;
