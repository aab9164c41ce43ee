//! Congestion control for links that lose packets at random.
//!
//! The window opens wide enough for a few long prompts at once, gives way a
//! little with each loss and a lot when everything is lost, and never closes
//! below what one forwarded prompt needs: on a wide-area link that loses some
//! packets in a hundred, halving at each loss would leave a prompt waiting for
//! several round trips.

use std::any::Any;
use std::sync::Arc;
use std::time::Instant;

use quinn::congestion::Controller;
use quinn::congestion::ControllerFactory;
use quinn_proto::RttEstimator;

/// Bytes under way on a new link.
const INITIAL_WINDOW: u64 = 256 * 1024;

/// Bytes that may always be under way.
const MIN_WINDOW: u64 = 96 * 1024;

/// Bytes that may ever be under way.
const MAX_WINDOW: u64 = 1024 * 1024;

/// Share of the window that is left after a loss.
const AFTER_LOSS: f64 = 0.85;

/// Makes the controllers of an endpoint's links.
#[derive(Debug, Default)]
pub(crate) struct LossTolerant;

impl ControllerFactory for LossTolerant {
    fn build(self: Arc<Self>, now: Instant, _current_mtu: u16) -> Box<dyn Controller> {
        Box::new(Window {
            bytes: INITIAL_WINDOW,
            shrunk: now,
        })
    }
}

/// The window of one link.
///
/// # Invariants
///
/// `bytes` is at least [`MIN_WINDOW`] and at most [`MAX_WINDOW`]. `shrunk` is
/// when it last gave way; losses of packets sent before that count once.
#[derive(Clone, Debug)]
struct Window {
    bytes: u64,
    shrunk: Instant,
}

impl Controller for Window {
    fn on_ack(
        &mut self,
        _now: Instant,
        _sent: Instant,
        bytes: u64,
        app_limited: bool,
        _rtt: &RttEstimator,
    ) {
        if !app_limited {
            self.bytes = (self.bytes + bytes / 2).min(MAX_WINDOW);
        }
    }

    fn on_congestion_event(
        &mut self,
        now: Instant,
        sent: Instant,
        is_persistent_congestion: bool,
        _lost_bytes: u64,
    ) {
        if is_persistent_congestion {
            self.bytes = MIN_WINDOW;
            self.shrunk = now;
        } else if sent > self.shrunk {
            self.bytes = ((self.bytes as f64 * AFTER_LOSS) as u64).max(MIN_WINDOW);
            self.shrunk = now;
        }
    }

    fn on_mtu_update(&mut self, _new_mtu: u16) {}

    fn window(&self) -> u64 {
        self.bytes
    }

    fn clone_box(&self) -> Box<dyn Controller> {
        Box::new(self.clone())
    }

    fn initial_window(&self) -> u64 {
        INITIAL_WINDOW
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
