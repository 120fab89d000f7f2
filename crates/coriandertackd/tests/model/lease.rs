//! Model of ownership, validity, hold-off and leases when a former owner is paused, partitioned or dead, and its
//! successor takes over.
//!
//! VM `a` owns worker 1 and is fenced at any time. VM `b` reads the fence at any later time and becomes the owner of
//! worker 1. It owns worker 2 throughout and is the home of task 1. Start commands can be delayed for any time or be
//! lost. Each worker has room for one task. The table of owners and the end of the hold-off come from `State::apply`,
//! and the permission to act comes from `Validity`.

use std::cell::RefCell;

use {
    coriandertack_core::{
        keys::{Incarnation, Offset, Session},
        record::{Batch, Entry, Presence, Record, VmInfo, WorkerInfo},
        resources::Resources,
        state::State,
        validity::Validity,
    },
    tokio::time::Instant,
};

use crate::{Changes, at, explore, successors};

/// Last tick of the search, which leaves time for a fence, the hold-off and a lease after it.
const LAST_TICK: u8 = 9;

/// Length of a renewed lease in ticks. It is shorter than the product's, so that leases end within the search.
const LEASE_TICKS: u8 = 3;

/// Most start commands in transit at a time, which bounds the search.
const MAX_IN_TRANSIT: usize = 2;

/// A start command in transit. `until` is the tick at which its first lease ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Start {
    task: u8,
    worker: usize,
    until: u8,
}

/// A task that a worker runs until its lease ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Run {
    task: u8,
    until: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Model {
    now: u8,
    /// Tick at which the fence of `a` became durable.
    fenced: Option<u8>,
    /// Tick at which the pending log read of `a` started.
    reading: Option<u8>,
    /// Tick at which the last read of `a` started that showed no fence.
    read: u8,
    /// Whether `a` runs and has not read the fence.
    a_acts: bool,
    /// Whether `a` has sent its start command.
    a_sent: bool,
    /// Tick at which `b` read the fence.
    b_read: Option<u8>,
    /// Whether `b` has read the list of worker 1.
    b_listed: bool,
    /// Whether `b` has sent the start of task 2 to worker 1.
    b_filled: bool,
    /// Whether `b` has sent the start of task 1 to worker 2, having found it nowhere else.
    b_moved: bool,
    in_transit: Vec<Start>,
    runs: [Vec<Run>; 2],
}

/// Safeguards, which a search can disable one by one.
#[derive(Clone, Copy)]
struct Guards {
    hold_off: bool,
    first_lease: bool,
    listing: bool,
}

const ALL: Guards = Guards { hold_off: true, first_lease: true, listing: true };

/// The product's state and validity, computed for each tick that matters.
struct Product {
    base: Instant,
    /// State of `b` by the tick at which it reads the fence, computed when first needed.
    states: RefCell<Vec<Option<State>>>,
}

impl Product {
    fn new() -> Self {
        let states = RefCell::new(vec![None; usize::from(LAST_TICK) + 1]);
        Self { base: Instant::now(), states }
    }

    fn batch(&self, author: u64, seq: u64, record: Record) -> Batch {
        let entry = Entry { actor: "system".into(), at_ms: 0, record };
        Batch { author: Incarnation(author), seq, entries: vec![entry] }
    }

    fn join(&self, author: u64, name: &str) -> Batch {
        let link = "127.0.0.1:1".parse().unwrap();
        let join = VmInfo { name: name.into(), zone: "split".into(), link, http: link };
        self.batch(author, 1, Record::Join(join))
    }

    /// Returns the state of `b` after it has read the fence at the tick `read`.
    fn state(&self, read: u8) -> State {
        let workers = (1..=2).map(|number| WorkerInfo {
            name: format!("w{number}"),
            address: "127.0.0.1:2".parse().unwrap(),
            zone: "split".into(),
            rack: "r1".into(),
            presence: Presence::Live,
            capacity: Resources::new(1_000, 1_000, 0),
        });
        let mut state = State::default();
        // Both workers are registered while `a` is the only member, so `a` owns both. One moves when `b` joins.
        state.apply(Offset(1), &self.join(1, "a"), self.base);
        let workers = Record::Workers(workers.collect());
        state.apply(Offset(2), &self.batch(1, 2, workers), self.base);
        state.apply(Offset(3), &self.join(2, "b"), self.base);
        let fence = self.batch(2, 2, Record::Fence(Session(1)));
        state.apply(Offset(4), &fence, at(self.base, read));
        state
    }

    /// Returns whether `b` may act on the worker that `a` owned before.
    fn b_may_act(&self, read: u8, now: u8) -> bool {
        let mut states = self.states.borrow_mut();
        let state = states[usize::from(read)].get_or_insert_with(|| self.state(read));
        let b = state.vm_of(Incarnation(2)).expect("b is a member");
        let moved = state.workers.iter().filter(|(_, worker)| worker.owner.epoch.0 == 4);
        let (worker, _) = moved.into_iter().next().expect("the fence moves a worker");
        state.can_act(b, worker, at(self.base, now))
    }

    /// Returns whether `a` may act at `now` after a read that started at `read`.
    fn a_is_valid(&self, read: u8, now: u8) -> bool {
        let mut validity = Validity::expired(self.base);
        validity.extend(at(self.base, read));
        validity.is_valid(at(self.base, now))
    }

    /// Returns the first tick at which the validity from a read at `read` has expired.
    fn valid_until(&self, read: u8) -> u8 {
        (read..).find(|&tick| !self.a_is_valid(read, tick)).expect("validity expires")
    }
}

fn start() -> Model {
    Model {
        now: 0,
        fenced: None,
        reading: None,
        read: 0,
        a_acts: true,
        a_sent: false,
        b_read: None,
        b_listed: false,
        b_filled: false,
        b_moved: false,
        in_transit: Vec::new(),
        runs: [Vec::new(), Vec::new()],
    }
}

fn steps(model: &Model, product: &Product, guards: Guards) -> Vec<Model> {
    let now = model.now;
    let mut changes: Changes<'_, Model> = Vec::new();
    if now < LAST_TICK {
        changes.push(Box::new(tick));
    }
    if model.fenced.is_none() {
        changes.push(Box::new(move |model| model.fenced = Some(now)));
    }
    a_steps(model, product, guards, &mut changes);
    b_steps(model, product, guards, &mut changes);
    for index in 0..model.in_transit.len() {
        changes.push(Box::new(move |model| deliver(model, index)));
        changes.push(Box::new(move |model| {
            model.in_transit.remove(index);
        }));
    }
    successors(model, changes)
}

fn tick(model: &mut Model) {
    model.now += 1;
    let now = model.now;
    for runs in &mut model.runs {
        runs.retain(|run| run.until > now);
    }
}

/// Delivers a start command. It has an effect only if its first lease has not expired and the task does not run yet.
fn deliver(model: &mut Model, index: usize) {
    let start = model.in_transit.remove(index);
    let runs = &mut model.runs[start.worker];
    if start.until > model.now && !runs.iter().any(|run| run.task == start.task) {
        runs.push(Run { task: start.task, until: start.until });
        runs.sort_unstable();
    }
}

fn a_steps<'a>(
    model: &Model,
    product: &'a Product,
    guards: Guards,
    changes: &mut Changes<'a, Model>,
) {
    if !model.a_acts {
        return;
    }
    let now = model.now;
    // A crash, or a pause that never ends.
    changes.push(Box::new(|model| model.a_acts = false));
    match model.reading {
        None => changes.push(Box::new(move |model| model.reading = Some(now))),
        Some(started) => {
            let must_show = model.fenced.is_some_and(|fenced| fenced <= started);
            if !must_show {
                changes.push(Box::new(move |model| {
                    model.reading = None;
                    model.read = model.read.max(started);
                }));
            }
            if model.fenced.is_some() {
                changes.push(Box::new(|model| model.a_acts = false));
            }
        }
    }
    let valid = product.a_is_valid(model.read, now);
    if valid && !model.a_sent && model.in_transit.len() < MAX_IN_TRANSIT {
        let until = if guards.first_lease {
            product.valid_until(model.read)
        } else {
            now + LEASE_TICKS + 2
        };
        changes.push(Box::new(move |model| {
            model.a_sent = true;
            model.in_transit.push(Start { task: 1, worker: 0, until });
            model.in_transit.sort_unstable();
        }));
    }
    // Renewals do not depend on validity, so that running tasks survive an outage of the log.
    changes.push(Box::new(move |model| renew(&mut model.runs[0], now)));
}

fn renew(runs: &mut [Run], now: u8) {
    for run in runs {
        run.until = run.until.max(now + LEASE_TICKS);
    }
}

fn b_steps<'a>(
    model: &Model,
    product: &'a Product,
    guards: Guards,
    changes: &mut Changes<'a, Model>,
) {
    let now = model.now;
    let Some(read) = model.b_read else {
        if model.fenced.is_some() {
            changes.push(Box::new(move |model| model.b_read = Some(now)));
        }
        return;
    };
    if guards.hold_off && !product.b_may_act(read, now) {
        return;
    }
    if !model.b_listed {
        changes.push(Box::new(|model| model.b_listed = true));
    }
    if guards.listing && !model.b_listed {
        return;
    }
    changes.push(Box::new(move |model| renew(&mut model.runs[0], now)));
    if model.in_transit.len() >= MAX_IN_TRANSIT {
        return;
    }
    let until = now + 2;
    if !model.b_filled && model.runs[0].is_empty() {
        changes.push(Box::new(move |model| {
            model.b_filled = true;
            model.in_transit.push(Start { task: 2, worker: 0, until });
            model.in_transit.sort_unstable();
        }));
    }
    let is_listed = model.runs[0].iter().any(|run| run.task == 1);
    if !model.b_moved && (!is_listed || !guards.listing) {
        changes.push(Box::new(move |model| {
            model.b_moved = true;
            model.in_transit.push(Start { task: 1, worker: 1, until });
            model.in_transit.sort_unstable();
        }));
    }
}

/// Returns whether no worker is overcommitted and task 1 runs on at most one worker.
fn is_safe(model: &Model) -> bool {
    let run_count =
        |task| model.runs.iter().filter(|runs| runs.iter().any(|run| run.task == task)).count();
    model.runs.iter().all(|runs| runs.len() <= 1) && run_count(1) <= 1
}

fn search(guards: Guards) -> Result<usize, Model> {
    let product = Product::new();
    explore(start(), |model| steps(model, &product, guards), is_safe)
}

/// Guards against a former and a new owner that both act on a worker.
#[test]
fn a_takeover_is_safe_whatever_is_delayed_lost_or_paused() {
    let count = search(ALL).unwrap_or_else(|model| panic!("unsafe state: {model:?}"));
    println!("lease: {count} states");
    assert!(
        count > 10_000,
        "the model reaches only {count} states, too few for a meaningful search"
    );
}

/// Shows that the search finds the violation that the hold-off prevents.
#[test]
fn without_the_hold_off_a_late_start_overcommits_or_duplicates() {
    assert!(search(Guards { hold_off: false, ..ALL }).is_err());
}

/// Shows that the search finds the violation that the limit on the first lease prevents.
#[test]
fn without_the_first_lease_limit_a_late_start_overcommits_or_duplicates() {
    assert!(search(Guards { first_lease: false, ..ALL }).is_err());
}

/// Shows that the search finds the violation that reading the worker's list prevents.
#[test]
fn without_the_list_of_the_worker_a_running_task_is_started_again() {
    assert!(search(Guards { listing: false, ..ALL }).is_err());
}
