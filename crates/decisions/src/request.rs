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
//!     let _ = req.place_away(to, region);
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
pub struct Head {
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
const AFFINITY_BLOCKS: usize = 8;

impl Head {
    /// Returns what prompts with the same beginning have in common.
    pub fn affinity(&self) -> Option<u64> {
        let block = self.prefix.get(AFFINITY_BLOCKS - 1);
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
    pub charge: u64,
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
pub struct Away {
    grant: Arc<Grant>,
    instance: Instance,
    region: Region,
}

/// State of a request of which a target may have seen a byte.
///
/// # Invariants
///
/// `earlier` tells whether an attempt before this one was dispatched.
#[derive(Debug)]
pub struct Dispatched {
    grant: Arc<Grant>,
    peer: Peer,
    earlier: bool,
}

/// State of a request whose whole answer has arrived.
#[derive(Debug)]
pub struct Answered {
    grant: Arc<Grant>,
}

mod sealed {
    pub trait NotRun {}
}

/// States in which no target has seen any byte of the request.
pub trait NotRun: sealed::NotRun {}

macro_rules! not_run {
    ($($state:ty),*) => {
        $(
            impl sealed::NotRun for $state {}
            impl NotRun for $state {}
        )*
    };
}

not_run!(Received, Admitted, Placed, Away);

/// States that have a grant.
pub trait Granted {
    /// Returns the grant.
    fn grant(&self) -> &Arc<Grant>;
}

macro_rules! granted {
    ($($state:ty),*) => {
        $(
            impl Granted for $state {
                fn grant(&self) -> &Arc<Grant> {
                    &self.grant
                }
            }
        )*
    };
}

granted!(Admitted, Placed, Away, Dispatched, Answered);

/// A request in state `S` that came by `O`.
///
/// # Invariants
///
/// `attempted` is set once any attempt was dispatched, and from the start if
/// an earlier request may have been an attempt at the same operation; a
/// refusal after that never says "not run". `tried` lists every target that
/// was chosen before, and `asked` every sibling, so that none is chosen twice.
#[derive(Debug)]
pub struct Request<S, O> {
    head: Arc<Head>,
    key: Option<KeyId>,
    attempted: bool,
    tried: Vec<Target>,
    asked: Vec<Instance>,
    state: S,
    origin: PhantomData<O>,
}

impl<S, O> Request<S, O> {
    /// Returns the request's head.
    pub fn head(&self) -> &Arc<Head> {
        &self.head
    }

    /// Returns the key that the request runs under; `None` on open routes and
    /// at siblings, which never learn of it.
    pub fn key(&self) -> Option<&KeyId> {
        self.key.as_ref()
    }

    /// Returns the targets that were chosen before.
    pub fn tried(&self) -> &[Target] {
        &self.tried
    }

    /// Returns the siblings that were chosen before.
    pub fn asked(&self) -> &[Instance] {
        &self.asked
    }

    /// Tells whether an attempt was dispatched.
    pub fn attempted(&self) -> bool {
        self.attempted
    }

    fn with_state<T>(self, state: T) -> Request<T, O> {
        Request {
            head: self.head,
            key: self.key,
            attempted: self.attempted,
            tried: self.tried,
            asked: self.asked,
            state,
            origin: PhantomData,
        }
    }
}

impl<S, O> Request<S, O>
where
    S: Granted,
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
    S: NotRun,
{
    /// Refuses the request; "not run" unless an earlier attempt was dispatched.
    pub fn refuse_not_run(self, code: Code, step: Step, peer: Peer) -> Refusal {
        self.refuse_as(code, step, peer)
    }

    /// Returns the refusal of [`Request::refuse_not_run`], for whoever still
    /// looks for another way.
    pub fn refuse_as(&self, code: Code, step: Step, peer: Peer) -> Refusal {
        match self.attempted {
            true => Refusal::unknown(code, step, peer),
            false => Refusal::before_dispatch(code, step, peer),
        }
    }
}

impl Request<Received, Direct> {
    /// Starts the life cycle of a caller's request.
    pub fn from_caller(head: Head) -> Self {
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
    pub fn from_sibling(head: Head) -> Self {
        Self::new(head)
    }
}

impl<O> Request<Received, O> {
    fn new(head: Head) -> Self {
        Self {
            head: Arc::new(head),
            key: None,
            attempted: false,
            tried: Vec::new(),
            asked: Vec::new(),
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
    pub fn place_away(
        mut self,
        instance: Instance,
        region: Region,
    ) -> Result<Request<Away, Direct>, Self> {
        if !self.state.grant.residency.allows(&region) {
            return Err(self);
        }
        self.asked.push(instance.clone());
        let grant = Arc::clone(&self.state.grant);
        Ok(self.with_state(Away {
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
        self.tried.push(self.state.target.clone());
        let grant = Arc::clone(&self.state.grant);
        self.with_state(Admitted { grant })
    }

    /// Marks that the first byte may now reach the target.
    pub fn dispatch(mut self) -> Request<Dispatched, O> {
        let earlier = std::mem::replace(&mut self.attempted, true);
        self.tried.push(self.state.target.clone());
        let grant = Arc::clone(&self.state.grant);
        let peer = Peer::Target(self.state.target.clone());
        self.with_state(Dispatched {
            grant,
            peer,
            earlier,
        })
    }
}

impl Request<Away, Direct> {
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
        let earlier = std::mem::replace(&mut self.attempted, true);
        let grant = Arc::clone(&self.state.grant);
        let peer = Peer::Sibling(self.state.instance.clone());
        self.with_state(Dispatched {
            grant,
            peer,
            earlier,
        })
    }
}
