//! Workers and entry VMs.

use std::{ops::Bound, sync::Arc};

use {
    coriandertack_core::{
        code::Code,
        keys::{Epoch, Session},
        record::{Cordon, Record, VmInfo, WorkerInfo},
        state::{State, Worker},
    },
    serde::Serialize,
};

use crate::{
    api::Api,
    call::Call,
    changes,
    reply::{ApiResult, Reply},
};

/// A worker as returned by the API.
#[derive(Debug, Serialize)]
struct WorkerView {
    #[serde(flatten)]
    info: WorkerInfo,
    cordoned: bool,
    owner: Option<String>,
    epoch: Epoch,
}

/// An entry VM as returned by the API.
#[derive(Debug, Serialize)]
struct VmView<'a> {
    #[serde(flatten)]
    info: &'a VmInfo,
    session: Session,
    workers: usize,
    teams: usize,
    here: bool,
}

fn worker_view(state: &State, worker: &Worker) -> WorkerView {
    WorkerView {
        info: worker.info.clone(),
        cordoned: worker.cordoned,
        owner: owner(state, worker).map(str::to_owned),
        epoch: worker.owner.epoch,
    }
}

fn owner<'a>(state: &'a State, worker: &Worker) -> Option<&'a str> {
    let owner = worker.owner.vm.and_then(|vm| state.vms.get(vm));
    owner.map(|vm| vm.info.name.as_str())
}

/// Lists workers in the order of their names.
pub(crate) async fn list_workers(api: Arc<Api>, call: Call) -> ApiResult {
    let limit = call.limit()?;
    let after = call.param("after").unwrap_or_default();
    let (zone, owner_name) = (call.param("zone"), call.param("owner"));
    let (position, mut found) = api.node.with(|shared| {
        let state = &shared.state;
        let range = state.worker_names.range::<str, _>((Bound::Excluded(after), Bound::Unbounded));
        let found: Vec<WorkerView> = range
            .map(|(_, &key)| &state.workers[key])
            .filter(|worker| zone.is_none_or(|zone| zone == worker.info.zone))
            .filter(|worker| {
                owner_name.is_none_or(|owner_name| Some(owner_name) == owner(state, worker))
            })
            .take(limit + 1)
            .map(|worker| worker_view(state, worker))
            .collect();
        (state.offset, found)
    });
    let has_more = found.len() > limit;
    found.truncate(limit);
    let next = found.last().filter(|_| has_more).map(|worker| worker.info.name.clone());
    let reply = Reply::new(Code::Done).with("position", position).with("next", next);
    Ok(reply.with("workers", found))
}

/// Returns one worker.
pub(crate) async fn get_worker(api: Arc<Api>, call: Call) -> ApiResult {
    api.node.with(|shared| {
        let worker = shared.state.worker(&call.name).ok_or(Code::NotFound)?;
        let reply = Reply::new(Code::Done).with("position", shared.state.offset);
        Ok(reply.with("worker", worker_view(&shared.state, worker)))
    })
}

/// Cordons a worker, so that it gets no new tasks.
pub(crate) async fn cordon(api: Arc<Api>, call: Call) -> ApiResult {
    set_cordoned(&api, &call, true).await
}

/// Uncordons a worker, so that it can get new tasks again.
pub(crate) async fn uncordon(api: Arc<Api>, call: Call) -> ApiResult {
    set_cordoned(&api, &call, false).await
}

async fn set_cordoned(api: &Api, call: &Call, cordoned: bool) -> ApiResult {
    let worker = call.name.clone();
    if api.node.with(|shared| shared.state.worker(&worker).is_none()) {
        return Err(Code::NotFound.into());
    }
    changes::apply_or_preview(api, call, Record::Cordon(Cordon { worker, cordoned })).await
}

/// Lists the live entry VMs in the order in which they joined.
pub(crate) async fn list_vms(api: Arc<Api>, _: Call) -> ApiResult {
    api.node.with(|shared| {
        let state = &shared.state;
        let views = state.sessions.values().map(|&key| VmView {
            info: &state.vms[key].info,
            session: state.vms[key].session,
            workers: state.workers_owned_by(key).count(),
            teams: state.teams.values().filter(|team| team.home.vm == Some(key)).count(),
            here: state.vms[key].author == api.node.author,
        });
        let views: Vec<VmView<'_>> = views.collect();
        Ok(Reply::new(Code::Done).with("position", state.offset).with("vms", views))
    })
}
