//! Orders that an engine takes, with or without a look at their numbers.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use chiverelay_http::Body;
use chiverelay_target::order::Message;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

/// Largest order in bytes.
const MAX_BODY: usize = 64 * 1024;

/// The orders that an engine took.
#[derive(Debug, Default)]
pub struct Orders {
    ignores: AtomicBool,
    run: Mutex<Vec<Message>>,
}

impl Orders {
    /// Makes the engine take every order, whatever its number.
    pub fn ignore_numbers(&self) {
        self.ignores.store(true, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Message>> {
        self.run.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the orders that were carried out, in their order.
    pub fn run(&self) -> Vec<Message> {
        self.lock().clone()
    }

    pub(crate) async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        match chiverelay_http::read_json(req, MAX_BODY).await {
            Ok(order) => chiverelay_http::empty(self.take(order)),
            Err(resp) => *resp,
        }
    }

    fn take(&self, order: Message) -> StatusCode {
        let number = |m: &Message| (m.fence, m.sequence);
        let mut run = self.lock();
        if let Some(last) = run.last()
            && !self.ignores.load(Ordering::Relaxed)
        {
            if number(&order) == number(last) {
                return StatusCode::OK;
            }
            if number(&order) < number(last) {
                return StatusCode::CONFLICT;
            }
        }
        run.push(order);
        StatusCode::OK
    }
}
