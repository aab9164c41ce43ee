//! The places of those that write idempotency keys to the store.
//!
//! A place gives its holder a larger part of the store's writes. Who holds it
//! is settled by a compare-and-swap under a lease, so that there are no more
//! places than stated while instances differ in whom they take for a writer.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::idempotency;
use chiverelay_decisions::pacing::MAX_WRITERS;
use chiverelay_store::Error;
use chiverelay_store::Held;
use chiverelay_store::Lease;
use chiverelay_store::Renewal;
use chiverelay_store::Settled;

use crate::context::Context;
use crate::operations;

/// Prefix of the places' keys.
const PREFIX: &str = "chiverelay/writers/";

/// Time for which a place is held without renewal.
const TTL: Duration = Duration::from_secs(15);

/// Time between two looks.
const PAUSE: Duration = Duration::from_secs(4);

/// Takes and keeps a place while this instance is a writer.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut place = None;
    loop {
        // The lookers of one fleet do not come together.
        let pause = PAUSE.mul_f64(0.75 + rand::random::<f64>() / 4.0);
        tokio::select! {
            () = cx.drain.cancelled() => break,
            () = tokio::time::sleep(pause) => {}
        }
        place = match (place, is_writer(&cx)) {
            (Some(place), true) => renew(&cx, place).await,
            (None, true) => take(&cx).await,
            (place, false) => {
                give_back(&cx, place).await;
                None
            }
        };
        let until = place.as_ref().map(Lease::until);
        cx.store.gate().set_place(until);
    }
    give_back(&cx, place).await;
}

/// Tells whether this instance writes for others. In a fleet of writers alone
/// the even parts are as good.
fn is_writer(cx: &Context) -> bool {
    let live = operations::live(cx);
    let chosen = idempotency::choose_writers(&live, MAX_WRITERS);
    live.len() > MAX_WRITERS && chosen.contains(&&cx.settings.instance)
}

async fn renew(cx: &Context, place: Lease<Held>) -> Option<Lease<Held>> {
    match place.renew(&cx.store).await {
        Renewal::Held(place) => Some(place),
        Renewal::Unanswered(place, e) => {
            log::warn!("writers: {e}");
            Some(place)
        }
        Renewal::Lapsed(_) => None,
    }
}

async fn take(cx: &Context) -> Option<Lease<Held>> {
    match take_free(cx).await {
        Ok(place) => place,
        Err(e) => {
            log::warn!("writers: {e}");
            None
        }
    }
}

/// Takes a free place; `None` if there is none.
async fn take_free(cx: &Context) -> Result<Option<Lease<Held>>, Error> {
    let taken = cx.store.list(PREFIX).await?;
    let keys = (0..MAX_WRITERS).map(|place| format!("{PREFIX}{place}"));
    let free = keys.filter(|key| taken.iter().all(|entry| entry.key != *key));
    let free: Vec<String> = free.collect();
    if free.is_empty() {
        return Ok(None);
    }
    let lease = cx.store.grant_lease(TTL).await?;
    // The lease's number makes the value unlike that of any other try.
    let value = format!("{} {}", cx.settings.instance, lease.id());
    for key in free {
        let swap = cx
            .store
            .swap_settled(&key, None, value.as_bytes(), Some(&lease));
        match swap.await? {
            Settled::Done => return Ok(Some(lease)),
            Settled::Conflict(_) => {}
            // The key may stand; it hangs on the lease, which is let go.
            Settled::Unknown(e) => return Err(e),
        }
    }
    lease.revoke(&cx.store).await?;
    Ok(None)
}

async fn give_back(cx: &Context, place: Option<Lease<Held>>) {
    cx.store.gate().set_place(None);
    if let Some(place) = place
        && let Err(e) = place.revoke(&cx.store).await
    {
        log::warn!("writers: {e}");
    }
}
