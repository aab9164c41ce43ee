//! Withdrawn keys: ends what runs under them, tells siblings and the store.
//!
//! A withdrawal counts from the moment at which one instance has taken it.
//! It spreads by a push to every known instance, by the digest that goes
//! along with signs of life, and with the configuration.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::keys;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::KeyId;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::NotDispatched;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::ShardedMap;
use chiverelay_operator::api::Failure;
use chiverelay_sibling::Message;
use tokio_util::sync::CancellationToken;

use crate::context::Context;
use crate::members;
use crate::publish;

/// Time between two looks at the configuration and at what is not durable.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time between two tries to make withdrawals durable.
const RETRY: Duration = Duration::from_secs(2);

/// Time that the other instances of a region leave to the first one.
const SECOND_CHANCE: Duration = Duration::from_secs(10);

/// Tries at a change that other operators keep racing.
const ATTEMPTS: usize = 8;

/// Time for a sibling to take a withdrawal.
const PUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest public part of a key in bytes.
const MAX_ID: usize = 64;

/// What runs under each key.
#[derive(Debug)]
pub(crate) struct Running {
    by_key: ShardedMap<KeyId, Entry>,
}

/// # Invariants
///
/// `count` is the number of [`Under`]s with the entry's key; an entry is
/// removed with the last of them.
#[derive(Debug)]
struct Entry {
    cut: CancellationToken,
    count: usize,
}

impl Running {
    /// Makes an empty table.
    pub(crate) fn new() -> Self {
        Self {
            by_key: ShardedMap::new(LockRank::Keys),
        }
    }

    fn cut(&self, id: &KeyId) {
        self.by_key.with(id, |entry| {
            if let Some(entry) = entry {
                entry.cut.cancel();
            }
        });
    }
}

/// Something that runs under a key for as long as this lives.
#[derive(Debug)]
pub(crate) struct Under {
    running: Arc<Running>,
    id: Option<KeyId>,
    cut: CancellationToken,
}

impl Under {
    /// Tells whether the key is withdrawn.
    pub(crate) fn is_withdrawn(&self) -> bool {
        self.cut.is_cancelled()
    }

    /// Waits until the key is withdrawn; forever without a key.
    pub(crate) async fn withdrawn(&self) {
        self.cut.cancelled().await;
    }
}

/// Refuses a request whose key was withdrawn before it was dispatched.
pub(crate) fn refuse<S, O>(req: Request<S, O>) -> Refusal
where
    S: NotDispatched,
{
    req.refuse(Code::Unauthenticated, Step::Authenticate, Peer::Local)
}

impl Drop for Under {
    fn drop(&mut self) {
        let Some(id) = &self.id else {
            return;
        };
        self.running.by_key.remove_if(id, |entry| {
            entry.count -= 1;
            entry.count == 0
        });
    }
}

/// Notes that something runs under a key from now on.
pub(crate) fn enter(cx: &Context, id: Option<&KeyId>) -> Under {
    let Some(id) = id else {
        return Under {
            running: Arc::clone(&cx.running),
            id: None,
            cut: CancellationToken::new(),
        };
    };
    let make = || Entry {
        cut: CancellationToken::new(),
        count: 0,
    };
    let cut = cx.running.by_key.with_or_insert(id, make, |entry| {
        entry.count += 1;
        entry.cut.clone()
    });
    // The withdrawal may have come after admission and before the entry.
    if cx.tables.withdrawn_keys.lock().contains(id) {
        cut.cancel();
    }
    Under {
        running: Arc::clone(&cx.running),
        id: Some(id.clone()),
        cut,
    }
}

/// Takes withdrawals from an operator or a sibling; returns what is new.
pub(crate) fn learn(cx: &Context, ids: Vec<KeyId>, peer: &Peer) -> Vec<KeyId> {
    let valid = ids.into_iter().filter(is_valid);
    let new = cx.tables.withdrawn_keys.lock().add(valid);
    for id in &new {
        log::info!("keys: {id} is withdrawn, says {peer}");
        cx.note(
            Step::Authenticate,
            peer.clone(),
            format!("key {id} withdrawn"),
        );
        cx.running.cut(id);
    }
    new
}

/// Tells whether a text may be a key's public part.
pub(crate) fn is_valid(id: &KeyId) -> bool {
    let id = id.as_str();
    !id.is_empty() && id.len() <= MAX_ID && id.bytes().all(|b| b.is_ascii_alphanumeric())
}

/// Tells every known instance of withdrawals.
pub(crate) fn push(cx: &Arc<Context>, ids: &[KeyId]) {
    let mut names = Vec::new();
    cx.members.for_each(|name, _| names.push(name.clone()));
    for name in names {
        let cx = Arc::clone(cx);
        let ids = ids.to_vec();
        tokio::spawn(async move { exchange(&cx, &name, ids).await });
    }
}

/// Exchanges what is not durable yet with a sibling whose digest differs.
pub(crate) fn compare(cx: &Arc<Context>, name: &Instance, digest: u64) {
    let withdrawn = cx.tables.withdrawn_keys.lock();
    if withdrawn.pending_digest() == digest {
        return;
    }
    let ids = withdrawn.pending();
    drop(withdrawn);
    let (cx, name) = (Arc::clone(cx), name.clone());
    tokio::spawn(async move { exchange(&cx, &name, ids).await });
}

async fn exchange(cx: &Context, name: &Instance, ids: Vec<KeyId>) {
    let asked = async {
        let link = members::link(cx, name).await?;
        link.ask(cx.events.latest(), Message::Withdrawn(ids)).await
    };
    match tokio::time::timeout(PUSH_TIMEOUT, asked).await {
        Ok(Ok(reply)) => {
            cx.events.advance_clock(reply.stamp);
            if let Message::Withdrawn(ids) = reply.message {
                learn(cx, ids, &Peer::Sibling(name.clone()));
            }
        }
        Ok(Err(e)) => log::debug!("keys: {e}"),
        Err(_) => log::debug!("keys: {name} is silent"),
    }
}

/// Writes withdrawals into the stored configuration.
///
/// # Errors
///
/// Fails if the store can't be reached, or holds none of the keys.
pub(crate) async fn make_durable(cx: &Context, ids: &[KeyId]) -> Result<(), Failure> {
    let mut result = Ok(());
    for _ in 0..ATTEMPTS {
        result = try_durable(cx, ids).await;
        if !matches!(result, Err(Failure::Conflict { .. })) {
            break;
        }
    }
    result
}

async fn try_durable(cx: &Context, ids: &[KeyId]) -> Result<(), Failure> {
    let mut unknown = Vec::new();
    let mut done = false;
    let changed = publish::change(cx, |config| {
        done = ids
            .iter()
            .all(|id| config.keys.get(id).is_none_or(|key| key.withdrawn));
        unknown = keys::withdraw(config, ids);
        if done {
            // There is nothing to write.
            return Err(Failure::NotFound {
                what: "key in force".to_owned(),
            });
        }
        Ok(())
    })
    .await;
    if done || changed.is_ok() {
        let mut withdrawn = cx.tables.withdrawn_keys.lock();
        unknown.iter().for_each(|id| withdrawn.drop_pending(id));
    }
    match changed {
        Ok(config) => {
            cx.tables.withdrawn_keys.lock().merge_config(&config);
            Ok(())
        }
        Err(_) if done && unknown.len() < ids.len() => Ok(()),
        Err(e) => Err(e),
    }
}

/// Takes withdrawals out of new configurations and makes the others durable,
/// until the instance stops.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut version = 0;
    let mut since = None;
    loop {
        let config = cx.tables.config.get();
        if config.version != version {
            version = config.version;
            let new = cx.tables.withdrawn_keys.lock().merge_config(&config);
            for id in &new {
                log::info!("keys: {id} is withdrawn, says version {version}");
                cx.running.cut(id);
            }
        }
        since = settle(&cx, since).await;
        tokio::select! {
            () = cx.stop.cancelled() => return,
            () = tokio::time::sleep(INTERVAL) => {}
        }
    }
}

/// Tries to make withdrawals durable, if any wait; returns since when, or when
/// the last try failed.
async fn settle(cx: &Context, since: Option<Duration>) -> Option<Duration> {
    let ids = cx.tables.withdrawn_keys.lock().pending();
    if ids.is_empty() {
        return None;
    }
    let now = cx.clock.now();
    let since = since.unwrap_or(now);
    let wait = if is_first(cx) { RETRY } else { SECOND_CHANCE };
    if now < since + wait {
        return Some(since);
    }
    match make_durable(cx, &ids).await {
        Ok(()) => log::info!("keys: {} withdrawals are durable", ids.len()),
        Err(e) => log::warn!("keys: withdrawals are not durable yet: {e}"),
    }
    Some(cx.clock.now())
}

/// Tells whether this is the first by name of the region's instances.
fn is_first(cx: &Context) -> bool {
    let mut first = true;
    cx.tables.siblings.for_each(|name, sibling| {
        let here = sibling.region == cx.settings.region;
        first &= !(here && sibling.serving && *name < cx.settings.instance);
    });
    first
}
