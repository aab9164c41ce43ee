//! Selection of the instances to send heartbeats to.

use std::time::Duration;

use super::MemberStatus;
use super::Roster;
use crate::names::Instance;
use crate::names::Region;
use crate::rendezvous;

/// Number of instances of this region that receive a heartbeat in each tick.
pub const FANOUT: usize = 4;

/// Number of instances of a region, its relays, that exchange heartbeats with
/// other regions.
pub const RELAYS_PER_REGION: usize = 2;

/// With at most this many other instances, every instance sends heartbeats to
/// every other one.
pub const MAX_FULL_MESH: usize = 8;

/// Ticks between two heartbeats of a relay to the same other region.
const REMOTE_INTERVAL_TICKS: u64 = 2;

impl Roster {
    /// Returns the instances to send heartbeats to in this tick.
    pub fn heartbeat_recipients(&self, now: Duration) -> Vec<Instance> {
        if !self.is_large_fleet() {
            return self.not_dead().cloned().collect();
        }
        let mut peers = self.local_peers();
        peers.extend(self.remote_peers(now));
        peers.extend(self.unanswered_peers());
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    /// Returns true if there are too many other instances to send heartbeats to
    /// each of them.
    pub(super) fn is_large_fleet(&self) -> bool {
        self.not_dead().count() > MAX_FULL_MESH
    }

    fn not_dead(&self) -> impl Iterator<Item = &Instance> {
        let members = self.members.iter();
        members
            .filter(|(_, m)| m.status() != MemberStatus::Dead)
            .map(|(name, _)| name)
    }

    /// Returns the next instances of this region in round-robin order. Each
    /// instance goes through the others in a different order.
    fn local_peers(&self) -> Vec<Instance> {
        let local = self.not_dead();
        let local = local.filter(|name| self.members[*name].profile.region == self.own_region);
        let order = rendezvous::top_names(self.own.instance.as_str(), local, usize::MAX);
        let offset = self.ticks as usize * FANOUT;
        let count = FANOUT.min(order.len());
        (0..count)
            .map(|i| order[(offset + i) % order.len()].clone())
            .collect()
    }

    /// Returns the instances of this region that did not answer the last
    /// heartbeat.
    fn unanswered_peers(&self) -> Vec<Instance> {
        let members = self.members.iter();
        members
            .filter(|(_, m)| {
                m.life.has_missed_heartbeats() && m.is_up() && m.profile.region == self.own_region
            })
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns true if this instance is a relay of its region.
    pub fn is_relay(&self, now: Duration) -> bool {
        let others = self.reachable_in(&self.own_region, now);
        let names = others.into_iter().chain([&self.own.instance]);
        rendezvous::top_names("relay", names, RELAYS_PER_REGION).contains(&&self.own.instance)
    }

    fn reachable_in(&self, region: &Region, now: Duration) -> Vec<&Instance> {
        let members = self.members.iter();
        members
            .filter(|(_, m)| m.profile.region == *region && self.is_reachable(m, now))
            .map(|(name, _)| name)
            .collect()
    }

    /// For each other region that is due in this tick, returns one instance: a
    /// relay of the region, or any known instance if no instance of the region
    /// is reachable.
    fn remote_peers(&self, now: Duration) -> Vec<Instance> {
        if !self.is_relay(now) {
            return Vec::new();
        }
        let mut regions: Vec<&Region> = self.members.values().map(|m| &m.profile.region).collect();
        regions.sort_unstable();
        regions.dedup();
        let is_due =
            |index: usize| (self.ticks + index as u64).is_multiple_of(REMOTE_INTERVAL_TICKS);
        let regions = regions.into_iter().enumerate();
        regions
            .filter(|(index, region)| **region != self.own_region && is_due(*index))
            .filter_map(|(_, region)| self.remote_peer(region, now))
            .collect()
    }

    fn remote_peer(&self, region: &Region, now: Duration) -> Option<Instance> {
        let live = self.reachable_in(region, now);
        let candidates = match live.is_empty() {
            false => rendezvous::top_names("relay", live, RELAYS_PER_REGION),
            true => {
                let members = self.members.iter();
                let known = members.filter(|(_, m)| m.profile.region == *region);
                rendezvous::top_names("relay", known.map(|(name, _)| name), usize::MAX)
            }
        };
        let at = (self.ticks / REMOTE_INTERVAL_TICKS) as usize % candidates.len().max(1);
        candidates.get(at).map(|name| (*name).clone())
    }
}
