//! A small cell for the benchmarks of callers' requests: serving stand-ins, and two ways to reach them.
//!
//! [`Cell::router`] starts the router of an entry VM, which is what is measured. [`Fifo`] is the baseline: one
//! FIFO queue in front of the same slots, with the same kind of connections, but without admission control and
//! without slots reserved for short requests.

use std::{sync::Arc, time::Duration};

use {
    anyhow::Context,
    coriandertack_callers::{Config, Router},
    coriandertack_core::{
        code::Code,
        keys::{Incarnation, Offset},
        message::{Call, CallResponse, Instance},
        node::{Node, Stage},
        record::{Batch, Entry, Record, VmInfo},
        routing::RequestKey,
    },
    coriandertack_standins::serving::{Action, Serving},
    coriandertack_workers::upstream::{
        self, ConnectionConfig, ConnectionEvent, ConnectionKey, ConnectionReport, Counters,
        Exchange,
    },
    slotmap::SlotMap,
    tokio::{
        sync::{Mutex, mpsc, oneshot},
        time::Instant,
    },
};

/// Number of slots of each worker.
pub const SLOTS: usize = 8;

/// Name of the service that the scenarios call.
pub const SERVICE: &str = "bench.service";

/// Serving stand-ins. The body of a request is its processing time in microseconds.
pub struct Cell {
    /// Stand-ins with [`SLOTS`] slots each.
    pub workers: Vec<Serving>,
}

impl Cell {
    /// Starts the given number of workers.
    pub async fn start(workers: usize) -> anyhow::Result<Self> {
        let mut started = Vec::new();
        for _ in 0..workers {
            started.push(Serving::start(SLOTS, action_of).await.context("cannot start a worker")?);
        }
        Ok(Self { workers: started })
    }

    /// Returns the number of slots of all workers.
    pub fn slots(&self) -> usize {
        self.workers.len() * SLOTS
    }

    /// Returns the router of an entry VM that is the only member and routes to the workers.
    pub async fn router(&self) -> anyhow::Result<Arc<Router>> {
        let address = "127.0.0.1:1".parse()?;
        let info = VmInfo { name: "bench".into(), zone: "a".into(), link: address, http: address };
        let author = Incarnation(1);
        let (node, _) = Node::new(info.clone(), author);
        let record = Record::Join(info);
        let entry = Entry { actor: "system".into(), at_ms: 0, record };
        node.apply(Offset(1), &Batch { author, seq: 1, entries: vec![entry] });
        node.instances.send_replace(Arc::new(self.instances()));
        node.stage.send_replace(Stage::Serving);
        let router = Router::new(Arc::clone(&node), Config::default());
        node.confirmed_offset.subscribe().wait_for(|offset| *offset == Offset(1)).await?;
        Ok(router)
    }

    fn instances(&self) -> Vec<Instance> {
        let instance = |(index, worker): (usize, &Serving)| Instance {
            service: SERVICE.into(),
            worker: format!("w{index}").into(),
            address: worker.address,
            zone: "a".into(),
            open: true,
        };
        self.workers.iter().enumerate().map(instance).collect()
    }

    /// Measures the number of requests per second that the slots answer when none of them is idle.
    ///
    /// The connections are those of the scheduler, so their overhead per request is part of the figure.
    pub async fn capacity(&self, body: impl Fn(u64) -> Arc<[u8]>, span: Duration) -> f64 {
        let fifo = Fifo::start(self);
        let until = Instant::now() + span;
        let far_deadline = until + Duration::from_secs(60);
        let mut number = 0;
        let mut answers = futures::stream::FuturesUnordered::new();
        let mut answered = 0_u32;
        while Instant::now() < until {
            // Twice as many requests as slots keep every slot busy.
            while answers.len() < self.slots() * 2 {
                number += 1;
                let call = new_call("", body(number), far_deadline);
                answers.push(fifo.send(call));
            }
            if futures::StreamExt::next(&mut answers).await.is_some_and(|response| response.is_ok())
            {
                answered += 1;
            }
        }
        f64::from(answered) / span.as_secs_f64()
    }
}

fn action_of(body: &[u8]) -> Action {
    let text = std::str::from_utf8(body).unwrap_or_default();
    Action::after(Duration::from_micros(text.trim().parse().unwrap_or(0)))
}

/// Returns a request that must not be repeated.
pub fn new_call(class: &str, body: Arc<[u8]>, until: Instant) -> Call {
    Call { service: SERVICE.into(), class: class.into(), key: None, repeatable: false, until, body }
}

type QueuedCall = (Call, oneshot::Sender<Result<CallResponse, Code>>);

/// One FIFO queue in front of all slots.
#[derive(Clone)]
pub struct Fifo {
    queue: mpsc::UnboundedSender<QueuedCall>,
}

impl Fifo {
    /// Starts a task for each slot.
    pub fn start(cell: &Cell) -> Self {
        let (queue, jobs) = mpsc::unbounded_channel();
        let jobs = Arc::new(Mutex::new(jobs));
        for worker in &cell.workers {
            for _ in 0..SLOTS {
                tokio::spawn(serve_slot(Arc::clone(&jobs), worker.address));
            }
        }
        Self { queue }
    }

    /// Queues a request and waits for its response until the deadline of the request.
    pub async fn send(&self, call: Call) -> Result<CallResponse, Code> {
        let (reply, response) = oneshot::channel();
        let until = call.until;
        self.queue.send((call, reply)).map_err(|_| Code::Stopping)?;
        match tokio::time::timeout_at(until, response).await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) | Err(_) => Err(Code::OutcomeUnknown),
        }
    }
}

/// Serves requests from the queue in one slot, over a connection of its own.
async fn serve_slot(
    jobs: Arc<Mutex<mpsc::UnboundedReceiver<QueuedCall>>>,
    address: std::net::SocketAddr,
) {
    let (queue, exchanges) = mpsc::channel(1);
    let (reports, mut events) = mpsc::unbounded_channel();
    let mut keys: SlotMap<ConnectionKey, ()> = SlotMap::with_key();
    let key = keys.insert(());
    let counters = Arc::new(Counters::default());
    tokio::spawn(upstream::run(ConnectionConfig { key, prefix: 0, exchanges, reports, counters }));
    loop {
        let Some((call, reply)) = jobs.lock().await.recv().await else {
            return;
        };
        let exchange = Exchange {
            request: RequestKey::default(),
            address,
            service: call.service,
            key: None,
            body: call.body,
            // The baseline ignores deadlines: every queued request is served.
            until: Instant::now() + Duration::from_secs(60),
        };
        if queue.send(exchange).await.is_err() {
            return;
        }
        let result = loop {
            match events.recv().await {
                Some(ConnectionReport { event: ConnectionEvent::Ended(_, result), .. }) => {
                    break result;
                }
                Some(_) => {}
                None => return,
            }
        };
        let _ = reply.send(result.map_err(|_| Code::UpstreamFailed));
    }
}
