//! What instances tell each other several times a second: what they have at
//! the targets and of the accounts' limits.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::traffic::PromptPartUse;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Message;
use chiverelay_sibling::Status;

use crate::Dialect;
use crate::Gateway;
use crate::MemberState;

/// Time between two statuses among few instances.
const INTERVAL: Duration = Duration::from_millis(250);

/// Instances up to which statuses go out at [`INTERVAL`]; among more they go
/// out more seldom, so that each instance hears as many a second.
const FEW: u32 = 8;

/// Longest time between two statuses.
const MAX_INTERVAL: Duration = Duration::from_millis(600);

/// Statuses to the own region for each that goes to other regions, whose links
/// are slow and shared.
const FAR_EVERY: u64 = 3;

/// Statuses to other regions for each that says what is left of the accounts'
/// limits.
const FAR_PARTS_EVERY: u64 = 3;

/// Parts of prompts of which other regions are told at once.
const MAX_FAR_USES: usize = 256;

/// Returns the time between two statuses to so many instances of the region.
fn interval(near: usize) -> Duration {
    let near = u32::try_from(near).unwrap_or(u32::MAX);
    (INTERVAL * near.max(FEW) / FEW).min(MAX_INTERVAL)
}

/// Keeps links to the others and tells them this instance's status.
pub(crate) async fn run<D>(gateway: Arc<Gateway<D>>)
where
    D: Dialect,
{
    let mut sequence = 0;
    let mut far_uses = Vec::new();
    let telling = async {
        loop {
            let others = gateway.members.others();
            let here = &gateway.settings.region;
            let pause = interval(others.iter().filter(|r| r.region == *here).count());
            let now = gateway.clock.now();
            gateway.expire(now);
            for record in gateway.links.start_dialing(others, now) {
                let gateway = Arc::clone(&gateway);
                tokio::spawn(async move { gateway.links.dial(&record, now).await });
            }
            sequence += 1;
            gateway.tell_all(sequence, &mut far_uses, now).await;
            tokio::time::sleep(pause).await;
        }
    };
    gateway.stop.run_until_cancelled(telling).await;
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    fn expire(&self, now: Duration) {
        self.beliefs.expire(now);
        for name in self.members.expire(now) {
            log::info!(target: "members", instance = name.as_str(); "instance is gone");
            self.beliefs.traffic.lock().remove_instance(&name, now);
        }
    }

    async fn tell_all(&self, sequence: u64, far_uses: &mut Vec<PromptPartUse>, now: Duration) {
        let links = self.links.open();
        if links.is_empty() {
            return;
        }
        let mut gifts = self.allowances.give(now);
        let status = self.own_status(sequence, now);
        let is_far_turn = sequence.is_multiple_of(FAR_EVERY);
        let room = MAX_FAR_USES.saturating_sub(far_uses.len());
        far_uses.extend(status.uses.iter().take(room).cloned());
        for link in links {
            let gifts = gifts.remove(&link.peer().instance).unwrap_or_default();
            let is_far = link.peer().region != self.settings.region;
            if is_far && gifts.is_empty() && !is_far_turn {
                continue;
            }
            let mut status = Status {
                gifts,
                ..status.clone()
            };
            if is_far {
                status.uses = if is_far_turn {
                    far_uses.clone()
                } else {
                    Vec::new()
                };
            }
            if is_far && !(sequence / FAR_EVERY).is_multiple_of(FAR_PARTS_EVERY) {
                status.parts.clear();
            }
            if let Err(e) = link.tell(Message::Status(status)).await {
                log::debug!(target: "links", error:% = e; "status not sent");
            }
        }
        if is_far_turn {
            far_uses.clear();
        }
    }

    fn own_status(&self, sequence: u64, now: Duration) -> Status {
        let parts = self.allowances.status(now);
        let mut traffic = self.beliefs.traffic.lock();
        Status {
            sequence,
            incarnation: self.incarnation,
            ready: self.members.own_state() == MemberState::Ready,
            counts: traffic.local_counts(),
            uses: traffic.drain_part_uses(),
            parts,
            gifts: Vec::new(),
        }
    }

    /// Takes another instance's status.
    pub(crate) fn hear(&self, from: &Identity, status: Status) {
        let now = self.clock.now();
        let name: &Instance = &from.instance;
        if !self
            .members
            .hear(name, status.incarnation, status.ready, now)
        {
            return;
        }
        let mut traffic = self.beliefs.traffic.lock();
        traffic.update_remote_counts(name, status.counts, now);
        traffic.record_remote_part_uses(status.uses, now);
        drop(traffic);
        if !status.parts.is_empty() {
            self.allowances.tell(name, status.parts, now);
        }
        self.allowances.receive(status.gifts, now);
    }
}
