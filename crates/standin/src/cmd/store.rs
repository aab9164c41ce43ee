//! `chiverelay-standin store`.

use std::sync::Arc;

use chiverelay_standin::store;
use tokio_util::sync::CancellationToken;

use super::Error;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay-standin store [--listen ADDRESS]"
}

/// Runs the subcommand.
pub(crate) async fn execute(mut args: pico_args::Arguments) -> Result<(), Error> {
    let listener = super::listen(&mut args).await?;
    store::serve(Arc::default(), listener, CancellationToken::new()).await;
    Ok(())
}
