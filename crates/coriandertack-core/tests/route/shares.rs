use coriandertack_core::{
    keys::{Offset, Session},
    routing::shares::{MAX_WORKER_CONNECTIONS, MAX_WORKER_SLOTS, Share, SlotShares, share_at},
};

/// Guards against shares that add up to more, or less, than a worker has.
#[test]
fn shares_add_up() {
    for vms in 1..=80 {
        for worker in ["w1", "split-r3-w7", "dakar-w19"] {
            let shares: Vec<Share> = (0..vms).map(|place| share_at(worker, place, vms)).collect();
            assert_eq!(shares.iter().map(|share| share.slots).sum::<u32>(), MAX_WORKER_SLOTS);
            let connections: u32 = shares.iter().map(|share| share.connections).sum();
            assert_eq!(connections, MAX_WORKER_CONNECTIONS);
            // Each slot needs a connection.
            assert!(shares.iter().all(|share| share.connections >= share.slots), "{vms} VMs");
        }
    }
}

/// Guards against a remainder that always goes to the same VMs.
#[test]
fn remainder_is_spread() {
    for vms in [3_usize, 9, 12] {
        let workers: Vec<String> = (0..600).map(|at| format!("w{at}")).collect();
        let even = 600.0 * f64::from(MAX_WORKER_SLOTS) / vms as f64;
        for place in 0..vms {
            let slots: u32 = workers.iter().map(|worker| share_at(worker, place, vms).slots).sum();
            let ratio = f64::from(slots) / even;
            assert!(
                (0.85..1.15).contains(&ratio),
                "place {place} of {vms} has {ratio} of an even part"
            );
        }
    }
}

/// Guards against two VMs that use a slot at the same time while they have read different memberships.
#[test]
fn allowed_slots_fit_through_every_change() {
    let mut sessions: Vec<Session> = vec![Session(1), Session(2)];
    let mut views: Vec<(Session, SlotShares, Offset)> = Vec::new();
    for &session in &sessions {
        let mut shares = SlotShares::default();
        shares.observe(Offset(2), session, &sessions);
        shares.confirm(|_| Some(Offset(2)));
        views.push((session, shares, Offset(2)));
    }
    // Each step adds a member or drops the oldest. VMs read it one after the other, and each tells
    // which membership it keeps to.
    for step in 3..20_u64 {
        if step % 3 == 0 {
            let gone = sessions.remove(0);
            views.retain(|&(session, ..)| session != gone);
        } else {
            sessions.push(Session(step));
            views.push((Session(step), SlotShares::default(), Offset(0)));
        }
        for at in 0..views.len() {
            let settled: Vec<(Session, Offset)> =
                views.iter().map(|&(session, _, settled)| (session, settled)).collect();
            let (me, shares, kept) = &mut views[at];
            shares.observe(Offset(step), *me, &sessions);
            *kept = Offset(step);
            shares
                .confirm(|of| settled.iter().find(|(known, _)| *known == of).map(|known| known.1));
            assert_fits(&views);
        }
        for at in 0..views.len() {
            let step = Offset(step);
            views[at].1.confirm(|_| Some(step));
            assert_fits(&views);
        }
    }
}

fn assert_fits(views: &[(Session, SlotShares, Offset)]) {
    for worker in ["w1", "w2", "w3", "w4"] {
        let slots: u32 = views.iter().map(|(_, shares, _)| shares.share_of(worker).slots).sum();
        assert!(slots <= MAX_WORKER_SLOTS, "{slots} slots of {worker}");
    }
}

/// Guards against a share for a VM that the others do not know yet.
#[test]
fn new_vm_waits_for_the_others() {
    let mut shares = SlotShares::default();
    let members = [Session(1), Session(2)];
    shares.observe(Offset(2), Session(2), &members);
    assert!(!shares.confirm(|_| Some(Offset(1))));
    assert_eq!(shares.share_of("w1"), Share::default());
    assert!(shares.confirm(|_| Some(Offset(2))));
    assert_eq!(shares.share_of("w1").slots, 4);
}
