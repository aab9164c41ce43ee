//! The records of targets, and how they change.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::store_health::ServedTime;
use crate::names::Pool;
use crate::names::Region;
use crate::names::SoftwareVersion;
use crate::names::Zone;
use crate::revision::StoreRevision;
use crate::streams::PoolSoftware;

/// A target's record in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetRecord {
    /// The pool that the target belongs to.
    pub pool: Pool,
    /// The address on which the target listens.
    pub address: SocketAddr,
    /// The target's availability zone.
    pub zone: Zone,
    /// The zone's region.
    pub region: Region,
    /// Version of the target's software. Only targets of the same version can
    /// continue a stream that the target began.
    pub software: SoftwareVersion,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Whether the target is shutting down and accepts no new requests.
    ///
    /// # Invariants
    ///
    /// In a [`KnownTarget`] this stays true until the target restarts.
    pub draining: bool,
    /// Time of the target's start in milliseconds of Unix time; 0 if unknown. A
    /// changed time means that the target restarted.
    pub started_ms: u64,
    /// Number of the record, raised by the target with each one that it writes.
    /// A restart sets it back.
    pub sequence: u64,
    /// Time for which the target stays cold after the record is read; see
    /// [`ColdLimit`](crate::catalog::ColdLimit).
    pub cold_remaining: Duration,
}

/// What tells the processes that run under one target's name apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Incarnation {
    pub(super) started_ms: u64,
    pub(super) address: SocketAddr,
}

impl TargetRecord {
    /// Returns the target's software with its pool.
    pub fn pool_software(&self) -> PoolSoftware {
        PoolSoftware {
            pool: self.pool.clone(),
            software: self.software.clone(),
        }
    }

    /// Returns what tells the process that wrote the record from others.
    pub(super) fn incarnation(&self) -> Incarnation {
        Incarnation {
            started_ms: self.started_ms,
            address: self.address,
        }
    }

    /// Tells whether a later record of the target has it in the same pool and
    /// region, at the same address.
    pub(super) fn is_at_same_place(&self, later: &TargetRecord) -> bool {
        self.pool == later.pool && self.region == later.region && self.address == later.address
    }

    /// Tells whether the target wrote this record before `other`.
    pub(super) fn precedes(&self, other: &TargetRecord) -> bool {
        (self.started_ms, self.sequence) < (other.started_ms, other.sequence)
    }
}

/// A target's record with when and at which revision it was read.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// The target's record.
    pub record: TargetRecord,
    /// The store's revision of the record.
    pub revision: StoreRevision,
    /// When the record was read, on the local monotonic clock.
    pub read_at: Duration,
    /// When the target stops being cold, on the local monotonic clock.
    pub cold_until: Duration,
    /// Until when the missing record is held; `None` while it exists.
    pub(super) held_until: Option<ServedTime>,
    /// Revision of an older record of an older copy of the store, which was
    /// ignored. It may be listed again.
    pub(super) restored_revision: Option<StoreRevision>,
}

impl KnownTarget {
    /// Tells whether the target is still cold, so that its request rate is
    /// limited.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }
}

/// How a new or removed record changes a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// Nothing changed that requires an action: the target is unknown or
    /// already known to be missing, or the record's pool, address, start time
    /// and draining flag are the same.
    Same,
    /// The record is older than the known one, and was ignored.
    Outdated,
    /// The target is new.
    Added,
    /// The target's start time or address changed, also while it was removed, so
    /// a new process has its name.
    Restarted,
    /// The target's pool changed, or it began to drain.
    Moved,
    /// The target was warm and is cold now.
    TurnedCold,
    /// The record was removed while the store was unreachable or had just
    /// returned; the target is still used.
    Held,
    /// The target was removed.
    Gone,
}

impl TargetChange {
    /// Tells how a record differs from the one that it replaces.
    pub(super) fn between(old: &TargetRecord, new: &TargetRecord) -> Self {
        if old.started_ms != new.started_ms || old.address != new.address {
            return Self::Restarted;
        }
        if old.draining != new.draining || old.pool != new.pool {
            return Self::Moved;
        }
        Self::Same
    }
}
