//! Model of binding a task when a former home's request arrives late, after its successor took over.
//!
//! Home `a` asks owner 1 to place the task and is then fenced. Home `b` takes over and asks both owners for their
//! lists, which raises the epoch that they accept. It places the task at owner 2 if neither lists it. Requests can be
//! delayed for any time. An owner learns of the new home from `b`'s list request, or earlier from the log.

use crate::{Changes, explore, successors};

/// Epochs of homes `a` and `b`.
const EPOCH_A: u8 = 1;
const EPOCH_B: u8 = 2;

/// A request to place the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Place {
    owner: usize,
    epoch: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Model {
    fenced: bool,
    a_asked: bool,
    b_ready: bool,
    b_placed: bool,
    in_transit: Vec<Place>,
    /// Highest epoch that each owner knows.
    epochs: [u8; 2],
    /// Whether each owner has started the task.
    runs: [bool; 2],
    /// Answer of each owner to `b`'s list request: whether it runs the task.
    listed: [Option<bool>; 2],
    /// Whether each owner was replaced by a successor that knows only the log and the worker's list.
    replaced: [bool; 2],
}

#[derive(Clone, Copy)]
struct Guards {
    epoch: bool,
    all_owners: bool,
}

const ALL: Guards = Guards { epoch: true, all_owners: true };

fn steps(model: &Model, guards: Guards) -> Vec<Model> {
    let mut changes: Changes<'static, Model> = Vec::new();
    if !model.a_asked && !model.b_ready {
        // `a` checks its validity before it sends, and `b` is ready only after that validity has expired.
        changes.push(Box::new(|model| {
            model.a_asked = true;
            model.in_transit.push(Place { owner: 0, epoch: EPOCH_A });
        }));
    }
    changes.push(Box::new(|model| model.fenced = true));
    if model.fenced {
        changes.push(Box::new(|model| model.b_ready = true));
    }
    for owner in 0..2 {
        if model.fenced {
            changes.push(Box::new(move |model| model.epochs[owner] = EPOCH_B));
            // The successor of an owner has read at least the fence and the worker's list.
            changes.push(Box::new(move |model| {
                model.replaced[owner] = true;
                model.epochs[owner] = EPOCH_B;
                model.listed[owner] = None;
            }));
        }
        if model.b_ready && !model.b_placed {
            changes.push(Box::new(move |model| {
                model.epochs[owner] = EPOCH_B;
                model.listed[owner] = Some(model.runs[owner]);
            }));
        }
    }
    let listed = |owner: usize| model.listed[owner] == Some(false);
    let is_free = if guards.all_owners { listed(0) && listed(1) } else { listed(1) };
    if is_free && !model.b_placed {
        changes.push(Box::new(|model| {
            model.b_placed = true;
            model.in_transit.push(Place { owner: 1, epoch: EPOCH_B });
            model.in_transit.sort_unstable();
        }));
    }
    for index in 0..model.in_transit.len() {
        changes.push(Box::new(move |model| {
            let place = model.in_transit.remove(index);
            if !guards.epoch || place.epoch >= model.epochs[place.owner] {
                model.runs[place.owner] = true;
            }
        }));
        changes.push(Box::new(move |model| {
            model.in_transit.remove(index);
        }));
    }
    successors(model, changes)
}

fn is_safe(model: &Model) -> bool {
    model.runs.iter().filter(|&&runs| runs).count() <= 1
}

fn search(guards: Guards) -> Result<usize, Model> {
    explore(Model::default(), |model| steps(model, guards), is_safe)
}

/// Guards against a new home that binds a task which a late request of the former home also starts.
#[test]
fn a_new_home_never_binds_what_a_late_request_can_start() {
    let count = search(ALL).unwrap_or_else(|model| panic!("unsafe state: {model:?}"));
    println!("binding: {count} states");
}

/// Shows that the search finds the violation that the epoch check prevents.
#[test]
fn without_the_epoch_check_a_late_request_starts_a_second_copy() {
    assert!(search(Guards { epoch: false, ..ALL }).is_err());
}

/// Shows that the search finds the violation that asking every owner prevents.
#[test]
fn without_the_lists_of_all_owners_a_running_task_is_started_again() {
    assert!(search(Guards { all_owners: false, ..ALL }).is_err());
}
