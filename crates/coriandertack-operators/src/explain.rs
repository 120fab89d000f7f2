//! Explains why a job has not started.
//!
//! Only the home VM of the team knows the state of each task. Other VMs answer from the replicated state
//! and give the address of the home VM.

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
    metrics::{STEPS, step_index},
    reply::{ApiResult, Reply},
};

/// The home VM of a team, as returned by the API.
#[derive(Debug, Serialize)]
struct HomeView<'a> {
    vm: &'a str,
    http: String,
    here: bool,
}

/// Number of tasks in one step.
#[derive(Debug, PartialEq, Eq, Serialize)]
struct StepCount {
    step: &'static str,
    tasks: usize,
}

/// Returns the reasons known to this VM why a job has not started.
pub(crate) async fn explain(api: Arc<Api>, call: Call) -> ApiResult {
    api.node.with(|shared| {
        let state = &shared.state;
        let job = jobs::find_job(state, &call)?;
        let own_vm = state.vm_of(api.node.author);
        let home = state.team(&job.spec.team).and_then(|team| team.home.vm);
        let is_here = home.is_some() && home == own_vm;
        let home = home.and_then(|vm| state.vms.get(vm)).map(|vm| HomeView {
            vm: &vm.info.name,
            http: vm.info.http.to_string(),
            here: is_here,
        });
        let steps = if is_here { count_by_step(&shared.team_queues, job) } else { Vec::new() };
        let reasons = reasons(&api, state, job, &steps, is_here);
        let reply = Reply::new(Code::Done).with("position", state.offset).with("job", job.id);
        Ok(reply.with("home", home).with("steps", steps).with("reasons", reasons))
    })
}

fn count_by_step(team_queues: &TeamQueues, job: &Job) -> Vec<StepCount> {
    let mut counts = [0; STEPS.len()];
    for task in team_queues.tasks().filter(|task| task.spec.lease.task.job == job.id) {
        counts[step_index(&task.state)] += 1;
    }
    let all = STEPS.into_iter().zip(counts).map(|(step, tasks)| StepCount { step, tasks });
    all.filter(|count| count.tasks > 0).collect()
}

fn reasons(api: &Api, state: &State, job: &Job, steps: &[StepCount], is_here: bool) -> Vec<String> {
    if job.is_ended() {
        return vec!["the job has ended".into()];
    }
    let mut reasons = Vec::new();
    if job.cancelled {
        reasons.push("the job is cancelled; its running tasks are being stopped".into());
    }
    if let Err(code) = api.admit(state, &job.spec) {
        reasons.push(format!("the admission check fails: {code}"));
    }
    let team = state.team(&job.spec.team);
    if let Some(team) = team.filter(|team| !job.spec.need.fits(team.spec.quota)) {
        reasons.push(format!(
            "each task needs {}, more than the team quota of {}",
            job.spec.need, team.spec.quota
        ));
    }
    if let Some(team) = team.filter(|team| team.home.ready_at > Instant::now()) {
        let name = &team.name;
        reasons.push(format!(
            "the home VM of team {name} has changed and places no tasks until the hold-off ends"
        ));
    }
    reasons.extend(describe_workers(state, job.spec.need));
    let has = |step: TaskState| steps.iter().any(|count| count.step == STEPS[step_index(&step)]);
    if is_here && has(TaskState::Recovering) {
        reasons.push(
            "the home VM is recovering and waits for every worker owner to list its running tasks"
                .into(),
        );
    }
    if is_here && has(TaskState::Queued) {
        reasons.push("queued tasks wait for free worker capacity or free team quota".into());
    }
    if !is_here {
        reasons.push(
            "this VM is not the home of the team; ask the home VM for the state of each task"
                .into(),
        );
    }
    reasons
}

/// Returns a reason if some workers cannot run a task that needs `need`.
fn describe_workers(state: &State, need: Resources) -> Option<String> {
    let all = state.workers.len();
    let closed = |cordoned: bool, presence: Presence| cordoned || presence != Presence::Live;
    let open =
        state.workers.values().filter(|worker| !closed(worker.cordoned, worker.info.presence));
    let large = open.clone().filter(|worker| need.fits(worker.info.capacity)).count();
    let open = open.count();
    (large < all).then(|| {
        format!("{open} of {all} workers accept new tasks, {large} of which are large enough")
    })
}
