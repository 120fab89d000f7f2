//! Why a job has not started.
//!
//! Only the home of the team knows what its tasks wait for. Another VM answers with what the log says
//! and with the address of the home.

use std::sync::Arc;

use {
    coriandertack_core::{
        code::Code,
        home::{TaskState, TeamQueues},
        record::Presence,
        resources::Resources,
        state::{Job, State},
    },
    serde::Serialize,
    tokio::time::Instant,
};

use crate::{
    api::Api,
    call::Call,
    jobs,
    metrics::{STEPS, index_of},
    reply::{Answer, Reply},
};

/// The home of a team.
#[derive(Debug, Serialize)]
struct Home<'a> {
    vm: &'a str,
    http: String,
    here: bool,
}

/// Tasks in one step.
#[derive(Debug, PartialEq, Eq, Serialize)]
struct Count {
    step: &'static str,
    tasks: usize,
}

/// Answers why a job has not started, as far as this VM knows.
pub(crate) async fn explain(api: Arc<Api>, call: Call) -> Answer {
    api.node.with(|shared| {
        let state = &shared.state;
        let job = jobs::find(state, &call)?;
        let me = state.vm_of(api.node.author);
        let home = state.team(&job.spec.team).and_then(|team| team.home.vm);
        let is_here = home.is_some() && home == me;
        let home = home.and_then(|vm| state.vms.get(vm)).map(|vm| Home {
            vm: &vm.info.name,
            http: vm.info.http.to_string(),
            here: is_here,
        });
        let steps = if is_here { counts(&shared.team_queues, job) } else { Vec::new() };
        let reasons = reasons(&api, state, job, &steps, is_here);
        let reply = Reply::new(Code::Done).with("position", state.offset).with("job", job.id);
        Ok(reply.with("home", home).with("steps", steps).with("reasons", reasons))
    })
}

fn counts(team_queues: &TeamQueues, job: &Job) -> Vec<Count> {
    let mut counts = [0; STEPS.len()];
    for task in team_queues.tasks().filter(|task| task.spec.lease.task.job == job.id) {
        counts[index_of(&task.state)] += 1;
    }
    let all = STEPS.into_iter().zip(counts).map(|(step, tasks)| Count { step, tasks });
    all.filter(|count| count.tasks > 0).collect()
}

fn reasons(api: &Api, state: &State, job: &Job, steps: &[Count], is_here: bool) -> Vec<String> {
    if job.is_ended() {
        return vec!["the job has ended".into()];
    }
    let mut reasons = Vec::new();
    if job.cancelled {
        reasons.push("the job is cancelled; what runs is being stopped".into());
    }
    if let Err(code) = api.admit(state, &job.spec) {
        reasons.push(format!("code {code}"));
    }
    let team = state.team(&job.spec.team);
    if let Some(team) = team.filter(|team| !job.spec.need.fits(team.spec.quota)) {
        reasons.push(format!("a task needs more than the team's quota, {}", team.spec.quota));
    }
    if let Some(team) = team.filter(|team| team.home.ready_at > Instant::now()) {
        let name = &team.name;
        reasons.push(format!("the home of team {name} has changed and waits for the hold-off"));
    }
    reasons.extend(workers(state, job.spec.need));
    let has = |step: TaskState| steps.iter().any(|count| count.step == STEPS[index_of(&step)]);
    if is_here && has(TaskState::Recovering) {
        reasons.push("the home waits until every owner has listed what runs".into());
    }
    if is_here && has(TaskState::Queued) {
        reasons.push("tasks wait for capacity or for room in the team's quota".into());
    }
    if !is_here {
        reasons.push("the home of the team knows more; ask there".into());
    }
    reasons
}

/// Says why few workers come into question, if so.
fn workers(state: &State, need: Resources) -> Option<String> {
    let all = state.workers.len();
    let closed = |cordoned: bool, presence: Presence| cordoned || presence != Presence::Live;
    let open = state.workers.values().filter(|one| !closed(one.cordoned, one.info.presence));
    let large = open.clone().filter(|one| need.fits(one.info.capacity)).count();
    let open = open.count();
    (large < all).then(|| {
        format!("of {all} workers, {open} take new work and {large} of these are large enough")
    })
}
