//! Limited room of a stand-in target, which may fall over when it rejects too
//! many requests.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Time in which rejections are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Time for which a target that fell over resets every connection.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// How many requests a target holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that wait for a slot.
    pub queue: usize,
    /// Time that a request holds a slot before its answer begins.
    pub service_time: Duration,
    /// Rejections in a second that the target survives, which it states in all
    /// its answers; `None` if it survives any number and states nothing.
    pub max_rejections: Option<u32>,
}

/// What became of a target with limited room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomReport {
    /// Requests that were rejected for want of room.
    pub rejected: usize,
    /// Most rejections in any second.
    pub most_rejected: usize,
    /// How often the target fell over.
    pub falls: usize,
}

#[derive(Debug)]
struct State {
    capacity: Capacity,
    inside: usize,
    rejected_at: VecDeque<Instant>,
    down_until: Option<Instant>,
    report: RoomReport,
}

/// The room of a target.
#[derive(Debug)]
pub(super) struct Room {
    slots: Arc<Semaphore>,
    state: Mutex<State>,
}

/// What a target with limited room does with a request that arrives.
#[derive(Debug)]
pub(super) enum Entry {
    /// The request has a slot for as long as the place lives.
    Admitted(Place),
    /// There is no room.
    Full,
    /// The target has fallen over.
    Down,
}

/// A request's place in a target's room.
#[derive(Debug)]
pub(super) struct Place {
    room: Arc<Room>,
    slot: Option<OwnedSemaphorePermit>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.room.lock().inside -= 1;
    }
}

impl Room {
    pub(super) fn new(capacity: Capacity) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(capacity.slots)),
            state: Mutex::new(State {
                capacity,
                inside: 0,
                rejected_at: VecDeque::new(),
                down_until: None,
                report: RoomReport::default(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the lock")
    }

    /// Changes everything but the number of slots.
    pub(super) fn change(&self, capacity: Capacity) {
        let mut state = self.lock();
        let slots = state.capacity.slots;
        state.capacity = Capacity { slots, ..capacity };
    }

    pub(super) fn max_rejections(&self) -> Option<u32> {
        self.lock().capacity.max_rejections
    }

    pub(super) fn report(&self) -> RoomReport {
        self.lock().report
    }

    /// Takes a request in: waits for a slot, then for the time that the request
    /// holds it.
    pub(super) async fn enter(self: &Arc<Self>) -> Entry {
        let began = Instant::now();
        let service_time = {
            let mut state = self.lock();
            if state.is_down(began) {
                return Entry::Down;
            }
            if state.inside >= state.capacity.slots + state.capacity.queue {
                state.reject(began);
                return Entry::Full;
            }
            state.inside += 1;
            state.capacity.service_time
        };
        let mut place = Place {
            room: Arc::clone(self),
            slot: None,
        };
        let slots = Arc::clone(&self.slots);
        place.slot = slots.acquire_owned().await.ok();
        tokio::time::sleep(service_time).await;
        if self.lock().fell_since(began) {
            return Entry::Down;
        }
        Entry::Admitted(place)
    }
}

impl State {
    fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    fn fell_since(&self, began: Instant) -> bool {
        self.down_until
            .is_some_and(|until| until > began + DOWN_TIME)
    }

    /// Counts a rejection, and falls over if there are too many.
    fn reject(&mut self, now: Instant) {
        self.rejected_at.push_back(now);
        while self
            .rejected_at
            .front()
            .is_some_and(|at| *at + WINDOW < now)
        {
            self.rejected_at.pop_front();
        }
        let count = self.rejected_at.len();
        self.report.rejected += 1;
        self.report.most_rejected = self.report.most_rejected.max(count);
        let max = self.capacity.max_rejections;
        if max.is_some_and(|max| count > max as usize) {
            self.report.falls += 1;
            self.down_until = Some(now + DOWN_TIME);
            self.rejected_at.clear();
        }
    }
}
