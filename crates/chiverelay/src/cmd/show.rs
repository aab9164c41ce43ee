//! `chiverelay show`: shows the configuration in force.

use super::Connection;
use super::Error;
use super::Output;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay show --instance ADDRESS [--token-file FILE]\n    \
     Shows the configuration in force, as a document that apply takes."
}

/// Executes the subcommand.
pub(crate) async fn execute(mut args: pico_args::Arguments, out: Output) -> Result<(), Error> {
    let conn = Connection::from_args(&mut args)?;
    super::finish(args)?;
    let config = conn.client().config().await?;
    let document = serde_json::to_string_pretty(&config.document)?;
    out.print(&config, |config| {
        format!("// Version {}.\n{document}", config.version)
    })
}
