//! Jobs: submit, read, list and cancel.

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
    call::{Call, check_name, in_time},
    changes, preview,
    reply::{Answer, Fault, Reply},
};

/// The most bytes of a command.
pub const MAX_COMMAND_BYTES: usize = 4_096;

/// The most retries of a task.
pub const MAX_RETRIES: u32 = 100;

/// The longest declared run time: one year.
pub const MAX_RUN_MS: u64 = 365 * 24 * 3_600 * 1_000;

/// The most characters of an idempotency key.
pub const MAX_KEY_CHARS: usize = 128;

/// The most jobs of one list that are looked at, so that a filter which matches nothing stays cheap.
const MAX_SCAN: usize = 5_000;

/// Where a job stands.
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

/// A job as it is answered.
#[derive(Debug, Serialize)]
struct View {
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

fn view(job: &Job) -> View {
    View {
        job: job.id,
        standing: standing(job),
        at_ms: job.at_ms,
        succeeded: job.count(Outcome::Succeeded),
        failed: job.count(Outcome::Failed),
        cancelled: job.count(Outcome::Cancelled),
        spec: job.spec.clone(),
    }
}

/// Accepts a job.
pub(crate) async fn submit(api: Arc<Api>, call: Call) -> Answer {
    let mut spec: JobSpec = call.content()?;
    if call.key.is_some() {
        spec.key.clone_from(&call.key);
    }
    call.principal.require_team(&spec.team)?;
    check(&spec)?;
    api.require_serving()?;
    api.node.with(|shared| {
        let team = shared.state.team(&spec.team).ok_or(Code::NotFound)?;
        check_quota(team, &spec)?;
        api.admit(&shared.state, &spec).map_err(Fault::from)
    })?;
    if call.dry_run()? {
        let record = Record::Accept(spec);
        api.node.with(|shared| preview::apply_result(&shared.state, &record))?;
        return Ok(Reply::new(Code::Done).with("dry_run", true));
    }
    let submitted = api.submit(call.principal.to_string(), spec);
    let result = in_time(async { submitted.await.map(ApplyEffect::Job) }).await;
    match result.map_err(|code| Fault::from(code).void())? {
        ApplyEffect::Job(job) => Ok(Reply::new(Code::Accepted).with("job", job)),
        _ => Err(Code::Internal.into()),
    }
}

/// Checks the bounds of every field.
fn check(spec: &JobSpec) -> Result<(), Fault> {
    let refuse = |reason: String| Err(Fault::new(Code::OutOfRange, reason));
    check_name("a team's name", &spec.team)?;
    check_name("a job's name", &spec.name)?;
    let max_tasks = coriandertack_core::state::MAX_TASKS;
    if spec.tasks == 0 || spec.tasks > max_tasks {
        return refuse(format!("tasks must be 1 to {max_tasks}"));
    }
    if spec.need == Resources::ZERO {
        return refuse("need must not be empty".into());
    }
    if spec.run_ms > MAX_RUN_MS {
        return refuse(format!("run_ms must be at most {MAX_RUN_MS}"));
    }
    if spec.retries > MAX_RETRIES {
        return refuse(format!("retries must be at most {MAX_RETRIES}"));
    }
    if spec.command.len() > MAX_COMMAND_BYTES {
        return refuse(format!("command must have at most {MAX_COMMAND_BYTES} bytes"));
    }
    if spec.key.as_ref().is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_CHARS) {
        return refuse(format!("key must have 1 to {MAX_KEY_CHARS} characters"));
    }
    Ok(())
}

/// Refuses work that could not run even if the team ran nothing else.
fn check_quota(team: &Team, spec: &JobSpec) -> Result<(), Fault> {
    let together = match spec.kind {
        Kind::Gang => spec.need.checked_mul(spec.tasks),
        Kind::Service | Kind::Batch => Some(spec.need),
    };
    if together.is_some_and(|need| need.fits(team.spec.quota)) {
        return Ok(());
    }
    let reason = format!("needs more than the quota of the team, {}", team.spec.quota);
    Err(Fault::new(Code::QuotaExceeded, reason))
}

/// Answers with one job.
pub(crate) async fn get(api: Arc<Api>, call: Call) -> Answer {
    api.node.with(|shared| {
        let job = find(&shared.state, &call)?;
        let reply = Reply::new(Code::Done).with("position", shared.state.offset);
        Ok(reply.with("job", view(job)))
    })
}

/// Finds the job in the path, if the principal may see it.
pub(crate) fn find<'a>(state: &'a State, call: &Call) -> Result<&'a Job, Fault> {
    let job = state.jobs.get(call.job()?).ok_or(Code::NotFound)?;
    call.principal.require_team(&job.spec.team)?;
    Ok(job)
}

/// Which jobs a list shows.
struct Filter<'a> {
    call: &'a Call,
    team: Option<&'a str>,
    name: Option<&'a str>,
    kind: Option<&'a str>,
    standing: Option<&'a str>,
}

impl<'a> Filter<'a> {
    fn of(call: &'a Call) -> Self {
        Self {
            call,
            team: call.text("team"),
            name: call.text("name"),
            kind: call.text("kind"),
            standing: call.text("standing"),
        }
    }

    fn matches(&self, job: &Job) -> bool {
        let is = |wanted: Option<&str>, value: &str| wanted.is_none_or(|wanted| wanted == value);
        self.call.principal.is_over(&job.spec.team)
            && is(self.team, &job.spec.team)
            && is(self.name, &job.spec.name)
            && is(self.kind, &job.spec.kind.to_string())
            && is(self.standing, &standing(job).to_string())
    }
}

/// Lists jobs in the order of acceptance.
pub(crate) async fn list(api: Arc<Api>, call: Call) -> Answer {
    let limit = call.limit()?;
    let after = JobId(call.number("after")?.unwrap_or(0));
    let filter = Filter::of(&call);
    // The jobs are copied under the lock of the state, and encoded after it.
    let (position, found, next) = api.node.with(|shared| {
        let (found, next) = select(&shared.state, after, limit, |job| filter.matches(job));
        (shared.state.offset, found, next)
    });
    let reply = Reply::new(Code::Done).with("position", position);
    Ok(reply.with("next", next).with("jobs", found))
}

/// Returns jobs after an identifier, and the identifier to go on after if there may be more.
fn select(
    state: &State,
    after: JobId,
    limit: usize,
    matches: impl Fn(&Job) -> bool,
) -> (Vec<View>, Option<JobId>) {
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
            found.push(view(job));
        }
    }
    (found, None)
}

/// Cancels a job.
pub(crate) async fn cancel(api: Arc<Api>, call: Call) -> Answer {
    let id = api.node.with(|shared| find(&shared.state, &call).map(|job| job.id))?;
    changes::make(&api, &call, Record::Cancel(id)).await
}
