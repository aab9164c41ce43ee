//! Replays request traces through the decisions on a virtual clock, before
//! small fakes of engines.

mod batch;
mod engine;
mod fault;
mod gateway;
mod hedge;
mod measure;
mod policy;
mod record;
mod run;
mod trace;

pub use hedge::replay_hedged;
pub use measure::Measures;
pub use policy::Policy;
pub use record::RECORDED_SEED;
pub use record::Record;
pub use record::path;
pub use run::replay;
pub use trace::Ask;
pub use trace::Fault;
pub use trace::Kind;
pub use trace::Trace;
pub use trace::User;
