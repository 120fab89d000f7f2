//! Binding: a former home whose request is late, and its successor.
//!
//! Home `a` asks owner 1 to place the task. It is fenced, and home `b` takes over: it asks both owners
//! what they run, which raises the epoch that they accept, and places the task at owner 2 if neither has
//! it. Requests are under way for any time. An owner learns of the new home from `b`'s question, or earlier
//! from the log.

use crate::{Changes, each, explore};

/// Epochs of the two homes.
const EPOCH_A: u8 = 1;
const EPOCH_B: u8 = 2;

/// A request to place the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Place {
    owner: usize,
    epoch: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct World {
    fenced: bool,
    a_asked: bool,
    b_ready: bool,
    b_placed: bool,
    net: Vec<Place>,
    /// Highest epoch that each owner knows.
    epochs: [u8; 2],
    /// Whether each owner has started the task.
    runs: [bool; 2],
    /// What each owner told `b`: whether it has the task.
    told: [Option<bool>; 2],
    /// Whether each owner was replaced by one that knows nothing but the log and the worker's list.
    replaced: [bool; 2],
}

#[derive(Clone, Copy)]
struct Guards {
    epoch: bool,
    all_owners: bool,
}

const ALL: Guards = Guards { epoch: true, all_owners: true };

fn steps(world: &World, guards: Guards) -> Vec<World> {
    let mut changes: Changes<'static, World> = Vec::new();
    if !world.a_asked && !world.b_ready {
        // `a` checks its validity before it sends, and `b` is ready only after that has lapsed.
        changes.push(Box::new(|world| {
            world.a_asked = true;
            world.net.push(Place { owner: 0, epoch: EPOCH_A });
        }));
    }
    changes.push(Box::new(|world| world.fenced = true));
    if world.fenced {
        changes.push(Box::new(|world| world.b_ready = true));
    }
    for owner in 0..2 {
        if world.fenced {
            changes.push(Box::new(move |world| world.epochs[owner] = EPOCH_B));
            // A successor has read at least the fence, and the worker's list.
            changes.push(Box::new(move |world| {
                world.replaced[owner] = true;
                world.epochs[owner] = EPOCH_B;
                world.told[owner] = None;
            }));
        }
        if world.b_ready && !world.b_placed {
            changes.push(Box::new(move |world| {
                world.epochs[owner] = EPOCH_B;
                world.told[owner] = Some(world.runs[owner]);
            }));
        }
    }
    let told = |owner: usize| world.told[owner] == Some(false);
    let clear = if guards.all_owners { told(0) && told(1) } else { told(1) };
    if clear && !world.b_placed {
        changes.push(Box::new(|world| {
            world.b_placed = true;
            world.net.push(Place { owner: 1, epoch: EPOCH_B });
            world.net.sort_unstable();
        }));
    }
    for index in 0..world.net.len() {
        changes.push(Box::new(move |world| {
            let place = world.net.remove(index);
            if !guards.epoch || place.epoch >= world.epochs[place.owner] {
                world.runs[place.owner] = true;
            }
        }));
        changes.push(Box::new(move |world| {
            world.net.remove(index);
        }));
    }
    each(world, changes)
}

fn is_safe(world: &World) -> bool {
    world.runs.iter().filter(|&&runs| runs).count() <= 1
}

fn search(guards: Guards) -> Result<usize, World> {
    explore(World::default(), |world| steps(world, guards), is_safe)
}

/// Guards against a takeover of a home that binds a task which the former home's late request starts too.
#[test]
fn a_new_home_never_binds_what_a_late_request_can_start() {
    let count = search(ALL).unwrap_or_else(|world| panic!("unsafe: {world:?}"));
    println!("binding: {count} worlds");
}

/// Shows that the search finds what the check of the epoch prevents.
#[test]
fn without_the_epoch_check_a_late_request_starts_a_second_copy() {
    assert!(search(Guards { epoch: false, ..ALL }).is_err());
}

/// Shows that the search finds what asking every owner prevents.
#[test]
fn without_the_lists_of_all_owners_a_running_task_is_started_again() {
    assert!(search(Guards { all_owners: false, ..ALL }).is_err());
}
