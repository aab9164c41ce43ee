//! Reads the events of model engines' prefix caches:
//! `GET /cache/events?after=N`.

use std::net::SocketAddr;
use std::time::Duration;

use chiverelay_decisions::names::Target;
use serde::Deserialize;

use crate::Client;
use crate::Error;
use crate::document;

/// A change of a prefix cache: the blocks that were added and removed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct CacheEvent {
    /// Sequence number, raised by one with each event. A gap means
    /// that events were missed.
    pub sequence: u64,
    /// Hashes of the added blocks. Each covers its block and all blocks before
    /// it.
    #[serde(default)]
    pub stored: Vec<u64>,
    /// Hashes of the removed blocks, computed in the same way.
    #[serde(default)]
    pub removed: Vec<u64>,
}

/// The events that an engine still retains.
///
/// The engine sends them in ascending order of their sequence numbers, which
/// may have gaps. The order is not checked when they are decoded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct CacheEvents {
    /// Events in the order in which the engine sent them.
    pub events: Vec<CacheEvent>,
}

/// Requests the events after the sequence number `after` from an engine.
/// Returns no events if the engine responds with a status other than 200.
///
/// # Errors
///
/// Fails if the engine can't be reached or sends no complete, valid response in
/// time.
pub async fn fetch_events(
    client: &Client,
    target: &Target,
    address: SocketAddr,
    after: u64,
    timeout: Duration,
) -> Result<CacheEvents, Error> {
    let path = format!("/cache/events?after={after}");
    let events = document::fetch(client, target, address, &path, timeout).await?;
    Ok(events.unwrap_or_default())
}
