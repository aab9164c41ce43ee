//! `chiverelay apply`: puts a configuration in force everywhere.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use chiverelay_operator::Client;
use chiverelay_operator::api::Apply;
use chiverelay_operator::api::Failure;
use chiverelay_operator::api::Versioned;
use chiverelay_operator::document;
use serde_json::json;

use super::Connection;
use super::Error;
use super::Output;
use super::diff;

/// Time in which every instance is to have a change.
const WAIT: Duration = Duration::from_secs(17);

/// Time between two looks at the instances.
const INTERVAL: Duration = Duration::from_millis(200);

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay apply --instance ADDRESS [--token-file FILE] [--expect VERSION] FILE\n    \
     Checks a configuration, puts it in force and waits until every live instance\n    \
     has it. With --expect it replaces just that version; else the one in force."
}

/// Executes the subcommand.
pub(crate) async fn execute(mut args: pico_args::Arguments, out: Output) -> Result<(), Error> {
    let conn = Connection::from_args(&mut args)?;
    let expect: Option<u64> = args.opt_value_from_str("--expect")?;
    let path: PathBuf = args.free_from_str()?;
    super::finish(args)?;
    let document = document::read(&path)?;
    let before = conn.client().config().await?;
    let expected = expect.unwrap_or(before.version);
    let req = Apply { expected, document };
    let applied = match conn.client().apply(&req).await {
        Ok(applied) => applied,
        Err(e) => return Err(explain(e, &before)?),
    };
    wait(conn.client(), applied.version).await?;
    out.print(&json!({"version": applied.version}), |_| {
        format!("version {} is in force everywhere", applied.version)
    })
}

/// Adds to a conflict what the other operator changed.
fn explain(e: chiverelay_operator::Error, before: &Versioned) -> Result<Error, Error> {
    use chiverelay_operator::Error as Call;
    match e {
        Call::Failed {
            failure: Failure::Conflict { current },
            ..
        } => Ok(Error::Conflict {
            version: current.version,
            changes: diff::changes(&before.document, &current.document)?,
        }),
        e => Ok(e.into()),
    }
}

/// Waits until every live instance reports a version.
pub(crate) async fn wait(client: &Client, version: u64) -> Result<(), Error> {
    let start = Instant::now();
    loop {
        let status = client.status().await?;
        let missing: Vec<String> = status
            .siblings
            .iter()
            .filter(|s| s.config_version < version)
            .map(|s| format!("{} ({})", s.instance, s.state))
            .collect();
        if missing.is_empty() {
            return Ok(());
        }
        if start.elapsed() > WAIT {
            return Err(Error::NotEverywhere { version, missing });
        }
        tokio::time::sleep(INTERVAL).await;
    }
}
