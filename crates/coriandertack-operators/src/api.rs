//! State shared by the handlers.

use std::sync::{Arc, Mutex, PoisonError};

use {
    coriandertack_callers::bodies::Bodies,
    coriandertack_core::{
        code::Code,
        keys::JobId,
        node::{Node, Stage},
        record::{JobSpec, Record},
        state::{ApplyEffect, ApplyResult, State},
    },
    futures::future::BoxFuture,
    tokio::time::Instant,
};

use crate::{
    access::{Operator, Principal},
    metrics::Metrics,
    rate_limiter::{RateLimit, RateLimiter},
    refusals::RefusalQueue,
    reply::ApiError,
    settings_schema::Live,
    watch::{self, ChangeBuffer},
};

/// Submits a job to the home VM of its team, given the node, the actor and the job.
pub type Submit = Box<
    dyn Fn(Arc<Node>, String, JobSpec) -> BoxFuture<'static, Result<JobId, Code>> + Send + Sync,
>;

/// Rejects a job whose tasks would not fit on any worker.
pub type Admit = Box<dyn Fn(&State, &JobSpec) -> Result<(), Code> + Send + Sync>;

/// Bytes of request bodies held at a time by an API with a budget of its own: 64 bodies of the maximum size.
const BODY_BUDGET_BYTES: usize = 4 << 20;

/// State shared by the handlers of the resource API.
pub struct Api {
    /// The node of this VM.
    pub node: Arc<Node>,
    /// Operators and the digests of their tokens, from the settings of this VM.
    pub operators: Vec<Operator>,
    /// Metrics of this VM.
    pub metrics: Arc<Metrics>,
    /// Recent changes, served to watch requests.
    pub(crate) change_buffer: ChangeBuffer,
    /// Refused changes that are not yet in the audit trail.
    pub(crate) refusals: RefusalQueue,
    /// Bodies of requests that are received or in progress.
    pub(crate) bodies: Arc<Bodies>,
    submit: Submit,
    admit: Admit,
    rate_limiter: Mutex<RateLimiter<Principal>>,
}

impl Api {
    /// Returns an API that submits every job on this VM, whichever VM is its home, and admits every job.
    ///
    /// [`Api::with_submit`] and [`Api::with_admit`] replace these defaults. Watch requests see changes
    /// after the offset that the node has applied when this is called.
    #[must_use]
    pub fn new(node: Arc<Node>, operators: Vec<Operator>, metrics: Arc<Metrics>) -> Self {
        Self {
            change_buffer: ChangeBuffer::new(&node),
            node,
            operators,
            metrics,
            refusals: RefusalQueue::default(),
            bodies: Bodies::new(BODY_BUDGET_BYTES),
            submit: Box::new(|node, actor, spec| Box::pin(submit_locally(node, actor, spec))),
            admit: Box::new(|_, _| Ok(())),
            rate_limiter: Mutex::default(),
        }
    }

    /// Sets the budget of request bodies, which the API then shares with other interfaces of the process.
    #[must_use]
    pub fn with_bodies(mut self, bodies: Arc<Bodies>) -> Self {
        self.bodies = bodies;
        self
    }

    /// Sets the function that submits a job to the home VM of its team.
    #[must_use]
    pub fn with_submit(mut self, submit: Submit) -> Self {
        self.submit = submit;
        self
    }

    /// Sets the check that rejects jobs whose tasks would not fit on any worker.
    #[must_use]
    pub fn with_admit(mut self, admit: Admit) -> Self {
        self.admit = admit;
        self
    }

    /// Collects changes for watch requests and writes refusals to the audit trail until the process ends.
    ///
    /// Only the first call does this; later calls return immediately.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(watch::fill_buffer(&self.change_buffer), self.refusals.run(&self.node));
    }

    /// Counts one request against the principal's rate limit and returns whether it is within the limit.
    pub(crate) fn allow_request(&self, principal: &Principal) -> bool {
        let live = self.node.with(|shared| Live::read(&shared.state));
        let rate = RateLimit { per_s: live.rate, burst: live.burst };
        let mut rate_limiter = self.rate_limiter.lock().unwrap_or_else(PoisonError::into_inner);
        rate_limiter.try_take(principal, rate, Instant::now())
    }

    /// Checks that this VM's replicated state can be read.
    ///
    /// Until the VM has read the log to its tail, existing objects and tokens would be reported as missing.
    pub(crate) fn require_readable(&self) -> Result<(), ApiError> {
        match *self.node.stage.borrow() {
            Stage::Serving | Stage::Draining => Ok(()),
            Stage::Starting => Err(Code::NotReady.into()),
            Stage::Stopped => Err(Code::Stopping.into()),
        }
    }

    /// Checks that this VM may accept changes: it is serving, its session is live and the log is reachable.
    pub(crate) fn require_serving(&self) -> Result<(), ApiError> {
        match *self.node.stage.borrow() {
            Stage::Serving => {}
            Stage::Starting => return Err(Code::NotReady.into()),
            Stage::Draining | Stage::Stopped => return Err(Code::Stopping.into()),
        }
        if self.node.own_key().is_none() {
            return Err(Code::Fenced.into());
        }
        if !self.node.is_valid() {
            return Err(Code::LogUnavailable.into());
        }
        Ok(())
    }

    pub(crate) fn admit(&self, state: &State, spec: &JobSpec) -> Result<(), Code> {
        (self.admit)(state, spec)
    }

    pub(crate) async fn submit(&self, actor: String, spec: JobSpec) -> Result<JobId, Code> {
        (self.submit)(Arc::clone(&self.node), actor, spec).await
    }

    pub(crate) async fn append(&self, actor: &str, record: Record) -> ApplyResult {
        self.node.submit_one(actor, record).await
    }
}

async fn submit_locally(node: Arc<Node>, actor: String, spec: JobSpec) -> Result<JobId, Code> {
    match node.submit_one(&actor, Record::Accept(spec)).await? {
        ApplyEffect::Job(job) => Ok(job),
        _ => Err(Code::Internal),
    }
}
