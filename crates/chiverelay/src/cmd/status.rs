//! `chiverelay status`: shows the instances.

use chiverelay_operator::api::Status;

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
    out.print(&status, text)
}

fn text(status: &Status) -> String {
    let mut lines: Vec<String> = std::iter::once(&status.own)
        .chain(&status.siblings)
        .map(|s| {
            format!(
                "{}  {}  {}  {}  version {}",
                s.instance, s.region, s.zone, s.state, s.config_version
            )
        })
        .collect();
    lines.push(format!("store: {}", status.store));
    lines.extend(status.counters.iter().map(|(k, v)| format!("{k}: {v}")));
    lines.join("\n")
}
