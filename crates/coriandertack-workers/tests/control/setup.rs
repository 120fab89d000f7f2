//! A node with one member and one worker, without a log.

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
        news::{Finish, WorkerNews},
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

/// Time between two readings of the imagined log.
const READ_EVERY: Duration = Duration::from_millis(200);

pub fn lease(job: u64, attempt: u64) -> LeaseId {
    LeaseId { task: TaskId { job: JobId(job), index: 0 }, attempt }
}

pub struct Bench {
    pub node: Arc<Node>,
    pub worker: Worker,
    key: WorkerKey,
    seq: u64,
    reader: JoinHandle<()>,
}

impl Bench {
    pub async fn start() -> Self {
        Self::start_with(|_| {}).await
    }

    pub async fn start_with(adjust: impl FnOnce(&mut WorkerConfig)) -> Self {
        let mut config = WorkerConfig::new("split-w1", "split", "r1");
        // Long intervals keep usage reports from filling the channel of a test that does not read it.
        config.interval_ms = 60_000;
        adjust(&mut config);
        let worker = Worker::start(config, 7).await.unwrap();
        let any = "127.0.0.1:1".parse().unwrap();
        let info = VmInfo { name: "split-1".into(), zone: "split".into(), link: any, http: any };
        let (node, _) = Node::new(info.clone(), Incarnation(1));
        let seen = WorkerInfo {
            name: worker.name().into(),
            address: worker.address(),
            zone: "split".into(),
            rack: "r1".into(),
            presence: Presence::Live,
            capacity: Resources::new(16_000, 32_768, 0),
        };
        let entry = |record| Entry { actor: "test".into(), at_ms: 0, record };
        let entries = vec![entry(Record::Join(info)), entry(Record::Workers(vec![seen]))];
        node.apply(Offset(1), &Batch { author: Incarnation(1), seq: 1, entries });
        let key = node.with(|shared| shared.state.worker_names[worker.name()]);
        node.extend_validity(Instant::now());
        let reader = read(&node);
        Self { node, worker, key, seq: 1, reader }
    }

    /// Runs a task whose news are collected in the background.
    pub fn collect(&self) -> (mpsc::UnboundedSender<WorkerCommand>, Arc<Mutex<Vec<Noted>>>) {
        let Control { commands, mut events, .. } = self.control();
        let notes = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&notes);
        tokio::spawn(async move {
            while let Some((_, news)) = events.recv().await {
                kept.lock().unwrap().push(Noted { at: Instant::now(), news });
            }
        });
        (commands, notes)
    }

    /// Applies a batch of this VM.
    pub fn apply(&mut self, entries: Vec<Entry>) {
        self.seq += 1;
        let batch = Batch { author: Incarnation(1), seq: self.seq, entries };
        self.node.apply(Offset(self.seq), &batch);
    }

    /// Ends the session of this VM.
    pub fn fence(&mut self) {
        let record = Record::Fence(Session(1));
        self.apply(vec![Entry { actor: "test".into(), at_ms: 0, record }]);
    }

    /// Stops the readings of the log.
    pub fn cut_log(&self) {
        self.reader.abort();
    }

    /// Takes up the readings of the log again.
    pub fn mend_log(&mut self) {
        self.reader = read(&self.node);
    }

    /// Gives the worker to this VM under a new epoch, as when it went to another VM and back.
    pub fn renew_epoch(&self) {
        self.node.with(|shared| shared.state.workers[self.key].owner.epoch.0 += 1);
    }

    /// Lets the VM be the owner only from `after` on.
    pub fn delay_ready(&self, after: Duration) {
        let ready = Instant::now() + after;
        self.node.with(|shared| shared.state.workers[self.key].owner.ready_at = ready);
    }

    /// Shows the worker a higher epoch, as a successor does.
    pub async fn raise_epoch(&self, epoch: u64) {
        let body = format!("{{\"epoch\":{epoch},\"commands\":[]}}");
        let answer = post(self.worker.address(), "/v1/commands", body).await;
        assert_eq!(answer, 200);
    }

    pub fn start_of(&self, lease: LeaseId, command: &str) -> WorkerCommand {
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

    pub fn control(&self) -> Control {
        let (commands, queue) = mpsc::unbounded_channel();
        let (sender, events) = mpsc::channel(1_024);
        let run = control::run(Arc::clone(&self.node), self.key, queue, sender);
        Control { commands, events, task: tokio::spawn(run) }
    }
}

fn read(node: &Arc<Node>) -> JoinHandle<()> {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        loop {
            node.extend_validity(Instant::now());
            sleep(READ_EVERY).await;
        }
    })
}

/// News with the time of its arrival.
pub struct Noted {
    pub at: Instant,
    pub news: WorkerNews,
}

/// Sums of usage events, each interval counted once.
#[derive(Debug, Default)]
pub struct Usage {
    pub core_ms: u64,
    pub doubled: usize,
    pub reordered: usize,
}

pub struct Control {
    commands: mpsc::UnboundedSender<WorkerCommand>,
    events: mpsc::Receiver<(WorkerKey, WorkerNews)>,
    task: JoinHandle<Finish>,
}

impl Control {
    pub fn send(&self, command: WorkerCommand) {
        self.commands.send(command).unwrap();
    }

    /// Waits for news. An hour of virtual time without any is a failure.
    pub async fn news(&mut self) -> WorkerNews {
        let news = timeout(Duration::from_secs(3_600), self.events.recv()).await;
        news.expect("no news for an hour").expect("the task runs").1
    }

    pub async fn listed(&mut self) -> Vec<RunningTask> {
        loop {
            if let WorkerNews::Listed { running, .. } = self.news().await {
                return running;
            }
        }
    }

    pub async fn unreachable(&mut self) -> Instant {
        loop {
            if let WorkerNews::Unreachable { lease_end } = self.news().await {
                return lease_end;
            }
        }
    }

    pub async fn event(&mut self) -> WorkerEvent {
        loop {
            if let WorkerNews::Event(event) = self.news().await {
                return event;
            }
        }
    }

    pub async fn end_of(&mut self, lease: LeaseId) -> (EndCause, u64) {
        loop {
            match self.event().await {
                WorkerEvent::Ended { lease: ended, cause, run_ms, .. } if ended == lease => {
                    return (cause, run_ms);
                }
                _ => {}
            }
        }
    }

    /// Waits for the first event of a lease and tells whether it is its start.
    pub async fn is_started(&mut self, lease: LeaseId) -> bool {
        loop {
            match self.event().await {
                WorkerEvent::Started(started) if started == lease => return true,
                WorkerEvent::Ended { lease: ended, .. } if ended == lease => return false,
                _ => {}
            }
        }
    }

    /// Collects usage until every interval up to the last one has come, and whatever comes within
    /// 5 s after that.
    pub async fn usage_of(&mut self, lease: LeaseId) -> Usage {
        let mut seen: BTreeMap<u32, u64> = BTreeMap::new();
        let mut usage = Usage::default();
        let mut last = None;
        let mut until = Instant::now() + Duration::from_secs(600);
        loop {
            let event = tokio::select! {
                event = self.event() => event,
                () = tokio::time::sleep_until(until) => break,
            };
            let WorkerEvent::Usage { lease: used, interval, usage: part, last: ends, .. } = event
            else {
                continue;
            };
            assert_eq!(used, lease);
            let highest = seen.keys().next_back().copied();
            if seen.insert(interval, part.core_ms).is_some() {
                usage.doubled += 1;
            } else if highest.is_some_and(|highest| highest > interval) {
                usage.reordered += 1;
            }
            if ends {
                last = Some(interval as usize);
            }
            if last.is_some_and(|last| seen.len() == last + 1) {
                until = until.min(Instant::now() + Duration::from_secs(5));
            }
        }
        usage.core_ms = seen.values().sum();
        usage
    }

    pub async fn finish(self) -> Finish {
        // The channels stay open until the task has ended by itself.
        let Self { commands: _commands, events: _events, task } = self;
        task.await.unwrap()
    }

    pub async fn abort(self) {
        self.task.abort();
        // The result only tells that the task was aborted.
        let _ = self.task.await;
    }
}

/// Sends one request and returns the status.
async fn post(address: SocketAddr, path: &str, body: String) -> u16 {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::post(format!("http://{address}{path}")).body(body.into()).unwrap();
    client.request(request).await.unwrap().status().as_u16()
}
