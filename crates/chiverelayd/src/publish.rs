//! The configuration's way from the store to this instance and back.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::Config;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_operator::api::Document;
use chiverelay_operator::api::Failure;
use chiverelay_operator::api::Versioned;
use chiverelay_store::Entry;
use chiverelay_store::Swap;

use crate::context::Context;

/// The key that holds the configuration.
const KEY: &str = "chiverelay/config";

/// Time between two looks at the store.
const INTERVAL: Duration = Duration::from_secs(1);

/// Reads the configuration again and again until the instance stops.
pub(crate) async fn run(cx: Arc<Context>) {
    loop {
        match cx.store.get(KEY).await {
            Ok(Some(entry)) => advance(&cx, &entry),
            Ok(None) => {}
            Err(e) => log::warn!("publish: {e}"),
        }
        tokio::select! {
            () = cx.stop.cancelled() => return,
            () = tokio::time::sleep(INTERVAL) => {}
        }
    }
}

fn parse(entry: &Entry) -> Option<Config> {
    match serde_json::from_slice::<Config>(&entry.value) {
        Ok(config) if config.check().is_empty() => Some(config),
        Ok(_) => None,
        Err(e) => {
            log::error!("publish: the stored configuration is refused: {e}");
            None
        }
    }
}

fn advance(cx: &Context, entry: &Entry) {
    let Some(config) = parse(entry) else {
        return;
    };
    let version = config.version;
    if cx.tables.config.advance(Arc::new(config)) {
        log::info!("publish: version {version} is in force");
        let what = format!("version {version} in force");
        cx.note(Step::Configure, Peer::Store, what);
    }
}

/// Returns a configuration as operators see it.
pub(crate) fn versioned(config: &Config) -> Versioned {
    Versioned {
        version: config.version,
        document: Document {
            routes: config.routes.clone(),
            pools: config.pools.clone(),
            accounts: config.accounts.clone(),
        },
    }
}

/// Changes the stored configuration with `change` and puts it in force.
pub(crate) async fn change<F>(cx: &Context, change: F) -> Result<Arc<Config>, Failure>
where
    F: FnOnce(&mut Config) -> Result<(), Failure>,
{
    let unavailable = |e: chiverelay_store::Error| Failure::StoreUnavailable {
        reason: e.to_string(),
    };
    let entry = cx.store.get(KEY).await.map_err(unavailable)?;
    let mut config = match &entry {
        Some(entry) => parse(entry).ok_or_else(|| Failure::StoreUnavailable {
            reason: "the stored configuration can't be read".to_owned(),
        })?,
        None => Config::default(),
    };
    change(&mut config)?;
    config.version += 1;
    let faults = config.check();
    if !faults.is_empty() {
        let faults = faults
            .iter()
            .map(|f| format!("{}: {}", f.path.join("."), f.reason))
            .collect();
        return Err(Failure::Faulty { faults });
    }
    let value = serde_json::to_vec(&config).map_err(|e| Failure::Faulty {
        faults: vec![e.to_string()],
    })?;
    let expected = entry.map_or(0, |e| e.revision);
    let swap = cx.store.swap(KEY, expected, &value, None).await;
    let config = Arc::new(config);
    match swap {
        Ok(Swap::Done(_)) => {
            cx.tables.config.advance(Arc::clone(&config));
            Ok(config)
        }
        Ok(Swap::Conflict(current)) => {
            let current = current.as_ref().and_then(parse).unwrap_or_default();
            Err(Failure::Conflict {
                current: Box::new(versioned(&current)),
            })
        }
        Err(e) => Err(Failure::Unknown {
            reason: e.to_string(),
        }),
    }
}
