//! Changes the stored configuration.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use chiverelay_decisions::Config;
use chiverelay_decisions::publication::Root;
use chiverelay_decisions::publication::WriteId;
use chiverelay_decisions::publication::WritePlan;
use chiverelay_decisions::publication::is_sweep_due;
use chiverelay_decisions::publication::split;
use chiverelay_decisions::step::Peer;
use chiverelay_operator::api::Failure;
use chiverelay_store::Entry;
use chiverelay_store::Put;
use chiverelay_store::Settled;
use chiverelay_store::Write;

use super::CHUNK_PREFIX;
use super::Edition;
use super::MANIFEST_KEY;
use super::fetch;
use super::put_in_force;
use super::versioned;
use crate::context::Context;

/// Bytes of values in one call of the store, beyond which one value goes.
const MAX_BATCH: usize = 512 * 1024;

/// Values in one call of the store.
const MAX_PUTS: usize = 32;

/// What the store holds before a change.
struct Stored {
    entry: Option<Entry>,
    edition: Edition,
    config: Config,
}

fn unavailable(reason: impl ToString) -> Failure {
    Failure::StoreUnavailable {
        reason: reason.to_string(),
    }
}

fn faulty(fault: impl ToString) -> Failure {
    Failure::Faulty {
        faults: vec![fault.to_string()],
    }
}

/// Changes the stored configuration with `change` and puts it in force.
pub(crate) async fn change<F>(cx: &Context, change: F) -> Result<Arc<Config>, Failure>
where
    F: FnOnce(&mut Config) -> Result<(), Failure>,
{
    let stored = read(cx).await?;
    let mut config = stored.config.clone();
    change(&mut config)?;
    config.version = stored.config.version + 1;
    check(&config)?;
    let chunks = split(&config).map_err(faulty)?;
    let writer = WriteId {
        incarnation: cx.membership.incarnation(),
        nonce: rand::random(),
    };
    let plan = stored
        .edition
        .manifest
        .plan(config.version, &chunks, writer, CHUNK_PREFIX);
    let config = Arc::new(config);
    match write(cx, &stored, &plan, writer).await? {
        Settled::Done => {
            let mut chunks = stored.edition.chunks;
            let written = plan.writes.into_iter();
            chunks.extend(written.map(|(_, chunk)| (Arc::clone(&chunk.digest), chunk)));
            let edition = Edition::new(plan.manifest, chunks);
            put_in_force(cx, Arc::clone(&config), edition, Peer::Operator);
            if is_sweep_due(config.version) {
                cx.published.sweep.store(true, Ordering::Release);
            }
            Ok(config)
        }
        Settled::Conflict(found) => {
            remove(cx, &plan).await;
            Err(conflict(cx, found).await)
        }
        Settled::Unknown(e) => Err(Failure::Unknown {
            reason: e.to_string(),
        }),
    }
}

fn check(config: &Config) -> Result<(), Failure> {
    let faults = config.check();
    if faults.is_empty() {
        return Ok(());
    }
    let faults = faults
        .iter()
        .map(|f| format!("{}: {}", f.path.join("."), f.reason))
        .collect();
    Err(Failure::Faulty { faults })
}

async fn read(cx: &Context) -> Result<Stored, Failure> {
    let (entry, edition) = match fetch::root(cx).await.map_err(unavailable)? {
        None => (None, Edition::default()),
        Some((entry, root)) => {
            let edition = fetch::from_store(cx, root).await.map_err(unavailable)?;
            (Some(entry), edition)
        }
    };
    let own = cx.tables.config.get();
    let found = edition.manifest.root.version;
    if found < own.version {
        let reason = format!("it holds version {found}, older than {}", own.version);
        return Err(unavailable(reason));
    }
    let config = match found == own.version {
        true => Config::clone(&own),
        false => edition.assemble().map_err(unavailable)?,
    };
    Ok(Stored {
        entry,
        edition,
        config,
    })
}

/// Divides the chunks to write among calls. The last batch goes with the
/// root.
fn batches(plan: &WritePlan) -> Vec<Vec<Put>> {
    let mut batches = vec![Vec::new()];
    let mut len = 0;
    for (key, chunk) in &plan.writes {
        let full = batches.last().is_some_and(|b| b.len() >= MAX_PUTS);
        if full || len > 0 && len + chunk.data.len() > MAX_BATCH {
            batches.push(Vec::new());
            len = 0;
        }
        len += chunk.data.len();
        let put = Put {
            key: key.clone(),
            value: Arc::clone(&chunk.data),
        };
        if let Some(batch) = batches.last_mut() {
            batch.push(put);
        }
    }
    batches
}

async fn write(
    cx: &Context,
    stored: &Stored,
    plan: &WritePlan,
    writer: WriteId,
) -> Result<Settled, Failure> {
    let mut batches = batches(plan);
    let last = batches.pop().unwrap_or_default();
    for batch in batches {
        if let Err(e) = write_chunks(cx, &batch).await {
            remove(cx, plan).await;
            return Err(e);
        }
    }
    let value = plan.manifest.root.encode();
    let write = Write {
        key: MANIFEST_KEY,
        expected: stored.entry.as_ref(),
        value: &value,
        lease: None,
        puts: &last,
        deletes: &plan.deletes,
    };
    let mine = |found: &[u8]| Root::parse(found).is_ok_and(|root| root.descends_from(writer));
    cx.store
        .write_settled(&write, mine)
        .await
        .map_err(unavailable)
}

async fn write_chunks(cx: &Context, batch: &[Put]) -> Result<(), Failure> {
    let Some((first, rest)) = batch.split_first() else {
        return Ok(());
    };
    let write = Write {
        key: &first.key,
        expected: None,
        value: &first.value,
        lease: None,
        puts: rest,
        deletes: &[],
    };
    let mine = |found: &[u8]| found == &*first.value;
    match cx.store.write_settled(&write, mine).await {
        Ok(Settled::Done) => Ok(()),
        Ok(Settled::Conflict(_)) => Err(unavailable("a chunk's name is taken")),
        Ok(Settled::Unknown(e)) | Err(e) => Err(unavailable(e)),
    }
}

/// Removes the chunks of a change that was not made.
async fn remove(cx: &Context, plan: &WritePlan) {
    let keys: Vec<String> = plan.writes.iter().map(|(key, _)| key.clone()).collect();
    for keys in keys.chunks(MAX_PUTS) {
        if let Err(e) = cx.store.delete(keys).await {
            log::warn!("publish: {} chunks are left behind: {e}", keys.len());
        }
    }
}

async fn conflict(cx: &Context, found: Option<Entry>) -> Failure {
    let read = async {
        let root = Root::parse(&found?.value).ok()?;
        let edition = fetch::from_store(cx, root).await.ok()?;
        edition.assemble().ok()
    };
    let current = match read.await {
        Some(config) => Arc::new(config),
        None => cx.tables.config.get(),
    };
    Failure::Conflict {
        current: Box::new(versioned(&current)),
    }
}
