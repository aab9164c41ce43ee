//! `chiverelay drain`: starts the graceful shutdown of one instance.

use serde_json::json;

use super::Connection;
use super::Error;
use super::Output;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay drain --instance ADDRESS [--token-file FILE]\n    \
     Starts the graceful shutdown of the instance: no new requests, open ones end."
}

/// Executes the subcommand.
pub(crate) async fn execute(mut args: pico_args::Arguments, out: Output) -> Result<(), Error> {
    let conn = Connection::from_args(&mut args)?;
    super::finish(args)?;
    conn.client().drain().await?;
    out.print(&json!({"state": "draining"}), |_| "draining".to_owned())
}
