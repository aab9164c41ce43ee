//! A connection to one sibling, as a typestate.

use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::step::Step;
use quinn::RecvStream;

use crate::Envelope;
use crate::Error;
use crate::Forward;
use crate::Frame;
use crate::Identity;
use crate::Message;
use crate::VERSION;
use crate::wire;

/// State of a link that can carry messages.
#[derive(Clone, Debug)]
pub struct Up {
    conn: quinn::Connection,
}

/// State of a link that carries no more messages.
#[derive(Clone, Debug)]
pub struct Closed(());

/// A link to a sibling in state `S`.
#[derive(Clone, Debug)]
pub struct Link<S> {
    peer: Identity,
    state: S,
}

impl<S> Link<S> {
    /// Returns who is at the other end.
    pub fn peer(&self) -> &Identity {
        &self.peer
    }
}

impl Link<Up> {
    pub(crate) fn new(peer: Identity, conn: quinn::Connection) -> Self {
        Self {
            peer,
            state: Up { conn },
        }
    }

    /// Tells whether the connection has ended by itself.
    pub fn is_lost(&self) -> bool {
        self.state.conn.close_reason().is_some()
    }

    /// Closes the connection.
    pub fn close(self) -> Link<Closed> {
        self.state.conn.close(0_u32.into(), b"closed");
        Link {
            peer: self.peer,
            state: Closed(()),
        }
    }

    fn broken(&self, step: Step, e: impl ToString) -> Error {
        Error::Broken {
            step,
            instance: self.peer.instance.clone(),
            reason: e.to_string(),
        }
    }

    async fn open(&self, step: Step, stamp: Stamp, message: Message) -> Result<RecvStream, Error> {
        let (mut tx, rx) = self
            .state
            .conn
            .open_bi()
            .await
            .map_err(|e| self.broken(step, e))?;
        let envelope = Envelope {
            version: VERSION,
            stamp,
            message,
        };
        wire::write(&mut tx, &envelope)
            .await
            .map_err(|e| self.broken(step, e))?;
        tx.finish().map_err(|e| self.broken(step, e))?;
        Ok(rx)
    }

    /// Sends a control message and waits for its answer.
    ///
    /// # Errors
    ///
    /// After an error the sibling may have acted on the message.
    pub async fn ask(&self, stamp: Stamp, message: Message) -> Result<Envelope, Error> {
        let mut rx = self.open(Step::Forward, stamp, message).await?;
        wire::read_envelope(&mut rx)
            .await
            .map_err(|e| self.broken(Step::Forward, e))
    }

    /// Passes a request on.
    ///
    /// # Errors
    ///
    /// After an error the sibling may have run the request.
    pub async fn forward(&self, stamp: Stamp, req: Forward) -> Result<Answer, Error> {
        let message = Message::Forward(req);
        let rx = self.open(Step::Forward, stamp, message).await?;
        Ok(Answer {
            peer: self.peer.clone(),
            stamp: Stamp::default(),
            rx,
        })
    }
}

/// The answer to a forwarded request. Dropping it cancels the request.
#[derive(Debug)]
pub struct Answer {
    peer: Identity,
    stamp: Stamp,
    rx: RecvStream,
}

impl Answer {
    /// Returns who answers.
    pub fn peer(&self) -> &Identity {
        &self.peer
    }

    /// Returns the next part.
    ///
    /// # Errors
    ///
    /// Fails if the answer broke off.
    pub async fn next(&mut self) -> Result<Frame, Error> {
        loop {
            match wire::read(&mut self.rx).await {
                Ok(Frame::Stamp(stamp)) => self.stamp = stamp,
                Ok(frame) => return Ok(frame),
                Err(e) => {
                    return Err(Error::Broken {
                        step: Step::Answer,
                        instance: self.peer.instance.clone(),
                        reason: e.to_string(),
                    });
                }
            }
        }
    }

    /// Returns the sibling's hybrid logical clock as far as it was read.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }
}
