//! The platform's lagging list of live and leaving instances, and the
//! directory for clients.
