//! A worker: runs under one lease, fenced orders, and a list that waits for an end.

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
        sync::Notify,
        task::JoinHandle,
        time::{Instant, sleep, sleep_until},
    },
};

use super::{Call, Reply, Shared, json, lock, serve};

/// What a worker does wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// No call is answered or carried out.
    pub silent: bool,
    /// Starts are carried out this much later and not answered, in milliseconds; 0 for never.
    pub late_ms: u64,
    /// Every run fails.
    pub failing: bool,
}

/// One run, as the worker noted it.
#[derive(Clone, Debug)]
pub struct Noted {
    /// Task.
    pub task: String,
    /// Number of the start.
    pub attempt: u64,
    /// Start.
    pub began: Instant,
    /// End, once it has come.
    pub ended: Option<Instant>,
    /// How the run ended.
    pub cause: &'static str,
    /// Whether the end was acknowledged before the worker's lease ran out. Only then does it count for good: what a
    /// silent worker finished may run again once its lease has lapsed.
    pub acknowledged: bool,
}

#[derive(Debug)]
struct State {
    id: String,
    run_ms: u64,
    token: u64,
    born: u64,
    lease_end: Instant,
    epoch: Instant,
    running: BTreeMap<(String, u64), usize>,
    barred: BTreeMap<String, u64>,
    ended: Vec<(Value, usize)>,
    /// Ends that were not acknowledged when the lease ran out.
    lapsed: HashSet<usize>,
    last: u64,
    noted: Vec<Noted>,
    seen: HashSet<(String, u64)>,
    faults: Faults,
}

impl State {
    fn clock(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, attempt: u64, cause: &'static str) {
        let Some(index) = self.running.remove(&(task.to_owned(), attempt)) else { return };
        let noted = &mut self.noted[index];
        (noted.ended, noted.cause) = (Some(Instant::now()), cause);
        self.last += 1;
        self.ended.push((json!([self.last, task, attempt, cause, ""]), index));
        let barred = self.barred.entry(task.to_owned()).or_default();
        *barred = (*barred).max(attempt);
    }

    fn extend(&mut self, until_ms: Option<u64>) {
        if let Some(until) = until_ms {
            self.lease_end = self.lease_end.max(self.epoch + Duration::from_millis(until));
        }
    }

    fn expire(&mut self) {
        if Instant::now() < self.lease_end {
            return;
        }
        self.lapsed.extend(self.ended.iter().map(|(_, index)| *index));
        for (task, attempt) in self.running.keys().cloned().collect::<Vec<_>>() {
            self.end(&task, attempt, "lapsed");
        }
    }
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    address: SocketAddr,
    state: Shared<State>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Worker {
    /// Starts a worker whose runs take `run_ms`.
    ///
    /// # Errors
    ///
    /// Fails if no address is free.
    pub async fn start(id: &str, run_ms: u64, born: u64) -> Result<Self> {
        let now = Instant::now();
        let state = Arc::new(std::sync::Mutex::new(State {
            id: id.to_owned(),
            run_ms,
            token: 0,
            born,
            lease_end: now,
            epoch: now,
            running: BTreeMap::new(),
            barred: BTreeMap::new(),
            ended: Vec::new(),
            lapsed: HashSet::new(),
            last: 0,
            noted: Vec::new(),
            seen: HashSet::new(),
            faults: Faults::default(),
        }));
        let changed = Arc::new(Notify::new());
        let (for_calls, notify) = (state.clone(), changed.clone());
        let (address, task) =
            serve(move |call| answer(for_calls.clone(), notify.clone(), call)).await?;
        let expiry = tokio::spawn(expire(state.clone(), changed));
        Ok(Self { address, state, tasks: vec![task, expiry] })
    }

    /// Returns the worker's name.
    #[must_use]
    pub fn id(&self) -> String {
        lock(&self.state).id.clone()
    }

    /// Returns the worker's entry, as it writes it to the store.
    #[must_use]
    pub fn entry(&self, service: &str, cores: u32) -> String {
        let state = lock(&self.state);
        json!({
            "backend": service,
            "address": self.address.to_string(),
            "zone": "split",
            "revision": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": { "cpu": cores * 1_000, "mem-mb": 32_768, "gpus": 0 },
            "labels": ["a", "r1-1"],
            "clock-ms": state.clock(),
            "born": state.born,
            "seq-no": 1,
        })
        .to_string()
    }

    /// Sets what the worker does wrong from now on.
    pub fn fail(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Returns every run so far.
    #[must_use]
    pub fn noted(&self) -> Vec<Noted> {
        lock(&self.state).noted.clone()
    }
}

/// Ends runs whose lease has run out.
async fn expire(state: Shared<State>, changed: Arc<Notify>) {
    loop {
        let end = lock(&state).lease_end;
        sleep_until(end.max(Instant::now() + Duration::from_millis(20))).await;
        lock(&state).expire();
        changed.notify_waiters();
    }
}

async fn answer(state: Shared<State>, changed: Arc<Notify>, call: Call) -> Reply {
    let body: Value = serde_json::from_slice(&call.body).ok()?;
    let token = body.get("fencing-token").and_then(Value::as_u64).unwrap_or(0);
    let late = {
        let state = lock(&state);
        if state.faults.silent {
            return None;
        }
        if call.instance.as_ref().is_some_and(|id| *id != state.id) {
            return json(421, &json!({ "clock-ms": state.clock() }));
        }
        state.faults.late_ms
    };
    if call.path == "/api/run-start" && late > 0 {
        sleep(Duration::from_millis(late)).await;
        start(&state, &changed, token, &body);
        return None;
    }
    {
        let mut state = lock(&state);
        if token < state.token {
            return json(409, &json!({ "clock-ms": state.clock(), "reason": "fence" }));
        }
        state.token = token;
    }
    match call.path.as_str() {
        "/api/run-start" => start(&state, &changed, token, &body),
        "/api/run-stop" => stop(&state, &changed, &body),
        "/api/hold" => hold(&state, &changed, &body).await,
        _ => json(404, &json!({})),
    }
}

fn run_of(body: &Value) -> Option<(String, u64)> {
    Some((body.get("task")?.as_str()?.to_owned(), body.get("attempt")?.as_u64()?))
}

fn start(shared: &Shared<State>, changed: &Arc<Notify>, token: u64, body: &Value) -> Reply {
    let (task, attempt) = run_of(body)?;
    let mut state = lock(shared);
    let clock = state.clock();
    let refused = |reason: &str| json(409, &json!({ "clock-ms": clock, "reason": reason }));
    if token < state.token {
        return refused("fence");
    }
    state.token = token;
    if state.running.contains_key(&(task.clone(), attempt)) {
        return json(200, &json!({ "clock-ms": clock }));
    }
    if state.barred.get(&task).is_some_and(|barred| attempt <= *barred) {
        return refused("old");
    }
    let until = body.get("until-ms").and_then(Value::as_u64);
    if until.is_none_or(|until| until <= clock) {
        return refused("late");
    }
    state.extend(until);
    let noted = Noted {
        task: task.clone(),
        attempt,
        began: Instant::now(),
        ended: None,
        cause: "running",
        acknowledged: false,
    };
    state.noted.push(noted);
    let index = state.noted.len() - 1;
    state.seen.insert((task.clone(), attempt));
    state.running.insert((task.clone(), attempt), index);
    let (run_ms, cause) = (state.run_ms, if state.faults.failing { "failed" } else { "done" });
    let (shared, changed) = (shared.clone(), changed.clone());
    tokio::spawn(async move {
        sleep(Duration::from_millis(run_ms)).await;
        lock(&shared).end(&task, attempt, cause);
        changed.notify_waiters();
    });
    json(200, &json!({ "clock-ms": clock }))
}

fn stop(shared: &Shared<State>, changed: &Notify, body: &Value) -> Reply {
    let (task, attempt) = run_of(body)?;
    let mut state = lock(shared);
    state.end(&task, attempt, "stopped");
    let barred = state.barred.entry(task).or_default();
    *barred = (*barred).max(attempt);
    changed.notify_waiters();
    json(200, &json!({ "clock-ms": state.clock() }))
}

async fn hold(shared: &Shared<State>, changed: &Notify, body: &Value) -> Reply {
    let wait = body.get("wait-ms").and_then(Value::as_u64).unwrap_or(0);
    let acknowledged = body.get("acked-through").and_then(Value::as_u64).unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait);
    {
        let mut state = lock(shared);
        state.extend(body.get("until-ms").and_then(Value::as_u64));
        let (kept, forgotten): (Vec<_>, Vec<_>) = std::mem::take(&mut state.ended)
            .into_iter()
            .partition(|(end, _)| end[0].as_u64().is_some_and(|number| number > acknowledged));
        state.ended = kept;
        for (_, index) in forgotten {
            let lapsed = state.lapsed.contains(&index);
            state.noted[index].acknowledged = !lapsed;
        }
    }
    loop {
        let notified = changed.notified();
        {
            let state = lock(shared);
            if !state.ended.is_empty() || Instant::now() >= until {
                let running: Vec<Value> = state
                    .running
                    .iter()
                    .map(|((task, attempt), index)| {
                        let ran = state.noted[*index].began.elapsed().as_millis() as u64;
                        json!([task, attempt, "", (ran * 100 / state.run_ms.max(1)).min(99), 0])
                    })
                    .collect();
                let ended: Vec<&Value> = state.ended.iter().map(|(end, _)| end).collect();
                return json(
                    200,
                    &json!({
                        "clock-ms": state.clock(),
                        "born": state.born,
                        "running": running,
                        "ended": ended,
                    }),
                );
            }
        }
        tokio::select! {
            () = notified => {}
            () = sleep_until(until) => {}
        }
    }
}
