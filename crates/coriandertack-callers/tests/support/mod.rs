//! A few entry VMs in one process whose links are channels.

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
    coriandertack_standins::serving::{Act, Serving},
    tokio::{sync::mpsc, time::Instant},
    uuid::{NoContext, Timestamp, Uuid},
};

/// Service that the tests call.
pub const SERVICE: &str = "vukic.quotes";

/// Deadline that no test should reach on any machine.
pub const AMPLE: Duration = Duration::from_secs(60);

/// An entry VM with its router.
pub struct Vm {
    pub node: Arc<Node>,
    pub router: Arc<Router>,
}

/// Returns a worker that answers each request with its content, after `delay`.
pub async fn echo(delay: Duration) -> Serving {
    scripted(move |_| Act::after(delay)).await
}

/// Returns a worker that acts as the closure says.
pub async fn scripted(act: impl Fn(&[u8]) -> Act + Send + Sync + 'static) -> Serving {
    Serving::start(8, act).await.expect("a free port")
}

fn entry(record: Record) -> Entry {
    Entry { actor: "system".into(), at_ms: 0, record }
}

/// Starts VMs that all know each other and the workers.
pub async fn start(vms: u64, workers: &[&Serving]) -> Vec<Vm> {
    let started = start_some(vms, vms, workers);
    for vm in &started {
        let mut settled = vm.node.confirmed_offset.subscribe();
        settled.wait_for(|offset| offset.0 == vms).await.expect("the node lives");
    }
    // Keys carry whole milliseconds, and must not seem older than the VMs' knowledge.
    tokio::time::sleep(Duration::from_millis(2)).await;
    started
}

/// Starts VMs of which only the first `members` have joined.
pub fn start_some(vms: u64, members: u64, workers: &[&Serving]) -> Vec<Vm> {
    let started: Vec<Vm> = (1..=vms).map(vm).collect();
    for at in 1..=members {
        join(&started, at);
    }
    publish(&started, workers);
    started
}

fn vm(author: u64) -> Vm {
    let address = "127.0.0.1:1".parse().expect("an address");
    let info = VmInfo {
        name: format!("split-{author}"),
        zone: "split".into(),
        link: address,
        http: address,
    };
    let (node, _) = Node::new(info, Incarnation(author));
    // All clocks here are one clock, and all VMs read a record at the same moment.
    let config = Config { key_margin_ms: 0, ..Config::default() };
    let router = Router::new(Arc::clone(&node), config);
    Vm { node, router }
}

/// Applies the join of a VM everywhere, links it and lets it serve.
pub fn join(vms: &[Vm], author: u64) {
    let joining = &vms[usize::try_from(author - 1).expect("a small number")].node;
    let record = Record::Join(joining.info.clone());
    let batch = Batch { author: Incarnation(author), seq: 1, entries: vec![entry(record)] };
    for vm in vms {
        vm.node.apply(Offset(author), &batch);
        // No test depends on how long it takes, so the validity outlasts all of them.
        vm.node.extend_validity(Instant::now() + AMPLE * 60);
    }
    connect(vms);
    joining.stage.send_replace(Stage::Serving);
}

/// Applies a fence of the VM at index `gone` by the one at index `by`, on all others.
pub fn fence(vms: &[Vm], by: usize, gone: usize, offset: u64) {
    let session = Session(vms[gone].node.author.0);
    let author = vms[by].node.author;
    let entries = vec![entry(Record::Fence(session))];
    let batch = Batch { author, seq: offset, entries };
    for vm in vms.iter().filter(|vm| vm.node.author != vms[gone].node.author) {
        vm.node.apply(Offset(offset), &batch);
    }
}

/// Links all members by channels, and lets each learn what the others keep to.
fn connect(vms: &[Vm]) {
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
            tokio::spawn(carry(requests, Arc::clone(&to.router)));
            tokio::spawn(tell(Arc::clone(&to.node), Arc::clone(&from.node), key));
        }
    }
}

/// Carries requests to another VM's router.
async fn carry(mut requests: mpsc::Receiver<OutgoingRequest>, to: Arc<Router>) {
    while let Some(outgoing) = requests.recv().await {
        let to = Arc::clone(&to);
        tokio::spawn(async move {
            let reply = match outgoing.request {
                PeerRequest::Call(call) => to.handle_call(call).await,
                PeerRequest::RecordKey(note) => to.note_key(note),
                _ => PeerReply::Ok,
            };
            let _ = outgoing.reply.send(reply);
        });
    }
}

/// Tells `to` what `from` keeps to, as heartbeats do.
async fn tell(from: Arc<Node>, to: Arc<Node>, key: VmKey) {
    let mut settled = from.confirmed_offset.subscribe();
    loop {
        let offset = *settled.borrow_and_update();
        to.with(|shared| shared.links.get_mut(key).map(|link| link.confirmed_offset = offset));
        if settled.changed().await.is_err() {
            return;
        }
    }
}

/// Publishes the workers as instances of the service.
pub fn publish(vms: &[Vm], workers: &[&Serving]) {
    let instances: Vec<Instance> =
        workers.iter().enumerate().map(|(at, worker)| instance(at, worker)).collect();
    for vm in vms {
        vm.node.instances.send_replace(Arc::new(instances.clone()));
    }
}

/// Returns the instance on a worker.
pub fn instance(at: usize, worker: &Serving) -> Instance {
    Instance {
        service: SERVICE.into(),
        worker: format!("w{at}").into(),
        address: worker.address,
        zone: "split".into(),
        open: true,
    }
}

/// Returns a request with the content `body`.
pub fn call(body: &str) -> Call {
    Call {
        service: SERVICE.into(),
        class: "".into(),
        key: None,
        repeatable: true,
        until: Instant::now() + AMPLE,
        body: Arc::from(body.as_bytes()),
    }
}

/// Returns a request under a key.
pub fn keyed(body: &str, key: &str) -> Call {
    Call { key: Some(key.into()), repeatable: false, ..call(body) }
}

/// Returns a key that was minted `age` ago.
pub fn key(age: Duration) -> String {
    let minted = now_ms() - u64::try_from(age.as_millis()).expect("a short time");
    let nanos = u32::try_from(minted % 1_000).expect("below 1000") * 1_000_000;
    Uuid::new_v7(Timestamp::from_unix(NoContext, minted / 1_000, nanos)).to_string()
}

/// Returns the text of an answer.
pub fn text(result: Result<CallResponse, Code>) -> Result<String, Code> {
    result.map(|answer| String::from_utf8_lossy(&answer.body).into_owned())
}
