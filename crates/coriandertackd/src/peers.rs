//! Handling of requests from other entry VMs, and forwarding of job submissions to the home of their team.

use std::{future::Future, pin::Pin, sync::Arc};

use {
    coriandertack_callers::Router,
    coriandertack_core::{
        code::Code,
        keys::{JobId, Session, VmKey},
        message::{Heartbeat, PeerReply, PeerRequest},
        node::{Node, Stage},
        owner,
        record::{JobSpec, Record},
        state::ApplyEffect,
    },
    tokio::time::Instant,
};

use crate::{capacity, routes};

/// Handles a request from the VM that has the given session.
pub async fn handle(
    node: Arc<Node>,
    router: Arc<Router>,
    session: Session,
    request: PeerRequest,
) -> PeerReply {
    let now = Instant::now();
    let from = node.with(|shared| shared.state.sessions.get(&session).copied());
    match request {
        PeerRequest::Heartbeat(heartbeat) => handle_heartbeat(&node, from, heartbeat, now),
        PeerRequest::Submit { actor, spec } => job_reply(submit_local(&node, &actor, spec).await),
        PeerRequest::RecordKey(record) => router.record_key(record),
        PeerRequest::Call(call) => router.handle_call(call).await,
        request => match (from, node.own_key()) {
            (Some(from), Some(own_key)) => {
                handle_member_request(&node, own_key, from, request, now)
            }
            // Either VM has not read the other's `Join` record yet, or has been fenced.
            _ => PeerReply::Refused(Code::Fenced),
        },
    }
}

fn handle_heartbeat(
    node: &Node,
    from: Option<VmKey>,
    heartbeat: Heartbeat,
    now: Instant,
) -> PeerReply {
    let changed = node.with(|shared| {
        let link = from.and_then(|vm| shared.links.get_mut(vm));
        link.is_some_and(|link| link.record_heartbeat(heartbeat, now))
    });
    if changed {
        routes::refresh(node);
    }
    PeerReply::Ok
}

fn handle_member_request(
    node: &Arc<Node>,
    own_key: VmKey,
    from: VmKey,
    request: PeerRequest,
    now: Instant,
) -> PeerReply {
    match request {
        PeerRequest::Place(places) => {
            PeerReply::Placed(node.with(|shared| owner::hold_all(shared, own_key, &places, now)))
        }
        PeerRequest::Commit(leases) => {
            PeerReply::Placed(node.with(|shared| owner::commit(shared, &leases, now)))
        }
        PeerRequest::Release(leases) => {
            node.with(|shared| owner::release(shared, &leases));
            PeerReply::Ok
        }
        PeerRequest::Settle(leases) => {
            PeerReply::Placed(node.with(|shared| owner::settle_leases(shared, &leases, now)))
        }
        PeerRequest::List { team, epoch, offset } => {
            let (tasks, complete) =
                node.with(|shared| owner::list_tasks(shared, &team, epoch, offset, now));
            PeerReply::Listed { tasks, complete }
        }
        PeerRequest::Notices(notices) => {
            capacity::handle_notices(node, from, notices);
            PeerReply::Ok
        }
        PeerRequest::AckEnds(leases) => {
            node.with(|shared| owner::acknowledge_ends(shared, &leases));
            PeerReply::Ok
        }
        PeerRequest::Heartbeat(_)
        | PeerRequest::Submit { .. }
        | PeerRequest::RecordKey(_)
        | PeerRequest::Call(_) => PeerReply::Refused(Code::Internal),
    }
}

fn job_reply(result: Result<JobId, Code>) -> PeerReply {
    match result {
        Ok(job) => PeerReply::Job(job),
        Err(code) => PeerReply::Refused(code),
    }
}

/// Future of a job submission, as the operator API expects it.
pub type SubmitFuture = Pin<Box<dyn Future<Output = Result<JobId, Code>> + Send>>;

/// Submits a job at the home of its team, which may be another VM.
pub fn submit(node: Arc<Node>, actor: String, spec: JobSpec) -> SubmitFuture {
    Box::pin(async move {
        let own_key = node.own_key();
        let home = node.with(|shared| shared.state.team(&spec.team).map(|team| team.home.vm));
        match home.ok_or(Code::NotFound)? {
            Some(vm) if Some(vm) != own_key => submit_remote(&node, vm, actor, spec).await,
            _ => submit_local(&node, &actor, spec).await,
        }
    })
}

/// Submits a job through the log task of the local VM.
///
/// The home is preferred because it can dispatch the job as soon as the record is applied. The record is valid
/// whichever VM appends it.
async fn submit_local(node: &Node, actor: &str, spec: JobSpec) -> Result<JobId, Code> {
    if *node.stage.borrow() != Stage::Serving {
        return Err(Code::Stopping);
    }
    match node.submit_one(actor, Record::Accept(spec)).await? {
        ApplyEffect::Job(job) => {
            node.work_available.notify_one();
            Ok(job)
        }
        _ => Err(Code::Internal),
    }
}

async fn submit_remote(
    node: &Node,
    vm: VmKey,
    actor: String,
    spec: JobSpec,
) -> Result<JobId, Code> {
    let until = Instant::now() + SUBMIT_TIMEOUT;
    let request = PeerRequest::Submit { actor: actor.clone(), spec: spec.clone() };
    match node.request(vm, request, until).await {
        Ok(PeerReply::Job(job)) => Ok(job),
        // The request was not sent, or was refused before it took effect. Submitting it here cannot duplicate the job.
        Err(Code::NotReady) | Ok(PeerReply::Refused(Code::Stopping | Code::NotReady)) => {
            submit_local(node, &actor, spec).await
        }
        Ok(PeerReply::Refused(code)) | Err(code) => Err(code),
        Ok(_) => Err(Code::Internal),
    }
}

/// How long a submission may take at the home. It exceeds the 10 s within which the home's commit task answers.
const SUBMIT_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(11);
