//! Guards against a home that asks the wrong owner, or gives up although an owner may have room.

use {
    coriandertack_core::{
        cell::{Phase, Reach},
        home_choice::{Choice, Owner, choose_owner, rank_owners},
        keys::VmKey,
        message::Summary,
        record::Kind,
        resources::Resources,
    },
    slotmap::SlotMap,
};

use crate::support::{ACCELERATED, Fleet, PLAIN, ask, gang};

const CORE: Resources = Resources::new(1_000, 1_024, 0);

fn owners(summaries: &[Summary]) -> (Vec<VmKey>, Vec<Owner>) {
    let mut keys: SlotMap<VmKey, ()> = SlotMap::with_key();
    let vms: Vec<VmKey> = summaries.iter().map(|_| keys.insert(())).collect();
    let known = vms.iter().zip(summaries);
    (vms.clone(), known.map(|(&vm, &summary)| Owner { vm, summary, copies: 0 }).collect())
}

/// Returns the summary of workers of which the first has the given use.
fn summary(count: usize, capacity: Resources, used: Resources) -> Summary {
    let mut fleet = Fleet::of(count, capacity);
    if used != Resources::ZERO {
        fleet.cell.place(&ask(1, Kind::Batch, used), Phase::Running).expect("there is room");
    }
    fleet.cell.summary()
}

#[test]
fn batch_work_goes_to_the_tightest_owner_and_copies_to_the_one_with_fewest() {
    let tight = summary(2, PLAIN, Resources::new(12_000, 1_024, 0));
    let loose = summary(2, PLAIN, Resources::new(1_000, 1_024, 0));
    let (vms, mut owners) = owners(&[loose, tight]);
    let kept = |vm| Some(Choice { vm, reach: Reach::Kept });
    assert_eq!(choose_owner(&owners, &ask(1, Kind::Batch, CORE)), kept(vms[1]));
    assert_eq!(choose_owner(&owners, &ask(1, Kind::Service, CORE)), kept(vms[0]));
    owners[0].copies = 1;
    assert_eq!(choose_owner(&owners, &ask(1, Kind::Service, CORE)), kept(vms[1]));
}

#[test]
fn other_owners_come_before_accelerated_workers() {
    let accelerated = summary(2, ACCELERATED, CORE);
    let plain = summary(2, PLAIN, Resources::ZERO);
    let (vms, owners) = owners(&[accelerated, plain]);
    let ranked = rank_owners(&owners, &[ask(1, Kind::Batch, CORE)]);
    assert_eq!(ranked[0], Choice { vm: vms[1], reach: Reach::Kept });
    assert!(ranked.contains(&Choice { vm: vms[0], reach: Reach::Any }));
    let needs = Resources { accelerators: 1, ..CORE };
    assert_eq!(
        choose_owner(&owners, &ask(2, Kind::Batch, needs)).map(|choice| choice.vm),
        Some(vms[0])
    );
}

#[test]
fn an_owner_that_a_summary_does_not_rule_out_is_asked_last() {
    // The worker with the most processors has no memory left, but another one has.
    let mut fleet = Fleet::of(2, PLAIN);
    let memory = Resources::new(1_000, 30_000, 0);
    let cores = Resources::new(4_000, 20_000, 0);
    fleet.cell.place(&ask(1, Kind::Batch, memory), Phase::Running).expect("there is room");
    fleet.cell.place(&ask(2, Kind::Batch, cores), Phase::Running).expect("there is room");
    let unclear = fleet.cell.summary();
    let need = Resources::new(2_000, 8_192, 0);
    assert!(!need.fits(unclear.plain.largest));
    let (vms, owners) = owners(&[unclear, summary(9, PLAIN, Resources::ZERO)]);
    let ranked = rank_owners(&owners, &[ask(3, Kind::Batch, need)]);
    assert_eq!(ranked.first().map(|choice| choice.vm), Some(vms[1]));
    assert!(ranked.iter().any(|choice| choice.vm == vms[0]));
    assert!(fleet.cell.place(&ask(3, Kind::Batch, need), Phase::Running).is_ok());
}

#[test]
fn an_owner_that_is_certainly_full_is_not_asked() {
    let full = summary(1, PLAIN, PLAIN);
    let (_, owners) = owners(&[full]);
    assert_eq!(choose_owner(&owners, &ask(1, Kind::Batch, CORE)), None);
    let small = summary(1, PLAIN, Resources::ZERO);
    let (_, owners) = self::owners(&[small]);
    assert!(rank_owners(&owners, &gang(1, 3, Resources::new(8_000, 1_024, 0))).is_empty());
}
