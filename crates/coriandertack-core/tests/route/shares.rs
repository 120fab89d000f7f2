use coriandertack_core::{
    keys::{Offset, Session},
    routing::shares::{MAX_WORKER_CONNECTIONS, MAX_WORKER_SLOTS, Share, SlotShares, share_at},
};

/// Guards against shares whose sum is more or less than the limits of a worker.
#[test]
fn shares_add_up_to_the_worker_limits() {
    for vms in 1..=80 {
        for worker in ["w1", "split-r3-w7", "dakar-w19"] {
            let shares: Vec<Share> =
                (0..vms).map(|position| share_at(worker, position, vms)).collect();
            assert_eq!(shares.iter().map(|share| share.slots).sum::<u32>(), MAX_WORKER_SLOTS);
            let connections: u32 = shares.iter().map(|share| share.connections).sum();
            assert_eq!(connections, MAX_WORKER_CONNECTIONS);
            // A request in a slot needs a connection.
            assert!(shares.iter().all(|share| share.connections >= share.slots), "{vms} VMs");
        }
    }
}

/// Guards against giving the remainder of the division to the same VMs on every worker.
#[test]
fn remainder_is_spread() {
    for vms in [3_usize, 9, 12] {
        let workers: Vec<String> = (0..600).map(|at| format!("w{at}")).collect();
        let even_slots = 600.0 * f64::from(MAX_WORKER_SLOTS) / vms as f64;
        for position in 0..vms {
            let slots: u32 =
                workers.iter().map(|worker| share_at(worker, position, vms).slots).sum();
            let ratio = f64::from(slots) / even_slots;
            assert!(
                (0.85..1.15).contains(&ratio),
                "position {position} of {vms} has {ratio} times the even share"
            );
        }
    }
}

/// Guards against two VMs that use the same slot while they have read different memberships.
#[test]
fn shares_fit_during_membership_changes() {
    let mut sessions: Vec<Session> = vec![Session(1), Session(2)];
    let mut views: Vec<(Session, SlotShares, Offset)> = Vec::new();
    for &session in &sessions {
        let mut shares = SlotShares::default();
        shares.observe(Offset(2), session, &sessions);
        shares.confirm(|_| Some(Offset(2)));
        views.push((session, shares, Offset(2)));
    }
    // Each step adds a member or removes the oldest. The VMs read the change one after the other, and each
    // reports the newest membership that it has read.
    for step in 3..20_u64 {
        if step % 3 == 0 {
            let ended = sessions.remove(0);
            views.retain(|&(session, ..)| session != ended);
        } else {
            sessions.push(Session(step));
            views.push((Session(step), SlotShares::default(), Offset(0)));
        }
        for index in 0..views.len() {
            let offsets: Vec<(Session, Offset)> =
                views.iter().map(|&(session, _, confirmed)| (session, confirmed)).collect();
            let (own_session, shares, confirmed) = &mut views[index];
            shares.observe(Offset(step), *own_session, &sessions);
            *confirmed = Offset(step);
            shares
                .confirm(|vm| offsets.iter().find(|(known, _)| *known == vm).map(|known| known.1));
            assert_fits(&views);
        }
        for index in 0..views.len() {
            let step = Offset(step);
            views[index].1.confirm(|_| Some(step));
            assert_fits(&views);
        }
    }
}

fn assert_fits(views: &[(Session, SlotShares, Offset)]) {
    for worker in ["w1", "w2", "w3", "w4"] {
        let slots: u32 = views.iter().map(|(_, shares, _)| shares.share_of(worker).slots).sum();
        assert!(slots <= MAX_WORKER_SLOTS, "{slots} slots of {worker} allowed");
    }
}

/// Guards against giving a new VM a share before the other VMs have read that it joined.
#[test]
fn new_vm_has_no_share_until_confirmed() {
    let mut shares = SlotShares::default();
    let members = [Session(1), Session(2)];
    shares.observe(Offset(2), Session(2), &members);
    assert!(!shares.confirm(|_| Some(Offset(1))));
    assert_eq!(shares.share_of("w1"), Share::default());
    assert!(shares.confirm(|_| Some(Offset(2))));
    assert_eq!(shares.share_of("w1").slots, 4);
}
