//! Settings: operators that race, VMs that restart, and snapshots.
//!
//! Two operators change one setting, each expecting the version that it has seen. A VM follows the log, and
//! restarts from a snapshot or from the beginning. What a VM has in force never goes back, and of two racing
//! changes one wins. `State::apply`, `State::image` and `State::from_image` are the product's.

use std::collections::HashMap;

use {
    coriandertack_core::{
        keys::{Incarnation, Offset, Version},
        record::{Batch, Entry, Record, SettingChange, VmInfo},
        state::State,
    },
    tokio::time::Instant,
};

use crate::{Changes, each, explore};

const MAX_CHANGES: usize = 4;

/// A change of one operator with the version that it expects.
type Change = (u8, u8);

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct World {
    log: Vec<Change>,
    /// Changes on the way to the log.
    net: Vec<Change>,
    /// Version that each operator has seen.
    seen: [u8; 2],
    /// Records that the VM has applied, or nothing while it is down.
    applied: Option<usize>,
    /// Records that the newest snapshot includes.
    snapshot: usize,
    /// Records that the log has dropped.
    dropped: usize,
    /// Highest version that was in force at the VM while it served.
    in_force: u8,
    /// Whether a version went back.
    reverted: bool,
}

#[derive(Clone, Copy)]
struct Guards {
    compare: bool,
    tail_first: bool,
}

const ALL: Guards = Guards { compare: true, tail_first: true };

/// Versions in force after parts of a log, by the product's own rules.
#[derive(Default)]
struct Product {
    versions: HashMap<(Vec<Change>, usize), u8>,
}

impl Product {
    /// Returns the version after `log`, replayed with a snapshot taken after `snapshot` records.
    fn version(&mut self, log: &[Change], snapshot: usize) -> u8 {
        let key = (log.to_vec(), snapshot);
        *self.versions.entry(key).or_insert_with(|| replay(log, snapshot))
    }
}

fn replay(log: &[Change], snapshot: usize) -> u8 {
    let now = Instant::now();
    let entry = |record| Entry { actor: "operator".into(), at_ms: 0, record };
    let link = "127.0.0.1:1".parse().unwrap();
    let join = VmInfo { name: "vm".into(), zone: "split".into(), link, http: link };
    let mut state = State::default();
    let batch = Batch { author: Incarnation(1), seq: 1, entries: vec![entry(Record::Join(join))] };
    state.apply(Offset(1), &batch, now);
    for (index, &(operator, expect)) in log.iter().enumerate() {
        if index == snapshot {
            state = State::from_image(state.image(), now);
        }
        let change = SettingChange {
            name: "api.burst".into(),
            expect: Version(expect.into()),
            value: Some(operator.to_string()),
        };
        let seq = index as u64 + 2;
        let entries = vec![entry(Record::Setting(change))];
        let batch = Batch { author: Incarnation(1), seq, entries };
        state.apply(Offset(seq), &batch, now);
    }
    state.settings.get("api.burst").map_or(0, |setting| setting.version.0 as u8)
}

fn steps(world: &World, product: &mut Product, guards: Guards) -> Vec<World> {
    let mut changes: Changes<'_, World> = Vec::new();
    let latest = product.version(&world.log, world.snapshot);
    for operator in 0..2_u8 {
        let seen = world.seen[usize::from(operator)];
        changes.push(Box::new(move |world| world.seen[usize::from(operator)] = latest));
        if world.log.len() + world.net.len() < MAX_CHANGES {
            changes.push(Box::new(move |world| {
                world.net.push((operator, seen));
                world.net.sort_unstable();
            }));
        }
    }
    for index in 0..world.net.len() {
        changes.push(Box::new(move |world| {
            let change = world.net.remove(index);
            world.log.push(change);
        }));
    }
    match world.applied {
        Some(applied) => {
            changes.push(Box::new(|world| world.applied = None));
            changes.push(Box::new(move |world| world.snapshot = world.snapshot.max(applied)));
            if applied < world.log.len() {
                let version = product.version(&world.log[..=applied], world.snapshot);
                changes.push(Box::new(move |world| serve(world, applied + 1, version, guards)));
            }
        }
        None => {
            let from = if guards.tail_first { world.log.len() } else { world.snapshot };
            let version = product.version(&world.log[..from], world.snapshot);
            changes.push(Box::new(move |world| serve(world, from, version, guards)));
        }
    }
    if world.dropped < world.snapshot {
        changes.push(Box::new(|world| world.dropped += 1));
    }
    each(world, changes)
}

/// Lets the VM serve with the version after `applied` records.
fn serve(world: &mut World, applied: usize, version: u8, guards: Guards) {
    world.applied = Some(applied);
    // Without the comparison every change would take effect, so the one of the slower operator reverts it.
    let last = world.log[..applied].last();
    let version = match last {
        Some(&(_, expect)) if !guards.compare => expect + 1,
        _ => version,
    };
    world.reverted |= version < world.in_force;
    world.in_force = world.in_force.max(version);
}

fn search(guards: Guards) -> Result<usize, World> {
    let mut product = Product::default();
    explore(World::default(), |world| steps(world, &mut product, guards), |world| !world.reverted)
}

/// Guards against a setting that goes back through races, restarts or snapshots.
#[test]
fn a_setting_in_force_never_reverts() {
    let count = search(ALL).unwrap_or_else(|world| panic!("unsafe: {world:?}"));
    println!("settings: {count} worlds");
}

/// Shows that the search finds what the comparison of versions prevents.
#[test]
fn without_the_comparison_of_versions_a_setting_reverts() {
    assert!(search(Guards { compare: false, ..ALL }).is_err());
}

/// Shows that the search finds what reading the tail before serving prevents.
#[test]
fn without_reading_the_tail_first_a_restarted_vm_reverts_a_setting() {
    assert!(search(Guards { tail_first: false, ..ALL }).is_err());
}
