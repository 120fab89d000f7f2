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

use crate::support::{TestHome, join};

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
    let owner_name = |worker: &coriandertack_core::state::Worker| {
        worker.owner.vm.map(|vm| state.vms[vm].info.name.clone())
    };
    state.worker_names.values().map(|&key| owner_name(&state.workers[key])).collect()
}

/// Guards against a new owner that waits for the hold-off after a planned leave, or that does not
/// wait after a crash.
#[test]
fn only_a_planned_leave_skips_the_hold_off() {
    for (record, wait) in [(Record::Leave, false), (Record::Fence(Session(1)), true)] {
        let mut home = TestHome::new();
        home.apply(workers(4)).unwrap();
        home.apply_as(Incarnation(2), join("two")).unwrap();
        home.now += Duration::from_secs(60);
        let author = if wait { Incarnation(2) } else { Incarnation(1) };
        home.apply_as(author, record).unwrap();
        let second_vm = home.state.vm_of(Incarnation(2)).unwrap();
        let key = home.state.worker_names["w00"];
        assert_eq!(home.state.can_act(second_vm, key, home.now), !wait);
        assert!(home.state.can_act(second_vm, key, home.now + HOLD_OFF));
    }
}

/// Guards against a shortened hold-off: a VM is fenced, its successor leaves as planned before the hold-off is over,
/// and the next owner acts at once.
#[test]
fn leave_does_not_shorten_an_earlier_hold_off() {
    let mut home = TestHome::new();
    home.apply(workers(4)).unwrap();
    home.apply_as(Incarnation(2), join("two")).unwrap();
    home.apply_as(Incarnation(3), join("three")).unwrap();
    home.now += Duration::from_secs(60);
    home.apply_as(Incarnation(2), Record::Fence(Session(1))).unwrap();
    home.apply_as(Incarnation(2), Record::Leave).unwrap();
    let third_vm = home.state.vm_of(Incarnation(3)).unwrap();
    let key = home.state.worker_names["w00"];
    assert!(!home.state.can_act(third_vm, key, home.now));
    assert!(home.state.can_act(third_vm, key, home.now + HOLD_OFF));
}

/// Guards against accepting records of a fenced process, or a late duplicate of its `Join`.
#[test]
fn records_of_a_fenced_process_are_rejected() {
    let mut home = TestHome::new();
    home.apply_as(Incarnation(2), join("two")).unwrap();
    home.apply_as(Incarnation(2), Record::Fence(Session(1))).unwrap();
    assert_eq!(home.apply(workers(1)), Err(Code::Fenced));
    assert_eq!(home.apply(join("one")), Err(Code::Fenced));
    assert_eq!(home.state.vms.len(), 1);
}

/// Guards against memory use that grows with every process that ever wrote to the log.
#[test]
fn old_authors_are_evicted() {
    let mut home = TestHome::new();
    for author in 2..20_100 {
        // A new process under the same name ends the session of the previous one.
        home.apply_as(Incarnation(author), join("two")).unwrap();
    }
    home.apply_as(Incarnation(1 << 40), Record::Leave).unwrap_err();
    assert_eq!(home.state.authors.len(), 10_002, "two members and 10,000 former authors");
}

proptest! {
    /// Guards against an assignment of workers that depends on arena keys, is unbalanced, or moves more workers than
    /// necessary.
    #[test]
    fn ownership_is_deterministic_balanced_and_stable(
        changes in prop::collection::vec((0_u64..4, any::<bool>()), 1..20),
    ) {
        let mut home = TestHome::new();
        home.apply(workers(13)).unwrap();
        let mut authors = 10;
        for (vm, leaves) in changes {
            authors += 1;
            let before = owners(&home.state);
            if leaves && home.state.vms.len() > 1 {
                let session = *home.state.sessions.keys().next_back().unwrap();
                home.apply(Record::Fence(session)).ok();
            } else {
                home.apply_as(Incarnation(authors), join(&format!("vm-{vm}"))).ok();
            }
            let after = owners(&home.state);
            let restored = State::from_image(home.state.image(), home.now);
            prop_assert_eq!(owners(&restored), after.clone());
            prop_assert_eq!(restored.image(), home.state.image());
            let mut loads = std::collections::BTreeMap::new();
            for owner in &after {
                *loads.entry(owner.clone().expect("each worker has an owner")).or_insert(0) += 1;
            }
            let most = loads.values().max().unwrap();
            let least = if loads.len() < home.state.vms.len() { &0 } else { loads.values().min().unwrap() };
            prop_assert!(most - least <= 1, "{:?}", loads);
            let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
            prop_assert!(moved <= 13_usize.div_ceil(home.state.vms.len().min(2)), "{moved} workers moved");
        }
    }
}
