//! The life cycle of a request as a typestate.
//!
//! ```text
//! Received -> Admitted -> Placed       -> Dispatched -> Answered
//!                      \> PlacedRemote -> Dispatched
//! ```
//!
//! `PlacedRemote` is a request that is to be forwarded to a sibling in another
//! region. A placed or dispatched request returns to `Admitted` if the attempt
//! did not run, or if the request may be repeated.
//!
//! A request in a state before `Dispatched` can be refused as "not run". A
//! dispatched one can't, unless it first returns to `Admitted` on proof that it
//! did not run:
//!
//! ```compile_fail
//! use chiverelay_decisions::refusal::{Code, Refusal};
//! use chiverelay_decisions::request::{Dispatched, Direct, Request};
//! use chiverelay_decisions::step::{Peer, Step};
//! fn refuse(req: Request<Dispatched, Direct>) -> Refusal {
//!     req.refuse(Code::Unavailable, Step::Dispatch, Peer::Local)
//! }
//! ```
//!
//! A dispatched request can't be sent again:
//!
//! ```compile_fail
//! use chiverelay_decisions::request::{Dispatched, Direct, Request};
//! fn resend(req: Request<Dispatched, Direct>) {
//!     let _ = req.dispatch();
//! }
//! ```
//!
//! Nor can a placed request be dispatched twice:
//!
//! ```compile_fail
//! use chiverelay_decisions::request::{Direct, Placed, Request};
//! fn twice(req: Request<Placed, Direct>) {
//!     let _ = req.dispatch();
//!     let _ = req.dispatch();
//! }
//! ```
//!
//! A forwarded request can't be forwarded again:
//!
//! ```compile_fail
//! use chiverelay_decisions::config::Residency;
//! use chiverelay_decisions::names::{Instance, Region};
//! use chiverelay_decisions::request::{Admitted, Forwarded, Request};
//! fn forward(req: Request<Admitted, Forwarded>, to: Instance, region: Region) {
//!     let _ = req.place_remote(to, region, &Residency::anywhere());
//! }
//! ```
//!
//! The state of a placed request can't be built without the residency check
//! of [`Request::place`]:
//!
//! ```compile_fail
//! use chiverelay_decisions::names::{Region, Target};
//! use chiverelay_decisions::request::Placed;
//! fn build(target: Target, region: Region) -> Placed {
//!     Placed { target, region }
//! }
//! ```

mod dispatched;
mod operation;
mod origin;
mod sibling;

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use crate::config::Residency;
use crate::limits::Receipt;
use crate::names::Account;
use crate::names::Instance;
use crate::names::KeyId;
use crate::names::Model;
use crate::names::Pool;
use crate::names::Region;
use crate::names::RequestId;
use crate::names::Route;
use crate::names::Target;
use crate::refusal::Code;

use crate::refusal::Refusal;
use crate::step::Peer;
use crate::step::Step;

pub use self::origin::Origin;

/// The properties of a request that decisions depend on, apart from its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMeta {
    /// The request's identifier.
    pub id: RequestId,
    /// When the request was received, on the local monotonic clock.
    pub received: Duration,
    /// When the answer must be complete, on the local monotonic clock.
    pub deadline: Duration,
    /// The requested model, if any.
    pub model: Option<Model>,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// The largest length of the answer in tokens, if the caller limits it.
    pub max_answer_tokens: Option<u64>,
    /// Hashes of the prompt's blocks for prefix caching. Each hash covers its
    /// block and all blocks before it.
    pub prefix: Vec<u64>,
}

/// Largest number of prompt blocks that the affinity key covers.
const MAX_AFFINITY_BLOCKS: usize = 8;

impl RequestMeta {
    /// Returns the hash of the prompt's first [`MAX_AFFINITY_BLOCKS`] blocks,
    /// or of all if there are fewer; `None` without blocks. Prompts with an
    /// equal hash share a prefix that one target can cache.
    pub fn affinity_key(&self) -> Option<u64> {
        let block = self.prefix.get(MAX_AFFINITY_BLOCKS - 1);
        block.or(self.prefix.last()).copied()
    }
}

/// Origin of a request received from a caller.
#[derive(Debug)]
pub struct Direct(());

/// Origin of a request forwarded by a sibling.
#[derive(Debug)]
pub struct Forwarded(());

/// State of a request that was received and not yet admitted.
#[derive(Debug)]
pub struct Received(());

/// The result of admission: what a request is allowed to do, and what it was
/// charged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The client account that the request runs for; `None` on routes that need
    /// no key.
    pub account: Option<Account>,
    /// The matched route.
    pub route: Route,
    /// The pool whose targets answer the request.
    pub pool: Pool,
    /// The regions where the request may run by the configuration that admitted
    /// it.
    pub residency: Residency,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Tokens charged to the account at admission.
    pub charged_tokens: u64,
    /// Identifies the charge when it is corrected to the tokens used.
    pub receipt: Option<Receipt>,
}

/// State of a request that may run, and whose client account, if it has one,
/// was charged.
#[derive(Debug)]
pub struct Admitted {
    grant: Arc<Grant>,
}

/// State of a request with a chosen target.
///
/// # Invariants
///
/// `region` is allowed by the residency in `grant`, and was by the configuration
/// that was in force when the request was placed.
#[derive(Debug)]
pub struct Placed {
    grant: Arc<Grant>,
    target: Target,
    region: Region,
}

/// State of a request to be forwarded to a sibling in another region.
///
/// # Invariants
///
/// `region` is allowed by the residency in `grant`, and was by the configuration
/// that was in force when the request was placed.
#[derive(Debug)]
pub struct PlacedRemote {
    grant: Arc<Grant>,
    instance: Instance,
    region: Region,
}

/// State of a request that a target may have received in part or whole.
///
/// # Invariants
///
/// `has_earlier_attempt` is true if an attempt before this one was dispatched.
#[derive(Debug)]
pub struct Dispatched {
    grant: Arc<Grant>,
    peer: Peer,
    has_earlier_attempt: bool,
}

/// State of a request whose answer has arrived completely.
#[derive(Debug)]
pub struct Answered {
    grant: Arc<Grant>,
}

mod sealed {
    pub trait NotDispatched {}
}

/// States in which the current attempt has sent no byte to a target.
pub trait NotDispatched: sealed::NotDispatched {}

macro_rules! not_dispatched {
    ($($state:ty),*) => {
        $(
            impl sealed::NotDispatched for $state {}
            impl NotDispatched for $state {}
        )*
    };
}

not_dispatched!(Received, Admitted, Placed, PlacedRemote);

/// States of a request that was admitted.
pub trait HasGrant {
    /// Returns the request's grant.
    fn grant(&self) -> &Arc<Grant>;
}

macro_rules! has_grant {
    ($($state:ty),*) => {
        $(
            impl HasGrant for $state {
                fn grant(&self) -> &Arc<Grant> {
                    &self.grant
                }
            }
        )*
    };
}

has_grant!(Admitted, Placed, PlacedRemote, Dispatched, Answered);

/// A request in state `S` with origin `O`.
///
/// # Invariants
///
/// `was_dispatched` is set when an attempt is dispatched, and from the start if
/// an earlier request may have been an attempt at the same operation. While it
/// is set, no refusal says "not run". It is reset only on proof that the
/// attempt or the earlier request did not run, or for a request that may run
/// more than once. `tried_targets` lists every target at which an attempt was
/// made, and `asked_siblings` every sibling that was chosen, so that none is
/// chosen twice unless [`Request::allow_return`] says so.
#[derive(Debug)]
pub struct Request<S, O> {
    meta: Arc<RequestMeta>,
    key: Option<KeyId>,
    was_dispatched: bool,
    tried_targets: Vec<Target>,
    asked_siblings: Vec<Instance>,
    state: S,
    origin: PhantomData<O>,
}

impl<S, O> Request<S, O> {
    /// Returns the request's properties.
    pub fn meta(&self) -> &Arc<RequestMeta> {
        &self.meta
    }

    /// Returns the id of the caller's key; `None` on routes that need no key,
    /// and for forwarded requests, as keys are never forwarded.
    pub fn key(&self) -> Option<&KeyId> {
        self.key.as_ref()
    }

    /// Returns the targets at which an attempt was made.
    pub fn tried_targets(&self) -> &[Target] {
        &self.tried_targets
    }

    /// Returns the siblings that were chosen before.
    pub fn asked_siblings(&self) -> &[Instance] {
        &self.asked_siblings
    }

    /// Tells whether an attempt was dispatched, or may have been for an earlier
    /// request of the same operation.
    pub fn was_dispatched(&self) -> bool {
        self.was_dispatched
    }

    /// Allows another attempt at a target that the request has left, as no other
    /// one has taken it.
    pub fn allow_return(&mut self, target: &Target) {
        self.tried_targets.retain(|tried| tried != target);
    }

    fn with_state<T>(self, state: T) -> Request<T, O> {
        Request {
            meta: self.meta,
            key: self.key,
            was_dispatched: self.was_dispatched,
            tried_targets: self.tried_targets,
            asked_siblings: self.asked_siblings,
            state,
            origin: PhantomData,
        }
    }
}

impl<S, O> Request<S, O>
where
    S: HasGrant,
{
    /// Returns what the request is allowed to do.
    pub fn grant(&self) -> &Arc<Grant> {
        self.state.grant()
    }

    /// Tells whether the request may be sent to `region`. `current` is its
    /// residency by the configuration in force.
    pub fn may_go_to(&self, region: &Region, current: &Residency) -> bool {
        self.grant().residency.allows(region) && current.allows(region)
    }

    /// Returns the client account that the request runs for.
    pub fn account(&self) -> Option<&Account> {
        self.grant().account.as_ref()
    }
}

impl<S, O> Request<S, O>
where
    S: NotDispatched,
{
    /// Ends the life cycle with a refusal, which says "not run" unless an
    /// earlier attempt was dispatched.
    pub fn refuse(self, code: Code, step: Step, peer: Peer) -> Refusal {
        self.refusal(code, step, peer)
    }

    /// Returns the same refusal as [`Request::refuse`] but keeps the
    /// request, so that another way to run it can be tried.
    pub fn refusal(&self, code: Code, step: Step, peer: Peer) -> Refusal {
        match self.was_dispatched {
            true => Refusal::unknown(code, step, peer),
            false => Refusal::not_run(code, step, peer),
        }
    }
}

impl Request<Received, Direct> {
    /// Starts the life cycle of a request from a caller.
    pub fn from_caller(meta: RequestMeta) -> Self {
        Self::new(meta)
    }

    /// Sets the caller's key.
    pub(crate) fn with_key(mut self, key: KeyId) -> Self {
        self.key = Some(key);
        self
    }
}

impl Request<Received, Forwarded> {
    /// Starts the life cycle of a request forwarded by a sibling.
    pub fn from_sibling(meta: RequestMeta) -> Self {
        Self::new(meta)
    }
}

impl<O> Request<Received, O> {
    fn new(meta: RequestMeta) -> Self {
        Self {
            meta: Arc::new(meta),
            key: None,
            was_dispatched: false,
            tried_targets: Vec::new(),
            asked_siblings: Vec::new(),
            state: Received(()),
            origin: PhantomData,
        }
    }

    /// Admits the request with what it is allowed to do.
    pub fn admit(self, grant: Grant) -> Request<Admitted, O> {
        self.with_state(Admitted {
            grant: Arc::new(grant),
        })
    }
}

impl<O> Request<Admitted, O> {
    /// Places the request at `target`, which is in `region`. `current` is the
    /// residency of the request by the configuration in force, which may have
    /// replaced the one that admitted the request.
    ///
    /// # Errors
    ///
    /// Returns the request unless both its grant and `current` allow `region`.
    pub fn place(
        self,
        target: Target,
        region: Region,
        current: &Residency,
    ) -> Result<Request<Placed, O>, Self> {
        if !self.may_go_to(&region, current) {
            return Err(self);
        }
        let grant = Arc::clone(&self.state.grant);
        Ok(self.with_state(Placed {
            grant,
            target,
            region,
        }))
    }
}

impl Request<Admitted, Direct> {
    /// Places the request at a sibling in another region, which chooses a
    /// target there. `current` is as for [`Request::place`].
    ///
    /// # Errors
    ///
    /// Returns the request unless both its grant and `current` allow `region`.
    pub fn place_remote(
        mut self,
        instance: Instance,
        region: Region,
        current: &Residency,
    ) -> Result<Request<PlacedRemote, Direct>, Self> {
        if !self.may_go_to(&region, current) {
            return Err(self);
        }
        self.asked_siblings.push(instance.clone());
        let grant = Arc::clone(&self.state.grant);
        Ok(self.with_state(PlacedRemote {
            grant,
            instance,
            region,
        }))
    }
}

impl<O> Request<Placed, O> {
    /// Returns the chosen target.
    pub fn target(&self) -> &Target {
        &self.state.target
    }

    /// Returns the region of the chosen target.
    pub fn region(&self) -> &Region {
        &self.state.region
    }

    /// Returns to the admitted state after a connection failed before any byte
    /// was sent, and marks the target as tried.
    pub fn unplace(mut self) -> Request<Admitted, O> {
        self.tried_targets.push(self.state.target.clone());
        let grant = Arc::clone(&self.state.grant);
        self.with_state(Admitted { grant })
    }

    /// Marks the request as sent: from here on a byte may reach the target.
    pub fn dispatch(mut self) -> Request<Dispatched, O> {
        let has_earlier_attempt = std::mem::replace(&mut self.was_dispatched, true);
        self.tried_targets.push(self.state.target.clone());
        let grant = Arc::clone(&self.state.grant);
        let peer = Peer::Target(self.state.target.clone());
        self.with_state(Dispatched {
            grant,
            peer,
            has_earlier_attempt,
        })
    }
}

impl Request<PlacedRemote, Direct> {
    /// Returns the chosen sibling.
    pub fn instance(&self) -> &Instance {
        &self.state.instance
    }

    /// Returns the sibling's region.
    pub fn region(&self) -> &Region {
        &self.state.region
    }

    /// Returns to the admitted state after the request could not be forwarded.
    pub fn unplace(self) -> Request<Admitted, Direct> {
        let grant = Arc::clone(&self.state.grant);
        self.with_state(Admitted { grant })
    }

    /// Marks the request as forwarded: from here on the sibling may send it to
    /// a target.
    pub fn dispatch(mut self) -> Request<Dispatched, Direct> {
        let has_earlier_attempt = std::mem::replace(&mut self.was_dispatched, true);
        let grant = Arc::clone(&self.state.grant);
        let peer = Peer::Sibling(self.state.instance.clone());
        self.with_state(Dispatched {
            grant,
            peer,
            has_earlier_attempt,
        })
    }
}
