//! A small cell for the scenarios on callers' requests: serving stand-ins, and two ways to reach them.
//!
//! [`Cell::router`] is the product: an entry VM's router with all slots. [`Fifo`] is the baseline: one
//! queue in order of arrival in front of the same slots and the same connections, without admission
//! control and lanes.

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
    coriandertack_standins::serving::{Act, Serving},
    coriandertack_workers::upstream::{
        self, ConnectionKey, Counters, Exchange, Line, News, Report,
    },
    slotmap::SlotMap,
    tokio::{
        sync::{Mutex, mpsc, oneshot},
        time::Instant,
    },
};

/// Slots of a worker.
pub const SLOTS: usize = 8;

/// Service that the scenarios call.
pub const SERVICE: &str = "bench.service";

/// Serving stand-ins whose requests take as many microseconds as their content says.
pub struct Cell {
    /// The workers.
    pub workers: Vec<Serving>,
}

impl Cell {
    /// Starts the workers.
    pub async fn start(workers: usize) -> anyhow::Result<Self> {
        let mut started = Vec::new();
        for _ in 0..workers {
            started.push(Serving::start(SLOTS, act).await.context("start a worker")?);
        }
        Ok(Self { workers: started })
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> usize {
        self.workers.len() * SLOTS
    }

    /// Starts an entry VM that is alone and routes to the workers.
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
        let instance = |(at, worker): (usize, &Serving)| Instance {
            service: SERVICE.into(),
            worker: format!("w{at}").into(),
            address: worker.address,
            zone: "a".into(),
            open: true,
        };
        self.workers.iter().enumerate().map(instance).collect()
    }

    /// Measures how many requests per second the slots answer when none is ever idle.
    ///
    /// The connections are those of the product, so its cost for each request is part of the figure.
    pub async fn capacity(&self, body: impl Fn(u64) -> Arc<[u8]>, span: Duration) -> f64 {
        let fifo = Fifo::start(self);
        let until = Instant::now() + span;
        let far = until + Duration::from_secs(60);
        let mut number = 0;
        let mut answers = futures::stream::FuturesUnordered::new();
        let mut answered = 0_u32;
        while Instant::now() < until {
            // A few more requests than slots keep every slot busy.
            while answers.len() < self.slots() * 2 {
                number += 1;
                let call = call("", body(number), far);
                answers.push(fifo.send(call));
            }
            if futures::StreamExt::next(&mut answers).await.is_some_and(|answer| answer.is_ok()) {
                answered += 1;
            }
        }
        f64::from(answered) / span.as_secs_f64()
    }
}

fn act(body: &[u8]) -> Act {
    let text = std::str::from_utf8(body).unwrap_or_default();
    Act::after(Duration::from_micros(text.trim().parse().unwrap_or(0)))
}

/// Returns a request that is not repeated.
pub fn call(class: &str, body: Arc<[u8]>, until: Instant) -> Call {
    Call { service: SERVICE.into(), class: class.into(), key: None, repeatable: false, until, body }
}

type Job = (Call, oneshot::Sender<Result<CallResponse, Code>>);

/// One queue in order of arrival in front of all slots.
#[derive(Clone)]
pub struct Fifo {
    queue: mpsc::UnboundedSender<Job>,
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

    /// Queues a request, and waits for its answer at most until its deadline.
    pub async fn send(&self, call: Call) -> Result<CallResponse, Code> {
        let (reply, answer) = oneshot::channel();
        let until = call.until;
        self.queue.send((call, reply)).map_err(|_| Code::Stopping)?;
        match tokio::time::timeout_at(until, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(Code::OutcomeUnknown),
        }
    }
}

/// Serves the queue in one slot, with a connection of its own.
async fn serve_slot(jobs: Arc<Mutex<mpsc::UnboundedReceiver<Job>>>, address: std::net::SocketAddr) {
    let (queue, exchanges) = mpsc::channel(1);
    let (reports, mut news) = mpsc::unbounded_channel();
    let mut keys: SlotMap<ConnectionKey, ()> = SlotMap::with_key();
    let key = keys.insert(());
    let counters = Arc::new(Counters::default());
    tokio::spawn(upstream::run(Line { key, prefix: 0, queue: exchanges, reports, counters }));
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
            // The baseline has no deadlines: what was queued is served.
            until: Instant::now() + Duration::from_secs(60),
        };
        if queue.send(exchange).await.is_err() {
            return;
        }
        let result = loop {
            match news.recv().await {
                Some(Report { news: News::Ended(_, result), .. }) => break result,
                Some(_) => {}
                None => return,
            }
        };
        let _ = reply.send(result.map_err(|_| Code::UpstreamFailed));
    }
}
