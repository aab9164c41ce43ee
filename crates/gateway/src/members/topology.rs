//! The topology that follows from the known instances, and what they hear of
//! each other through hubs.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use chiverelay_decisions::audience::Audience;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::topology::Candidate;
use chiverelay_sibling::HeardInstance;

use super::MemberRecord;
use super::MemberState;
use super::Members;
use super::table::Member;
use super::table::SILENCE_TIMEOUT;
use crate::topology::RegionMembers;
use crate::topology::Topology;

impl Members {
    /// Determines which instances this one exchanges messages with.
    /// `is_cut_off` tells whether it reaches no target of its region, `failed_at`
    /// when hubs gave it no answer.
    ///
    /// What others tell of a hub counts up to when this instance was last informed.
    /// That doesn't show the end of those that informed it, so a hub's failure
    /// counts until it is heard again.
    pub(crate) fn topology(
        &self,
        is_cut_off: bool,
        failed_at: HashMap<Instance, Duration>,
        now: Duration,
    ) -> Topology {
        let own = self.own.borrow().clone();
        let table = self.table.lock();
        let mut regions: HashMap<Region, RegionMembers> = HashMap::new();
        for (region, max_known) in &table.max_known_by_region {
            let members = regions.entry(region.clone()).or_default();
            members.max_known = *max_known;
        }
        let in_own_region = regions.entry(own.region.clone()).or_default();
        in_own_region.max_known = in_own_region.max_known.max(1);
        in_own_region.candidates.extend(candidate(&own));
        for member in table.members.values() {
            let region = regions.entry(member.record.region.clone()).or_default();
            region.candidates.extend(candidate(&member.record));
            if table.is_ready(member, now) {
                region.ready.push(member.record.instance.clone());
            }
        }
        let substitutes = match is_cut_off {
            true => table.list_reaching_in(&own.region, now),
            false => Vec::new(),
        };
        let is_unheard = |(hub, at): (Instance, Duration)| {
            let member = table.members.get(&hub);
            let is_heard = member.is_some_and(|member| member.last_seen() > at);
            (!is_heard).then_some(hub)
        };
        let failed: HashSet<Instance> = failed_at.into_iter().filter_map(is_unheard).collect();
        drop(table);
        let mut topology = Topology::new(&own.instance, &own.region, regions, &failed);
        topology.link_substitutes(&own.instance, &substitutes);
        topology
    }

    /// Lists the records of the other instances among `names`.
    pub(crate) fn list_records<'a, I>(&self, names: I) -> Vec<MemberRecord>
    where
        I: IntoIterator<Item = &'a Instance>,
    {
        let table = self.table.lock();
        let known = names.into_iter().filter_map(|name| table.members.get(name));
        known.map(|member| member.record.clone()).collect()
    }

    /// Records that packets arrived from the process of another instance that
    /// has a certificate.
    pub(crate) fn record_contact(&self, from: &Instance, certificate: &str, now: Duration) {
        let mut table = self.table.lock();
        if let Some(member) = table.members.get_mut(from)
            && member.record.certificate == certificate
        {
            member.last_status_at = Some(now);
        }
    }

    /// Records that this instance was told now of all that can be heard, so
    /// that the silence of an instance counts up to now.
    pub(crate) fn record_informed(&self, now: Duration) {
        self.table.lock().informed_at = now;
    }

    /// Tells whether [`Members::record_informed`] was called.
    pub(crate) fn has_been_informed(&self) -> bool {
        !self.table.lock().informed_at.is_zero()
    }

    /// Lists the instances that were heard lately and that an audience is told
    /// of.
    pub(crate) fn list_heard(&self, audience: Audience<'_>, now: Duration) -> Vec<HeardInstance> {
        let table = self.table.lock();
        let told = table.members.iter();
        let told = told.filter(|(name, _)| audience.includes_instance(name));
        let heard = told.filter_map(|(_, member)| {
            let age = now.saturating_sub(member.last_status_at?);
            (age < SILENCE_TIMEOUT).then_some(HeardInstance {
                incarnation: member.record.incarnation,
                is_ready: member.is_ready_by_status,
                is_cut_off: member.is_cut_off,
                age_ms: age.as_millis() as u32,
            })
        });
        heard.collect()
    }

    /// Records the instances that another one has heard.
    pub(crate) fn record_heard(&self, heard: &[HeardInstance], now: Duration) {
        if heard.is_empty() {
            return;
        }
        let by_process: HashMap<u64, &HeardInstance> = heard
            .iter()
            .map(|heard| (heard.incarnation, heard))
            .collect();
        let mut table = self.table.lock();
        for member in table.members.values_mut() {
            if let Some(heard) = by_process.get(&member.record.incarnation) {
                record_heard_member(member, heard, now);
            }
        }
    }
}

fn record_heard_member(member: &mut Member, heard: &HeardInstance, now: Duration) {
    let heard_at = now.saturating_sub(Duration::from_millis(heard.age_ms.into()));
    if member.last_status_at.is_none_or(|known| known < heard_at) {
        member.last_status_at = Some(heard_at);
        member.is_ready_by_status = heard.is_ready;
        member.is_cut_off = heard.is_cut_off;
    }
}

/// Returns an instance as a candidate for a hub, unless it is shutting down.
fn candidate(record: &MemberRecord) -> Option<Candidate> {
    (record.state != MemberState::Leaving).then(|| Candidate {
        instance: record.instance.clone(),
        capacity: record.capacity,
    })
}
