//! Messages of the version before this one, which instances of an older build send
//! and read while a fleet is upgraded.
//!
//! Most messages are the same in both. What the older one lacks is left out, and
//! taken for what says least where it is read.

use chiverelay_decisions::allowance::TokenTransfer;
use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::quarantine::CrashReport;
use chiverelay_decisions::revision::StoreRevision;
use chiverelay_decisions::streams::History;
use chiverelay_decisions::streams::PoolSoftware;
use chiverelay_decisions::streams::StreamKey;
use chiverelay_decisions::streams::StreamKnowledge;
use chiverelay_decisions::suspension::LostRequestsReport;
use chiverelay_decisions::traffic::PromptPartUse;
use chiverelay_decisions::traffic::StatedLimitRecord;
use chiverelay_decisions::traffic::TargetInFlight;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::AccountPart;
use crate::AskStream;
use crate::Envelope;
use crate::Error;
use crate::HeardInstance;
use crate::Message;
use crate::Status;

use crate::wire;

/// Oldest version of the messages that is read and written.
pub const PREVIOUS_VERSION: u16 = 13;

/// Numbers of the messages that are others in that version, as its encoding has
/// them.
const STATUS: u32 = 2;
const REPORT: u32 = 3;
const ASK_STREAM: u32 = 32;
const STREAM_INFO: u32 = 33;

#[derive(Serialize, Deserialize)]
struct PreviousStatus {
    sequence: u64,
    incarnation: u64,
    ready: bool,
    read_revision: StoreRevision,
    known_revision: StoreRevision,
    counts: Vec<TargetInFlight>,
    uses: Vec<PromptPartUse>,
    parts: Vec<AccountPart>,
    gifts: Vec<TokenTransfer>,
    crashes: CrashReport,
    lost: LostRequestsReport,
    limits: Vec<StatedLimitRecord>,
    heard: Vec<PreviousHeard>,
}

#[derive(Serialize, Deserialize)]
struct PreviousHeard {
    incarnation: u64,
    is_ready: bool,
    age_ms: u32,
}

#[derive(Serialize, Deserialize)]
struct PreviousAskStream {
    key: StreamKey,
    pool: Pool,
}

#[derive(Serialize, Deserialize)]
struct PreviousStreamInfo {
    began_by: Option<PoolSoftware>,
    possible_versions: Vec<SoftwareVersion>,
    is_history_complete: bool,
}

impl From<Status> for PreviousStatus {
    fn from(status: Status) -> Self {
        let heard = status.heard.into_iter().map(|heard| PreviousHeard {
            incarnation: heard.incarnation,
            is_ready: heard.is_ready,
            age_ms: heard.age_ms,
        });
        Self {
            sequence: status.sequence,
            incarnation: status.incarnation,
            ready: status.ready,
            read_revision: status.read_revision,
            known_revision: status.known_revision,
            counts: status.counts,
            uses: status.uses,
            parts: status.parts,
            gifts: status.gifts,
            crashes: status.crashes,
            lost: status.lost,
            limits: status.limits,
            heard: heard.collect(),
        }
    }
}

impl From<PreviousStatus> for Status {
    fn from(status: PreviousStatus) -> Self {
        let heard = status.heard.into_iter().map(|heard| HeardInstance {
            incarnation: heard.incarnation,
            is_ready: heard.is_ready,
            is_cut_off: false,
            age_ms: heard.age_ms,
        });
        Self {
            sequence: status.sequence,
            incarnation: status.incarnation,
            ready: status.ready,
            is_cut_off: false,
            read_revision: status.read_revision,
            known_revision: status.known_revision,
            counts: status.counts,
            uses: status.uses,
            parts: status.parts,
            gifts: status.gifts,
            crashes: status.crashes,
            lost: status.lost,
            limits: status.limits,
            rejection_limits: Vec::new(),
            heard: heard.collect(),
        }
    }
}

impl From<AskStream> for PreviousAskStream {
    fn from(ask: AskStream) -> Self {
        Self {
            key: ask.key,
            pool: ask.pool,
        }
    }
}

impl From<PreviousAskStream> for AskStream {
    fn from(ask: PreviousAskStream) -> Self {
        Self {
            key: ask.key,
            pool: ask.pool,
            confirm: false,
        }
    }
}

impl From<StreamKnowledge> for PreviousStreamInfo {
    fn from(known: StreamKnowledge) -> Self {
        Self {
            began_by: known.began_by,
            possible_versions: known.possible_versions,
            is_history_complete: known.history == History::Confirmed,
        }
    }
}

impl From<PreviousStreamInfo> for StreamKnowledge {
    fn from(known: PreviousStreamInfo) -> Self {
        Self {
            began_by: known.began_by,
            possible_versions: known.possible_versions,
            // The older build doesn't say when it read the marks.
            history: match known.is_history_complete {
                true => History::Heard,
                false => History::MayLackMarks,
            },
        }
    }
}

/// Encodes an envelope in the version before.
///
/// # Errors
///
/// Fails if the message is larger than [`crate::MAX_FRAME`].
pub(crate) fn encode(envelope: &Envelope) -> Result<Vec<u8>, Error> {
    let stamp = &envelope.stamp;
    let version = PREVIOUS_VERSION;
    match envelope.message.clone() {
        Message::Status(status) => {
            wire::encode(&(version, stamp, STATUS, PreviousStatus::from(status)))
        }
        Message::Report(status) => {
            wire::encode(&(version, stamp, REPORT, PreviousStatus::from(status)))
        }
        Message::AskStream(ask) => {
            wire::encode(&(version, stamp, ASK_STREAM, PreviousAskStream::from(ask)))
        }
        Message::StreamInfo(known) => {
            wire::encode(&(version, stamp, STREAM_INFO, PreviousStreamInfo::from(known)))
        }
        message => wire::encode(&(version, stamp, message)),
    }
}

/// Decodes an envelope of the version before.
///
/// # Errors
///
/// Fails if `buf` is not exactly one envelope of that version.
pub(crate) fn decode(buf: &[u8]) -> Result<Envelope, Error> {
    let (stamp, message) = match wire::decode_start::<(u16, Stamp, u32)>(buf)?.2 {
        STATUS => decode_as::<PreviousStatus, _>(buf, |status| Message::Status(status.into())),
        REPORT => decode_as::<PreviousStatus, _>(buf, |status| Message::Report(status.into())),
        ASK_STREAM => decode_as::<PreviousAskStream, _>(buf, |ask| Message::AskStream(ask.into())),
        STREAM_INFO => {
            decode_as::<PreviousStreamInfo, _>(buf, |known| Message::StreamInfo(known.into()))
        }
        _ => wire::decode::<(u16, Stamp, Message)>(buf).map(|(_, stamp, message)| (stamp, message)),
    }?;
    Ok(Envelope {
        version: PREVIOUS_VERSION,
        stamp,
        message,
    })
}

fn decode_as<T, F>(buf: &[u8], into_message: F) -> Result<(Stamp, Message), Error>
where
    T: DeserializeOwned,
    F: FnOnce(T) -> Message,
{
    let (_, stamp, _, content) = wire::decode::<(u16, Stamp, u32, T)>(buf)?;
    Ok((stamp, into_message(content)))
}
