//! Model of appends whose answer is lost. A writer must never report "not run" for a record that takes effect, and a
//! record must take effect at most once.
//!
//! The writer sends a batch, may get no answer, and sends the batch again. Each copy reaches the log at any later time
//! or is lost. `State::apply` decides the effect of a batch. The writer may crash, and another VM may fence it.

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

use crate::{Changes, explore, successors};

const MAX_SENDS: u8 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Logged {
    /// A copy of the writer's batch, with its sequence number.
    Accept(u8),
    /// A record that fences the writer.
    Fence,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Answer {
    Accepted,
    NotRun,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Model {
    /// Sequence numbers of the copies in transit to the log.
    in_transit: Vec<u8>,
    log: Vec<Logged>,
    sends: u8,
    /// Number of records that the writer has read.
    read: usize,
    reported: Option<Answer>,
    crashed: bool,
}

#[derive(Clone, Copy)]
struct Guards {
    read_back: bool,
    batch_id: bool,
}

const ALL: Guards = Guards { read_back: true, batch_id: true };

/// Counts the jobs that result from a log, by the product's `State::apply`. Results are cached.
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

fn steps(model: &Model, product: &mut Product, guards: Guards) -> Vec<Model> {
    let jobs = product.jobs(&model.log[..model.read]);
    let fenced = model.log[..model.read].contains(&Logged::Fence);
    let mut changes: Changes<'static, Model> = Vec::new();
    for index in 0..model.in_transit.len() {
        // The copy reaches the log. The model has no answer: the writer learns the outcome only by reading the log.
        changes.push(Box::new(move |model| {
            let seq = model.in_transit.remove(index);
            model.log.push(Logged::Accept(seq));
        }));
        changes.push(Box::new(move |model| {
            model.in_transit.remove(index);
        }));
    }
    if !model.log.contains(&Logged::Fence) {
        changes.push(Box::new(|model| model.log.push(Logged::Fence)));
    }
    if model.crashed {
        return successors(model, changes);
    }
    changes.push(Box::new(|model| model.crashed = true));
    changes.push(Box::new(|model| model.read = model.log.len()));
    if model.reported.is_none() {
        writer_steps(model, guards, jobs, fenced, &mut changes);
    }
    successors(model, changes)
}

fn writer_steps(
    model: &Model,
    guards: Guards,
    jobs: usize,
    fenced: bool,
    changes: &mut Changes<'static, Model>,
) {
    let mut set =
        |reported| changes.push(Box::new(move |model: &mut Model| model.reported = Some(reported)));
    match (jobs, fenced, model.sends) {
        (1.., _, _) => set(Answer::Accepted),
        // Batches of a fenced writer are ignored, so a batch that was not applied before the fence never will be.
        (0, true, _) | (0, false, 0) => set(Answer::NotRun),
        (0, false, _) => set(if guards.read_back { Answer::Unknown } else { Answer::NotRun }),
    }
    if model.sends < MAX_SENDS && jobs == 0 && !fenced {
        let seq = if guards.batch_id { 1 } else { model.sends + 1 };
        changes.push(Box::new(move |model| {
            model.sends += 1;
            model.in_transit.push(seq);
            model.in_transit.sort_unstable();
        }));
    }
}

fn search(guards: Guards) -> Result<usize, Model> {
    let mut product = Product::default();
    let checked = std::cell::RefCell::new(Product::default());
    let is_safe = |model: &Model| {
        let jobs = checked.borrow_mut().jobs(&model.log);
        jobs <= 1 && !(model.reported == Some(Answer::NotRun) && jobs > 0)
    };
    explore(Model::default(), |model| steps(model, &mut product, guards), is_safe)
}

/// Guards against a "not run" for a record that takes effect, and against a record that takes effect twice.
#[test]
fn a_lost_answer_neither_duplicates_nor_denies_a_record() {
    let count = search(ALL).unwrap_or_else(|model| panic!("unsafe state: {model:?}"));
    println!("append: {count} states");
}

/// Shows that the search finds the violation that reading the log back prevents.
#[test]
fn without_reading_back_an_effective_record_is_reported_as_not_run() {
    assert!(search(Guards { read_back: false, ..ALL }).is_err());
}

/// Shows that the search finds the violation that the sequence number of a batch prevents.
#[test]
fn without_the_sequence_number_a_record_takes_effect_twice() {
    assert!(search(Guards { batch_id: false, ..ALL }).is_err());
}
