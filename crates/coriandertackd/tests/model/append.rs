//! Appends whose answer is lost: a writer never says "not run" of a record that takes effect, and a record
//! takes effect once.
//!
//! The writer sends a batch, may get no answer, and sends it again. Copies of the batch reach the log at any
//! time and in any number. `State::apply` decides what a batch does. The writer may crash, and another VM may
//! fence it.

use std::collections::HashMap;

use {
    coriandertack_core::{
        keys::{Incarnation, Offset, Session},
        record::{Batch, Entry, JobSpec, Kind, Record, TeamChange, TeamSpec, VmInfo},
        resources::Resources,
        state::State,
    },
    tokio::time::Instant,
};

use crate::{Changes, each, explore};

const MAX_SENDS: u8 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Logged {
    /// The writer's batch, with its sequence number.
    Accept(u8),
    /// A fence of the writer.
    Fence,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Told {
    Accepted,
    NotRun,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct World {
    /// Copies under way to the log, by sequence number.
    net: Vec<u8>,
    log: Vec<Logged>,
    sends: u8,
    /// Records that the writer has read.
    read: usize,
    told: Option<Told>,
    crashed: bool,
}

#[derive(Clone, Copy)]
struct Guards {
    read_back: bool,
    batch_id: bool,
}

const ALL: Guards = Guards { read_back: true, batch_id: true };

/// Counts the jobs that a log gives, by the product's own rules.
#[derive(Default)]
struct Product {
    jobs: HashMap<Vec<Logged>, usize>,
}

impl Product {
    fn jobs(&mut self, log: &[Logged]) -> usize {
        *self.jobs.entry(log.to_vec()).or_insert_with(|| replay(log))
    }
}

fn replay(log: &[Logged]) -> usize {
    let now = Instant::now();
    let mut state = State::default();
    let entry = |record| Entry { actor: "system".into(), at_ms: 0, record };
    let join = |name: &str| {
        let link = "127.0.0.1:1".parse().unwrap();
        Record::Join(VmInfo { name: name.into(), zone: "split".into(), link, http: link })
    };
    let mut apply = |offset: u64, author: u64, seq: u64, record| {
        let batch = Batch { author: Incarnation(author), seq, entries: vec![entry(record)] };
        state.apply(Offset(offset), &batch, now);
    };
    apply(1, 1, 1, join("writer"));
    apply(2, 2, 1, join("other"));
    let spec = TeamSpec { quota: Resources::new(1, 1, 0), tokens: Vec::new() };
    let team = TeamChange { name: "vans".into(), expect: 0.into(), spec: Some(spec) };
    apply(3, 2, 2, Record::Team(team));
    for (offset, logged) in (4..).zip(log) {
        match logged {
            Logged::Accept(seq) => apply(offset, 1, u64::from(*seq) + 1, Record::Accept(job())),
            Logged::Fence => apply(offset, 2, 3, Record::Fence(Session(1))),
        }
    }
    state.jobs.ids.len()
}

fn job() -> JobSpec {
    JobSpec {
        team: "vans".into(),
        name: "plan".into(),
        kind: Kind::Batch,
        tasks: 1,
        need: Resources::new(1, 1, 0),
        run_ms: 0,
        urgent: false,
        retries: 0,
        command: String::new(),
        key: None,
    }
}

fn steps(world: &World, product: &mut Product, guards: Guards) -> Vec<World> {
    let jobs = product.jobs(&world.log[..world.read]);
    let fenced = world.log[..world.read].contains(&Logged::Fence);
    let mut changes: Changes<'static, World> = Vec::new();
    for index in 0..world.net.len() {
        // The copy takes effect; whether an answer comes back shows only in what the writer reads.
        changes.push(Box::new(move |world| {
            let seq = world.net.remove(index);
            world.log.push(Logged::Accept(seq));
        }));
        changes.push(Box::new(move |world| {
            world.net.remove(index);
        }));
    }
    if !world.log.contains(&Logged::Fence) {
        changes.push(Box::new(|world| world.log.push(Logged::Fence)));
    }
    if world.crashed {
        return each(world, changes);
    }
    changes.push(Box::new(|world| world.crashed = true));
    changes.push(Box::new(|world| world.read = world.log.len()));
    if world.told.is_none() {
        writer_steps(world, guards, jobs, fenced, &mut changes);
    }
    each(world, changes)
}

fn writer_steps(
    world: &World,
    guards: Guards,
    jobs: usize,
    fenced: bool,
    changes: &mut Changes<'static, World>,
) {
    let mut tell = |told| changes.push(Box::new(move |world: &mut World| world.told = Some(told)));
    match (jobs, fenced, world.sends) {
        (1.., _, _) => tell(Told::Accepted),
        // After its fence, no batch of the writer counts, so an unapplied one never will.
        (0, true, _) | (0, false, 0) => tell(Told::NotRun),
        (0, false, _) => tell(if guards.read_back { Told::Unknown } else { Told::NotRun }),
    }
    if world.sends < MAX_SENDS && jobs == 0 && !fenced {
        let seq = if guards.batch_id { 1 } else { world.sends + 1 };
        changes.push(Box::new(move |world| {
            world.sends += 1;
            world.net.push(seq);
            world.net.sort_unstable();
        }));
    }
}

fn search(guards: Guards) -> Result<usize, World> {
    let mut product = Product::default();
    let checked = std::cell::RefCell::new(Product::default());
    let is_safe = |world: &World| {
        let jobs = checked.borrow_mut().jobs(&world.log);
        jobs <= 1 && !(world.told == Some(Told::NotRun) && jobs > 0)
    };
    explore(World::default(), |world| steps(world, &mut product, guards), is_safe)
}

/// Guards against an answer that is not true, and against a record that takes effect twice.
#[test]
fn a_lost_answer_neither_doubles_nor_denies_a_record() {
    let count = search(ALL).unwrap_or_else(|world| panic!("unsafe: {world:?}"));
    println!("append: {count} worlds");
}

/// Shows that the search finds what reading back prevents.
#[test]
fn without_reading_back_a_record_is_denied_that_takes_effect() {
    assert!(search(Guards { read_back: false, ..ALL }).is_err());
}

/// Shows that the search finds what the number of the batch prevents.
#[test]
fn without_the_number_of_the_batch_a_record_takes_effect_twice() {
    assert!(search(Guards { batch_id: false, ..ALL }).is_err());
}
