//! The interface to machines: a listing, and upkeep under fenced orders.

use std::{collections::BTreeMap, net::SocketAddr};

use {
    anyhow::Result,
    serde_json::{Value, json},
    tokio::task::JoinHandle,
};

use super::{Call, Reply, Shared, json, lock, serve};

/// What the interface does wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Each n-th order is carried out and not answered; 0 for none.
    pub lost_every: u64,
    /// Every call is refused.
    pub down: bool,
}

#[derive(Debug, Default)]
struct Machine {
    worker: Option<String>,
    down: bool,
    /// Waves for which the machine had its upkeep.
    waves: Vec<u64>,
    token: u64,
}

#[derive(Debug, Default)]
struct State {
    machines: BTreeMap<String, Machine>,
    faults: Faults,
    orders: u64,
    /// Most machines that were down at once.
    most_down: usize,
}

/// The interface to machines.
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
    /// Starts the interface with no machines.
    ///
    /// # Errors
    ///
    /// Fails if no address is free.
    pub async fn start() -> Result<Self> {
        let state = Shared::<State>::default();
        let for_calls = state.clone();
        let (address, task) = serve(move |call| {
            let state = for_calls.clone();
            async move { answer(&state, &call) }
        })
        .await?;
        Ok(Self { address, state, task })
    }

    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what the interface does wrong from now on.
    pub fn fail(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Puts a worker on a machine, which is up then.
    pub fn carry(&self, machine: &str, worker: &str) {
        let mut state = lock(&self.state);
        let known = state.machines.entry(machine.to_owned()).or_default();
        known.worker = Some(worker.to_owned());
        known.down = false;
    }

    /// Returns the machines that are down for their upkeep, with the workers that they carried.
    #[must_use]
    pub fn down(&self) -> Vec<(String, String)> {
        let state = lock(&self.state);
        let down = state.machines.iter().filter(|(_, machine)| machine.down);
        down.filter_map(|(id, machine)| Some((id.clone(), machine.worker.clone()?))).collect()
    }

    /// Returns the number of machines that had their upkeep for a wave, and the most that were down at once.
    #[must_use]
    pub fn upkept(&self, wave: u64) -> (usize, usize) {
        let state = lock(&self.state);
        let had = state.machines.values().filter(|machine| machine.waves.contains(&wave));
        (had.count(), state.most_down)
    }
}

fn answer(state: &Shared<State>, call: &Call) -> Reply {
    let mut state = lock(state);
    if state.faults.down {
        return json(503, &json!({}));
    }
    match call.path.as_str() {
        "/api/machines" => list(&state),
        "/api/machine-upkeep" => upkeep(&mut state, call),
        _ => json(404, &json!({})),
    }
}

fn list(state: &State) -> Reply {
    let machines: Vec<Value> = state
        .machines
        .iter()
        .map(|(id, machine)| {
            json!({
                "machine-id": id,
                "pool": "vans",
                "state": if machine.down { "upkeep" } else { "up" },
                "zone": "split",
                "id": machine.worker.as_ref().filter(|_| !machine.down),
            })
        })
        .collect();
    json(200, &json!({ "machines": machines, "next-token": null }))
}

fn upkeep(state: &mut State, call: &Call) -> Reply {
    let body: Value = serde_json::from_slice(&call.body).ok()?;
    let (id, wave) = (body.get("machine-id")?.as_str()?, body.get("wave")?.as_u64()?);
    state.orders += 1;
    let lost = state.faults.lost_every > 0 && state.orders.is_multiple_of(state.faults.lost_every);
    let Some(machine) = state.machines.get_mut(id) else { return json(400, &json!({})) };
    let token = call.token.unwrap_or(0);
    if token < machine.token {
        return json(409, &json!({ "reason": "fence" }));
    }
    machine.token = token;
    if machine.waves.contains(&wave) {
        return json(200, &json!({}));
    }
    if machine.down {
        return json(409, &json!({ "reason": "busy" }));
    }
    machine.down = true;
    machine.waves.push(wave);
    let down = state.machines.values().filter(|machine| machine.down).count();
    state.most_down = state.most_down.max(down);
    if lost {
        return None;
    }
    json(200, &json!({}))
}
