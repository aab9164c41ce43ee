//! The gateway on the users' platform: its program as processes before a
//! stand-in of the platform's store and stand-in targets.

pub mod accept;
pub mod call;
pub mod crashing;
pub mod early;
pub mod endless;
pub mod kept;
pub mod path;
pub mod proxy;
pub mod room;
pub mod scripted;
pub mod scripted_instance;
pub mod silent;
pub mod site;
pub mod slow_reader;
pub mod store;
pub mod store_view;
pub mod target;
mod wire;

pub use call::Got;
pub use crashing::CrashingTarget;
pub use early::EarlyEnd;
pub use early::EarlyTarget;
pub use endless::Endless;
pub use endless::EndlessTarget;
pub use kept::KeptConnection;
pub use kept::NoAnswer;
pub use room::Capacity;
pub use room::RoomReport;
pub use scripted::After;
pub use scripted::Scripted;
pub use scripted::ScriptedTarget;
pub use scripted_instance::ScriptedInstance;
pub use scripted_instance::Step;
pub use silent::SilentAnswer;
pub use silent::SilentTarget;
pub use silent::Stage;
pub use site::Node;
pub use site::Registration;
pub use site::Site;
pub use slow_reader::SlowReader;
pub use store::PlatformStore;
pub use target::Mode;
pub use target::PlatformTarget;
