//! A stand-in for the machine API: lists machines and carries out fenced upkeep requests.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use {
    anyhow::Result,
    serde_json::{Value, json},
    tokio::{task::JoinHandle, time::Instant},
};

use super::{ApiCall, Reply, Shared, json_reply, lock, serve};

/// Injected faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Every n-th upkeep request takes effect without a response; 0 disables this.
    pub lost_every: u64,
    /// Every request is rejected with 503.
    pub down: bool,
    /// No request gets a response.
    pub silent: bool,
    /// Listings are as old as this, in milliseconds.
    pub lag_ms: u64,
    /// Listings contain no machine.
    pub empty: bool,
    /// What is wrong with the rows of the machines that [`Machines::distort`] names.
    pub row: Option<RowFault>,
}

/// A fault of the row of a machine that is up and has a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowFault {
    /// The row is not in the listing.
    Missing,
    /// The row has a state that the protocol does not name.
    UnknownState,
    /// The id of the worker is null.
    NullId,
    /// The id of the worker is not a string.
    NumberId,
    /// The id of the worker is empty, as before its next entry.
    EmptyId,
    /// The row names the former worker of the machine.
    FormerId,
    /// A second row names another worker of the same machine.
    Doubled,
}

#[derive(Debug, Default)]
struct Machine {
    worker: Option<String>,
    /// Whether the machine is down for upkeep.
    down: bool,
    /// Whether the machine is down without an order.
    broken: bool,
    /// Waves in which upkeep of the machine was started.
    waves: Vec<u64>,
    /// Highest fencing token accepted so far. Requests with a lower one are rejected.
    token: u64,
}

#[derive(Debug, Default)]
struct State {
    machines: BTreeMap<String, Machine>,
    /// Rows of the machines since each change.
    listings: Vec<(Instant, Vec<Value>)>,
    /// Machines whose rows have the injected fault.
    distorted: BTreeSet<String>,
    faults: Faults,
    /// Upkeep requests received so far.
    requests: u64,
    /// Largest number of machines that were down at the same time.
    peak_down: usize,
}

/// A running machine API, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Machines {
    address: SocketAddr,
    state: Shared<State>,
    task: JoinHandle<()>,
}

impl Drop for Machines {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Machines {
    /// Starts the API without machines, on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start() -> Result<Self> {
        let state = Shared::<State>::default();
        let handler_state = state.clone();
        let (address, task) = serve(move |call| {
            let state = handler_state.clone();
            async move { handle(&state, &call) }
        })
        .await?;
        Ok(Self { address, state, task })
    }

    /// Returns the address that the API listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn fail(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Names the machine whose row has the fault [`Faults::row`], besides those named before.
    pub fn distort(&self, machine: &str) {
        lock(&self.state).distorted.insert(machine.to_owned());
    }

    /// Assigns a worker to a machine and marks the machine as up. An unknown machine is added.
    pub fn host_worker(&self, machine: &str, worker: &str) {
        let mut state = lock(&self.state);
        let machine = state.machines.entry(machine.to_owned()).or_default();
        machine.worker = Some(worker.to_owned());
        (machine.down, machine.broken) = (false, false);
        state.record_listing();
    }

    /// Marks a machine as down, without a worker. An unknown machine is added.
    pub fn break_down(&self, machine: &str) {
        let mut state = lock(&self.state);
        let machine = state.machines.entry(machine.to_owned()).or_default();
        (machine.worker, machine.broken) = (None, true);
        state.record_listing();
    }

    /// Removes the worker of a machine and shows the machine as down, as after a crash.
    pub fn vacate(&self, machine: &str) {
        let mut state = lock(&self.state);
        if let Some(machine) = state.machines.get_mut(machine) {
            (machine.worker, machine.broken) = (None, true);
        }
        state.record_listing();
    }

    /// Returns the machines that are down for upkeep, each with the worker assigned to it.
    #[must_use]
    pub fn down(&self) -> Vec<(String, String)> {
        let state = lock(&self.state);
        let down = state.machines.iter().filter(|(_, machine)| machine.down);
        down.filter_map(|(id, machine)| Some((id.clone(), machine.worker.clone()?))).collect()
    }

    /// Returns the number of machines with upkeep in a wave, and the largest number of machines that
    /// were down at the same time.
    #[must_use]
    pub fn maintenance_counts(&self, wave: u64) -> (usize, usize) {
        let state = lock(&self.state);
        let maintained = state.machines.values().filter(|machine| machine.waves.contains(&wave));
        (maintained.count(), state.peak_down)
    }
}

fn handle(state: &Shared<State>, call: &ApiCall) -> Reply {
    let mut state = lock(state);
    if state.faults.silent {
        return None;
    }
    if state.faults.down {
        return json_reply(503, &json!({}));
    }
    match call.path.as_str() {
        "/api/machines" => list_machines(&state),
        "/api/machine-upkeep" => start_upkeep(&mut state, call),
        _ => json_reply(404, &json!({})),
    }
}

impl State {
    fn record_listing(&mut self) {
        let rows = self.machines.iter().map(|(id, machine)| {
            let state = match (machine.down, machine.broken) {
                (true, _) => "upkeep",
                (_, true) => "down",
                _ => "up",
            };
            json!({
                "machine-id": id,
                "pool": "vans",
                "state": state,
                "zone": "split",
                "id": machine.worker.as_ref().filter(|_| !machine.down),
            })
        });
        self.listings.push((Instant::now(), rows.collect()));
    }

    /// Returns the rows for a machine, which differ from `row` if the machine is distorted.
    fn distort(&self, mut row: Value) -> Vec<Value> {
        let is_distorted = row["machine-id"].as_str().is_some_and(|id| self.distorted.contains(id));
        match self.faults.row.filter(|_| is_distorted) {
            None => {}
            Some(RowFault::Missing) => return Vec::new(),
            Some(RowFault::UnknownState) => row["state"] = json!("asleep"),
            Some(RowFault::NullId) => row["id"] = json!(null),
            Some(RowFault::NumberId) => row["id"] = json!(7),
            Some(RowFault::EmptyId) => row["id"] = json!(""),
            Some(RowFault::FormerId) => row["id"] = json!("i-former"),
            Some(RowFault::Doubled) => {
                let mut other = row.clone();
                other["id"] = json!("i-other");
                return vec![row, other];
            }
        }
        vec![row]
    }
}

fn list_machines(state: &State) -> Reply {
    let shown_at = Instant::now().checked_sub(Duration::from_millis(state.faults.lag_ms));
    let shown = state.listings.iter().rfind(|(at, _)| shown_at.is_some_and(|shown| *at <= shown));
    let rows = shown.map(|(_, rows)| rows.clone()).unwrap_or_default();
    let rows = rows.into_iter().filter(|_| !state.faults.empty);
    let machines: Vec<Value> = rows.flat_map(|row| state.distort(row)).collect();
    json_reply(200, &json!({ "machines": machines, "next-token": null }))
}

fn start_upkeep(state: &mut State, call: &ApiCall) -> Reply {
    let body: Value = serde_json::from_slice(&call.body).ok()?;
    let (id, wave) = (body.get("machine-id")?.as_str()?, body.get("wave")?.as_u64()?);
    state.requests += 1;
    let drop_reply =
        state.faults.lost_every > 0 && state.requests.is_multiple_of(state.faults.lost_every);
    let Some(machine) = state.machines.get_mut(id) else { return json_reply(400, &json!({})) };
    let token = call.token.unwrap_or(0);
    if token < machine.token {
        return json_reply(409, &json!({ "reason": "fence" }));
    }
    machine.token = token;
    if machine.waves.contains(&wave) {
        return json_reply(200, &json!({}));
    }
    if machine.down {
        return json_reply(409, &json!({ "reason": "busy" }));
    }
    machine.down = true;
    machine.waves.push(wave);
    let down = state.machines.values().filter(|machine| machine.down).count();
    state.peak_down = state.peak_down.max(down);
    state.record_listing();
    if drop_reply {
        return None;
    }
    json_reply(200, &json!({}))
}
