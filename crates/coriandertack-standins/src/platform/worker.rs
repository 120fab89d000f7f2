//! A stand-in for a platform worker: runs tasks under one lease, carries out fenced requests, and
//! serves a long poll for ended runs.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use {
    anyhow::Result,
    serde_json::{Value, json},
    tokio::{
        sync::{Notify, watch},
        task::{AbortHandle, JoinHandle},
        time::{Instant, sleep, sleep_until},
    },
};

use super::{
    ApiCall, Reply, Shared, json_reply,
    lease::Lease,
    link::{self, Link},
    lock,
};

/// Prefix of a payload that makes a task crash its worker; the rest is the delay after its start, in
/// milliseconds.
pub const CRASH_PREFIX: &str = "crash-after-ms=";

/// Prefix of a payload that sets how long its tasks run; the rest is the time in milliseconds.
pub const RUN_PREFIX: &str = "run-ms=";

/// Reading of a worker's clock when the worker starts. It starts at 0 again with a later incarnation.
const CLOCK_START_MS: u64 = 60_000;

/// Time after which a smaller capacity counts against the starts on the worker: the contact time of
/// the scheduler and one heartbeat.
const SHRINK_GRACE: Duration = Duration::from_millis(4_500);

/// Injected faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Requests neither take effect nor get a response.
    pub silent: bool,
    /// Delay in milliseconds after which a start takes effect, without a response; 0 disables this.
    pub late_ms: u64,
    /// Every run fails.
    pub failing: bool,
}

/// A run in the worker's history.
#[derive(Clone, Debug)]
pub struct RecordedRun {
    /// Id of the worker.
    pub worker: String,
    /// Id of the task.
    pub task: String,
    /// Number of the attempt to run the task.
    pub attempt: u64,
    /// Time of the start.
    pub began: Instant,
    /// Time of the end, or `None` while the run is active.
    pub ended: Option<Instant>,
    /// Why the run ended, or `running` while it is active.
    pub cause: &'static str,
    /// How long the run takes, in milliseconds.
    pub run_ms: u64,
    /// Whether the end was acknowledged before the worker's lease expired. Only then is the end final:
    /// what a silent worker finished may run again once its lease has expired.
    pub acknowledged: bool,
}

#[derive(Debug)]
struct State {
    id: String,
    run_ms: u64,
    /// Highest fencing token accepted so far. Requests with a lower one are rejected.
    token: u64,
    /// Start of this incarnation, in milliseconds since the Unix epoch.
    born: u64,
    lease: Lease,
    /// Index in `history` of each active run, by task and attempt.
    running: BTreeMap<(String, u64), usize>,
    /// Highest attempt of each task that has ended or was stopped. It and lower ones cannot start.
    closed_attempts: BTreeMap<String, u64>,
    /// Ends that are not acknowledged, each as reported and with its index in `history`.
    unacked: Vec<(Value, usize)>,
    /// Indexes in `history` of the ends that were not acknowledged when the lease expired.
    expired_ends: HashSet<usize>,
    /// Sequence number of the last end.
    last_seq: u64,
    /// Every run so far, in the order of the starts.
    history: Vec<RecordedRun>,
    /// Tasks and attempts that were started.
    started: HashSet<(String, u64)>,
    faults: Faults,
    /// Capacity in millicores; `None` if starts are not checked against it.
    capacity: Option<u64>,
    /// Larger capacity before the last time that it shrank, and when that was. It counts for
    /// [`SHRINK_GRACE`] longer.
    former_capacity: Option<(u64, Instant)>,
    /// Need in millicores of a task, by the number of its step.
    step_needs: Vec<u64>,
    /// Starts that exceeded the capacity, each described for an assertion.
    excess_starts: Vec<String>,
    /// When the worker crashed.
    crashed_at: Option<Instant>,
    /// Task that serves the worker's interface.
    server: Option<AbortHandle>,
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.lease.clock_ms()
    }

    fn end_run(&mut self, task: &str, attempt: u64, cause: &'static str) {
        let Some(index) = self.running.remove(&(task.to_owned(), attempt)) else { return };
        let run = &mut self.history[index];
        (run.ended, run.cause) = (Some(Instant::now()), cause);
        self.last_seq += 1;
        self.unacked.push((json!([self.last_seq, task, attempt, cause, ""]), index));
        let closed = self.closed_attempts.entry(task.to_owned()).or_default();
        *closed = (*closed).max(attempt);
    }

    fn extend_lease(&mut self, until_ms: Option<u64>) {
        if let Some(until_ms) = until_ms {
            self.lease.extend(until_ms);
        }
    }

    /// Ends all runs without a trace and closes all connections.
    fn crash(&mut self) {
        if self.crashed_at.is_some() {
            return;
        }
        self.crashed_at = Some(Instant::now());
        self.forget_runs();
        if let Some(server) = self.server.take() {
            server.abort();
        }
    }

    /// Ends all runs without a trace.
    fn forget_runs(&mut self) {
        let now = Instant::now();
        for index in std::mem::take(&mut self.running).into_values() {
            let run = &mut self.history[index];
            (run.ended, run.cause) = (Some(now), "crashed");
        }
        self.unacked.clear();
    }

    /// Returns the need of a task in millicores, by the step in its name.
    fn need(&self, task: &str) -> u64 {
        let step = task.split('.').nth(2).and_then(|step| step.parse::<usize>().ok());
        step.and_then(|step| self.step_needs.get(step)).copied().unwrap_or(0)
    }

    /// Records a start that exceeds the capacity.
    fn check_capacity(&mut self, task: &str) {
        let Some(capacity) = self.capacity else { return };
        let former = self.former_capacity.filter(|(_, at)| at.elapsed() < SHRINK_GRACE);
        let limit = capacity.max(former.map_or(0, |(former, _)| former));
        let used: u64 = self.running.keys().map(|(task, _)| self.need(task)).sum();
        if used > limit {
            self.excess_starts.push(format!("{task} on {}: {used} of {limit} millicores", self.id));
        }
    }

    fn expire_lease(&mut self) {
        if Instant::now() < self.lease.end() {
            return;
        }
        self.expired_ends.extend(self.unacked.iter().map(|(_, index)| *index));
        for (task, attempt) in self.running.keys().cloned().collect::<Vec<_>>() {
            self.end_run(&task, attempt, "lapsed");
        }
    }
}

/// A running worker, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Worker {
    address: SocketAddr,
    state: Shared<State>,
    link: watch::Sender<Link>,
    /// Notified when a run ends.
    changed: Arc<Notify>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Worker {
    /// Starts a worker on a free port of 127.0.0.1. Its runs take `run_ms` milliseconds each, unless
    /// their payload says otherwise, and it reports `born` as the start of its incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(id: &str, run_ms: u64, born: u64) -> Result<Self> {
        let state = Arc::new(std::sync::Mutex::new(State {
            id: id.to_owned(),
            run_ms,
            token: 0,
            born,
            lease: Lease::new(CLOCK_START_MS),
            running: BTreeMap::new(),
            closed_attempts: BTreeMap::new(),
            unacked: Vec::new(),
            expired_ends: HashSet::new(),
            last_seq: 0,
            history: Vec::new(),
            started: HashSet::new(),
            faults: Faults::default(),
            capacity: None,
            former_capacity: None,
            step_needs: Vec::new(),
            excess_starts: Vec::new(),
            crashed_at: None,
            server: None,
        }));
        let changed = Arc::new(Notify::new());
        let (handler_state, notify) = (state.clone(), changed.clone());
        let handler = move |call| handle(handler_state.clone(), notify.clone(), call);
        let (link, link_changes) = watch::channel(Link::Open);
        let (address, task) = link::serve(link_changes, handler).await?;
        lock(&state).server = Some(task.abort_handle());
        let expiry = tokio::spawn(expire_lease(state.clone(), changed.clone()));
        Ok(Self { address, state, link, changed, tasks: vec![task, expiry] })
    }

    /// Changes what callers of the worker meet, while its runs go on.
    pub fn set_link(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Ends all runs and starts the worker again under its id. It then holds and knows nothing of
    /// before, and its clock and counts start anew.
    pub fn restart(&self, born: u64) {
        let mut state = lock(&self.state);
        state.forget_runs();
        state.closed_attempts.clear();
        state.expired_ends.clear();
        (state.token, state.last_seq, state.born) = (0, 0, born);
        state.lease = Lease::new(0);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Ends the worker and its runs.
    pub fn crash(&self) {
        lock(&self.state).crash();
    }

    /// Returns the address that the worker listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the worker's id.
    #[must_use]
    pub fn id(&self) -> String {
        lock(&self.state).id.clone()
    }

    /// Sets the capacity in millicores against which starts are checked, and the need of a task of
    /// each step. A smaller capacity than before counts after the time that the scheduler has to
    /// learn of it.
    pub fn set_capacity(&self, capacity: u64, step_needs: &[u64]) {
        let mut state = lock(&self.state);
        if let Some(former) = state.capacity.filter(|former| *former > capacity) {
            state.former_capacity = Some((former, Instant::now()));
        }
        state.capacity = Some(capacity);
        state.step_needs = step_needs.to_vec();
    }

    /// Returns a description of each start that exceeded the capacity.
    #[must_use]
    pub fn excess_starts(&self) -> Vec<String> {
        lock(&self.state).excess_starts.clone()
    }

    /// Returns when a task crashed the worker, or `None` if it still runs.
    #[must_use]
    pub fn crashed_at(&self) -> Option<Instant> {
        lock(&self.state).crashed_at
    }

    /// Returns the entry that the worker writes to the store, as JSON. The capacity is that of
    /// [`Worker::set_capacity`] if it was called, and `cores` otherwise.
    #[must_use]
    pub fn entry(&self, service: &str, cores: u32) -> String {
        let state = lock(&self.state);
        let millicores = state.capacity.unwrap_or(u64::from(cores) * 1_000);
        json!({
            "backend": service,
            "address": self.address.to_string(),
            "zone": "split",
            "revision": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": { "cpu": millicores, "mem-mb": 32_768, "gpus": 0 },
            "labels": ["a", "r1-1"],
            "clock-ms": state.clock_ms(),
            "born": state.born,
            "seq-no": 1,
        })
        .to_string()
    }

    /// Replaces the injected faults.
    pub fn fail(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Returns every run so far, in the order of the starts.
    #[must_use]
    pub fn recorded_runs(&self) -> Vec<RecordedRun> {
        lock(&self.state).history.clone()
    }
}

/// Ends all runs when the lease expires.
async fn expire_lease(state: Shared<State>, changed: Arc<Notify>) {
    loop {
        let lease_end = lock(&state).lease.end();
        sleep_until(lease_end.max(Instant::now() + Duration::from_millis(20))).await;
        lock(&state).expire_lease();
        changed.notify_waiters();
    }
}

async fn handle(state: Shared<State>, changed: Arc<Notify>, call: ApiCall) -> Reply {
    let body: Value = serde_json::from_slice(&call.body).ok()?;
    let token = body.get("fencing-token").and_then(Value::as_u64).unwrap_or(0);
    let delay_ms = {
        let state = lock(&state);
        if state.faults.silent {
            return None;
        }
        if call.instance.as_ref().is_some_and(|id| *id != state.id) {
            return json_reply(421, &json!({ "clock-ms": state.clock_ms() }));
        }
        state.faults.late_ms
    };
    if call.path == "/api/run-start" && delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
        handle_start(&state, &changed, token, &body);
        return None;
    }
    {
        let mut state = lock(&state);
        if token < state.token {
            return json_reply(409, &json!({ "clock-ms": state.clock_ms(), "reason": "fence" }));
        }
        state.token = token;
    }
    match call.path.as_str() {
        "/api/run-start" => handle_start(&state, &changed, token, &body),
        "/api/run-stop" => handle_stop(&state, &changed, &body),
        "/api/hold" => handle_hold(&state, &changed, &body).await,
        _ => json_reply(404, &json!({})),
    }
}

fn parse_run(body: &Value) -> Option<(String, u64)> {
    Some((body.get("task")?.as_str()?.to_owned(), body.get("attempt")?.as_u64()?))
}

fn handle_start(shared: &Shared<State>, changed: &Arc<Notify>, token: u64, body: &Value) -> Reply {
    let (task, attempt) = parse_run(body)?;
    let mut state = lock(shared);
    let clock_ms = state.clock_ms();
    let reject = |reason: &str| json_reply(409, &json!({ "clock-ms": clock_ms, "reason": reason }));
    if token < state.token {
        return reject("fence");
    }
    state.token = token;
    let until_ms = body.get("until-ms").and_then(Value::as_u64);
    // A start that is refused as superseded extends the lease as well.
    state.extend_lease(until_ms);
    if state.running.contains_key(&(task.clone(), attempt)) {
        return json_reply(200, &json!({ "clock-ms": clock_ms }));
    }
    if state.closed_attempts.get(&task).is_some_and(|closed| attempt <= *closed) {
        return reject("old");
    }
    if until_ms.is_none_or(|until_ms| until_ms <= clock_ms) {
        return reject("late");
    }
    let payload = body.get("task-spec").and_then(Value::as_str).unwrap_or_default();
    let run_ms = payload.strip_prefix(RUN_PREFIX).and_then(|ms| ms.parse().ok());
    let run_ms = run_ms.unwrap_or(state.run_ms);
    let run = RecordedRun {
        worker: state.id.clone(),
        task: task.clone(),
        attempt,
        began: Instant::now(),
        ended: None,
        cause: "running",
        run_ms,
        acknowledged: false,
    };
    state.history.push(run);
    let index = state.history.len() - 1;
    state.started.insert((task.clone(), attempt));
    state.running.insert((task.clone(), attempt), index);
    state.check_capacity(&task);
    if let Some(delay_ms) = payload.strip_prefix(CRASH_PREFIX).and_then(|ms| ms.parse().ok()) {
        let shared = shared.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(delay_ms)).await;
            lock(&shared).crash();
        });
    }
    let cause = if state.faults.failing { "failed" } else { "done" };
    let (shared, changed) = (shared.clone(), changed.clone());
    tokio::spawn(async move {
        sleep(Duration::from_millis(run_ms)).await;
        let mut state = lock(&shared);
        // A later incarnation may have a run of the same attempt.
        if state.running.get(&(task.clone(), attempt)) == Some(&index) {
            state.end_run(&task, attempt, cause);
        }
        drop(state);
        changed.notify_waiters();
    });
    json_reply(200, &json!({ "clock-ms": clock_ms }))
}

fn handle_stop(shared: &Shared<State>, changed: &Notify, body: &Value) -> Reply {
    let (task, attempt) = parse_run(body)?;
    let mut state = lock(shared);
    state.end_run(&task, attempt, "stopped");
    let closed = state.closed_attempts.entry(task).or_default();
    *closed = (*closed).max(attempt);
    changed.notify_waiters();
    json_reply(200, &json!({ "clock-ms": state.clock_ms() }))
}

async fn handle_hold(shared: &Shared<State>, changed: &Notify, body: &Value) -> Reply {
    let wait_ms = body.get("wait-ms").and_then(Value::as_u64).unwrap_or(0);
    let acked_through = body.get("acked-through").and_then(Value::as_u64).unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    {
        let mut state = lock(shared);
        state.extend_lease(body.get("until-ms").and_then(Value::as_u64));
        let (pending, acked): (Vec<_>, Vec<_>) = std::mem::take(&mut state.unacked)
            .into_iter()
            .partition(|(end, _)| end[0].as_u64().is_some_and(|seq| seq > acked_through));
        state.unacked = pending;
        for (_, index) in acked {
            let expired = state.expired_ends.contains(&index);
            state.history[index].acknowledged = !expired;
        }
    }
    loop {
        let notified = changed.notified();
        {
            let state = lock(shared);
            if !state.unacked.is_empty() || Instant::now() >= deadline {
                let running: Vec<Value> = state
                    .running
                    .iter()
                    .map(|((task, attempt), index)| {
                        let run = &state.history[*index];
                        let ran_ms = run.began.elapsed().as_millis() as u64;
                        json!([task, attempt, "", (ran_ms * 100 / run.run_ms.max(1)).min(99), 0])
                    })
                    .collect();
                let ended: Vec<&Value> = state.unacked.iter().map(|(end, _)| end).collect();
                return json_reply(
                    200,
                    &json!({
                        "clock-ms": state.clock_ms(),
                        "born": state.born,
                        "running": running,
                        "ended": ended,
                    }),
                );
            }
        }
        tokio::select! {
            () = notified => {}
            () = sleep_until(deadline) => {}
        }
    }
}
