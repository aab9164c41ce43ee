//! Finds other instances: in the store, in the registry's list, and by asking
//! seeds.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::membership::GossipDigest;
use chiverelay_decisions::membership::MemberStatus;
use chiverelay_decisions::membership::MemberUpdate;
use chiverelay_decisions::membership::Profile;
use chiverelay_decisions::names::Instance;
use chiverelay_registry as registry;
use chiverelay_registry::Listed;

use super::heartbeat;
use super::record;
use super::update_tables;
use crate::context::Context;

/// Time between two lists of the store for an instance that hears others.
const INTERVAL: Duration = Duration::from_secs(60);

/// Time between two lists of the store for an instance that hears nobody.
const ALONE: Duration = Duration::from_secs(1);

/// Time between two lists of the registry.
const REGISTRY_INTERVAL: Duration = Duration::from_secs(4);

/// Lists of the registry after which this instance registers anew.
const REGISTER_EVERY: u64 = 15;

fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(0.5 + rand::random::<f64>() / 2.0)
}

fn word(instance: Instance, incarnation: u64, profile: Profile) -> MemberUpdate {
    MemberUpdate {
        instance,
        incarnation,
        // A record does not say whether the instance takes work.
        status: MemberStatus::Starting,
        config_version: 0,
        profile: Some(profile),
    }
}

fn learn(cx: &Context, words: Vec<MemberUpdate>) {
    let digest = GossipDigest {
        updates: words,
        ..GossipDigest::default()
    };
    let now = cx.clock.now();
    cx.membership.roster.lock().apply_digest(None, &digest, now);
    update_tables(cx);
}

/// Lists the store now and then until the instance stops.
pub(super) async fn run(cx: Arc<Context>) {
    loop {
        match cx.store.list(record::PREFIX).await {
            Ok(entries) => {
                let records = entries
                    .iter()
                    .filter_map(|e| serde_json::from_slice::<record::Record>(&e.value).ok());
                let words = records.map(|r| word(r.instance, r.incarnation, r.profile));
                learn(&cx, words.collect());
            }
            Err(e) => log::debug!("members: {e}"),
        }
        if cx.tables.siblings.is_empty() {
            heartbeat::ask_seeds(&cx).await;
        }
        let pause = match cx.tables.siblings.is_empty() {
            true => ALONE,
            false => INTERVAL,
        };
        tokio::select! {
            () = cx.stop.cancelled() => return,
            () = tokio::time::sleep(jittered(pause)) => {}
        }
    }
}

/// Registers in the directory for clients and takes the hints of the
/// registry's list until the instance drains.
pub(super) async fn follow_registry(cx: Arc<Context>) {
    let Some(registry) = &cx.registry else {
        return;
    };
    let mut lists = 0;
    loop {
        if lists % REGISTER_EVERY == 0
            && let Err(e) = register(&cx, registry).await
        {
            log::warn!("members: {e}");
        }
        match registry.list().await {
            Ok(listed) => take_hints(&cx, listed),
            Err(e) => log::debug!("members: {e}"),
        }
        lists += 1;
        tokio::select! {
            () = cx.drain.cancelled() => return,
            () = tokio::time::sleep(jittered(REGISTRY_INTERVAL)) => {}
        }
    }
}

async fn register(cx: &Context, registry: &registry::Registry) -> Result<(), registry::Error> {
    let own = cx.membership.roster.lock().own_update().clone();
    match &own.profile {
        Some(profile) => {
            registry
                .register(&own.instance, own.incarnation, profile)
                .await
        }
        None => Ok(()),
    }
}

/// Gives no new work to what the platform calls leaving, and learns of
/// instances. What the list does not have means nothing.
fn take_hints(cx: &Context, listed: Vec<Listed>) {
    let leaving = listed.iter().filter(|l| l.leaving);
    *cx.membership.leaving.lock() = leaving.map(|l| l.instance.clone()).collect();
    let words = listed.into_iter().filter(|l| !l.leaving);
    let words = words.filter_map(|l| Some(word(l.instance, l.incarnation, l.profile?)));
    learn(cx, words.collect());
}
