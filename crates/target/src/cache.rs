//! Events of model engines' prefix caches: `GET /cache/events?after=N`.

use std::net::SocketAddr;
use std::time::Duration;

use chiverelay_decisions::names::Target;
use serde::Deserialize;

use crate::Client;
use crate::Error;
use crate::document;

/// What entered and left a prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct CacheEvent {
    /// Number of the event, raised by one with each.
    pub sequence: u64,
    /// Chained hashes of the blocks that entered.
    #[serde(default)]
    pub stored: Vec<u64>,
    /// Chained hashes of the blocks that left.
    #[serde(default)]
    pub removed: Vec<u64>,
}

/// The events that an engine still has.
///
/// # Invariants
///
/// Events come in the order of their numbers; some may be missing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct CacheEvents {
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// Asks an engine for the events after one; none if it publishes none.
///
/// # Errors
///
/// Fails if the engine can't be reached or gives no whole answer in time.
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
