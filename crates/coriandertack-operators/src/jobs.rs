//! Submission, retrieval, listing and cancellation of jobs.

use std::{ops::Bound, sync::Arc};

use {
    coriandertack_core::{
        code::Code,
        keys::JobId,
        record::{JobSpec, Kind, Outcome, Record},
        resources::Resources,
        state::{ApplyEffect, Job, State, Team},
    },
    serde::Serialize,
};

use crate::{
    api::Api,
    call::{Call, check_name, with_change_timeout},
    changes, preview,
    reply::{ApiError, ApiResult, Reply},
};

/// Maximum length of a command in bytes.
pub const MAX_COMMAND_BYTES: usize = 4_096;

/// Maximum number of retries of a task.
pub const MAX_RETRIES: u32 = 100;

/// Maximum declared run time in milliseconds: one year.
pub const MAX_RUN_MS: u64 = 365 * 24 * 3_600 * 1_000;

/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Maximum number of jobs scanned for one page, which bounds the cost of a filter that matches few jobs.
const MAX_SCAN: usize = 5_000;

/// Status of a job, as returned in `standing`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, Serialize)]
#[serde(rename_all = "lowercase")]
enum Standing {
    #[display("active")]
    Active,
    #[display("cancelling")]
    Cancelling,
    #[display("ended")]
    Ended,
}

/// A job as returned by the API.
#[derive(Debug, Serialize)]
struct JobView {
    job: JobId,
    standing: Standing,
    at_ms: u64,
    succeeded: usize,
    failed: usize,
    cancelled: usize,
    spec: JobSpec,
}

fn standing(job: &Job) -> Standing {
    match (job.is_ended(), job.cancelled) {
        (true, _) => Standing::Ended,
        (false, true) => Standing::Cancelling,
        (false, false) => Standing::Active,
    }
}

fn job_view(job: &Job) -> JobView {
    JobView {
        job: job.id,
        standing: standing(job),
        at_ms: job.at_ms,
        succeeded: job.count(Outcome::Succeeded),
        failed: job.count(Outcome::Failed),
        cancelled: job.count(Outcome::Cancelled),
        spec: job.spec.clone(),
    }
}

/// Submits a job.
pub(crate) async fn submit(api: Arc<Api>, call: Call) -> ApiResult {
    let mut spec: JobSpec = call.json_body()?;
    if call.idempotency_key.is_some() {
        spec.key.clone_from(&call.idempotency_key);
    }
    call.principal.require_team(&spec.team)?;
    check(&spec)?;
    api.require_serving()?;
    api.node.with(|shared| {
        let team = shared.state.team(&spec.team).ok_or(Code::NotFound)?;
        check_quota(team, &spec)?;
        api.admit(&shared.state, &spec).map_err(ApiError::from)
    })?;
    if call.dry_run()? {
        let record = Record::Accept(spec);
        api.node.with(|shared| preview::apply_result(&shared.state, &record))?;
        return Ok(Reply::new(Code::Done).with("dry_run", true));
    }
    let submitted = api.submit(call.principal.to_string(), spec);
    let result = with_change_timeout(async { submitted.await.map(ApplyEffect::Job) }).await;
    match result.map_err(|code| ApiError::from(code).logged())? {
        ApplyEffect::Job(job) => Ok(Reply::new(Code::Accepted).with("job", job)),
        _ => Err(Code::Internal.into()),
    }
}

/// Validates every field of a job.
fn check(spec: &JobSpec) -> Result<(), ApiError> {
    let refuse = |reason: String| Err(ApiError::new(Code::OutOfRange, reason));
    check_name("team name", &spec.team)?;
    check_name("job name", &spec.name)?;
    let max_tasks = coriandertack_core::state::MAX_TASKS;
    if spec.tasks == 0 || spec.tasks > max_tasks {
        return refuse(format!("tasks is {}; it must be 1 to {max_tasks}", spec.tasks));
    }
    if spec.need == Resources::ZERO {
        return refuse("need is zero; request processors, memory or accelerators".into());
    }
    if spec.run_ms > MAX_RUN_MS {
        return refuse(format!("run_ms is {}; it must be at most {MAX_RUN_MS}", spec.run_ms));
    }
    if spec.retries > MAX_RETRIES {
        return refuse(format!("retries is {}; it must be at most {MAX_RETRIES}", spec.retries));
    }
    if spec.command.len() > MAX_COMMAND_BYTES {
        return refuse(format!(
            "command has {} bytes; the limit is {MAX_COMMAND_BYTES}",
            spec.command.len()
        ));
    }
    if spec.key.as_ref().is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        return refuse(format!("the idempotency key must have 1 to {MAX_KEY_BYTES} bytes"));
    }
    Ok(())
}

/// Rejects a job that exceeds the team quota even when the team runs nothing else.
///
/// All tasks of a gang count together, since they run at the same time.
fn check_quota(team: &Team, spec: &JobSpec) -> Result<(), ApiError> {
    let together = match spec.kind {
        Kind::Gang => spec.need.checked_mul(spec.tasks),
        Kind::Service | Kind::Batch => Some(spec.need),
    };
    if together.is_some_and(|need| need.fits(team.spec.quota)) {
        return Ok(());
    }
    let reason = format!(
        "the job does not fit the team quota of {}; request less or raise the quota",
        team.spec.quota
    );
    Err(ApiError::new(Code::QuotaExceeded, reason))
}

/// Returns one job.
pub(crate) async fn get(api: Arc<Api>, call: Call) -> ApiResult {
    api.node.with(|shared| {
        let job = find_job(&shared.state, &call)?;
        let reply = Reply::new(Code::Done).with("position", shared.state.offset);
        Ok(reply.with("job", job_view(job)))
    })
}

/// Returns the job in the path if the principal may access it.
pub(crate) fn find_job<'a>(state: &'a State, call: &Call) -> Result<&'a Job, ApiError> {
    let job = state.jobs.get(call.job_id()?).ok_or(Code::NotFound)?;
    call.principal.require_team(&job.spec.team)?;
    Ok(job)
}

/// Filter of a job list; a `None` field matches every value.
struct Filter<'a> {
    call: &'a Call,
    team: Option<&'a str>,
    name: Option<&'a str>,
    kind: Option<&'a str>,
    standing: Option<&'a str>,
}

impl<'a> Filter<'a> {
    fn from_call(call: &'a Call) -> Self {
        Self {
            call,
            team: call.param("team"),
            name: call.param("name"),
            kind: call.param("kind"),
            standing: call.param("standing"),
        }
    }

    fn matches(&self, job: &Job) -> bool {
        let is_match =
            |wanted: Option<&str>, value: &str| wanted.is_none_or(|wanted| wanted == value);
        self.call.principal.can_access(&job.spec.team)
            && is_match(self.team, &job.spec.team)
            && is_match(self.name, &job.spec.name)
            && is_match(self.kind, &job.spec.kind.to_string())
            && is_match(self.standing, &standing(job).to_string())
    }
}

/// Lists jobs in the order in which they were accepted.
pub(crate) async fn list(api: Arc<Api>, call: Call) -> ApiResult {
    let limit = call.limit()?;
    let after = JobId(call.int_param("after")?.unwrap_or(0));
    let filter = Filter::from_call(&call);
    // Copy the jobs while the state is locked; encode them after it is released.
    let (position, found, next) = api.node.with(|shared| {
        let (found, next) = select(&shared.state, after, limit, |job| filter.matches(job));
        (shared.state.offset, found, next)
    });
    let reply = Reply::new(Code::Done).with("position", position);
    Ok(reply.with("next", next).with("jobs", found))
}

/// Returns a page of jobs after an identifier, and the cursor of the next page if there may be one.
fn select(
    state: &State,
    after: JobId,
    limit: usize,
    matches: impl Fn(&Job) -> bool,
) -> (Vec<JobView>, Option<JobId>) {
    let jobs = &state.jobs;
    let mut found = Vec::new();
    let mut last = after;
    let range = jobs.ids.range((Bound::Excluded(after), Bound::Unbounded));
    for (scanned, (&id, &key)) in range.enumerate() {
        if found.len() == limit || scanned == MAX_SCAN {
            return (found, Some(last));
        }
        last = id;
        let job = &jobs.arena[key];
        if matches(job) {
            found.push(job_view(job));
        }
    }
    (found, None)
}

/// Cancels a job.
pub(crate) async fn cancel(api: Arc<Api>, call: Call) -> ApiResult {
    let id = api.node.with(|shared| find_job(&shared.state, &call).map(|job| job.id))?;
    changes::apply_or_preview(&api, &call, Record::Cancel(id)).await
}
