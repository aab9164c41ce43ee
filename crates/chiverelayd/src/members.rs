//! The other instances: who they are, and signs of life between them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::Sibling;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Zone;
use chiverelay_sibling as sibling;
use chiverelay_sibling::Heartbeat;
use chiverelay_sibling::Link;
use chiverelay_sibling::Message;
use chiverelay_sibling::Up;
use chiverelay_store::Held;
use chiverelay_store::Lease;
use chiverelay_store::Renewal;
use serde::Deserialize;
use serde::Serialize;
use tokio::task::JoinSet;

use crate::context::Context;
use crate::keys;
use crate::shares;

/// Prefix of the keys that hold the instances' records.
const PREFIX: &str = "chiverelay/instances/";

/// Time after which a record of a dead instance is gone.
const LEASE: Duration = Duration::from_secs(10);

/// Time between two signs of life.
const INTERVAL: Duration = Duration::from_secs(1);

/// A sibling that was not heard for so long takes no new work.
pub(crate) const SILENCE: Duration = Duration::from_secs(3);

/// The addresses that an instance listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Addresses {
    /// For callers.
    pub(crate) caller: SocketAddr,
    /// For operators.
    pub(crate) operator: SocketAddr,
    /// For siblings.
    pub(crate) sibling: SocketAddr,
    /// Where the endpoint for siblings listens.
    pub(crate) listening: SocketAddr,
}

/// An instance's record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Member {
    /// Name.
    pub(crate) instance: Instance,
    /// Region.
    pub(crate) region: Region,
    /// Availability zone.
    pub(crate) zone: Zone,
    /// Addresses.
    pub(crate) addresses: Addresses,
    /// Configuration version, as last heard.
    #[serde(default)]
    pub(crate) config_version: u64,
}

/// Keeps the record and the links until the instance stops.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut lease = None;
    loop {
        if !cx.drain.is_cancelled() {
            lease = renew(&cx, lease).await;
        }
        refresh(&cx).await;
        beat(&cx).await;
        cx.metrics.queue_depth(cx.pool.waiting());
        cx.metrics.store_calls(cx.store.gate().calls());
        cx.store.gate().set_fleet(cx.members.len() as u32 + 1);
        tokio::select! {
            () = cx.stop.cancelled() => return,
            () = tokio::time::sleep(INTERVAL) => {}
        }
    }
}

fn key(instance: &Instance) -> String {
    format!("{PREFIX}{instance}")
}

fn own(cx: &Context) -> Member {
    Member {
        instance: cx.settings.instance.clone(),
        region: cx.settings.region.clone(),
        zone: cx.settings.zone.clone(),
        addresses: cx.addresses.clone(),
        config_version: 0,
    }
}

async fn renew(cx: &Context, lease: Option<Lease<Held>>) -> Option<Lease<Held>> {
    if let Some(lease) = lease {
        match lease.renew(&cx.store).await {
            Renewal::Held(lease) => return Some(lease),
            Renewal::Unanswered(lease, e) => {
                log::warn!("members: {e}");
                return Some(lease);
            }
            Renewal::Lapsed(_) => log::warn!("members: the lease lapsed"),
        }
    }
    match record(cx).await {
        Ok(lease) => Some(lease),
        Err(e) => {
            log::warn!("members: {e}");
            None
        }
    }
}

async fn record(cx: &Context) -> Result<Lease<Held>, chiverelay_store::Error> {
    let lease = cx.store.grant_lease(LEASE).await?;
    let key = key(&cx.settings.instance);
    let value = serde_json::to_vec(&own(cx)).unwrap_or_default();
    let expected = cx.store.get(&key).await?.map_or(0, |e| e.revision);
    cx.store.swap(&key, expected, &value, Some(&lease)).await?;
    Ok(lease)
}

async fn refresh(cx: &Context) {
    let Ok(entries) = cx.store.list(PREFIX).await else {
        return;
    };
    let members: Vec<Member> = entries
        .iter()
        .filter_map(|e| serde_json::from_slice(&e.value).ok())
        .filter(|m: &Member| m.instance != cx.settings.instance)
        .collect();
    cx.members
        .retain(|name, _| members.iter().any(|m| m.instance == *name));
    for member in members {
        let name = member.instance.clone();
        cx.members.with_or(
            &name,
            || member.clone(),
            |m| {
                m.addresses = member.addresses.clone();
            },
        );
    }
}

/// Returns a link to an instance, made if there is none.
pub(crate) async fn link(cx: &Context, instance: &Instance) -> Result<Link<Up>, sibling::Error> {
    let open = cx.links.with(instance, |link| link.cloned());
    if let Some(link) = open
        && !link.is_lost()
    {
        return Ok(link);
    }
    let member = cx.members.with(instance, |m| m.cloned());
    let Some(member) = member else {
        return Err(sibling::Error::Connect {
            instance: instance.clone(),
            reason: "no such instance".to_owned(),
        });
    };
    let link = cx
        .endpoint
        .connect(instance, &member.region, member.addresses.sibling)
        .await?;
    cx.links.insert(instance.clone(), link.clone());
    Ok(link)
}

async fn beat(cx: &Arc<Context>) {
    let mut members = Vec::new();
    cx.members.for_each(|_, m| members.push(m.clone()));
    let mut beats = JoinSet::new();
    for member in members {
        let cx = Arc::clone(cx);
        beats.spawn(async move { beat_one(&cx, &member).await });
    }
    beats.join_all().await;
}

async fn beat_one(cx: &Arc<Context>, member: &Member) {
    let message = Message::Heartbeat(heartbeat(cx));
    let asked = async {
        let link = link(cx, &member.instance).await?;
        link.ask(cx.events.latest(), message).await
    };
    match tokio::time::timeout(SILENCE, asked).await {
        Ok(Ok(reply)) => {
            cx.events.observe(reply.stamp);
            if let Message::Heartbeat(beat) = reply.message {
                hear(cx, &member.instance, &member.region, &beat);
            }
        }
        Ok(Err(e)) => log::debug!("members: {e}"),
        Err(_) => log::debug!("members: {} is silent", member.instance),
    }
    let now = cx.clock.now();
    cx.tables.siblings.retain(|_, s| s.heard + SILENCE > now);
}

/// Returns this instance's sign of life.
pub(crate) fn heartbeat(cx: &Context) -> Heartbeat {
    // The lock must be gone before the summaries take theirs.
    let withdrawn = cx.tables.withdrawn.lock().digest();
    Heartbeat {
        serving: !cx.drain.is_cancelled()
            && cx.synced.load(Ordering::Acquire)
            && shares::is_ready(cx),
        config_version: cx.tables.config.get().version,
        withdrawn,
        summaries: gateway::summaries(&cx.tables, &cx.settings.region, cx.clock.now()),
    }
}

/// Takes note of a sibling's sign of life.
pub(crate) fn hear(cx: &Arc<Context>, instance: &Instance, region: &Region, beat: &Heartbeat) {
    let sibling = Sibling {
        region: region.clone(),
        heard: cx.clock.now(),
        serving: beat.serving,
        summaries: beat.summaries.clone(),
    };
    cx.tables.siblings.insert(instance.clone(), sibling);
    keys::compare(cx, instance, beat.withdrawn);
    cx.members.with(instance, |m| {
        if let Some(m) = m {
            m.config_version = beat.config_version;
        }
    });
}

/// Takes this instance's record out of the store and tells the siblings.
pub(crate) async fn leave(cx: &Arc<Context>) {
    beat(cx).await;
}
