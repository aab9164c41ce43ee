//! A woken request keeps its slot until it is placed.

use std::time::Duration;

use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::Placement;
use chiverelay_decisions::gateway::QueueStatus;
use chiverelay_decisions::gateway::QueueWaker;
use chiverelay_decisions::gateway::Tables;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::placement::Network;
use serde_json::json;
use support::cases;
use tokio::sync::mpsc;

use super::ASK;
use super::HERE;
use super::Went;
use super::config;
use super::ms;
use super::place;
use super::tables;

/// Time at which all of it happens.
const NOW: Duration = Duration::ZERO;

/// A target with one slot, which a request has, and requests that wait.
struct Busy {
    tables: Tables,
    woken: mpsc::UnboundedReceiver<()>,
}

impl Busy {
    fn new(waiting: usize) -> Self {
        let pool = json!({"slots": 1});
        let tables = tables(config(1, &[("t1", HERE)], pool), Network::default());
        assert_eq!(place(&tables, ASK, ms(0)), Ok(Went::Here("t1".into())));
        let (tx, woken) = mpsc::unbounded_channel();
        for _ in 0..waiting {
            let tx = tx.clone();
            let waker = QueueWaker::new(move || tx.send(()).is_ok());
            gateway::enqueue(&tables, ASK.admit(), waker, NOW).expect("room");
        }
        Self { tables, woken }
    }

    fn finish(&self) {
        gateway::request_finished(&self.tables, &"t1".into());
    }

    fn pump(&self) {
        gateway::wake_waiting(&self.tables, &Region::from(HERE), NOW);
    }

    /// Places the request that was woken.
    fn place_woken(&self) {
        let here = Region::from(HERE);
        let placed = gateway::place(&self.tables, ASK.admit(), &here, QueueStatus::Woken, NOW);
        let Ok(Placement::Local(req)) = placed else {
            panic!("{placed:?}");
        };
        gateway::request_started(&self.tables, req.target());
    }

    fn abandon(&self) {
        gateway::abandon_turn(&self.tables, &"p".into(), &Region::from(HERE), NOW);
    }

    fn woken(&mut self) -> usize {
        let mut woken = 0;
        while self.woken.try_recv().is_ok() {
            woken += 1;
        }
        woken
    }
}

/// What happens between the wake and the placement.
fn check_woken(waiting: usize, steps: &[fn(&Busy)], want: usize) {
    let mut busy = Busy::new(waiting);
    busy.finish();
    steps.iter().for_each(|step| step(&busy));
    assert_eq!(busy.woken(), want);
}

cases! {
    check_woken:
    /// Failure: two requests at once at a target with one slot.
    a_slot_is_given_to_one_waiting_request(2, &[Busy::pump, Busy::pump], 1);
    /// Failure: a slot stays free once a request that waited has run there.
    a_slot_is_given_again_after_its_request(2, &[Busy::place_woken, Busy::finish], 2);
    /// Failure: a slot is kept for a request that left before it was placed.
    a_slot_is_given_to_the_next_if_its_request_leaves(2, &[Busy::abandon], 2);
}

/// Failure: a new request takes the slot that a waiting one was woken for.
#[test]
fn a_new_request_waits_behind_one_that_was_woken() {
    let busy = Busy::new(1);
    busy.finish();
    assert_eq!(place(&busy.tables, ASK, NOW), Ok(Went::Waits));
    busy.place_woken();
    busy.finish();
    assert_eq!(place(&busy.tables, ASK, NOW), Ok(Went::Here("t1".into())));
}
