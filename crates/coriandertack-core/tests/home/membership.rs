use std::time::Duration;

use coriandertack_core::{
    code::Code,
    keys::{Incarnation, Session},
    record::{Presence, Record, WorkerInfo},
    resources::Resources,
    state::State,
    validity::HOLD_OFF,
};
use proptest::prelude::*;

use crate::support::{Bed, join};

fn workers(count: usize) -> Record {
    let infos = (0..count).map(|index| WorkerInfo {
        name: format!("w{index:02}"),
        address: "127.0.0.1:2".parse().unwrap(),
        zone: "split".into(),
        rack: "r1".into(),
        presence: Presence::Live,
        capacity: Resources::new(1_000, 1_000, 0),
    });
    Record::Workers(infos.collect())
}

fn owners(state: &State) -> Vec<Option<String>> {
    let holder = |worker: &coriandertack_core::state::Worker| {
        worker.owner.vm.map(|vm| state.vms[vm].info.name.clone())
    };
    state.worker_names.values().map(|&key| holder(&state.workers[key])).collect()
}

/// Guards against a planned stop whose successor waits, and a crash whose successor does not.
#[test]
fn only_a_leave_needs_no_hold_off() {
    for (record, wait) in [(Record::Leave, false), (Record::Fence(Session(1)), true)] {
        let mut bed = Bed::new();
        bed.apply(workers(4)).unwrap();
        bed.apply_as(Incarnation(2), join("two")).unwrap();
        bed.now += Duration::from_secs(60);
        let author = if wait { Incarnation(2) } else { Incarnation(1) };
        bed.apply_as(author, record).unwrap();
        let two = bed.state.vm_of(Incarnation(2)).unwrap();
        let key = bed.state.worker_names["w00"];
        assert_eq!(bed.state.can_act(two, key, bed.now), !wait);
        assert!(bed.state.can_act(two, key, bed.now + HOLD_OFF));
    }
}

/// Guards against a hold-off that is cut short because the holder in between left as planned.
#[test]
fn a_leave_does_not_cut_short_an_earlier_hold_off() {
    let mut bed = Bed::new();
    bed.apply(workers(4)).unwrap();
    bed.apply_as(Incarnation(2), join("two")).unwrap();
    bed.apply_as(Incarnation(3), join("three")).unwrap();
    bed.now += Duration::from_secs(60);
    bed.apply_as(Incarnation(2), Record::Fence(Session(1))).unwrap();
    bed.apply_as(Incarnation(2), Record::Leave).unwrap();
    let three = bed.state.vm_of(Incarnation(3)).unwrap();
    let key = bed.state.worker_names["w00"];
    assert!(!bed.state.can_act(three, key, bed.now));
    assert!(bed.state.can_act(three, key, bed.now + HOLD_OFF));
}

/// Guards against records of a process that was fenced, and against a late copy of its `Join`.
#[test]
fn a_fenced_process_changes_nothing() {
    let mut bed = Bed::new();
    bed.apply_as(Incarnation(2), join("two")).unwrap();
    bed.apply_as(Incarnation(2), Record::Fence(Session(1))).unwrap();
    assert_eq!(bed.apply(workers(1)), Err(Code::Fenced));
    assert_eq!(bed.apply(join("one")), Err(Code::Fenced));
    assert_eq!(bed.state.vms.len(), 1);
}

/// Guards against memory that grows with every process that ever ran or wrote.
#[test]
fn processes_of_the_past_are_forgotten_in_time() {
    let mut bed = Bed::new();
    for author in 2..20_100 {
        // A new process under the same name ends the session before.
        bed.apply_as(Incarnation(author), join("two")).unwrap();
    }
    bed.apply_as(Incarnation(1 << 40), Record::Leave).unwrap_err();
    assert_eq!(bed.state.authors.len(), 10_002, "two members and the past");
}

proptest! {
    /// Guards against tables that depend on the arena keys, that are uneven, or that move more than they must.
    #[test]
    fn every_vm_computes_the_same_even_table(
        changes in prop::collection::vec((0_u64..4, any::<bool>()), 1..20),
    ) {
        let mut bed = Bed::new();
        bed.apply(workers(13)).unwrap();
        let mut authors = 10;
        for (vm, leaves) in changes {
            authors += 1;
            let before = owners(&bed.state);
            if leaves && bed.state.vms.len() > 1 {
                let session = *bed.state.sessions.keys().next_back().unwrap();
                bed.apply(Record::Fence(session)).ok();
            } else {
                bed.apply_as(Incarnation(authors), join(&format!("vm-{vm}"))).ok();
            }
            let after = owners(&bed.state);
            let restored = State::from_image(bed.state.image(), bed.now);
            prop_assert_eq!(owners(&restored), after.clone());
            prop_assert_eq!(restored.image(), bed.state.image());
            let mut loads = std::collections::BTreeMap::new();
            for owner in &after {
                *loads.entry(owner.clone().expect("each has an owner")).or_insert(0) += 1;
            }
            let most = loads.values().max().unwrap();
            let least = if loads.len() < bed.state.vms.len() { &0 } else { loads.values().min().unwrap() };
            prop_assert!(most - least <= 1, "{:?}", loads);
            let moved = before.iter().zip(&after).filter(|(one, two)| one != two).count();
            prop_assert!(moved <= 13_usize.div_ceil(bed.state.vms.len().min(2)), "{moved} moved");
        }
    }
}
