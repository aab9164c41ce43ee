//! The life cycle of a request as a typestate.
//!
//! ```text
//! Received -> Admitted -> Placed -> Dispatched -> Answered
//!                      \> Away   -> Dispatched
//! ```
//!
//! Only the states before `Dispatched` can be refused as "not run":
//!
//! ```compile_fail
//! use chiverelay_decisions::refusal::{Code, Refusal};
//! use chiverelay_decisions::request::{Dispatched, Direct, Request};
//! use chiverelay_decisions::step::{Peer, Step};
//! fn refuse(req: Request<Dispatched, Direct>) -> Refusal {
//!     req.refuse_not_run(Code::Unavailable, Step::Dispatch, Peer::Local)
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
//! Nor can it be sent by keeping a copy of the placed request:
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
//! use chiverelay_decisions::names::{Instance, Region};
//! use chiverelay_decisions::request::{Admitted, Forwarded, Request};
//! fn forward(req: Request<Admitted, Forwarded>, to: Instance, region: Region) {
//!     let _ = req.place_remote(to, region);
//! }
//! ```
//!
//! The state of a placed request can't be built without its residency check:
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

/// What decisions need to know of a request, apart from its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMeta {
    /// The request's identifier.
    pub id: RequestId,
    /// When the request came in, on the local monotonic clock.
    pub received: Duration,
    /// When the answer must be complete, on the local monotonic clock.
    pub deadline: Duration,
    /// The model asked for, if any.
    pub model: Option<Model>,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u64,
    /// The largest answer in tokens, if the caller states one.
    pub max_answer_tokens: Option<u64>,
    /// Chained hashes of the prompt's blocks, for prefix caches.
    pub prefix: Vec<u64>,
}

/// Blocks of a prompt that decide where it is read first.
const MAX_AFFINITY_BLOCKS: usize = 8;

impl RequestMeta {
    /// Returns what prompts with the same beginning have in common.
    pub fn affinity_key(&self) -> Option<u64> {
        let block = self.prefix.get(MAX_AFFINITY_BLOCKS - 1);
        block.or(self.prefix.last()).copied()
    }
}

/// Origin of a request that came from a caller.
#[derive(Debug)]
pub struct Direct(());

/// Origin of a request that a sibling passed on.
#[derive(Debug)]
pub struct Forwarded(());

/// State of a request that has been read.
#[derive(Debug)]
pub struct Received(());

/// What an admitted request may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The client account that the request runs for; `None` on open routes.
    pub account: Option<Account>,
    /// The route that was matched.
    pub route: Route,
    /// The pool that answers the route.
    pub pool: Pool,
    /// Where the request may run.
    pub residency: Residency,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Tokens charged to the account at admission.
    pub charged_tokens: u64,
    /// Proof of the charge at the instance that made it.
    pub receipt: Option<Receipt>,
}

/// State of a request whose client account was charged.
#[derive(Debug)]
pub struct Admitted {
    grant: Arc<Grant>,
}

/// State of a request with a chosen target.
///
/// # Invariants
///
/// `region` is allowed by the residency in `grant`.
#[derive(Debug)]
pub struct Placed {
    grant: Arc<Grant>,
    target: Target,
    region: Region,
}

/// State of a request to be passed to a sibling in another region.
///
/// # Invariants
///
/// `region` is allowed by the residency in `grant`.
#[derive(Debug)]
pub struct PlacedRemote {
    grant: Arc<Grant>,
    instance: Instance,
    region: Region,
}

/// State of a request of which a target may have seen a byte.
///
/// # Invariants
///
/// `has_earlier_attempt` tells whether an attempt before this one was dispatched.
#[derive(Debug)]
pub struct Dispatched {
    grant: Arc<Grant>,
    peer: Peer,
    has_earlier_attempt: bool,
}

/// State of a request whose whole answer has arrived.
#[derive(Debug)]
pub struct Answered {
    grant: Arc<Grant>,
}

mod sealed {
    pub trait NotDispatched {}
}

/// States in which no target has seen any byte of the request.
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

/// States that have a grant.
pub trait HasGrant {
    /// Returns the grant.
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

/// A request in state `S` that came by `O`.
///
/// # Invariants
///
/// `was_dispatched` is set once any attempt was dispatched, and from the start if
/// an earlier request may have been an attempt at the same operation; a
/// refusal after that never says "not run". `tried_targets` lists every target that
/// was chosen before, and `asked_siblings` every sibling, so that none is chosen twice.
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
    /// Returns the request's head.
    pub fn meta(&self) -> &Arc<RequestMeta> {
        &self.meta
    }

    /// Returns the key that the request runs under; `None` on open routes and
    /// at siblings, which never learn of it.
    pub fn key(&self) -> Option<&KeyId> {
        self.key.as_ref()
    }

    /// Returns the targets that were chosen before.
    pub fn tried_targets(&self) -> &[Target] {
        &self.tried_targets
    }

    /// Returns the siblings that were chosen before.
    pub fn asked_siblings(&self) -> &[Instance] {
        &self.asked_siblings
    }

    /// Tells whether an attempt was dispatched.
    pub fn was_dispatched(&self) -> bool {
        self.was_dispatched
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
    /// Returns the grant.
    pub fn grant(&self) -> &Arc<Grant> {
        self.state.grant()
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
    /// Refuses the request; "not run" unless an earlier attempt was dispatched.
    pub fn refuse_not_run(self, code: Code, step: Step, peer: Peer) -> Refusal {
        self.refusal(code, step, peer)
    }

    /// Returns the refusal of [`Request::refuse_not_run`], for whoever still
    /// looks for another way.
    pub fn refusal(&self, code: Code, step: Step, peer: Peer) -> Refusal {
        match self.was_dispatched {
            true => Refusal::unknown(code, step, peer),
            false => Refusal::not_run(code, step, peer),
        }
    }
}

impl Request<Received, Direct> {
    /// Starts the life cycle of a caller's request.
    pub fn from_caller(head: RequestMeta) -> Self {
        Self::new(head)
    }

    /// Notes the key that the request runs under.
    pub(crate) fn with_key(mut self, key: KeyId) -> Self {
        self.key = Some(key);
        self
    }
}

impl Request<Received, Forwarded> {
    /// Starts the life cycle of a request that a sibling passed on.
    pub fn from_sibling(head: RequestMeta) -> Self {
        Self::new(head)
    }
}

impl<O> Request<Received, O> {
    fn new(head: RequestMeta) -> Self {
        Self {
            meta: Arc::new(head),
            key: None,
            was_dispatched: false,
            tried_targets: Vec::new(),
            asked_siblings: Vec::new(),
            state: Received(()),
            origin: PhantomData,
        }
    }

    /// Records the grant under which the request runs.
    pub fn admit(self, grant: Grant) -> Request<Admitted, O> {
        self.with_state(Admitted {
            grant: Arc::new(grant),
        })
    }
}

impl<O> Request<Admitted, O> {
    /// Chooses a target of this region.
    ///
    /// # Errors
    ///
    /// Gives the request back if its residency does not allow `region`.
    pub fn place(self, target: Target, region: Region) -> Result<Request<Placed, O>, Self> {
        if !self.state.grant.residency.allows(&region) {
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
    /// Chooses a sibling in another region, which then places the request.
    ///
    /// # Errors
    ///
    /// Gives the request back if its residency does not allow `region`.
    pub fn place_remote(
        mut self,
        instance: Instance,
        region: Region,
    ) -> Result<Request<PlacedRemote, Direct>, Self> {
        if !self.state.grant.residency.allows(&region) {
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

    /// Goes back after a connection that failed before any byte was sent.
    pub fn unplace(mut self) -> Request<Admitted, O> {
        self.tried_targets.push(self.state.target.clone());
        let grant = Arc::clone(&self.state.grant);
        self.with_state(Admitted { grant })
    }

    /// Marks that the first byte may now reach the target.
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

    /// Goes back after a sibling refused the request as "not run".
    pub fn unplace(self) -> Request<Admitted, Direct> {
        let grant = Arc::clone(&self.state.grant);
        self.with_state(Admitted { grant })
    }

    /// Marks that the sibling may now pass the request to a target.
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
