//! The QUIC endpoint of an instance.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::memory_budget::Reservation;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::refusal::Refusal;
use quinn::ConnectionError;
use quinn::IdleTimeout;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::TransportConfig;
use quinn::VarInt;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Certificates;
use crate::Envelope;
use crate::Error;
use crate::Forward;
use crate::Frame;
use crate::FrameSender;
use crate::Identity;
use crate::Link;
use crate::Message;
use crate::PREVIOUS_VERSION;
use crate::Up;
use crate::VERSION;
use crate::congestion::LossTolerant;
use crate::identity::server_name;
use crate::identity::shown_digest;
use crate::stream_limit;
use crate::stream_limit::StreamLimit;
use crate::wire;
use crate::wire::PartialMessage;

/// A connection that is silent for so long has ended, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 5_000;

/// A sign of life goes out on an otherwise silent connection.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Time for a connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Messages without an answer that one sibling may have open at once.
const MAX_UNI_STREAMS: u32 = 16;

/// Round trip that is expected of a new connection.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(120);

/// Bytes that a sibling may send ahead on a stream, which are held here for a
/// caller that does not read its answer.
const STREAM_WINDOW: u32 = 128 * 1024;

/// Why a connection or a message was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No certificate of the authority was shown.
    Handshake,
    /// The certificate names no instance.
    NoName,
    /// The message can't be read.
    Malformed,
    /// The message is larger than [`crate::MAX_FRAME`].
    Oversized,
    /// The message is of another version.
    Version,
    /// The message was taken before.
    Replayed,
}

impl Refused {
    /// Returns the reason as it stands in metrics and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Handshake => "handshake",
            Self::NoName => "no_name",
            Self::Malformed => "malformed",
            Self::Oversized => "oversized",
            Self::Version => "version",
            Self::Replayed => "replayed",
        }
    }

    fn of(e: &Error) -> Option<Self> {
        match e {
            Error::Malformed { .. } => Some(Self::Malformed),
            Error::Oversized { .. } => Some(Self::Oversized),
            Error::Version { .. } => Some(Self::Version),
            _ => None,
        }
    }
}

/// What answers siblings.
pub trait Handler: Send + Sync + 'static {
    /// Answers a control message.
    fn control(
        &self,
        from: &Identity,
        stamp: Stamp,
        message: Message,
    ) -> impl Future<Output = Envelope> + Send;

    /// Reserves memory for a request that a sibling passes on, before more than the
    /// start of its message is read.
    ///
    /// # Errors
    ///
    /// Refuses the request if too little is left for `bytes`.
    fn reserve_forward(&self, bytes: usize) -> Result<Reservation, Refusal>;

    /// Runs a request that a sibling passed on, which `memory` is reserved for.
    fn forward(
        &self,
        from: &Identity,
        stamp: Stamp,
        req: Forward,
        memory: Reservation,
        tx: FrameSender,
    ) -> impl Future<Output = ()> + Send;

    /// Takes note of a connection or a message that was refused.
    fn refused(&self, reason: Refused);
}

/// Listens for siblings and connects to them.
#[derive(Clone, Debug)]
pub struct Endpoint {
    inner: quinn::Endpoint,
    address: SocketAddr,
}

impl Endpoint {
    /// Opens the endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be had or the certificates can't be used.
    pub fn bind(address: SocketAddr, certs: &Certificates) -> Result<Self, Error> {
        let mut transport = TransportConfig::default();
        transport
            .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
            .keep_alive_interval(Some(KEEP_ALIVE))
            .max_concurrent_bidi_streams(VarInt::from_u32(stream_limit::INITIAL_STREAMS))
            .max_concurrent_uni_streams(VarInt::from_u32(MAX_UNI_STREAMS))
            .initial_rtt(INITIAL_ROUND_TRIP)
            .stream_receive_window(VarInt::from_u32(STREAM_WINDOW));
        transport.congestion_controller_factory(Arc::new(LossTolerant));
        let transport = Arc::new(transport);
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(certs.server()?));
        server.transport_config(Arc::clone(&transport));
        let mut client = quinn::ClientConfig::new(Arc::new(certs.client()?));
        client.transport_config(transport);
        let wrap = |source| Error::Listen { address, source };
        let mut inner = quinn::Endpoint::server(server, address).map_err(wrap)?;
        inner.set_default_client_config(client);
        let address = inner.local_addr().map_err(wrap)?;
        Ok(Self { inner, address })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connects to a sibling, whose certificate must carry its name, and waits
    /// until it has accepted the connection.
    ///
    /// # Errors
    ///
    /// Fails if the sibling can't be reached in time, is another one or refuses
    /// the connection.
    pub async fn connect(
        &self,
        instance: &Instance,
        region: &Region,
        address: SocketAddr,
    ) -> Result<Link<Up>, Error> {
        let wrap = |reason: String| Error::Connect {
            instance: instance.clone(),
            reason,
        };
        let connecting = self
            .inner
            .connect(address, &server_name(instance, region))
            .map_err(|e| wrap(e.to_string()))?;
        let accepted = async {
            let conn = connecting.await?;
            let version = wait_until_accepted(&conn).await?;
            Ok::<_, ConnectionError>((conn, version))
        };
        let (conn, version) = tokio::time::timeout(CONNECT_TIMEOUT, accepted)
            .await
            .map_err(|_| wrap("timeout".to_owned()))?
            .map_err(|e| wrap(e.to_string()))?;
        let certificate = shown_digest(&conn).ok_or_else(|| wrap("no certificate".to_owned()))?;
        let peer = Identity {
            instance: instance.clone(),
            region: region.clone(),
        };
        Ok(Link::new(peer, conn, certificate.into(), version))
    }

    /// Serves siblings until `cancel`.
    pub async fn run<H>(self, handler: Arc<H>, cancel: CancellationToken)
    where
        H: Handler,
    {
        loop {
            let incoming = tokio::select! {
                () = cancel.cancelled() => return,
                incoming = self.inner.accept() => match incoming {
                    Some(incoming) => incoming,
                    None => return,
                },
            };
            let handler = Arc::clone(&handler);
            let cancel = cancel.clone();
            tokio::spawn(async move {
                let served = async {
                    match incoming.await {
                        Ok(conn) => serve(conn, handler).await,
                        Err(e) => {
                            log::warn!("sibling: connection refused: {e}");
                            handler.refused(Refused::Handshake);
                        }
                    }
                };
                cancel.run_until_cancelled(served).await;
            });
        }
    }

    /// Closes every connection and waits until the siblings know.
    pub async fn close(&self) {
        self.inner.close(0_u32.into(), b"stopped");
        self.inner.wait_idle().await;
    }
}

/// Tells the connecting side that its connection is accepted.
///
/// With TLS 1.3 the handshake of the connecting side ends before the other side
/// has checked its certificate.
async fn confirm_accepted(conn: &quinn::Connection) -> Result<(), ConnectionError> {
    let mut tx = conn.open_uni().await?;
    // The stream says it, and its content the version of the messages that are read
    // here. Older builds don't read it.
    let _ = tx.write_all(&VERSION.to_be_bytes()).await;
    let _ = tx.finish();
    Ok(())
}

/// Waits for [`confirm_accepted`] of the other side. Returns the version of the
/// messages that both sides read.
async fn wait_until_accepted(conn: &quinn::Connection) -> Result<u16, ConnectionError> {
    let mut rx = conn.accept_uni().await?;
    let mut stated = [0; size_of::<u16>()];
    match rx.read_exact(&mut stated).await {
        Ok(()) => Ok(VERSION.min(u16::from_be_bytes(stated))),
        // An older build sends nothing.
        Err(_) => probe_version(conn).await,
    }
}

/// Finds out which version a sibling reads that doesn't state one: it answers a
/// message of a version that it reads, and no other.
async fn probe_version(conn: &quinn::Connection) -> Result<u16, ConnectionError> {
    let (mut tx, mut rx) = conn.open_bi().await?;
    let probe = Envelope {
        version: VERSION,
        stamp: Stamp::default(),
        message: Message::Done,
    };
    let is_written = wire::write_envelope(&mut tx, &probe).await.is_ok();
    let is_sent = is_written && tx.finish().is_ok();
    match is_sent && wire::read_envelope(&mut rx).await.is_ok() {
        true => Ok(VERSION),
        false => Ok(PREVIOUS_VERSION),
    }
}

async fn serve<H>(conn: quinn::Connection, handler: Arc<H>)
where
    H: Handler,
{
    let Some(peer) = Identity::of_connection(&conn) else {
        log::warn!(
            "sibling: {}: certificate names no instance",
            conn.remote_address()
        );
        handler.refused(Refused::NoName);
        conn.close(1_u32.into(), b"no name");
        return;
    };
    if let Err(e) = confirm_accepted(&conn).await {
        log::debug!("sibling: {}: connection ended: {e}", peer.instance);
        return;
    }
    let exchanges = TaskTracker::new();
    let mut stream_limit = StreamLimit::default();
    loop {
        let accepted = tokio::select! {
            accepted = conn.accept_bi() => accepted,
            datagram = conn.read_datagram() => {
                match datagram {
                    Ok(buf) => hear(&*handler, &peer, wire::decode_envelope(&buf)).await,
                    Err(e) => {
                        log::debug!("sibling: {}: connection ended: {e}", peer.instance);
                        return;
                    }
                }
                continue;
            }
            stream = conn.accept_uni() => {
                if let Ok(mut rx) = stream {
                    hear(&*handler, &peer, wire::read_envelope(&mut rx).await).await;
                }
                continue;
            }
        };
        let (tx, rx) = match accepted {
            Ok(streams) => streams,
            Err(e) => {
                log::debug!("sibling: {}: connection ended: {e}", peer.instance);
                return;
            }
        };
        let handler = Arc::clone(&handler);
        let peer = peer.clone();
        if let Some(raised) = stream_limit.raise(exchanges.len() + 1) {
            log::debug!("sibling: {}: up to {raised} streams", peer.instance);
            conn.set_max_concurrent_bi_streams(VarInt::from_u32(raised));
        }
        exchanges.spawn(async move {
            if let Err(e) = exchange(&*handler, &peer, tx, rx).await {
                log::warn!("sibling: {}: message refused: {e}", peer.instance);
                if let Some(reason) = Refused::of(&e) {
                    handler.refused(reason);
                }
            }
        });
    }
}

/// Takes a message that needs no answer.
async fn hear<H>(handler: &H, peer: &Identity, envelope: Result<Envelope, Error>)
where
    H: Handler,
{
    match envelope {
        Ok(envelope) => {
            handler
                .control(peer, envelope.stamp, envelope.message)
                .await;
        }
        Err(e) => {
            log::warn!("sibling: {}: message refused: {e}", peer.instance);
            if let Some(reason) = Refused::of(&e) {
                handler.refused(reason);
            }
        }
    }
}

async fn exchange<H>(
    handler: &H,
    peer: &Identity,
    mut tx: SendStream,
    mut rx: RecvStream,
) -> Result<(), Error>
where
    H: Handler,
{
    let mut partial = PartialMessage::begin(&mut rx).await?;
    let memory = match partial.read_is_forward(&mut rx).await? {
        true => match handler.reserve_forward(partial.len()) {
            Ok(memory) => Some(memory),
            Err(refusal) => return refuse(refusal, tx, rx).await,
        },
        false => None,
    };
    let envelope = wire::decode_envelope(&partial.finish(&mut rx).await?)?;
    match (envelope.message, memory) {
        (Message::Forward(req), Some(memory)) => {
            let tx = FrameSender::new(tx);
            let stamp = envelope.stamp;
            handler.forward(peer, stamp, req, memory, tx).await;
        }
        (message, _) => {
            let mut reply = handler.control(peer, envelope.stamp, message).await;
            reply.version = envelope.version;
            wire::write_envelope(&mut tx, &reply).await?;
            // The reply is on its way; the sibling may be gone already.
            let _ = tx.finish();
        }
    }
    Ok(())
}

/// Refuses a forwarded request without reading the rest of its message.
async fn refuse(refusal: Refusal, tx: SendStream, mut rx: RecvStream) -> Result<(), Error> {
    // The sibling may have left, and ended the stream.
    let _ = rx.stop(VarInt::from_u32(0));
    let mut tx = FrameSender::new(tx);
    tx.send(&Frame::Refused(refusal)).await?;
    tx.finish().await;
    Ok(())
}
