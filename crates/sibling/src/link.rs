//! A connection to one sibling, as a typestate.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::unanswered::PacketCounts;
use futures_util::FutureExt;
use quinn::RecvStream;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::Envelope;
use crate::Error;
use crate::Forward;
use crate::Frame;
use crate::Identity;
use crate::Message;
use crate::wire;

/// State of a link that can carry messages.
#[derive(Clone, Copy, Debug)]
pub struct Up(());

/// State of a link that carries no new messages, only the answers to earlier
/// ones.
#[derive(Clone, Copy, Debug)]
pub struct Draining(());

/// State of a link that carries no more messages.
#[derive(Clone, Copy, Debug)]
pub struct Closed(());

/// States of a link whose connection is open.
pub trait Connected {}

impl Connected for Up {}

impl Connected for Draining {}

/// A link to a sibling in state `S`.
#[derive(Clone, Debug)]
pub struct Link<S> {
    peer: Identity,
    conn: quinn::Connection,
    /// Digest of the certificate that the sibling's process has shown.
    certificate: Arc<str>,
    /// Version of the messages that the sibling reads.
    version: u16,
    /// What waits for an answer.
    answers: TaskTracker,
    state: PhantomData<S>,
}

impl<S> Link<S> {
    /// Returns who is at the other end.
    pub fn peer(&self) -> &Identity {
        &self.peer
    }

    fn into_state<T>(self) -> Link<T> {
        Link {
            peer: self.peer,
            conn: self.conn,
            certificate: self.certificate,
            version: self.version,
            answers: self.answers,
            state: PhantomData,
        }
    }
}

impl<S> Link<S>
where
    S: Connected,
{
    /// Returns the digest of the certificate that the process at the other end
    /// has shown. Where processes make their own, it identifies the process.
    pub fn certificate(&self) -> &Arc<str> {
        &self.certificate
    }

    /// Returns the address of the process at the other end.
    pub fn address(&self) -> SocketAddr {
        self.conn.remote_address()
    }

    /// Tells whether the connection has ended by itself.
    pub fn is_lost(&self) -> bool {
        self.conn.close_reason().is_some()
    }

    /// Returns what has passed on the link so far, which shows whether the
    /// sibling's process is alive.
    pub fn packet_counts(&self) -> PacketCounts {
        let stats = self.conn.stats();
        let sent = stats.frame_tx;
        PacketCounts {
            arrived: stats.udp_rx.datagrams,
            sent: sent.stream + sent.datagram + sent.ping,
        }
    }

    /// Returns the estimated round-trip time.
    pub fn round_trip(&self) -> Duration {
        self.conn.rtt()
    }

    /// Returns the number of answers that are awaited or being read.
    pub fn open_answers(&self) -> usize {
        self.answers.len()
    }

    /// Closes the connection, which breaks off the open answers.
    pub fn close(self) -> Link<Closed> {
        self.conn.close(0_u32.into(), b"closed");
        self.into_state()
    }
}

impl Link<Up> {
    pub(crate) fn new(
        peer: Identity,
        conn: quinn::Connection,
        certificate: Arc<str>,
        version: u16,
    ) -> Self {
        Self {
            peer,
            conn,
            certificate,
            version,
            answers: TaskTracker::new(),
            state: PhantomData,
        }
    }

    /// Lets the link carry its answers to their end, but nothing new. The
    /// connection ends once the link is dropped and no answer is open.
    pub fn drain(self) -> Link<Draining> {
        self.into_state()
    }

    fn broken(&self, step: Step, e: impl ToString) -> Error {
        Error::Broken {
            step,
            instance: self.peer.instance.clone(),
            reason: e.to_string(),
        }
    }

    fn no_free_stream(&self, step: Step) -> Error {
        Error::NoFreeStream {
            step,
            instance: self.peer.instance.clone(),
        }
    }

    async fn open(&self, step: Step, stamp: Stamp, message: Message) -> Result<RecvStream, Error> {
        // Whoever waits for a stream could use another link meanwhile.
        let opened = self.conn.open_bi().now_or_never();
        let (mut tx, rx) = opened
            .ok_or_else(|| self.no_free_stream(step))?
            .map_err(|e| self.broken(step, e))?;
        let envelope = Envelope {
            version: self.version,
            stamp,
            message,
        };
        match wire::write_envelope(&mut tx, &envelope).await {
            // The answer tells why the sibling needs no more of the message.
            Err(Error::Stopped) => return Ok(rx),
            written => written.map_err(|e| self.broken(step, e))?,
        }
        tx.finish().map_err(|e| self.broken(step, e))?;
        Ok(rx)
    }

    /// Sends a control message and waits for its answer.
    ///
    /// # Errors
    ///
    /// After an error the sibling may have acted on the message, unless it is
    /// [`Error::NoFreeStream`].
    pub async fn ask(&self, stamp: Stamp, message: Message) -> Result<Envelope, Error> {
        let _open = self.answers.token();
        let mut rx = self.open(Step::Forward, stamp, message).await?;
        wire::read_envelope(&mut rx)
            .await
            .map_err(|e| self.broken(Step::Forward, e))
    }

    /// Sends a message that needs no answer and may be lost. Messages that no
    /// datagram holds go on a stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended, or if no stream is free for a message
    /// that no datagram holds.
    pub async fn tell(&self, message: Message) -> Result<(), Error> {
        let envelope = Envelope {
            version: self.version,
            stamp: Stamp::default(),
            message,
        };
        let broken = |e: &dyn std::fmt::Display| self.broken(Step::Forward, e);
        let buf = wire::encode_envelope(&envelope)?;
        let room = self.conn.max_datagram_size().unwrap_or(0);
        if buf.len() <= room {
            return self.conn.send_datagram(buf.into()).map_err(|e| broken(&e));
        }
        let opened = self.conn.open_uni().now_or_never();
        let mut tx = opened
            .ok_or_else(|| self.no_free_stream(Step::Forward))?
            .map_err(|e| broken(&e))?;
        wire::write_envelope(&mut tx, &envelope).await?;
        tx.finish().map_err(|e| broken(&e))
    }

    /// Waits until the connection has ended.
    pub async fn ended(&self) {
        self.conn.closed().await;
    }

    /// Passes a request on.
    ///
    /// # Errors
    ///
    /// After an error the sibling may have run the request, unless it is
    /// [`Error::NoFreeStream`].
    pub async fn forward(&self, stamp: Stamp, req: Forward) -> Result<Answer, Error> {
        let open = self.answers.token();
        let message = Message::Forward(req);
        let rx = self.open(Step::Forward, stamp, message).await?;
        Ok(Answer {
            peer: self.peer.clone(),
            stamp: Stamp::default(),
            rx,
            _open: open,
        })
    }
}

/// The answer to a forwarded request. Dropping it cancels the request.
#[derive(Debug)]
pub struct Answer {
    peer: Identity,
    stamp: Stamp,
    rx: RecvStream,
    /// Counts the answer among those of the link.
    _open: TaskTrackerToken,
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
