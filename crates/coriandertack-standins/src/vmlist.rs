//! A stand-in for the platform's list of VMs; see docs/design.md, section 8.
//!
//! A change becomes visible only after a delay, because the platform's list lags behind the VMs that
//! are actually running.

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

/// The kind of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// An entry VM.
    Entry,
    /// A VM that runs a worker.
    Worker,
}

/// The state of a VM in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will stop soon.
    Leaving,
}

/// A VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VmEntry {
    /// Unique name.
    pub name: String,
    /// Whether this is an entry VM or a worker.
    pub kind: VmKind,
    /// Address that the VM listens on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Rack within the zone.
    pub rack: String,
    /// Whether the VM is live or about to stop.
    pub state: VmState,
    /// CPU capacity in thousandths of a core.
    pub millicores: u32,
    /// Memory capacity in MiB.
    pub memory_mib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl VmEntry {
    /// Returns the entry of a live entry VM.
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

/// The delay after which a change becomes visible.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// Minimum delay in milliseconds.
    pub delay_ms: u64,
    /// Upper bound of a random addition to the delay, in milliseconds.
    pub jitter_ms: u64,
}

/// A change that is not yet visible.
#[derive(Debug)]
struct Change {
    /// Time at which the change becomes visible.
    visible_at: Instant,
    name: String,
    /// New entry of the VM, or `None` if the VM was removed.
    entry: Option<VmEntry>,
}

#[derive(Debug)]
struct State {
    lag: Lag,
    rng: ChaCha8Rng,
    /// Current entries, including changes that are not yet visible.
    current: BTreeMap<String, VmEntry>,
    /// Entries as clients see them.
    visible: BTreeMap<String, VmEntry>,
    pending: Vec<Change>,
    /// Items of another writer, as JSON text.
    odd: Vec<String>,
    down: bool,
    reads: u64,
}

impl State {
    /// Changes the entry of a VM, or removes it, with a random delay until the change is visible.
    fn schedule(&mut self, name: &str, entry: Option<VmEntry>) {
        let jitter = self.rng.random_range(0..=self.lag.jitter_ms);
        let visible_at = Instant::now() + Duration::from_millis(self.lag.delay_ms + jitter);
        match &entry {
            Some(entry) => self.current.insert(name.to_owned(), entry.clone()),
            None => self.current.remove(name),
        };
        // Changes of one VM become visible in order. Those of different VMs may overtake each other.
        let earlier = self.pending.iter().filter(|change| change.name == name);
        let last = earlier.map(|change| change.visible_at).max();
        let visible_at = last.map_or(visible_at, |last| last.max(visible_at));
        self.pending.push(Change { visible_at, name: name.to_owned(), entry });
    }

    /// Applies the changes that are due and returns the visible entries.
    fn read_visible(&mut self) -> Vec<VmEntry> {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|change: &Change| change.visible_at <= now);
        self.pending = later;
        for change in due {
            match change.entry {
                Some(entry) => self.visible.insert(change.name, entry),
                None => self.visible.remove(&change.name),
            };
        }
        self.reads += 1;
        self.visible.values().cloned().collect()
    }
}

/// A handle to a running VM list.
#[derive(Clone, Debug)]
pub struct VmList {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    traffic: Traffic,
}

impl VmList {
    /// Starts an empty list on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(lag: Lag, seed: u64) -> anyhow::Result<Self> {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), lag, seed).await
    }

    /// Starts an empty list on the given address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start_at(address: SocketAddr, lag: Lag, seed: u64) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address).await.context("cannot bind the VM list")?;
        let state = State {
            lag,
            rng: ChaCha8Rng::seed_from_u64(seed),
            current: BTreeMap::new(),
            visible: BTreeMap::new(),
            pending: Vec::new(),
            odd: Vec::new(),
            down: false,
            reads: 0,
        };
        let address = listener.local_addr()?;
        let list =
            Self { address, state: Arc::new(Mutex::new(state)), traffic: Traffic::default() };
        tokio::spawn(serve(list.clone(), listener));
        Ok(list)
    }

    /// Returns the address that the list listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds a VM or replaces its entry.
    pub fn set(&self, entry: VmEntry) {
        let name = entry.name.clone();
        self.lock().schedule(&name, Some(entry));
    }

    /// Adds each worker as live, or replaces its entry.
    pub fn add_workers(&self, workers: &[Worker]) {
        for worker in workers {
            self.set(VmEntry::worker(worker));
        }
    }

    /// Changes the state of a VM. Does nothing if the VM is not in the list.
    pub fn set_state(&self, name: &str, state: VmState) {
        let mut list = self.lock();
        if let Some(entry) = list.current.get(name).cloned() {
            list.schedule(name, Some(VmEntry { state, ..entry }));
        }
    }

    /// Removes a VM.
    pub fn remove(&self, name: &str) {
        self.lock().schedule(name, None);
    }

    /// Adds items to each response, given as JSON text, as another writer may leave them.
    pub fn set_odd(&self, items: Vec<String>) {
        self.lock().odd = items;
    }

    /// Makes every read fail with 503, or ends this fault.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Returns the number of successful reads.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.lock().reads
    }

    /// Returns the counter of bytes exchanged with clients.
    #[must_use]
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let mut state = self.lock();
        let found = request.method() == Method::GET && request.uri().path() == "/vms";
        let code = match (found, state.down) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::SERVICE_UNAVAILABLE,
            (true, false) => StatusCode::OK,
        };
        let body = match code {
            StatusCode::OK => {
                let entries = state.read_visible();
                let texts = entries.iter().map(|entry| {
                    serde_json::to_string(entry).expect("VM entries serialize to JSON")
                });
                let items: Vec<String> = texts.chain(state.odd.iter().cloned()).collect();
                format!("[{}]", items.join(",")).into_bytes()
            }
            _ => Vec::new(),
        };
        let mut response = Response::new(Full::new(body.into()));
        *response.status_mut() = code;
        response
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
                            let response = list.handle(&request);
                            async move { Ok::<_, Infallible>(response) }
                        });
                        let mut builder = http1::Builder::new();
                        builder.timer(TokioTimer::new());
                        let stream = TokioIo::new(list.traffic.wrap(stream));
                        let result = builder.serve_connection(stream, service).await;
                        if let Err(error) = result {
                            log::debug!("event=vm_list_connection_ended error=\"{error}\"");
                        }
                    });
                }
                Err(error) => log::warn!("event=vm_list_accept_failed error=\"{error}\""),
            }
        }
    }
}
