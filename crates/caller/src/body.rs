//! A reply's body as a bounded queue of pieces.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use chiverelay_decisions::step::Step;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::time::Sleep;

use crate::Error;

/// Pieces that wait for a slow caller before its answer is held back.
const PIECES: usize = 16;

/// Time for a connection to write earlier pieces before a body breaks off.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Why a body breaks off whose sending end was dropped.
const SENDER_STOPPED: &str = "the sender stopped";

/// A piece of a body, or the reason why no more of it comes.
pub type Piece = Result<Bytes, String>;

/// The sending end of a body.
///
/// Dropping it without [`Sender::finish`] breaks the answer off visibly.
#[derive(Debug)]
pub struct Sender {
    tx: mpsc::Sender<Message>,
}

#[derive(Debug)]
enum Message {
    Data(Bytes),
    End,
    Broken(String),
}

impl Sender {
    /// Sends a piece; returns false once the caller has left.
    pub async fn send(&self, data: Bytes) -> bool {
        self.tx.send(Message::Data(data)).await.is_ok()
    }

    /// Ends the body as whole.
    pub async fn finish(self) -> bool {
        self.tx.send(Message::End).await.is_ok()
    }

    /// Breaks the body off, so that the caller sees an error.
    pub async fn abort(self, reason: String) {
        // The caller may have left already.
        let _ = self.tx.send(Message::Broken(reason)).await;
    }

    /// Waits until the caller has left.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// Makes a body and its sending end.
pub fn channel() -> (Sender, StreamBody) {
    let (tx, rx) = mpsc::channel(PIECES);
    let body = StreamBody {
        rx,
        broken: None,
        ended: false,
    };
    (Sender { tx }, body)
}

/// The end of a body that is not whole, once earlier pieces were written.
#[derive(Debug)]
struct Broken {
    reason: String,
    pause: Pin<Box<Sleep>>,
}

/// A body whose pieces come from a [`Sender`].
#[derive(Debug)]
pub struct StreamBody {
    rx: mpsc::Receiver<Message>,
    broken: Option<Broken>,
    ended: bool,
}

impl StreamBody {
    /// Returns the next piece; `None` after a whole body.
    pub async fn next(&mut self) -> Option<Piece> {
        if self.ended {
            return None;
        }
        let msg = self.rx.recv().await;
        self.take(msg)
    }

    fn take(&mut self, msg: Option<Message>) -> Option<Piece> {
        match msg {
            Some(Message::Data(data)) => Some(Ok(data)),
            Some(Message::End) => {
                self.ended = true;
                None
            }
            Some(Message::Broken(reason)) => {
                self.ended = true;
                Some(Err(reason))
            }
            None => {
                self.ended = true;
                Some(Err(SENDER_STOPPED.to_owned()))
            }
        }
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if let Some(broken) = &mut self.broken {
            std::task::ready!(broken.pause.as_mut().poll(cx));
            let reason = std::mem::take(&mut broken.reason);
            self.ended = true;
            let step = Step::Answer;
            return Poll::Ready(Some(Err(Error::Broken { step, reason })));
        }
        let Poll::Ready(msg) = self.rx.poll_recv(cx) else {
            return Poll::Pending;
        };
        match self.take(msg) {
            Some(Ok(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(Err(reason)) => {
                // The connection writes out earlier pieces while it waits, and
                // would drop them if it saw the error along with them.
                self.ended = false;
                self.broken = Some(Broken {
                    reason,
                    pause: Box::pin(tokio::time::sleep(FLUSH_TIME)),
                });
                self.poll_frame(cx)
            }
            None => Poll::Ready(None),
        }
    }
}
