//! Reads the load reports of model engines: `GET /load`.

use std::net::SocketAddr;
use std::time::Duration;

use chiverelay_decisions::names::Target;
use chiverelay_decisions::placement::LoadReport;

use crate::Client;
use crate::Error;
use crate::document;

/// Requests an engine's load report; `None` if it doesn't publish one.
///
/// # Errors
///
/// Fails if the engine can't be reached or sends no complete, valid response in
/// time.
pub async fn fetch_load(
    client: &Client,
    target: &Target,
    address: SocketAddr,
    timeout: Duration,
) -> Result<Option<LoadReport>, Error> {
    document::fetch(client, target, address, "/load", timeout).await
}
