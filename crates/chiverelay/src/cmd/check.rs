//! `chiverelay check`: checks a configuration file without applying it.

use std::path::PathBuf;

use chiverelay_operator::document;
use serde_json::json;

use super::Error;
use super::Output;

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay check FILE\n    \
     Checks a configuration whole and lists every fault with line and column."
}

/// Executes the subcommand.
pub(crate) fn execute(mut args: pico_args::Arguments, out: Output) -> Result<(), Error> {
    let path: PathBuf = args.free_from_str()?;
    super::finish(args)?;
    let document = document::read(&path)?;
    let counts = json!({
        "routes": document.routes.len(),
        "pools": document.pools.len(),
        "accounts": document.accounts.len(),
    });
    out.print(&counts, |counts| {
        format!(
            "{}: no faults; {} routes, {} pools, {} accounts",
            path.display(),
            counts["routes"],
            counts["pools"],
            counts["accounts"]
        )
    })
}
