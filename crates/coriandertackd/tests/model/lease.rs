//! Ownership, validity, hold-off and leases: a former owner that is paused, cut off or dead, and its
//! successor.
//!
//! VM `a` owns worker 1 and is fenced at any time. VM `b` reads the fence at any later time and becomes the
//! owner of worker 1; it owns worker 2 all along and is the home of task 1. Starts are under way for any
//! time and may be lost. Each worker has room for one task. The table of owners and the end of the hold-off
//! come from `State::apply`, the permission to act from `Validity`.

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

use crate::{Changes, at, each, explore};

/// Ticks that are explored: long enough for a fence, the hold-off, and a lease after it.
const LAST_TICK: u8 = 9;

/// Ticks of a renewed lease. It is shorter than the product's, which only makes it end within the search.
const TERM: u8 = 3;

/// Starts that may be under way at a time.
const MAX_NET: usize = 2;

/// A start under way: the task, the worker, and the tick at which its first lease ends.
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
struct World {
    now: u8,
    /// When the fence of `a` became durable.
    fenced: Option<u8>,
    /// When the read of the log that `a` is waiting for began.
    reading: Option<u8>,
    /// When the last read of `a` began that showed no fence.
    read: u8,
    /// Whether `a` runs and has not read the fence.
    a_acts: bool,
    /// Whether `a` has sent its start.
    a_sent: bool,
    /// When `b` read the fence.
    b_read: Option<u8>,
    /// Whether `b` has read the list of worker 1.
    b_listed: bool,
    /// Whether `b` has given the room of worker 1 to task 2.
    b_filled: bool,
    /// Whether `b` has started task 1 on worker 2, because it runs nowhere else.
    b_moved: bool,
    net: Vec<Start>,
    runs: [Vec<Run>; 2],
}

/// The safeguards that a search can leave out.
#[derive(Clone, Copy)]
struct Guards {
    hold_off: bool,
    first_lease: bool,
    listing: bool,
}

const ALL: Guards = Guards { hold_off: true, first_lease: true, listing: true };

/// The records before the fence, so that the product's tables can be computed.
struct Product {
    base: Instant,
    /// State of `b` for each tick at which it may read the fence.
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
        // The workers are known before `a` joins, so `a` owns both; one moves when `b` joins.
        state.apply(Offset(1), &self.join(1, "a"), self.base);
        let workers = Record::Workers(workers.collect());
        state.apply(Offset(2), &self.batch(1, 2, workers), self.base);
        state.apply(Offset(3), &self.join(2, "b"), self.base);
        let fence = self.batch(2, 2, Record::Fence(Session(1)));
        state.apply(Offset(4), &fence, at(self.base, read));
        state
    }

    /// Tells whether `b` may act on the worker that was `a`'s.
    fn b_may_act(&self, read: u8, now: u8) -> bool {
        let mut states = self.states.borrow_mut();
        let state = states[usize::from(read)].get_or_insert_with(|| self.state(read));
        let b = state.vm_of(Incarnation(2)).expect("b is a member");
        let moved = state.workers.iter().filter(|(_, worker)| worker.owner.epoch.0 == 4);
        let (worker, _) = moved.into_iter().next().expect("the fence moves a worker");
        state.can_act(b, worker, at(self.base, now))
    }

    /// Tells whether `a` may act, by its last read.
    fn a_is_valid(&self, read: u8, now: u8) -> bool {
        let mut validity = Validity::expired(self.base);
        validity.extend(at(self.base, read));
        validity.is_valid(at(self.base, now))
    }

    /// Returns the tick by which the validity from a read at `read` is over.
    fn valid_until(&self, read: u8) -> u8 {
        (read..).find(|&tick| !self.a_is_valid(read, tick)).expect("it ends")
    }
}

fn start() -> World {
    World {
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
        net: Vec::new(),
        runs: [Vec::new(), Vec::new()],
    }
}

fn steps(world: &World, product: &Product, guards: Guards) -> Vec<World> {
    let now = world.now;
    let mut changes: Changes<'_, World> = Vec::new();
    if now < LAST_TICK {
        changes.push(Box::new(tick));
    }
    if world.fenced.is_none() {
        changes.push(Box::new(move |world| world.fenced = Some(now)));
    }
    a_steps(world, product, guards, &mut changes);
    b_steps(world, product, guards, &mut changes);
    for index in 0..world.net.len() {
        changes.push(Box::new(move |world| deliver(world, index)));
        changes.push(Box::new(move |world| {
            world.net.remove(index);
        }));
    }
    each(world, changes)
}

fn tick(world: &mut World) {
    world.now += 1;
    let now = world.now;
    for runs in &mut world.runs {
        runs.retain(|run| run.until > now);
    }
}

/// A start runs if its first lease has not ended on arrival; the same start twice runs once.
fn deliver(world: &mut World, index: usize) {
    let start = world.net.remove(index);
    let runs = &mut world.runs[start.worker];
    if start.until > world.now && !runs.iter().any(|run| run.task == start.task) {
        runs.push(Run { task: start.task, until: start.until });
        runs.sort_unstable();
    }
}

fn a_steps<'a>(
    world: &World,
    product: &'a Product,
    guards: Guards,
    changes: &mut Changes<'a, World>,
) {
    if !world.a_acts {
        return;
    }
    let now = world.now;
    // A crash, and a pause without end.
    changes.push(Box::new(|world| world.a_acts = false));
    match world.reading {
        None => changes.push(Box::new(move |world| world.reading = Some(now))),
        Some(began) => {
            let must_show = world.fenced.is_some_and(|fenced| fenced <= began);
            if !must_show {
                changes.push(Box::new(move |world| {
                    world.reading = None;
                    world.read = world.read.max(began);
                }));
            }
            if world.fenced.is_some() {
                changes.push(Box::new(|world| world.a_acts = false));
            }
        }
    }
    let valid = product.a_is_valid(world.read, now);
    if valid && !world.a_sent && world.net.len() < MAX_NET {
        let until =
            if guards.first_lease { product.valid_until(world.read) } else { now + TERM + 2 };
        changes.push(Box::new(move |world| {
            world.a_sent = true;
            world.net.push(Start { task: 1, worker: 0, until });
            world.net.sort_unstable();
        }));
    }
    // A renewal needs no validity, so that running tasks outlast an outage of the log.
    changes.push(Box::new(move |world| renew(&mut world.runs[0], now)));
}

fn renew(runs: &mut [Run], now: u8) {
    for run in runs {
        run.until = run.until.max(now + TERM);
    }
}

fn b_steps<'a>(
    world: &World,
    product: &'a Product,
    guards: Guards,
    changes: &mut Changes<'a, World>,
) {
    let now = world.now;
    let Some(read) = world.b_read else {
        if world.fenced.is_some() {
            changes.push(Box::new(move |world| world.b_read = Some(now)));
        }
        return;
    };
    if guards.hold_off && !product.b_may_act(read, now) {
        return;
    }
    if !world.b_listed {
        changes.push(Box::new(|world| world.b_listed = true));
    }
    if guards.listing && !world.b_listed {
        return;
    }
    changes.push(Box::new(move |world| renew(&mut world.runs[0], now)));
    if world.net.len() >= MAX_NET {
        return;
    }
    let until = now + 2;
    if !world.b_filled && world.runs[0].is_empty() {
        changes.push(Box::new(move |world| {
            world.b_filled = true;
            world.net.push(Start { task: 2, worker: 0, until });
            world.net.sort_unstable();
        }));
    }
    let known = world.runs[0].iter().any(|run| run.task == 1);
    if !world.b_moved && (!known || !guards.listing) {
        changes.push(Box::new(move |world| {
            world.b_moved = true;
            world.net.push(Start { task: 1, worker: 1, until });
            world.net.sort_unstable();
        }));
    }
}

/// Neither is a worker overcommitted nor does a task run in two places.
fn is_safe(world: &World) -> bool {
    let twice =
        |task| world.runs.iter().filter(|runs| runs.iter().any(|run| run.task == task)).count();
    world.runs.iter().all(|runs| runs.len() <= 1) && twice(1) <= 1
}

fn search(guards: Guards) -> Result<usize, World> {
    let product = Product::new();
    explore(start(), |world| steps(world, &product, guards), is_safe)
}

/// Guards against a change of the protocol that lets a former and a new owner act at the same time.
#[test]
fn a_takeover_is_safe_whatever_is_delayed_lost_or_paused() {
    let count = search(ALL).unwrap_or_else(|world| panic!("unsafe: {world:?}"));
    println!("lease: {count} worlds");
    assert!(count > 10_000, "the search is too small: {count}");
}

/// Shows that the search finds what the hold-off prevents.
#[test]
fn without_the_hold_off_a_late_start_overcommits_or_doubles() {
    assert!(search(Guards { hold_off: false, ..ALL }).is_err());
}

/// Shows that the search finds what the bound on the first lease prevents.
#[test]
fn without_the_bound_on_the_first_lease_a_late_start_overcommits_or_doubles() {
    assert!(search(Guards { first_lease: false, ..ALL }).is_err());
}

/// Shows that the search finds what the worker's own list prevents.
#[test]
fn without_the_list_of_the_worker_a_running_task_is_started_again() {
    assert!(search(Guards { listing: false, ..ALL }).is_err());
}
