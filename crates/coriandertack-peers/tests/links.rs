//! Links over loopback TCP: authentication of peers, and matching of replies to requests.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use {
    coriandertack_core::{
        code::Code,
        keys::{Epoch, Incarnation, JobId, LeaseId, Offset, Session, TaskId, VmKey},
        message::{
            AttemptSpec, Call, CallResponse, CapacitySummary, EndCause, Heartbeat, Instance,
            KeyRecord, ListedTask, Notice, PeerReply, PeerRequest, PlacementOutcome,
            PlacementRequest, TaskEvent,
        },
        node::Node,
        peer_link::PeerLink,
        pool::WorkerFilter,
        record::{Batch, Entry, JobSpec, Kind, Record, VmInfo},
        resources::Resources,
    },
    coriandertack_peers::{
        SharedKey,
        dial::{self, Target},
        handshake::Identity,
        serve,
    },
    tokio::{
        net::TcpListener,
        sync::{Notify, mpsc},
        task::JoinHandle,
        time::Instant,
    },
};

const KEY: &[u8] = b"a key of the deployment";

/// Returns a node with the members `one`, which is the node itself, and `two`, and the key of
/// `two`.
fn node(address: SocketAddr) -> (Arc<Node>, VmKey) {
    let info = |name: &str| VmInfo {
        name: name.into(),
        zone: "split".into(),
        link: address,
        http: address,
    };
    let (node, _) = Node::new(info("one"), Incarnation(1));
    for (offset, name) in [(1, "one"), (2, "two")] {
        let entry = Entry { actor: "test".into(), at_ms: 0, record: Record::Join(info(name)) };
        let batch = Batch { author: Incarnation(offset), seq: 1, entries: vec![entry] };
        node.apply(Offset(offset), &batch);
    }
    let two = node.with(|shared| shared.state.sessions[&Session(2)]);
    (node, two)
}

fn identity(name: &str, session: u64) -> Identity {
    Identity { name: name.into(), session: Session(session) }
}

/// Dials `address` with `key`, expecting the VM `two` with session `session`.
fn dial(address: SocketAddr, key: &[u8], session: u64) -> (Arc<Node>, VmKey, JoinHandle<()>) {
    let (node, two) = node(address);
    let (sender, queue) = mpsc::channel(64);
    node.with(|shared| shared.links.insert(two, PeerLink::new(sender, Instant::now())));
    let target = Target { vm: two, address, identity: identity("two", session) };
    let heartbeat = |_| Heartbeat {
        session: Session(1),
        offset: Offset(2),
        confirmed_offset: Offset(2),
        summary: None,
        suspects: Vec::new(),
        instances: None,
    };
    let heartbeat_interval = Duration::from_millis(20);
    let key = SharedKey::new(key);
    let local = identity("one", 1);
    let task = tokio::spawn(dial::run(
        Arc::clone(&node),
        key,
        local,
        target,
        queue,
        heartbeat_interval,
        heartbeat,
    ));
    (node, two, task)
}

/// Serves links as the VM `two` with `handle`, and returns its address.
async fn listen<H, F>(handle: H) -> SocketAddr
where
    H: Fn(Session, PeerRequest) -> F + Send + Sync + 'static,
    F: Future<Output = PeerReply> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let local = || identity("two", 2);
    tokio::spawn(async move { serve::run(listener, SharedKey::new(KEY), local, handle).await });
    address
}

/// Returns a deadline that only a hanging test reaches.
fn test_deadline() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

/// Retries a request until it gets a reply. Requests fail until the link is up, but they were not
/// sent, so retrying them is safe.
async fn request_with_retries(node: &Node, vm: VmKey, request: &PeerRequest) -> PeerReply {
    loop {
        match node.request(vm, request.clone(), test_deadline()).await {
            Ok(reply) => return reply,
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

fn lease(index: u32) -> LeaseId {
    LeaseId { task: TaskId { job: JobId(1 << 40), index }, attempt: 1 << 33 }
}

fn requests(until: Instant) -> Vec<PeerRequest> {
    let need = Resources::new(500, 256, 1);
    let spec = AttemptSpec {
        lease: lease(3),
        class: "vans.plan".into(),
        kind: Kind::Gang,
        need,
        run_ms: 7,
        urgent: true,
        command: "run".into(),
    };
    let placement = PlacementRequest {
        spec,
        epoch: Epoch(9),
        until,
        filter: WorkerFilter::NoAccelerators,
        hold: true,
    };
    let spec = JobSpec {
        team: "vans".into(),
        name: "plan".into(),
        kind: Kind::Service,
        tasks: 4,
        need,
        run_ms: 5,
        urgent: false,
        retries: 2,
        command: "run".into(),
        key: Some("k".into()),
    };
    let ended = TaskEvent::Ended { cause: EndCause::OutOfMemory, run_ms: 4, peak: need };
    let notice = |event| Notice { lease: lease(1), worker: "w1".into(), event };
    let response = CallResponse { status: 200, body: Arc::from(&b"answer"[..]) };
    vec![
        PeerRequest::Submit { actor: "team vans".into(), spec },
        PeerRequest::Place(vec![
            placement.clone(),
            PlacementRequest { filter: WorkerFilter::Any, hold: false, ..placement },
        ]),
        PeerRequest::Commit(vec![lease(1), lease(2)]),
        PeerRequest::Release(vec![lease(1)]),
        PeerRequest::Settle(vec![lease(2)]),
        PeerRequest::List { team: "vans".into(), epoch: Epoch(4), offset: Offset(5) },
        PeerRequest::Notices(vec![notice(TaskEvent::Running), notice(ended)]),
        PeerRequest::AckEnds(vec![lease(7)]),
        PeerRequest::RecordKey(KeyRecord {
            key: "vans.confirm/k".into(),
            digest: u64::MAX,
            until,
            response: Some(response),
        }),
        PeerRequest::Call(Call {
            service: "vans.confirm".into(),
            class: "short".into(),
            key: Some("k".into()),
            repeatable: false,
            until,
            body: Arc::from(&b"body"[..]),
        }),
    ]
}

/// Replaces all deadlines by `until`, since deadlines are sent as the remaining time and do not
/// round trip exactly.
fn with_deadline(request: PeerRequest, until: Instant) -> PeerRequest {
    match request {
        PeerRequest::Place(placements) => PeerRequest::Place(
            placements
                .into_iter()
                .map(|placement| PlacementRequest { until, ..placement })
                .collect(),
        ),
        PeerRequest::RecordKey(record) => PeerRequest::RecordKey(KeyRecord { until, ..record }),
        PeerRequest::Call(call) => PeerRequest::Call(Call { until, ..call }),
        request => request,
    }
}

/// Guards against a field that is lost or changed between two VMs, in requests and in replies.
#[tokio::test]
async fn requests_and_replies_arrive_as_they_were_sent() {
    let until = test_deadline();
    let replies = vec![
        PeerReply::Ok,
        PeerReply::Refused(Code::Fenced),
        PeerReply::Job(JobId(u64::MAX)),
        PeerReply::Placed(vec![
            PlacementOutcome::Granted,
            PlacementOutcome::Full,
            PlacementOutcome::Invalid,
            PlacementOutcome::Unknown,
        ]),
        PeerReply::Listed {
            tasks: vec![
                ListedTask { lease: lease(1), worker: "w1".into(), ended: None },
                ListedTask { lease: lease(2), worker: "w2".into(), ended: Some(EndCause::Stopped) },
            ],
            complete: true,
        },
        PeerReply::Key(None),
        PeerReply::Response(CallResponse { status: 503, body: Arc::from(&b"busy"[..]) }),
        PeerReply::Ok,
        PeerReply::Ok,
        PeerReply::Ok,
    ];
    let received = Arc::new(Mutex::new(Vec::new()));
    let (requests_seen, next_replies) =
        (Arc::clone(&received), Mutex::new(replies.clone().into_iter()));
    let address = listen(move |session, request| {
        assert_eq!(session, Session(1));
        let reply = if matches!(request, PeerRequest::Heartbeat(_)) {
            PeerReply::Ok
        } else {
            requests_seen.lock().unwrap().push(with_deadline(request, until));
            next_replies.lock().unwrap().next().unwrap()
        };
        async move { reply }
    })
    .await;
    let (node, two, _task) = dial(address, KEY, 2);
    for (request, reply) in requests(until).iter().zip(replies) {
        assert_eq!(request_with_retries(&node, two, request).await, reply);
    }
    let expected: Vec<_> =
        requests(until).into_iter().map(|request| with_deadline(request, until)).collect();
    assert_eq!(*received.lock().unwrap(), expected);
}

/// Guards against heartbeat fields that are lost, since peers base placement decisions on them.
#[tokio::test]
async fn a_heartbeat_carries_capacity_and_instances() {
    let instance = Instance {
        service: "vans.confirm".into(),
        worker: "w1".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "split".into(),
        open: true,
    };
    let mut summary = CapacitySummary { workers: 2, ..CapacitySummary::default() };
    summary.plain.add_worker(Resources::new(5, 6, 0), true);
    let heartbeat = Heartbeat {
        session: Session(1),
        offset: Offset(7),
        confirmed_offset: Offset(6),
        summary: Some(summary),
        suspects: vec![Session(9)],
        instances: Some(vec![instance]),
    };
    let (sender, mut received) = mpsc::unbounded_channel();
    let address = listen(move |_, request| {
        let _ = sender.send(request);
        async { PeerReply::Ok }
    })
    .await;
    let (node, two, _task) = dial(address, KEY, 2);
    request_with_retries(&node, two, &PeerRequest::Heartbeat(heartbeat.clone())).await;
    let expected = PeerRequest::Heartbeat(heartbeat);
    while received.recv().await.unwrap() != expected {}
}

/// Guards against requests from a process without the shared key, such as a VM of another
/// deployment.
#[tokio::test]
async fn requests_with_another_key_are_not_handled() {
    let (sender, mut received) = mpsc::unbounded_channel();
    let address = listen(move |_, request| {
        let _ = sender.send(request);
        async { PeerReply::Ok }
    })
    .await;
    let (_, _, intruder) = dial(address, b"another key", 2);
    let (node, two, _task) = dial(address, KEY, 2);
    // The intruder keeps dialing while the other link is served.
    for _ in 0..20 {
        request_with_retries(&node, two, &PeerRequest::AckEnds(vec![lease(1)])).await;
    }
    assert!(!intruder.is_finished());
    intruder.abort();
    let mut count = 0;
    while let Ok(request) = received.try_recv() {
        count += usize::from(matches!(request, PeerRequest::AckEnds(_)));
    }
    assert_eq!(count, 20);
}

/// Guards against a request that reaches a newer process with the same name and address.
#[tokio::test]
async fn a_peer_with_another_session_gets_no_requests() {
    let handled = Arc::new(Mutex::new(0));
    let count = Arc::clone(&handled);
    let address = listen(move |_, _| {
        *count.lock().unwrap() += 1;
        async { PeerReply::Ok }
    })
    .await;
    let (node, two, _task) = dial(address, KEY, 3);
    for _ in 0..20 {
        let until = Instant::now() + Duration::from_millis(20);
        assert!(node.request(two, PeerRequest::Commit(Vec::new()), until).await.is_err());
    }
    assert_eq!(*handled.lock().unwrap(), 0);
}

/// Guards against a late reply that is matched to a later request.
#[tokio::test]
async fn a_late_reply_is_dropped() {
    let release = Arc::new(Notify::new());
    let held = Arc::clone(&release);
    let address = listen(move |_, request| {
        let held = Arc::clone(&held);
        async move {
            match request {
                PeerRequest::Commit(_) => {
                    held.notified().await;
                    PeerReply::Job(JobId(1))
                }
                PeerRequest::Release(_) => PeerReply::Job(JobId(2)),
                _ => PeerReply::Ok,
            }
        }
    })
    .await;
    let (node, two, _task) = dial(address, KEY, 2);
    request_with_retries(&node, two, &PeerRequest::AckEnds(Vec::new())).await;
    let soon = Instant::now() + Duration::from_millis(50);
    let late = node.request(two, PeerRequest::Commit(Vec::new()), soon).await;
    assert_eq!(late, Err(Code::OutcomeUnknown));
    // A heartbeat may or may not have dropped the expired request by now; both cases must work.
    release.notify_one();
    for _ in 0..50 {
        assert_eq!(
            request_with_retries(&node, two, &PeerRequest::Release(Vec::new())).await,
            PeerReply::Job(JobId(2))
        );
    }
}
