//! `chiverelay-standin registry`.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_standin::registry;
use tokio_util::sync::CancellationToken;

use super::Error;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay-standin registry [--listen ADDRESS] [--lag-ms N]"
}

/// Runs the subcommand.
pub(crate) async fn execute(mut args: pico_args::Arguments) -> Result<(), Error> {
    let lag_ms: Option<u64> = args.opt_value_from_str("--lag-ms")?;
    let listener = super::listen(&mut args).await?;
    let registry = registry::Registry::new(Duration::from_millis(lag_ms.unwrap_or(0)));
    registry::serve(Arc::new(registry), listener, CancellationToken::new()).await;
    Ok(())
}
