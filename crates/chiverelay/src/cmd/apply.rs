//! `chiverelay apply`: puts a configuration in force everywhere.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use chiverelay_operator::Client;
use chiverelay_operator::api::Apply;
use chiverelay_operator::api::Document;
use jsonc_parser::ParseOptions;

use super::Connection;
use super::Error;

/// Time in which every instance is to have a change.
const WAIT: Duration = Duration::from_secs(17);

/// Time between two looks at the instances.
const INTERVAL: Duration = Duration::from_millis(200);

/// Describes the subcommand.
pub(crate) fn describe() -> &'static str {
    "chiverelay apply --instance ADDRESS [--token-file FILE] FILE"
}

/// Executes the subcommand.
pub(crate) async fn execute(mut args: pico_args::Arguments) -> Result<(), Error> {
    let conn = Connection::from_args(&mut args)?;
    let path: PathBuf = args.free_from_str()?;
    let text = super::read(&path)?;
    let document: Document = jsonc_parser::parse_to_serde_value(&text, &ParseOptions::default())
        .map_err(|e| Error::Faulty {
            path,
            reason: e.to_string(),
        })?;
    let expected = conn.client().config().await?.version;
    let applied = conn.client().apply(&Apply { expected, document }).await?;
    wait(conn.client(), applied.version).await?;
    println!("version {} is in force everywhere", applied.version);
    Ok(())
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
            .map(|s| s.instance.to_string())
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
