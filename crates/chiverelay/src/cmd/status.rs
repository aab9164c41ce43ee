//! `chiverelay status`: shows the instances.

use super::Connection;
use super::Error;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay status --instance ADDRESS [--token-file FILE]"
}

/// Executes the subcommand.
pub(crate) async fn execute(mut args: pico_args::Arguments) -> Result<(), Error> {
    let conn = Connection::from_args(&mut args)?;
    let status = conn.client().status().await?;
    for s in std::iter::once(&status.own).chain(&status.siblings) {
        println!(
            "{}  {}  {}  {}  version {}",
            s.instance, s.region, s.zone, s.state, s.config_version
        );
    }
    Ok(())
}
