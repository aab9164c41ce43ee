//! Messages as length-prefixed postcard on a stream.

use chiverelay_decisions::event::Stamp;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::WriteError;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Envelope;
use crate::Error;
use crate::Frame;
use crate::PREVIOUS_VERSION;
use crate::VERSION;
use crate::compat;

/// Largest encoded message in bytes.
pub const MAX_FRAME: usize = 8 * 1024 * 1024;

/// Bytes that are set aside before any of a message has arrived.
const CHUNK: usize = 64 * 1024;

/// Bytes of the length before each message.
const PREFIX: usize = 4;

/// Most bytes that the version, the stamp and the kind of the message take at the
/// start of an envelope.
const MAX_PREAMBLE: usize = 64;

/// The first kinds of [`crate::Message`], in its order and without what they hold.
#[derive(Deserialize)]
enum Kind {
    Heartbeat,
    Forward,
}

fn malformed(e: impl ToString) -> Error {
    Error::Malformed {
        reason: e.to_string(),
    }
}

/// Encodes a message without its length.
///
/// # Errors
///
/// Fails if the message is larger than [`MAX_FRAME`].
pub fn encode<T>(msg: &T) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    let buf = postcard::to_stdvec(msg).map_err(malformed)?;
    if buf.len() > MAX_FRAME {
        return Err(Error::Oversized { len: buf.len() });
    }
    Ok(buf)
}

/// Decodes a message; trailing bytes are an error.
///
/// # Errors
///
/// Fails if `buf` is not exactly one message.
pub fn decode<T>(buf: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let (msg, rest) = postcard::take_from_bytes(buf).map_err(malformed)?;
    if !rest.is_empty() {
        return Err(malformed("trailing bytes"));
    }
    Ok(msg)
}

/// Decodes the start of a message.
///
/// # Errors
///
/// Fails if `buf` does not begin with a `T`.
pub(crate) fn decode_start<T>(buf: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let (start, _) = postcard::take_from_bytes(buf).map_err(malformed)?;
    Ok(start)
}

/// Encodes an envelope in its version, which is [`VERSION`] or
/// [`PREVIOUS_VERSION`].
///
/// # Errors
///
/// Fails if the message is larger than [`MAX_FRAME`].
pub fn encode_envelope(envelope: &Envelope) -> Result<Vec<u8>, Error> {
    match envelope.version {
        PREVIOUS_VERSION => compat::encode(envelope),
        _ => encode(envelope),
    }
}

pub(crate) async fn write_envelope(tx: &mut SendStream, envelope: &Envelope) -> Result<(), Error> {
    write_encoded(tx, &encode_envelope(envelope)?).await
}

pub(crate) async fn write<T>(tx: &mut SendStream, msg: &T) -> Result<(), Error>
where
    T: Serialize,
{
    write_encoded(tx, &encode(msg)?).await
}

async fn write_encoded(tx: &mut SendStream, buf: &[u8]) -> Result<(), Error> {
    let len = (buf.len() as u32).to_be_bytes();
    tx.write_all(&len).await.map_err(unwritten)?;
    tx.write_all(buf).await.map_err(unwritten)
}

fn unwritten(e: WriteError) -> Error {
    match e {
        WriteError::Stopped(_) => Error::Stopped,
        e => malformed(e),
    }
}

fn truncated(e: impl ToString) -> Error {
    Error::Truncated {
        reason: e.to_string(),
    }
}

/// A message whose start was read.
#[derive(Debug)]
pub(crate) struct PartialMessage {
    len: usize,
    buf: Vec<u8>,
}

impl PartialMessage {
    /// Reads the length of a message.
    pub(crate) async fn begin(rx: &mut RecvStream) -> Result<Self, Error> {
        let mut len = [0; PREFIX];
        rx.read_exact(&mut len).await.map_err(truncated)?;
        let len = u32::from_be_bytes(len) as usize;
        if len > MAX_FRAME {
            return Err(Error::Oversized { len });
        }
        // Memory grows with what arrives, not with what is announced.
        let buf = Vec::with_capacity(len.min(CHUNK));
        Ok(Self { len, buf })
    }

    /// Returns the length of the whole message, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Reads enough of an envelope to tell whether it has a forwarded request.
    pub(crate) async fn read_is_forward(&mut self, rx: &mut RecvStream) -> Result<bool, Error> {
        self.read_to(self.len.min(MAX_PREAMBLE), rx).await?;
        let preamble = postcard::take_from_bytes::<(u16, Stamp, Kind)>(&self.buf);
        Ok(matches!(
            preamble,
            Ok(((VERSION | PREVIOUS_VERSION, _, Kind::Forward), _))
        ))
    }

    /// Reads the rest of the message.
    pub(crate) async fn finish(mut self, rx: &mut RecvStream) -> Result<Vec<u8>, Error> {
        self.read_to(self.len, rx).await?;
        Ok(self.buf)
    }

    async fn read_to(&mut self, end: usize, rx: &mut RecvStream) -> Result<(), Error> {
        while self.buf.len() < end {
            let chunk = rx.read_chunk(end - self.buf.len(), true).await;
            match chunk.map_err(truncated)? {
                Some(chunk) => self.buf.extend_from_slice(&chunk.bytes),
                None => return Err(truncated("end of stream")),
            }
        }
        Ok(())
    }
}

async fn read_buf(rx: &mut RecvStream) -> Result<Vec<u8>, Error> {
    PartialMessage::begin(rx).await?.finish(rx).await
}

pub(crate) async fn read<T>(rx: &mut RecvStream) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    decode(&read_buf(rx).await?)
}

/// Reads an envelope, whose version is checked before the rest of it.
pub(crate) async fn read_envelope(rx: &mut RecvStream) -> Result<Envelope, Error> {
    decode_envelope(&read_buf(rx).await?)
}

/// Decodes an envelope, whose version is checked before the rest of it.
///
/// # Errors
///
/// Fails if `buf` is not exactly one envelope of [`VERSION`] or
/// [`PREVIOUS_VERSION`].
pub fn decode_envelope(buf: &[u8]) -> Result<Envelope, Error> {
    match decode_start::<u16>(buf)? {
        VERSION => decode(buf),
        PREVIOUS_VERSION => compat::decode(buf),
        version => Err(Error::Version { version }),
    }
}

/// Sends the parts of an answer to a forwarded request.
#[derive(Debug)]
pub struct FrameSender {
    tx: SendStream,
}

impl FrameSender {
    pub(crate) fn new(tx: SendStream) -> Self {
        Self { tx }
    }

    /// Sends a part.
    ///
    /// # Errors
    ///
    /// Fails once the sibling no longer waits for the answer.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        // A write that waits for room may not notice that the sibling stopped
        // reading.
        let stopped = self.tx.stopped();
        tokio::select! {
            written = write(&mut self.tx, frame) => written,
            _ = stopped => Err(truncated("the sibling stopped reading")),
        }
    }

    /// Ends the answer, and waits until the sibling has all of it or no longer
    /// waits for it. Until then, closing the endpoint would break it off.
    pub async fn finish(mut self) {
        // It may have ended already.
        let _ = self.tx.finish();
        self.closed().await;
    }

    /// Waits until the sibling no longer waits for the answer.
    pub async fn closed(&mut self) {
        // Any result means that the sibling stopped reading or is gone.
        let _ = self.tx.stopped().await;
    }
}
