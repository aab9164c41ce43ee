//! `chiverelay status`: shows the instances.

use super::Connection;
use super::Error;
use super::Output;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay status --instance ADDRESS [--token-file FILE]\n    \
     Shows the instances, their states and configuration versions."
}

/// Executes the subcommand.
pub(crate) async fn execute(mut args: pico_args::Arguments, out: Output) -> Result<(), Error> {
    let conn = Connection::from_args(&mut args)?;
    super::finish(args)?;
    let status = conn.client().status().await?;
    out.print(&status, |status| {
        for s in std::iter::once(&status.own).chain(&status.siblings) {
            println!(
                "{}  {}  {}  {}  version {}",
                s.instance, s.region, s.zone, s.state, s.config_version
            );
        }
        println!("store: {}", status.store);
        for (name, count) in &status.counters {
            println!("{name}: {count}");
        }
    })
}
