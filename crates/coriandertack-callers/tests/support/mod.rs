//! Test fixture: several entry VMs in one process, linked by channels.

#![allow(dead_code)]

use std::{sync::Arc, time::Duration};

use {
    coriandertack_callers::{Config, Router},
    coriandertack_core::{
        code::Code,
        keys::{Incarnation, Offset, Session, VmKey},
        message::{Call, CallResponse, Instance, OutgoingRequest, PeerReply, PeerRequest},
        node::{Node, Stage, now_ms},
        peer_link::PeerLink,
        record::{Batch, Entry, Record, VmInfo},
    },
    coriandertack_standins::serving::{Action, Serving},
    tokio::{sync::mpsc, time::Instant},
    uuid::{NoContext, Timestamp, Uuid},
};

/// Name of the service that the tests call.
pub const SERVICE: &str = "vukic.quotes";

/// Deadline of requests, long enough that no test reaches it even on a slow machine.
pub const TEST_DEADLINE: Duration = Duration::from_secs(60);

/// An entry VM with its router.
pub struct Vm {
    pub node: Arc<Node>,
    pub router: Arc<Router>,
}

/// Starts a worker that responds to each request with its body after `delay`.
pub async fn echo_worker(delay: Duration) -> Serving {
    scripted_worker(move |_| Action::after(delay)).await
}

/// Starts a worker with 8 slots that handles each request as `act` decides from the body.
pub async fn scripted_worker(act: impl Fn(&[u8]) -> Action + Send + Sync + 'static) -> Serving {
    Serving::start(8, act).await.expect("could not bind a port")
}

fn entry(record: Record) -> Entry {
    Entry { actor: "system".into(), at_ms: 0, record }
}

/// Starts VMs that have all joined, and waits until they have confirmed the membership.
pub async fn start_vms(vms: u64, workers: &[&Serving]) -> Vec<Vm> {
    let started = start_vms_with_members(vms, vms, workers);
    for vm in &started {
        let mut confirmed = vm.node.confirmed_offset.subscribe();
        confirmed.wait_for(|offset| offset.0 == vms).await.expect("the node was dropped");
    }
    // Keys carry their time in whole milliseconds, rounded down. Without this pause, a new key
    // could be older than the membership history of the VMs.
    tokio::time::sleep(Duration::from_millis(2)).await;
    started
}

/// Starts VMs, of which the first `members` join.
pub fn start_vms_with_members(vms: u64, members: u64, workers: &[&Serving]) -> Vec<Vm> {
    let started: Vec<Vm> = (1..=vms).map(start_vm).collect();
    for author in 1..=members {
        join(&started, author);
    }
    publish(&started, workers);
    started
}

/// Starts a VM that has not joined.
fn start_vm(author: u64) -> Vm {
    let address = "127.0.0.1:1".parse().expect("invalid address");
    let info = VmInfo {
        name: format!("split-{author}"),
        zone: "split".into(),
        link: address,
        http: address,
    };
    let (node, _) = Node::new(info, Incarnation(author));
    // No margin is needed, because all VMs use the same clock and apply each record at the same
    // time.
    let config = Config { key_margin_ms: 0, ..Config::default() };
    let router = Router::new(Arc::clone(&node), config);
    Vm { node, router }
}

/// Applies the join of a VM on all VMs, links it to the other members and sets its stage to
/// serving.
pub fn join(vms: &[Vm], author: u64) {
    let joining = &vms[usize::try_from(author - 1).expect("the number of a VM fits usize")].node;
    let record = Record::Join(joining.info.clone());
    let batch = Batch { author: Incarnation(author), seq: 1, entries: vec![entry(record)] };
    for vm in vms {
        vm.node.apply(Offset(author), &batch);
        // Longer than any test runs, so that no result depends on the speed of the machine.
        vm.node.extend_validity(Instant::now() + TEST_DEADLINE * 60);
    }
    link_members(vms);
    joining.stage.send_replace(Stage::Serving);
}

/// Applies a fence of the VM at index `fenced` by the one at index `by`, on all VMs but the fenced
/// one.
pub fn fence(vms: &[Vm], by: usize, fenced: usize, offset: u64) {
    let session = Session(vms[fenced].node.author.0);
    let author = vms[by].node.author;
    let entries = vec![entry(Record::Fence(session))];
    let batch = Batch { author, seq: offset, entries };
    for vm in vms.iter().filter(|vm| vm.node.author != vms[fenced].node.author) {
        vm.node.apply(Offset(offset), &batch);
    }
}

/// Links all members that are not linked yet, and forwards the memberships that each confirms to
/// the others.
fn link_members(vms: &[Vm]) {
    for from in vms {
        for to in vms.iter().filter(|to| to.node.author != from.node.author) {
            let Some(key) = from.node.with(|shared| shared.state.vm_of(to.node.author)) else {
                continue;
            };
            if from.node.with(|shared| shared.links.contains_key(key)) {
                continue;
            }
            let (queue, requests) = mpsc::channel(64);
            from.node.with(|shared| shared.links.insert(key, PeerLink::new(queue, Instant::now())));
            tokio::spawn(forward_requests(requests, Arc::clone(&to.router)));
            tokio::spawn(forward_confirmations(Arc::clone(&to.node), Arc::clone(&from.node), key));
        }
    }
}

/// Passes requests on to the router of another VM.
async fn forward_requests(mut requests: mpsc::Receiver<OutgoingRequest>, to: Arc<Router>) {
    while let Some(outgoing) = requests.recv().await {
        let to = Arc::clone(&to);
        tokio::spawn(async move {
            let reply = match outgoing.request {
                PeerRequest::Call(call) => to.handle_call(call).await,
                PeerRequest::RecordKey(record) => to.record_key(record),
                _ => PeerReply::Ok,
            };
            let _ = outgoing.reply.send(reply);
        });
    }
}

/// Passes the membership that `from` confirms on to `to`, as heartbeats do.
async fn forward_confirmations(from: Arc<Node>, to: Arc<Node>, key: VmKey) {
    let mut confirmed = from.confirmed_offset.subscribe();
    loop {
        let offset = *confirmed.borrow_and_update();
        to.with(|shared| shared.links.get_mut(key).map(|link| link.confirmed_offset = offset));
        if confirmed.changed().await.is_err() {
            return;
        }
    }
}

/// Publishes the workers as instances of the service.
pub fn publish(vms: &[Vm], workers: &[&Serving]) {
    let instances: Vec<Instance> =
        workers.iter().enumerate().map(|(index, worker)| instance(index, worker)).collect();
    for vm in vms {
        vm.node.instances.send_replace(Arc::new(instances.clone()));
    }
}

/// Returns an instance of the service on the worker with this index.
pub fn instance(index: usize, worker: &Serving) -> Instance {
    Instance {
        service: SERVICE.into(),
        worker: format!("w{index}").into(),
        address: worker.address,
        zone: "split".into(),
        open: true,
    }
}

/// Returns a repeatable request with this body.
pub fn call(body: &str) -> Call {
    Call {
        service: SERVICE.into(),
        class: "".into(),
        key: None,
        repeatable: true,
        until: Instant::now() + TEST_DEADLINE,
        body: Arc::from(body.as_bytes()),
    }
}

/// Returns a request with an idempotency key that is not repeatable.
pub fn keyed_call(body: &str, key: &str) -> Call {
    Call { key: Some(key.into()), repeatable: false, ..call(body) }
}

/// Returns an idempotency key that was minted `age` ago.
pub fn new_key(age: Duration) -> String {
    let minted = now_ms() - u64::try_from(age.as_millis()).expect("the age fits u64");
    let nanos = u32::try_from(minted % 1_000).expect("the remainder is below 1000") * 1_000_000;
    Uuid::new_v7(Timestamp::from_unix(NoContext, minted / 1_000, nanos)).to_string()
}

/// Returns the body of a response as text.
pub fn response_text(result: Result<CallResponse, Code>) -> Result<String, Code> {
    result.map(|response| String::from_utf8_lossy(&response.body).into_owned())
}
