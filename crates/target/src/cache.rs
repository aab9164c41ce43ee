//! Reads the events of model engines' prefix caches:
//! `GET /cache/events?after=N`.

use std::net::SocketAddr;
use std::time::Duration;

use chiverelay_decisions::names::Target;
use serde::Deserialize;

use crate::Client;
use crate::Error;
use crate::document;

/// Blocks that entered and left a prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event; increases by one with each.
    pub sequence: u64,
    /// Chained hashes of the blocks that entered.
    #[serde(default)]
    pub stored: Vec<u64>,
    /// Chained hashes of the blocks that left.
    #[serde(default)]
    pub removed: Vec<u64>,
}

/// The events that an engine still retains.
///
/// # Invariants
///
/// Events are ordered by their sequence numbers, which may have gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct CacheEvents {
    /// Events in ascending order of their sequence numbers.
    pub events: Vec<CacheEvent>,
}

/// Requests the events after the sequence number `after` from an engine.
/// Returns no events if the engine doesn't publish any.
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
