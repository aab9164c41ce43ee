//! The life cycle of the instance as a typestate.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::names::Instance as Name;

use crate::context::Context;
use crate::handover;
use crate::members;
use crate::settle;

/// State before the first request.
#[derive(Debug)]
pub(crate) struct Starting(());

/// State in which requests are taken.
#[derive(Debug)]
pub(crate) struct Serving(());

/// State in which open requests end and no new ones are taken.
#[derive(Debug)]
pub(crate) struct Draining(());

/// State after the last request.
#[derive(Debug)]
pub(crate) struct Stopped(());

/// The instance in state `S`.
#[derive(Debug)]
pub(crate) struct Instance<S> {
    _state: S,
}

impl Instance<Starting> {
    /// Begins the life cycle.
    pub(crate) fn new() -> Self {
        Self {
            _state: Starting(()),
        }
    }

    /// Takes requests.
    pub(crate) fn serve(self) -> Instance<Serving> {
        Instance {
            _state: Serving(()),
        }
    }
}

impl Instance<Serving> {
    /// Leaves the lists of instances, and takes no new requests once callers
    /// and siblings had time to learn it.
    pub(crate) async fn drain(self, cx: &Arc<Context>) -> Instance<Draining> {
        let name: &Name = &cx.settings.instance;
        log::info!("daemon: {name} drains");
        cx.drain.cancel();
        members::leave(cx).await;
        let notice = Duration::from_millis(cx.settings.drain_notice_ms);
        tokio::time::sleep(notice).await;
        cx.close.cancel();
        Instance {
            _state: Draining(()),
        }
    }
}

impl Instance<Draining> {
    /// Waits for the open requests, tells issuers what became of their tickets,
    /// hands the own ones and the shares over, and ends all tasks.
    pub(crate) async fn stop(self, cx: &Arc<Context>) -> Instance<Stopped> {
        cx.requests.close();
        cx.requests.wait().await;
        cx.idle.cancel();
        settle::flush(cx).await;
        handover::run(cx).await;
        cx.handed_over.cancelled().await;
        cx.stop.cancel();
        Instance {
            _state: Stopped(()),
        }
    }
}
