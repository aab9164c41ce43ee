//! To whom an instance sends its heartbeats.

use std::time::Duration;

use super::Roster;
use super::Status;
use crate::names::Instance;
use crate::names::Region;
use crate::rendezvous;

/// Instances of the own region that one heartbeat round goes to.
pub const FANOUT: usize = 4;

/// Instances of a region that speak with other regions.
pub const RELAYS: usize = 2;

/// Up to so many other instances, each hears every other one directly.
pub const MESH: usize = 8;

/// Ticks between two exchanges of a relay with one other region.
const FAR_EVERY: u64 = 2;

impl Roster {
    /// Returns the instances to send heartbeats to in this tick.
    pub fn peers(&self, now: Duration) -> Vec<Instance> {
        if !self.is_large() {
            return self.up().cloned().collect();
        }
        let mut peers = self.near_peers();
        peers.extend(self.far_peers(now));
        peers.extend(self.missed());
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    /// Tells whether there are too many others to hear each one directly.
    pub(super) fn is_large(&self) -> bool {
        self.up().count() > MESH
    }

    fn up(&self) -> impl Iterator<Item = &Instance> {
        let members = self.members.iter();
        members
            .filter(|(_, m)| m.status() != Status::Dead)
            .map(|(name, _)| name)
    }

    /// Takes the instances of the own region in turn, in an order of its own.
    fn near_peers(&self) -> Vec<Instance> {
        let near = self.up();
        let near = near.filter(|name| self.members[*name].profile.region == self.here);
        let order = rendezvous::top_names(self.own.instance.as_str(), near, usize::MAX);
        let turn = self.ticks as usize * FANOUT;
        let count = FANOUT.min(order.len());
        (0..count)
            .map(|i| order[(turn + i) % order.len()].clone())
            .collect()
    }

    /// Returns the instances that gave no answer the last time.
    fn missed(&self) -> Vec<Instance> {
        let members = self.members.iter();
        members
            .filter(|(_, m)| m.life.has_missed() && m.is_up() && m.profile.region == self.here)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Tells whether this instance is a relay of its region.
    pub fn is_relay(&self, now: Duration) -> bool {
        let others = self.live_in(&self.here, now);
        let names = others.into_iter().chain([&self.own.instance]);
        rendezvous::top_names("relay", names, RELAYS).contains(&&self.own.instance)
    }

    fn live_in(&self, region: &Region, now: Duration) -> Vec<&Instance> {
        let members = self.members.iter();
        members
            .filter(|(_, m)| m.profile.region == *region && self.is_reached(m, now))
            .map(|(name, _)| name)
            .collect()
    }

    /// Returns a relay of each other region whose turn it is. A region that
    /// was not heard is tried at any of its instances.
    fn far_peers(&self, now: Duration) -> Vec<Instance> {
        if !self.is_relay(now) {
            return Vec::new();
        }
        let mut regions: Vec<&Region> = self.members.values().map(|m| &m.profile.region).collect();
        regions.sort_unstable();
        regions.dedup();
        let turn = |at: usize| (self.ticks + at as u64).is_multiple_of(FAR_EVERY);
        let regions = regions.into_iter().enumerate();
        regions
            .filter(|(at, region)| **region != self.here && turn(*at))
            .filter_map(|(_, region)| self.far_peer(region, now))
            .collect()
    }

    fn far_peer(&self, region: &Region, now: Duration) -> Option<Instance> {
        let live = self.live_in(region, now);
        let choice = match live.is_empty() {
            false => rendezvous::top_names("relay", live, RELAYS),
            true => {
                let members = self.members.iter();
                let known = members.filter(|(_, m)| m.profile.region == *region);
                rendezvous::top_names("relay", known.map(|(name, _)| name), usize::MAX)
            }
        };
        let at = (self.ticks / FAR_EVERY) as usize % choice.len().max(1);
        choice.get(at).map(|name| (*name).clone())
    }
}
