//! The room that an instance may use at targets that survive few rejections.
//!
//! Without messages between the instances a target that rejects at once rejects
//! no more in a second than it survives: as many instances as the limit allows
//! rejections, or all of them if they are fewer, divide the target's slots, and
//! each has at most its part of the limit in requests that the target may yet
//! reject. One that is rejected sends nothing to that target for longer than a
//! second. Which instances these are follows from the target's name, as for
//! stated limits.
//!
//! Rejections should be rare besides. An instance uses its own slots, and those
//! of others only where these have left them free for some time, and as far as
//! all may do so at once.

use std::collections::VecDeque;
use std::time::Duration;

use super::InFlight;
use super::LOWEST_PRIORITY;
use super::RegionShares;
use super::Reservation;
use super::StatedLimitUse;
use super::TargetOutcome;
use super::Traffic;
use super::choose::slots_of;
use crate::catalog::PoolSpec;
use crate::fleet::KnownTarget;
use crate::names::Pool;
use crate::names::Target;

/// Time after which a target that runs is taken to have admitted a request, as it
/// rejects at once.
const REJECTION_TIME: Duration = Duration::from_millis(50);

/// The same until a target has its whole room again after a rejection. A busy
/// one may take longer to reject.
const REJECTION_TIME_WHEN_REDUCED: Duration = Duration::from_millis(150);

/// Shortest time after its last sign of life for which a target is taken to run.
const MIN_HEARD_TIME: Duration = Duration::from_millis(250);

/// Time without requests after a rejection. It is longer than the second in
/// which rejections are counted.
const CLOSED_TIME: Duration = Duration::from_millis(1250);

/// How often the time without requests doubles when the first request after it
/// is rejected too.
const MAX_DOUBLINGS: u32 = 3;

/// Growth of the room per second after a rejection, as a fraction of the slots.
const GROWTH_PER_S: f64 = 0.1;

/// Time after which the other instances know how many slots this one uses.
const REPORT_DELAY: Duration = Duration::from_millis(800);

/// Time for which other instances must have left slots free that this one uses.
const IDLE_TIME: Duration = Duration::from_secs(2);

/// Time for which a position among the instances is used.
const RANK_TTL: Duration = Duration::from_secs(1);

/// The requests of this instance at a target, and its room there.
///
/// # Invariants
///
/// Until `closed_until` nothing is sent. `unconfirmed` has the times of those
/// requests that the target may still reject, in order.
#[derive(Clone, Debug)]
pub(super) struct GuardedRoom {
    /// Requests that the target was taken to hold at the last rejection, and
    /// when that was; `None` before the first one.
    reduced: Option<(f64, Duration)>,
    closed_until: Duration,
    /// Rejections of first requests after a time without any.
    rejected_reopenings: u32,
    unconfirmed: VecDeque<Duration>,
    /// Slots of other instances that this one may use, and when they became so
    /// many.
    borrowed: (u32, Duration),
    /// Most requests of the other instances in the last [`IDLE_TIME`], or since
    /// there were as many, and when that was.
    others: Option<(u32, Duration)>,
    /// Position among the instances, and when it was determined.
    rank: Option<(usize, Duration)>,
}

impl Default for GuardedRoom {
    fn default() -> Self {
        Self {
            reduced: None,
            closed_until: Duration::ZERO,
            rejected_reopenings: 0,
            unconfirmed: VecDeque::new(),
            borrowed: (0, Duration::ZERO),
            others: None,
            rank: None,
        }
    }
}

/// Which slots of a target a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlotUse {
    /// Those of this instance, and what others leave free.
    Own,
    /// Any that is free, as an answer has begun that is lost otherwise.
    Any,
}

/// How the room of a target is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Division {
    /// Number of instances that may send there.
    holders: usize,
    /// Position of this instance.
    rank: usize,
    /// Rejections in a second that this instance may cause.
    rejections: usize,
}

impl Division {
    /// Divides among as many instances as may cause a rejection each.
    fn new(max_rejections: u32, instances: usize, rank: usize) -> Self {
        let max_rejections = (max_rejections as usize).max(1);
        let holders = instances.clamp(1, max_rejections);
        Self {
            holders,
            rank,
            rejections: max_rejections / holders,
        }
    }

    fn is_holder(self) -> bool {
        self.rank < self.holders
    }

    /// Returns this instance's own part of so many slots.
    fn own_slots(self, room: u32) -> u32 {
        let holders = u32::try_from(self.holders).unwrap_or(u32::MAX);
        let has_one_more = self.rank < (room % holders) as usize;
        room / holders + u32::from(has_one_more)
    }

    /// Returns how many slots stay free when this instance uses slots of others.
    /// They may each do the same before they hear of it.
    fn spare_slots(self) -> u32 {
        u32::try_from(self.holders - 1).unwrap_or(u32::MAX).max(1)
    }
}

/// What is known of a target when its room is asked for.
#[derive(Clone, Copy, Debug)]
struct TargetLoad {
    slots: u32,
    /// Requests of this instance there.
    own: u32,
    /// Requests of all instances there.
    all: u32,
    /// Whether the target has shown lately that it runs.
    is_heard: bool,
}

impl GuardedRoom {
    /// Returns how many requests the target is taken to hold.
    fn room(&self, slots: u32, now: Duration) -> u32 {
        let Some((room, at)) = self.reduced else {
            return slots;
        };
        let since = now.saturating_sub(at).as_secs_f64();
        let grown = room + f64::from(slots) * GROWTH_PER_S * since;
        grown.min(f64::from(slots)) as u32
    }

    /// Counts older requests as admitted: a running target would have rejected them
    /// by now. Called only for a target that was heard lately, as a stalled one
    /// rejects when it resumes.
    fn confirm_old(&mut self, is_reduced: bool, now: Duration) {
        let limit = match is_reduced {
            true => REJECTION_TIME_WHEN_REDUCED,
            false => REJECTION_TIME,
        };
        let is_old = |at: &Duration| *at + limit <= now;
        while self.unconfirmed.front().is_some_and(is_old) {
            self.unconfirmed.pop_front();
        }
    }

    /// Returns whether this instance may send another request.
    fn admits(
        &mut self,
        division: Division,
        slot_use: SlotUse,
        load: TargetLoad,
        now: Duration,
    ) -> bool {
        let TargetLoad {
            slots,
            own,
            all,
            is_heard,
        } = load;
        let room = self.room(slots, now);
        if is_heard {
            self.confirm_old(room < slots, now);
        }
        let others = self.update_others(all.saturating_sub(own), slots, now);
        let may_send = division.is_holder()
            && now >= self.closed_until
            && self.unconfirmed.len() < division.rejections;
        if !may_send || all >= room {
            return false;
        }
        let own_slots = division.own_slots(room);
        if slot_use == SlotUse::Any || own < own_slots {
            return true;
        }
        let used = own.saturating_add(others);
        let is_left_free = used.saturating_add(division.spare_slots()) < room;
        is_left_free && self.may_borrow(own - own_slots, now)
    }

    /// Records how many requests the other instances have at the target now, and
    /// returns the most that they had lately. They may use all slots at first.
    fn update_others(&mut self, current: u32, slots: u32, now: Duration) -> u32 {
        let known = self.others.unwrap_or((slots, now));
        let (most, at) = match known {
            (most, at) if most > current && now < at + IDLE_TIME => (most, at),
            _ => (current, now),
        };
        self.others = Some((most, at));
        most
    }

    /// Returns whether another slot of other instances may be used beside so many.
    /// They become one more at a time, so that all hear of it before.
    fn may_borrow(&mut self, used: u32, now: Duration) -> bool {
        let (allowed, since) = self.borrowed;
        if used < allowed {
            return true;
        }
        let may_grow = now >= since + REPORT_DELAY;
        if may_grow {
            self.borrowed = (used + 1, now);
        }
        may_grow
    }

    /// Records that the target can't reject a request any more.
    fn confirm(&mut self, sent_at: Duration) {
        if let Some(i) = self.unconfirmed.iter().position(|at| *at == sent_at) {
            self.unconfirmed.remove(i);
        }
    }

    /// Records that the target rejected a request, with `known` others there.
    fn record_rejection(&mut self, known: u32, slots: u32, now: Duration) {
        let is_first = now >= self.closed_until;
        let room = self.room(slots, now).min(known).saturating_sub(1);
        self.reduced = Some((f64::from(room), now));
        let doublings = self.rejected_reopenings.min(MAX_DOUBLINGS);
        self.closed_until = now + CLOSED_TIME * (1 << doublings);
        if is_first {
            self.rejected_reopenings += 1;
        }
    }
}

impl Traffic {
    /// Returns whether this instance may send a request to a target without the
    /// risk that the target rejects more than it survives.
    pub(super) fn has_guarded_room(
        &mut self,
        target: &Target,
        known: &KnownTarget,
        pool: &PoolSpec,
        shares: RegionShares<'_>,
        slot_use: SlotUse,
        now: Duration,
    ) -> bool {
        let Some(max_rejections) = self.rejection_limit(&pool.name, now) else {
            return true;
        };
        let slots = slots_of(pool, known);
        let all = self.in_flight(target).running;
        let StatedLimitUse::Share { instances, rank } = shares.stated else {
            // The instances of the target's region decide.
            return all < slots;
        };
        let load = TargetLoad {
            slots,
            own: self.own_in_flight(target).running,
            all,
            is_heard: self.is_heard(target, pool, now),
        };
        let room = self.guarded_rooms.entry(target.clone()).or_default();
        let recent = room.rank.filter(|(_, at)| now < *at + RANK_TTL);
        let (position, at) = recent.unwrap_or_else(|| (rank(target), now));
        room.rank = Some((position, at));
        let division = Division::new(max_rejections, instances, position);
        room.admits(division, slot_use, load, now)
    }

    /// Counts a request that is sent to a target.
    /// [`Traffic::has_guarded_room`] must have returned true.
    pub(super) fn take_guarded_room(&mut self, target: &Target, pool: &Pool, now: Duration) {
        if self.rejection_limit(pool, now).is_none() {
            return;
        }
        if let Some(room) = self.guarded_rooms.get_mut(target) {
            room.unconfirmed.push_back(now);
        }
    }

    /// Records what became of a request at a target that survives few
    /// rejections.
    pub(super) fn release_guarded_room(
        &mut self,
        reservation: &Reservation,
        outcome: TargetOutcome,
        now: Duration,
    ) {
        if self.rejection_limit(&reservation.pool, now).is_none() {
            return;
        }
        let room = self.guarded_rooms.entry(reservation.target.clone());
        let room = room.or_default();
        match outcome {
            TargetOutcome::Full => {
                room.record_rejection(reservation.known_running, reservation.slots, now);
            }
            TargetOutcome::Answered | TargetOutcome::Failed => {
                room.rejected_reopenings = 0;
                room.confirm(reservation.reserved_at);
            }
            TargetOutcome::Misdirected | TargetOutcome::Unreachable => {
                room.confirm(reservation.reserved_at);
            }
            // It may yet be rejected, or was and nobody heard.
            TargetOutcome::Lost | TargetOutcome::TimedOut | TargetOutcome::Cancelled => {}
        }
    }

    /// Tells whether a target has sent something within the time that it usually
    /// takes for a request.
    fn is_heard(&self, target: &Target, pool: &PoolSpec, now: Duration) -> bool {
        let performance = self.performance(&pool.name);
        let usual = match pool.engine {
            Some(_) => performance.generation_time(),
            None => performance.service_time(),
        };
        let heard_at = self
            .local
            .get(target)
            .map(|local| local.unanswered.heard_at());
        heard_at.is_some_and(|at| now < at + usual.max(MIN_HEARD_TIME))
    }

    /// Returns the requests that this instance has at a target.
    fn own_in_flight(&self, target: &Target) -> InFlight {
        let local = self.local.get(target);
        local.map_or_else(InFlight::default, |local| {
            local.in_flight.ahead_of(LOWEST_PRIORITY)
        })
    }
}
