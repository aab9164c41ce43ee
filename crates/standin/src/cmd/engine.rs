//! `chiverelay-standin engine`.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_standin::engine;
use tokio_util::sync::CancellationToken;

use super::Error;

/// Time for a word of an answer, in milliseconds, unless stated.
const TOKEN_MS: u64 = 5;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay-standin engine [--listen ADDRESS] [--name NAME] [--token-ms N]"
}

/// Runs the subcommand.
pub(crate) async fn execute(mut args: pico_args::Arguments) -> Result<(), Error> {
    let name: Option<String> = args.opt_value_from_str("--name")?;
    let token_ms: Option<u64> = args.opt_value_from_str("--token-ms")?;
    let listener = super::listen(&mut args).await?;
    let token_time = Duration::from_millis(token_ms.unwrap_or(TOKEN_MS));
    let engine = engine::Engine::new(name.as_deref().unwrap_or("engine"), token_time);
    engine::serve(Arc::new(engine), listener, CancellationToken::new()).await;
    Ok(())
}
