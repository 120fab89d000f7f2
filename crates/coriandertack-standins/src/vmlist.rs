//! Stand-in for the platform's list of VMs; see docs/design.md, section 8.
//!
//! A change becomes visible only after a delay, as the platform's list lags behind what is running.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use {
    anyhow::Context,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Method, Request, Response, StatusCode, body::Incoming, server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::Serialize,
    tokio::{net::TcpListener, task::JoinSet, time::Instant},
};

use crate::{traffic::Traffic, worker::Worker};

/// Kind of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// Runs an entry VM.
    Entry,
    /// Runs a worker.
    Worker,
}

/// State of a VM in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will stop soon.
    Leaving,
}

/// A VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VmEntry {
    /// Unique name.
    pub name: String,
    /// What it runs.
    pub kind: VmKind,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Rack within the zone.
    pub rack: String,
    /// Whether it is about to leave.
    pub state: VmState,
    /// Thousandths of a core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl VmEntry {
    /// Returns a live entry VM.
    #[must_use]
    pub fn entry(name: &str, zone: &str, address: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            kind: VmKind::Entry,
            address,
            zone: zone.to_owned(),
            rack: String::new(),
            state: VmState::Live,
            millicores: 2_000,
            memory_mib: 2_048,
            accelerators: 0,
        }
    }

    /// Returns the entry of a live worker.
    #[must_use]
    pub fn worker(worker: &Worker) -> Self {
        let capacity = worker.capacity();
        Self {
            name: worker.name().to_owned(),
            kind: VmKind::Worker,
            address: worker.address(),
            zone: worker.zone().to_owned(),
            rack: worker.rack().to_owned(),
            state: VmState::Live,
            millicores: capacity.millicores,
            memory_mib: capacity.memory_mib,
            accelerators: capacity.accelerators,
        }
    }
}

/// Delay after which a change is visible.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// Least delay.
    pub delay_ms: u64,
    /// Random addition.
    pub jitter_ms: u64,
}

/// A change that becomes visible at its time.
#[derive(Debug)]
struct Change {
    visible: Instant,
    name: String,
    entry: Option<VmEntry>,
}

#[derive(Debug)]
struct Inner {
    lag: Lag,
    rng: ChaCha8Rng,
    actual: BTreeMap<String, VmEntry>,
    shown: BTreeMap<String, VmEntry>,
    changes: Vec<Change>,
    down: bool,
    reads: u64,
}

impl Inner {
    fn change(&mut self, name: &str, entry: Option<VmEntry>) {
        let jitter = self.rng.random_range(0..=self.lag.jitter_ms);
        let visible = Instant::now() + Duration::from_millis(self.lag.delay_ms + jitter);
        match &entry {
            Some(entry) => self.actual.insert(name.to_owned(), entry.clone()),
            None => self.actual.remove(name),
        };
        // Changes of one VM stay in order; those of different VMs may pass each other.
        let same = self.changes.iter().filter(|change| change.name == name);
        let last = same.map(|change| change.visible).max();
        let visible = last.map_or(visible, |last| last.max(visible));
        self.changes.push(Change { visible, name: name.to_owned(), entry });
    }

    fn show(&mut self) -> Vec<VmEntry> {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.changes)
            .into_iter()
            .partition(|change: &Change| change.visible <= now);
        self.changes = later;
        for change in due {
            match change.entry {
                Some(entry) => self.shown.insert(change.name, entry),
                None => self.shown.remove(&change.name),
            };
        }
        self.reads += 1;
        self.shown.values().cloned().collect()
    }
}

/// Handle of a running stand-in.
#[derive(Clone, Debug)]
pub struct VmList {
    address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    traffic: Traffic,
}

impl VmList {
    /// Starts an empty list on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(lag: Lag, seed: u64) -> anyhow::Result<Self> {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), lag, seed).await
    }

    /// Starts an empty list at an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start_at(address: SocketAddr, lag: Lag, seed: u64) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address).await.context("bind VM list")?;
        let inner = Inner {
            lag,
            rng: ChaCha8Rng::seed_from_u64(seed),
            actual: BTreeMap::new(),
            shown: BTreeMap::new(),
            changes: Vec::new(),
            down: false,
            reads: 0,
        };
        let address = listener.local_addr()?;
        let list =
            Self { address, inner: Arc::new(Mutex::new(inner)), traffic: Traffic::default() };
        tokio::spawn(serve(list.clone(), listener));
        Ok(list)
    }

    /// Returns the address of the interface.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds a VM or replaces its entry.
    pub fn set(&self, entry: VmEntry) {
        let name = entry.name.clone();
        self.lock().change(&name, Some(entry));
    }

    /// Adds workers.
    pub fn add_workers(&self, workers: &[Worker]) {
        for worker in workers {
            self.set(VmEntry::worker(worker));
        }
    }

    /// Changes the state of a VM. An unknown VM stays unknown.
    pub fn set_state(&self, name: &str, state: VmState) {
        let mut inner = self.lock();
        if let Some(entry) = inner.actual.get(name).cloned() {
            inner.change(name, Some(VmEntry { state, ..entry }));
        }
    }

    /// Removes a VM.
    pub fn remove(&self, name: &str) {
        self.lock().change(name, None);
    }

    /// Answers with an error from now on, or no longer.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Returns how often the list has been read.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.lock().reads
    }

    /// Returns the count of the bytes exchanged with clients.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let mut inner = self.lock();
        let known = request.method() == Method::GET && request.uri().path() == "/vms";
        let code = match (known, inner.down) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::SERVICE_UNAVAILABLE,
            (true, false) => StatusCode::OK,
        };
        let body = match code {
            StatusCode::OK => serde_json::to_vec(&inner.show()).expect("plain data is valid JSON"),
            _ => Vec::new(),
        };
        let mut answer = Response::new(Full::new(body.into()));
        *answer.status_mut() = code;
        answer
    }
}

/// Accepts connections as long as the runtime lives.
async fn serve(list: VmList, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let list = list.clone();
                    connections.spawn(async move {
                        let service = service_fn(|request| {
                            let answer = list.answer(&request);
                            async move { Ok::<_, Infallible>(answer) }
                        });
                        let mut builder = http1::Builder::new();
                        builder.timer(TokioTimer::new());
                        let stream = TokioIo::new(list.traffic.count(stream));
                        let served = builder.serve_connection(stream, service).await;
                        if let Err(error) = served {
                            log::debug!("event=vm_list_connection_ended error=\"{error}\"");
                        }
                    });
                }
                Err(error) => log::warn!("event=vm_list_accept_failed error=\"{error}\""),
            }
        }
    }
}
