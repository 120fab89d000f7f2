//! Model of concurrent changes of a setting, with restarts of VMs and snapshots.
//!
//! Two operators change one setting, each expecting the version that it has read last. A VM follows the log, and
//! restarts from a snapshot or from the beginning. The version in effect at a VM must never decrease, and only one of
//! two concurrent changes may succeed. `State::apply`, `State::image` and `State::from_image` are the product's.

use std::collections::HashMap;

use {
    coriandertack_core::{
        keys::{Incarnation, Offset, Version},
        record::{Batch, Entry, Record, SettingChange, VmInfo},
        state::State,
    },
    tokio::time::Instant,
};

use crate::{Changes, explore, successors};

const MAX_CHANGES: usize = 4;

/// A change, as the index of the operator and the version that it expects.
type Change = (u8, u8);

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Model {
    log: Vec<Change>,
    /// Changes in transit to the log.
    in_transit: Vec<Change>,
    /// Version that each operator has read last.
    seen: [u8; 2],
    /// Number of records that the VM has applied, or `None` while it is down.
    applied: Option<usize>,
    /// Number of records in the latest snapshot.
    snapshot: usize,
    /// Number of records that the log has deleted.
    dropped: usize,
    /// Highest version that was ever in effect at the VM while it was serving.
    effective: u8,
    /// Whether the version in effect ever decreased.
    reverted: bool,
}

#[derive(Clone, Copy)]
struct Guards {
    version_check: bool,
    tail_first: bool,
}

const ALL: Guards = Guards { version_check: true, tail_first: true };

/// Versions in effect after prefixes of a log, by the product's code. Results are cached.
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

fn steps(model: &Model, product: &mut Product, guards: Guards) -> Vec<Model> {
    let mut changes: Changes<'_, Model> = Vec::new();
    let latest = product.version(&model.log, model.snapshot);
    for operator in 0..2_u8 {
        let seen = model.seen[usize::from(operator)];
        changes.push(Box::new(move |model| model.seen[usize::from(operator)] = latest));
        if model.log.len() + model.in_transit.len() < MAX_CHANGES {
            changes.push(Box::new(move |model| {
                model.in_transit.push((operator, seen));
                model.in_transit.sort_unstable();
            }));
        }
    }
    for index in 0..model.in_transit.len() {
        changes.push(Box::new(move |model| {
            let change = model.in_transit.remove(index);
            model.log.push(change);
        }));
    }
    match model.applied {
        Some(applied) => {
            changes.push(Box::new(|model| model.applied = None));
            changes.push(Box::new(move |model| model.snapshot = model.snapshot.max(applied)));
            if applied < model.log.len() {
                let version = product.version(&model.log[..=applied], model.snapshot);
                changes.push(Box::new(move |model| serve(model, applied + 1, version, guards)));
            }
        }
        None => {
            let from = if guards.tail_first { model.log.len() } else { model.snapshot };
            let version = product.version(&model.log[..from], model.snapshot);
            changes.push(Box::new(move |model| serve(model, from, version, guards)));
        }
    }
    if model.dropped < model.snapshot {
        changes.push(Box::new(|model| model.dropped += 1));
    }
    successors(model, changes)
}

/// Makes the VM serve with the version after `applied` records.
fn serve(model: &mut Model, applied: usize, version: u8, guards: Guards) {
    model.applied = Some(applied);
    // Without the version check every change takes effect, so that of the slower operator reverts the other.
    let last = model.log[..applied].last();
    let version = match last {
        Some(&(_, expect)) if !guards.version_check => expect + 1,
        _ => version,
    };
    model.reverted |= version < model.effective;
    model.effective = model.effective.max(version);
}

fn search(guards: Guards) -> Result<usize, Model> {
    let mut product = Product::default();
    explore(Model::default(), |model| steps(model, &mut product, guards), |model| !model.reverted)
}

/// Guards against a setting that reverts because of concurrent changes, restarts or snapshots.
#[test]
fn an_effective_setting_never_reverts() {
    let count = search(ALL).unwrap_or_else(|model| panic!("unsafe state: {model:?}"));
    println!("settings: {count} states");
}

/// Shows that the search finds the violation that the version check prevents.
#[test]
fn without_the_version_check_a_setting_reverts() {
    assert!(search(Guards { version_check: false, ..ALL }).is_err());
}

/// Shows that the search finds the violation that reading the tail before serving prevents.
#[test]
fn without_reading_the_tail_first_a_restarted_vm_reverts_a_setting() {
    assert!(search(Guards { tail_first: false, ..ALL }).is_err());
}
