//! This instance's record in the store, which hangs on a lease.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::membership::Profile;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_store::Error;
use chiverelay_store::Held;
use chiverelay_store::Lease;
use chiverelay_store::Renewal;
use chiverelay_store::Settled;
use serde::Deserialize;
use serde::Serialize;

use crate::context::Context;

/// Prefix of the keys that hold the instances' records.
pub(super) const PREFIX: &str = "chiverelay/instances/";

/// Renewals in the time to live of a lease.
const RENEWALS: u32 = 3;

/// Time between two tries to write the record.
const RETRY: Duration = Duration::from_secs(2);

/// An instance's record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Record {
    /// The instance.
    pub(super) instance: Instance,
    /// Its incarnation.
    pub(super) incarnation: u64,
    /// Where it is.
    pub(super) profile: Profile,
}

fn key(cx: &Context) -> String {
    format!("{PREFIX}{}", cx.settings.instance)
}

fn own(cx: &Context) -> Record {
    let roster = cx.membership.roster.lock();
    let own = roster.own_update();
    Record {
        instance: own.instance.clone(),
        incarnation: own.incarnation,
        // INVARIANT: the word on the instance itself has its profile.
        profile: own.profile.clone().expect("the own profile"),
    }
}

/// Starts a new incarnation if the lease has lapsed since it was last looked
/// at, as after a pause. Nothing is said in the name of the old one after.
pub(super) fn check(cx: &Context) {
    let lapse = |lease: &mut Option<Lease<Held>>| {
        let lapsed = lease.as_ref().is_some_and(|lease| !lease.is_valid());
        if lapsed {
            *lease = None;
        }
        lapsed
    };
    if !cx.membership.lease.send_if_modified(lapse) {
        return;
    }
    let wall = cx.clock.wall();
    let incarnation = cx.membership.roster.lock().reincarnate(wall);
    log::warn!("members: the lease lapsed; incarnation {incarnation}");
    let what = format!("lease lapsed, incarnation {incarnation}");
    cx.note(Step::Store, Peer::Store, what);
}

/// Keeps the lease until the instance stops, and the record until it drains.
pub(super) async fn run(cx: Arc<Context>) {
    let ttl = Duration::from_secs(cx.settings.store.lease_seconds as u64);
    let mut lease = None;
    loop {
        check(&cx);
        let pause;
        (lease, pause) = renew(&cx, lease, ttl).await;
        if lease.is_some() {
            cx.membership.lease.send_replace(lease.clone());
        }
        // Instances that started together do not call together for long.
        let pause = pause.mul_f64(0.75 + rand::random::<f64>() / 4.0);
        tokio::select! {
            () = cx.stop.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Renews the lease or writes the record anew, and says when to do so again.
async fn renew(
    cx: &Context,
    lease: Option<Lease<Held>>,
    ttl: Duration,
) -> (Option<Lease<Held>>, Duration) {
    if let Some(lease) = lease {
        match lease.renew(&cx.store).await {
            Renewal::Held(lease) => return (Some(lease), ttl / RENEWALS),
            Renewal::Unanswered(lease, e) => {
                log::warn!("members: {e}");
                return (Some(lease), RETRY.min(ttl / RENEWALS));
            }
            Renewal::Lapsed(_) => check(cx),
        }
    }
    if cx.drain.is_cancelled() {
        return (None, RETRY);
    }
    match write(cx, ttl).await {
        Ok(lease) => (Some(lease), ttl / RENEWALS),
        Err(e) => {
            log::warn!("members: {e}");
            (None, RETRY)
        }
    }
}

async fn write(cx: &Context, ttl: Duration) -> Result<Lease<Held>, Error> {
    let lease = cx.store.grant_lease(ttl).await?;
    let key = key(cx);
    // INVARIANT: strings and numbers can always be encoded.
    let value = serde_json::to_vec(&own(cx)).expect("a record can be encoded");
    let expected = cx.store.get(&key).await?;
    let settled = cx
        .store
        .swap_settled(&key, expected.as_ref(), &value, Some(&lease));
    match settled.await? {
        Settled::Done => Ok(lease),
        Settled::Conflict(_) => Err(Error::Malformed {
            reason: format!("{key} is written by another process"),
        }),
        Settled::Unknown(e) => Err(e),
    }
}

/// Takes the record out of the store if it is this incarnation's.
pub(super) async fn remove(cx: &Context) {
    let removed = async {
        let key = key(cx);
        let Some(entry) = cx.store.get(&key).await? else {
            return Ok(());
        };
        let record = serde_json::from_slice::<Record>(&entry.value);
        if record.is_ok_and(|r| r.incarnation == cx.membership.incarnation()) {
            cx.store.remove(&entry).await?;
        }
        Ok::<_, Error>(())
    };
    if let Err(e) = removed.await {
        log::warn!("members: {e}");
    }
}
