//! Test fixture: a node with one member VM and one stand-in worker, without a log.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use {
    coriandertack_core::{
        keys::{Incarnation, JobId, LeaseId, Offset, Session, TaskId, WorkerKey},
        message::{AttemptSpec, EndCause, RunningTask, WorkerCommand, WorkerEvent},
        node::Node,
        record::{Batch, Entry, Kind, Presence, Record, VmInfo, WorkerInfo},
        resources::Resources,
    },
    coriandertack_standins::worker::{Worker, WorkerConfig},
    coriandertack_workers::{
        control,
        update::{ExitReason, WorkerUpdate},
    },
    http_body_util::Full,
    hyper::{Request, body::Bytes},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    tokio::{
        sync::mpsc,
        task::JoinHandle,
        time::{Instant, sleep, timeout},
    },
};

/// Time between two simulated reads of the log, each of which extends the validity.
const READ_INTERVAL: Duration = Duration::from_millis(200);

pub fn lease(job: u64, attempt: u64) -> LeaseId {
    LeaseId { task: TaskId { job: JobId(job), index: 0 }, attempt }
}

/// A VM that owns one worker.
pub struct Fixture {
    pub node: Arc<Node>,
    pub worker: Worker,
    key: WorkerKey,
    seq: u64,
    /// Task that simulates the reads of the log.
    reader: JoinHandle<()>,
}

impl Fixture {
    pub async fn start() -> Self {
        Self::start_with(|_| {}).await
    }

    pub async fn start_with(adjust: impl FnOnce(&mut WorkerConfig)) -> Self {
        let mut config = WorkerConfig::new("split-w1", "split", "r1");
        // With shorter intervals, usage reports would fill the channel of a test that does not read
        // them.
        config.interval_ms = 60_000;
        adjust(&mut config);
        let worker = Worker::start(config, 7).await.unwrap();
        let unused = "127.0.0.1:1".parse().unwrap();
        let info =
            VmInfo { name: "split-1".into(), zone: "split".into(), link: unused, http: unused };
        let (node, _) = Node::new(info.clone(), Incarnation(1));
        let listed = WorkerInfo {
            name: worker.name().into(),
            address: worker.address(),
            zone: "split".into(),
            rack: "r1".into(),
            presence: Presence::Live,
            capacity: Resources::new(16_000, 32_768, 0),
        };
        let entry = |record| Entry { actor: "test".into(), at_ms: 0, record };
        let entries = vec![entry(Record::Join(info)), entry(Record::Workers(vec![listed]))];
        node.apply(Offset(1), &Batch { author: Incarnation(1), seq: 1, entries });
        let key = node.with(|shared| shared.state.worker_names[worker.name()]);
        node.extend_validity(Instant::now());
        let reader = start_log_reads(&node);
        Self { node, worker, key, seq: 1, reader }
    }

    /// Starts a control task whose updates are collected in the background.
    pub fn start_collecting(
        &self,
    ) -> (mpsc::UnboundedSender<WorkerCommand>, Arc<Mutex<Vec<TimedUpdate>>>) {
        let ControlTask { commands, mut events, .. } = self.start_control();
        let updates = Arc::new(Mutex::new(Vec::new()));
        let collected = Arc::clone(&updates);
        tokio::spawn(async move {
            while let Some((_, update)) = events.recv().await {
                collected.lock().unwrap().push(TimedUpdate { at: Instant::now(), update });
            }
        });
        (commands, updates)
    }

    /// Applies a batch of this VM.
    pub fn apply(&mut self, entries: Vec<Entry>) {
        self.seq += 1;
        let batch = Batch { author: Incarnation(1), seq: self.seq, entries };
        self.node.apply(Offset(self.seq), &batch);
    }

    /// Ends the session of this VM by a fence.
    pub fn fence_vm(&mut self) {
        let record = Record::Fence(Session(1));
        self.apply(vec![Entry { actor: "test".into(), at_ms: 0, record }]);
    }

    /// Stops the reads of the log, so that the validity ends.
    pub fn stop_log_reads(&self) {
        self.reader.abort();
    }

    /// Resumes the reads of the log.
    pub fn resume_log_reads(&mut self) {
        self.reader = start_log_reads(&self.node);
    }

    /// Raises the epoch under which this VM owns the worker, as if the worker had moved to another
    /// VM and back.
    pub fn bump_epoch(&self) {
        self.node.with(|shared| shared.state.workers[self.key].owner.epoch.0 += 1);
    }

    /// Extends the hold-off of this VM as owner until `after` from now.
    pub fn delay_ownership(&self, after: Duration) {
        let ready_at = Instant::now() + after;
        self.node.with(|shared| shared.state.workers[self.key].owner.ready_at = ready_at);
    }

    /// Sends the worker a higher epoch, as a new owner does.
    pub async fn send_epoch(&self, epoch: u64) {
        let body = format!("{{\"epoch\":{epoch},\"commands\":[]}}");
        let status = post(self.worker.address(), "/v1/commands", body).await;
        assert_eq!(status, 200);
    }

    /// Returns a command that starts a task, with a first lease that ends with the validity.
    pub fn start_command(&self, lease: LeaseId, command: &str) -> WorkerCommand {
        let spec = AttemptSpec {
            lease,
            class: "vans.book".into(),
            kind: Kind::Batch,
            need: Resources::new(500, 1_024, 0),
            run_ms: 0,
            urgent: false,
            command: command.into(),
        };
        WorkerCommand::Start { spec, until: self.node.valid_until() }
    }

    /// Starts a control task for the worker.
    pub fn start_control(&self) -> ControlTask {
        self.start_control_with_capacity(1_024)
    }

    /// Starts a control task that waits once `capacity` updates have not been received.
    pub fn start_control_with_capacity(&self, capacity: usize) -> ControlTask {
        let (commands, queue) = mpsc::unbounded_channel();
        let (sender, events) = mpsc::channel(capacity);
        let run = control::run(Arc::clone(&self.node), self.key, queue, sender);
        ControlTask { commands, events, task: tokio::spawn(run) }
    }
}

/// Starts a task that extends the validity as regular reads of the log do.
fn start_log_reads(node: &Arc<Node>) -> JoinHandle<()> {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        loop {
            node.extend_validity(Instant::now());
            sleep(READ_INTERVAL).await;
        }
    })
}

/// An update with the time of its arrival.
pub struct TimedUpdate {
    pub at: Instant,
    pub update: WorkerUpdate,
}

/// Totals of the usage events of a lease.
#[derive(Debug, Default)]
pub struct UsageTotals {
    /// Sum over all intervals, each counted once.
    pub core_ms: u64,
    /// Events for an interval that had already arrived.
    pub duplicated: usize,
    /// Events that arrived after one for a later interval.
    pub reordered: usize,
}

/// A running control task and the owner's ends of its channels.
pub struct ControlTask {
    commands: mpsc::UnboundedSender<WorkerCommand>,
    events: mpsc::Receiver<(WorkerKey, WorkerUpdate)>,
    task: JoinHandle<ExitReason>,
}

impl ControlTask {
    pub fn send(&self, command: WorkerCommand) {
        self.commands.send(command).unwrap();
    }

    /// Waits for the next update. Fails after an hour of virtual time without any.
    pub async fn next_update(&mut self) -> WorkerUpdate {
        let update = timeout(Duration::from_secs(3_600), self.events.recv()).await;
        update.expect("no update within an hour").expect("the control task has ended").1
    }

    /// Waits for the worker's next list and returns the running tasks in it.
    pub async fn next_list(&mut self) -> Vec<RunningTask> {
        loop {
            if let WorkerUpdate::Listed { running, .. } = self.next_update().await {
                return running;
            }
        }
    }

    /// Waits until the worker is reported as unreachable and returns the bound on its leases.
    pub async fn next_unreachable(&mut self) -> Instant {
        loop {
            if let WorkerUpdate::Unreachable { lease_end } = self.next_update().await {
                return lease_end;
            }
        }
    }

    /// Waits for the worker's next event.
    pub async fn next_event(&mut self) -> WorkerEvent {
        loop {
            if let WorkerUpdate::Event(event) = self.next_update().await {
                return event;
            }
        }
    }

    /// Waits for the end of a lease and returns its cause and the run time in milliseconds.
    pub async fn end_of(&mut self, lease: LeaseId) -> (EndCause, u64) {
        loop {
            match self.next_event().await {
                WorkerEvent::Ended { lease: ended, cause, run_ms, .. } if ended == lease => {
                    return (cause, run_ms);
                }
                _ => {}
            }
        }
    }

    /// Waits for the first event of a lease and returns whether it is its start.
    pub async fn is_started(&mut self, lease: LeaseId) -> bool {
        loop {
            match self.next_event().await {
                WorkerEvent::Started(started) if started == lease => return true,
                WorkerEvent::Ended { lease: ended, .. } if ended == lease => return false,
                _ => {}
            }
        }
    }

    /// Collects usage events until all intervals up to the last one have arrived and another 5 s
    /// have passed.
    pub async fn usage_of(&mut self, lease: LeaseId) -> UsageTotals {
        let mut seen: BTreeMap<u32, u64> = BTreeMap::new();
        let mut usage = UsageTotals::default();
        let mut last = None;
        let mut until = Instant::now() + Duration::from_secs(600);
        loop {
            let event = tokio::select! {
                event = self.next_event() => event,
                () = tokio::time::sleep_until(until) => break,
            };
            let WorkerEvent::Usage { lease: source, interval, usage: part, last: is_last, .. } =
                event
            else {
                continue;
            };
            assert_eq!(source, lease);
            let highest = seen.keys().next_back().copied();
            if seen.insert(interval, part.core_ms).is_some() {
                usage.duplicated += 1;
            } else if highest.is_some_and(|highest| highest > interval) {
                usage.reordered += 1;
            }
            if is_last {
                last = Some(interval as usize);
            }
            if last.is_some_and(|last| seen.len() == last + 1) {
                until = until.min(Instant::now() + Duration::from_secs(5));
            }
        }
        usage.core_ms = seen.values().sum();
        usage
    }

    /// Waits until the task has ended by itself.
    pub async fn exit_reason(self) -> ExitReason {
        // Keeps the channels open, because closing one would end the task.
        let Self { commands: _commands, events: _events, task } = self;
        task.await.unwrap()
    }

    pub async fn abort(self) {
        self.task.abort();
        // The error only says that the task was aborted.
        let _ = self.task.await;
    }
}

/// Sends one request and returns the status of the response.
async fn post(address: SocketAddr, path: &str, body: String) -> u16 {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::post(format!("http://{address}{path}")).body(body.into()).unwrap();
    client.request(request).await.unwrap().status().as_u16()
}
