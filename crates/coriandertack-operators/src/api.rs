//! What the handlers share.

use std::sync::{Arc, Mutex, PoisonError};

use {
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
    rates::{Rate, Rates},
    refusals::Refusals,
    reply::Fault,
    settings_schema::Live,
    watch::{self, Ring},
};

/// Accepts a job at the home of its team: the node, the actor and the job.
pub type Submit = Box<
    dyn Fn(Arc<Node>, String, JobSpec) -> BoxFuture<'static, Result<JobId, Code>> + Send + Sync,
>;

/// Refuses a job that no worker could ever hold.
pub type Admit = Box<dyn Fn(&State, &JobSpec) -> Result<(), Code> + Send + Sync>;

/// What the handlers of the resource API share.
pub struct Api {
    /// This VM.
    pub node: Arc<Node>,
    /// Tokens of the operators.
    pub operators: Vec<Operator>,
    /// Instruments.
    pub metrics: Arc<Metrics>,
    /// Recent changes, for those who watch.
    pub(crate) ring: Ring,
    /// Refusals on the way to the audit trail.
    pub(crate) refusals: Refusals,
    submit: Submit,
    admit: Admit,
    rates: Mutex<Rates<Principal>>,
}

impl Api {
    /// Returns an API that accepts jobs on this VM, whatever their home, and admits every job.
    ///
    /// [`Api::with_submit`] and [`Api::with_admit`] replace both. Changes can be watched from the
    /// offset that is applied when this is called.
    #[must_use]
    pub fn new(node: Arc<Node>, operators: Vec<Operator>, metrics: Arc<Metrics>) -> Self {
        Self {
            ring: Ring::of(&node),
            node,
            operators,
            metrics,
            refusals: Refusals::default(),
            submit: Box::new(|node, actor, spec| Box::pin(submit_here(node, actor, spec))),
            admit: Box::new(|_, _| Ok(())),
            rates: Mutex::default(),
        }
    }

    /// Replaces the way in which a job reaches the home of its team.
    #[must_use]
    pub fn with_submit(mut self, submit: Submit) -> Self {
        self.submit = submit;
        self
    }

    /// Replaces the test for work that no worker could ever hold.
    #[must_use]
    pub fn with_admit(mut self, admit: Admit) -> Self {
        self.admit = admit;
        self
    }

    /// Follows the changes and writes refusals to the audit trail, for as long as the process runs.
    ///
    /// Only the first call does so; a later one returns at once.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(watch::follow(&self.ring), self.refusals.write(&self.node));
    }

    /// Takes one request out of the principal's allowance.
    pub(crate) fn allow(&self, principal: &Principal) -> bool {
        let live = self.node.with(|shared| Live::read(&shared.state));
        let rate = Rate { per_s: live.rate, burst: live.burst };
        let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
        rates.take(principal, rate, Instant::now())
    }

    /// Checks that this VM has a state to answer from.
    ///
    /// Before it has read the log up to its tail, objects and tokens would seem not to exist.
    pub(crate) fn require_state(&self) -> Result<(), Fault> {
        match *self.node.stage.borrow() {
            Stage::Serving | Stage::Draining => Ok(()),
            Stage::Starting => Err(Code::NotReady.into()),
            Stage::Stopped => Err(Code::Stopping.into()),
        }
    }

    /// Checks that this VM may accept a change now.
    pub(crate) fn require_serving(&self) -> Result<(), Fault> {
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

async fn submit_here(node: Arc<Node>, actor: String, spec: JobSpec) -> Result<JobId, Code> {
    match node.submit_one(&actor, Record::Accept(spec)).await? {
        ApplyEffect::Job(job) => Ok(job),
        _ => Err(Code::Internal),
    }
}
