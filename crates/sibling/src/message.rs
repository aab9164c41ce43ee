//! What instances say to each other.

use chiverelay_decisions::allowance::AllowanceStatus;
use chiverelay_decisions::allowance::TokenTransfer;
use chiverelay_decisions::catalog::CatalogCopy;
use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::fleet::FleetCopy;
use chiverelay_decisions::handover::HandoverCommit;
use chiverelay_decisions::handover::HandoverPart;
use chiverelay_decisions::limits::Holder;
use chiverelay_decisions::limits::LoanGrant;
use chiverelay_decisions::limits::LoanRequest;
use chiverelay_decisions::limits::LoanReturn;
use chiverelay_decisions::membership::GossipDigest;
use chiverelay_decisions::membership::RegionSummaries;
use chiverelay_decisions::names::Account;
use chiverelay_decisions::names::KeyId;
use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::Route;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::placement::LoadReport;
use chiverelay_decisions::placement::PoolSummary;
use chiverelay_decisions::quarantine::CrashReport;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::revision::StoreRevision;
use chiverelay_decisions::settlements::ClaimSettlement;
use chiverelay_decisions::streams::StreamKey;
use chiverelay_decisions::streams::StreamKnowledge;
use chiverelay_decisions::suspension::LostRequestsReport;
use chiverelay_decisions::tickets::ClaimReply;
use chiverelay_decisions::tickets::Nonce;
use chiverelay_decisions::tickets::OperationDigest;
use chiverelay_decisions::tickets::Ticket;
use chiverelay_decisions::traffic::PromptPart;
use chiverelay_decisions::traffic::PromptPartUse;
use chiverelay_decisions::traffic::RejectionLimitRecord;
use chiverelay_decisions::traffic::StatedLimitRecord;
use chiverelay_decisions::traffic::TargetInFlight;
use serde::Deserialize;
use serde::Serialize;

use crate::ConfigParts;
use crate::ConfigRequest;

/// Version of the messages. Besides, instances read and write
/// [`PREVIOUS_VERSION`](crate::PREVIOUS_VERSION), and refuse any other.
pub const VERSION: u16 = 14;

/// A message with what goes along with every message.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope {
    /// Version of the message, which its receiver reads.
    pub version: u16,
    /// The sender's hybrid logical clock.
    pub stamp: Stamp,
    /// The message.
    pub message: Message,
}

/// A message.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// A sign of life.
    Heartbeat(Heartbeat),
    /// A request passed on. Answered by [`Frame`]s.
    Forward(Forward),
    /// What the sender has at the targets and of the accounts' limits.
    Status(Status),
    /// The sender's status, for a hub that passes it on. Answered by a
    /// [`Message::Status`] of all other instances.
    Report(Status),
    /// Asks a hub to charge an account for a request of the sender. Answered by
    /// [`Message::Charged`].
    Charge(TokenTransfer),
    /// The outcome of a charge.
    Charged(ChargeReply),
    /// Tokens of a request that was charged and did not run.
    Refund(TokenTransfer),
    /// Asks for tokens of an account. Answered by [`Message::Tokens`].
    AskTokens(TokenTransfer),
    /// Tokens that are the receiver's from now on.
    Tokens(TokenTransfer),
    /// Load reports of targets of the region that siblings share.
    Loads(Vec<TargetLoad>),
    /// The message was taken and needs no other answer.
    Done,
    /// Asks a ticket's issuer for leave to run an operation.
    Claim(Claim),
    /// The issuer's reply to a claim.
    Claimed(ClaimReply),
    /// Tells a ticket's issuer what became of a granted claim. Answered by
    /// [`Message::Settled`].
    Settle(ClaimSettlement),
    /// Whether the sender decides on tickets of that origin, and so has taken
    /// the settlement.
    Settled(bool),
    /// Asks to bind a ticket to a name in the store, if none is bound.
    Bind(Bind),
    /// The ticket bound to the name; `None` if the store can't be reached.
    Bound(Option<Ticket>),
    /// Keys whose withdrawal may not be durable yet. Answered in kind.
    Withdrawn(Vec<KeyId>),
    /// Asks for the configuration in force.
    ConfigRequest(ConfigRequest),
    /// Parts of the configuration in force.
    Config(ConfigParts),
    /// Asks for tokens of an account. Answered by [`Message::Lend`].
    ShareAsk(LoanRequest),
    /// Tokens on loan, if there are any to lend.
    Lend(Option<LoanGrant>),
    /// A loan that is given back before its time.
    Return(LoanReturn),
    /// Asks to vouch for the sender while the store is out. Answered by
    /// [`Message::Word`].
    Vouch(Holder),
    /// Asks to let a holder of the region be reclaimed, whose record is gone.
    /// Answered by [`Message::Word`].
    Release(Holder),
    /// Whether the sender agrees.
    Word(bool),
    /// Used tickets of an origin whose decider stops. Answered by
    /// [`Message::Word`].
    Part(HandoverPart),
    /// Makes the receiver the decider of an origin. Answered by
    /// [`Message::Word`].
    Commit(HandoverCommit),
    /// The sender holds no shares any more and has no record.
    Vacated(Holder),
    /// Asks for what the receiver knows of the store's contents. Answered by
    /// [`Message::StoreCopy`].
    AskStoreCopy {
        /// Version of the catalog that the sender has, 0 for none.
        catalog_version: u64,
    },
    /// What the sender knows of the store's contents.
    StoreCopy(StoreCopy),
    /// Streams that began at the sender, or that it was told of.
    StreamsBegan(StreamsBegan),
    /// Asks what began a stream. Answered by [`Message::StreamInfo`].
    AskStream(AskStream),
    /// What the sender knows of a stream.
    StreamInfo(StreamKnowledge),
}

/// What an instance knows of the store's contents, for another one.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoreCopy {
    /// The targets of the other one's region and the evacuated zones.
    pub fleet: FleetCopy,
    /// The catalog, if the other one has an older one.
    pub catalog: Option<CatalogCopy>,
}

/// Streams of a pool and the software that began them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamsBegan {
    /// The pool.
    pub pool: Pool,
    /// The streams, and the software that began each.
    pub streams: Vec<(StreamKey, SoftwareVersion)>,
    /// Whether the receiver, a hub, is to tell another hub of its region and one
    /// of each other region.
    pub pass_on: bool,
}

/// A stream that a caller resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AskStream {
    /// The stream.
    pub key: StreamKey,
    /// The pool that is to serve it.
    pub pool: Pool,
    /// Whether the receiver is to read the marks of software from the store
    /// before it answers, as the sender can't.
    pub confirm: bool,
}

/// A claim of a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// The ticket.
    pub ticket: Ticket,
    /// Names the claim; a repeated claim has the same.
    pub nonce: Nonce,
    /// What the ticket is used for.
    pub operation: OperationDigest,
}

/// A ticket to be bound to a name.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Bind {
    /// The name.
    pub name: String,
    /// The ticket.
    pub ticket: Ticket,
}

/// A sign of life and what siblings need to know of the sender.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// What the sender knows of the instances, itself first.
    pub digest: GossipDigest,
    /// Digest of the withdrawals that are not durable yet.
    pub withdrawn: u64,
    /// What the sender's region has of each pool, if it is told.
    pub summaries: Option<Vec<PoolSummary>>,
    /// What other regions have of each pool, passed on within the region.
    pub passed: Vec<RegionSummaries>,
}

/// What an instance has at the targets and of the accounts' limits, told often
/// and without an answer.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Counts the sender's statuses, so that an older one is told.
    pub sequence: u64,
    /// Names the sender's process.
    pub incarnation: u64,
    /// Whether the sender takes new work.
    pub ready: bool,
    /// Whether the sender reaches no target of its region.
    pub is_cut_off: bool,
    /// Revision of the store up to which the sender has read all changes.
    pub read_revision: StoreRevision,
    /// Revision of the store up to which the sender knows the catalog, the
    /// evacuations and the targets of the receiver's region, as it has read them
    /// or was told of them. It is not below `read_revision`.
    pub known_revision: StoreRevision,
    /// What the sender has at the targets of its region.
    pub counts: Vec<TargetInFlight>,
    /// Parts of prompts that the sender sent to targets since its last status.
    pub uses: Vec<PromptPartUse>,
    /// What the sender has of the accounts' limits.
    pub parts: Vec<AccountPart>,
    /// Tokens that are the receiver's from now on.
    pub gifts: Vec<TokenTransfer>,
    /// Crashes of targets that the sender saw, and the prompt parts that it
    /// knows to be quarantined.
    pub crashes: CrashReport,
    /// Requests that the sender lost in these crashes.
    pub lost: LostRequestsReport,
    /// Limits that targets stated to the sender.
    pub limits: Vec<StatedLimitRecord>,
    /// Limits on rejections that targets stated to the sender.
    pub rejection_limits: Vec<RejectionLimitRecord>,
    /// Other instances that the sender heard. Together with the sender they are
    /// those whose requests, crashes and limits this status has.
    pub heard: Vec<HeardInstance>,
}

/// An instance that the sender of a status heard lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeardInstance {
    /// Names the instance's process.
    pub incarnation: u64,
    /// Whether it takes new work.
    pub is_ready: bool,
    /// Whether it reaches no target of its region.
    pub is_cut_off: bool,
    /// Time since it was heard, in milliseconds.
    pub age_ms: u32,
}

/// The outcome of a charge at a hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ChargeReply {
    /// The account was charged.
    Granted,
    /// The account has too few tokens.
    Refused {
        /// Time until it is expected to have enough, in milliseconds; `None` if
        /// that can't be told.
        wait_ms: Option<u32>,
    },
    /// The receiver has no share of the account's limit.
    NoShare,
}

/// What an instance has of an account's limit.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AccountPart {
    /// The account.
    pub account: Account,
    /// Its state there.
    pub status: AllowanceStatus,
}

/// A target's load report, as one instance passes it on to its region.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub target: Target,
    /// Its report.
    pub report: LoadReport,
}

/// A request passed on, with the account in place of the key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Forward {
    /// The request's identifier.
    pub id: RequestId,
    /// The account that the sender charged; `None` on open routes.
    pub account: Option<Account>,
    /// The route that the sender matched.
    pub route: Route,
    /// The pool that the sender chose.
    pub pool: Pool,
    /// Version of the configuration by which the sender matched it. A receiver
    /// with an older one refuses the request if its own could run it otherwise.
    pub config_version: u64,
    /// Time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Whether the answer has begun and is to be continued.
    pub is_resumed: bool,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u64,
    /// The largest answer in tokens, if stated.
    pub max_answer_tokens: Option<u64>,
    /// Chained hashes of the prompt's blocks.
    pub prefix: Vec<u64>,
    /// The prompt's parts, where the caller names them.
    pub parts: Vec<PromptPart>,
    /// Targets to which the request may still go.
    pub attempts: u32,
    /// Id of the last event that the caller has.
    pub last_event_id: Option<u64>,
    /// Software that began the answer, if it has begun. Only targets of the same
    /// version may continue it.
    pub software: Option<SoftwareVersion>,
    /// Method.
    pub method: String,
    /// Path with its query.
    pub path_and_query: String,
    /// Headers that may reach a target.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

/// A part of the answer to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// Status code and headers.
    Head {
        /// Status code.
        status: u16,
        /// Headers that may reach a caller.
        headers: Vec<(String, Vec<u8>)>,
    },
    /// A piece of the body.
    Data(Vec<u8>),
    /// The body is whole.
    End,
    /// There is no answer, or no more of it.
    Refused(Refusal),
    /// Targets that may have run the request, before the head or a refusal, and
    /// again when the answer was resumed at another target.
    Ran(u32),
    /// The sender's hybrid logical clock, before the head.
    Stamp(Stamp),
    /// Software of the target that answers, before the head.
    Software(SoftwareVersion),
    /// It is uncertain which software has answered, so that no target may go on
    /// with the answer: before the head in place of [`Frame::Software`], or
    /// before the early end of an answer.
    SoftwareUnknown,
}
