//! Calls for advice and their tickets.

use std::sync::Arc;

use coriandertack_jobs::{
    boot_time::BootTime,
    config::{AdvicePolicy, Route},
    report::StartRefusal,
    sched::{AdviceCall, StartOutcome},
};

use crate::support::{FakeWorker, World, advised_route, entry, spec, step, task};

fn advice_vms(world: &mut World, names: &[&str]) {
    let names: Vec<Arc<str>> = names.iter().map(|name| Arc::from(*name)).collect();
    world.sched.set_advice_vms(&names);
}

fn allow_all(call: &AdviceCall) -> Vec<(Arc<str>, Arc<str>)> {
    call.workers.iter().map(|(_, name)| (name.clone(), "ticket".into())).collect()
}

/// Guards against starts that the policy would reject for want of a ticket.
#[test]
fn a_start_waits_for_its_ticket() {
    let mut world = World::new(&[4, 4]);
    advice_vms(&mut world, &["split-1"]);
    world.admit(1, spec(advised_route(), vec![step(1, 1)]));
    let calls = world.turn();
    assert_eq!((calls.len(), world.running()), (1, 0));
    let rows = allow_all(&calls[0]);
    world.sched.record_advice(&calls[0], Some(&rows), world.now);
    world.turn();
    assert_eq!(world.starts[0].ticket.as_ref().map(|ticket| &*ticket.text), Some("ticket"));
}

/// Guards against a start with a ticket that has lapsed.
#[test]
fn a_lapsed_ticket_is_asked_for_again() {
    let mut world = World::new(&[4]);
    advice_vms(&mut world, &["split-1"]);
    world.admit(1, spec(advised_route(), vec![step(1, 1)]));
    let calls = world.turn();
    let rows = allow_all(&calls[0]);
    world.sched.record_advice(&calls[0], Some(&rows), world.now);
    world.now = world.now.plus_ms(1_900);
    let again = world.turn();
    assert_eq!((again.len(), world.running()), (1, 0));
}

/// Guards against calls that name workers which the policy never allows.
#[test]
fn a_worker_that_is_not_allowed_is_not_named_again() {
    let mut world = World::new(&[4]);
    advice_vms(&mut world, &["split-1"]);
    world.admit(1, spec(advised_route(), vec![step(1, 1)]));
    let calls = world.turn();
    world.sched.record_advice(&calls[0], Some(&[]), world.now);
    world.now = world.now.plus_ms(5_000);
    assert!(world.turn().is_empty());
}

/// Guards against a call that fails and holds the step for ever.
#[test]
fn a_failed_call_is_made_again() {
    let mut world = World::new(&[4]);
    advice_vms(&mut world, &["split-1"]);
    world.admit(1, spec(advised_route(), vec![step(1, 1)]));
    let calls = world.turn();
    world.sched.record_advice(&calls[0], None, world.now);
    world.now = world.now.plus_ms(200);
    assert_eq!(world.turn().len(), 1);
}

/// Guards against calls that queue at one VM while others have nothing to do.
#[test]
fn calls_are_spread_over_the_lanes() {
    let mut world = World::new(&[4]);
    advice_vms(&mut world, &["split-1", "zadar-1", "dubrovnik-1"]);
    for id in 1..=3 {
        world.admit(id, spec(advised_route(), vec![step(1, 1)]));
    }
    let calls = world.turn();
    let mut vms: Vec<_> = calls.iter().map(|call| call.vm.clone()).collect();
    vms.sort();
    vms.dedup();
    assert_eq!(vms.len(), 3);
}

/// Guards against a ticket that a worker refuses and that is used again.
#[test]
fn a_refused_ticket_is_dropped() {
    let mut world = World::new(&[4]);
    advice_vms(&mut world, &["split-1"]);
    world.admit(1, spec(advised_route(), vec![step(1, 1)]));
    let calls = world.turn();
    world.sched.record_advice(&calls[0], Some(&allow_all(&calls[0])), world.now);
    world.sched.place(world.now);
    world.sched.take_batch();
    let refused = StartOutcome::Refused(StartRefusal::Ticket);
    world.sched.record_start_outcome(world.keys[0], task(1, 0, 0), 1, refused, world.now);
    assert_eq!(world.turn().len(), 1);
}

/// Guards against a gang that asks again and again for tickets that lapse before it has room.
#[test]
fn a_gang_without_room_asks_for_no_tickets() {
    let mut world = World::new(&[4, 4, 4, 4]);
    advice_vms(&mut world, &["split-1"]);
    let mut gang = step(4, 1);
    gang.gang = true;
    world.admit(1, spec(advised_route(), vec![gang]));
    let calls = world.turn();
    world.sched.record_advice(&calls[0], Some(&allow_all(&calls[0])), world.now);
    // Other work takes the room while the call was under way.
    for id in 10..26 {
        world.admit(id, crate::support::job(vec![step(1, 1)]));
    }
    world.now = world.now.plus_ms(3_000);
    world.turn();
    let later: usize = (0..50).map(|_| world.turn().len()).sum();
    assert!(later <= 2, "{later} calls");
}

/// Guards against calls that name too few workers because renewed tickets, which are all granted, count as a sign that the
/// policy allows most workers.
#[test]
fn renewed_tickets_do_not_teach_the_share() {
    let mut world = World::new(&[4; 12]);
    advice_vms(&mut world, &["split-1"]);
    world.admit(1, spec(advised_route(), vec![step(1, 4)]));
    let first = world.turn();
    world.sched.record_advice(&first[0], Some(&allow_all(&first[0])), world.now);
    let mut gang = step(2, 4);
    gang.gang = true;
    world.admit(2, spec(advised_route(), vec![gang.clone()]));
    let before = world.turn().iter().map(|call| call.workers.len()).max();
    // The tickets of the first step lapse and are renewed again and again.
    for _ in 0..40 {
        let call = &first[0];
        world.sched.record_advice(call, Some(&allow_all(call)), world.now);
        world.now = world.now.plus_ms(2_000);
    }
    world.admit(3, spec(advised_route(), vec![gang]));
    let after = world.turn().iter().map(|call| call.workers.len()).max();
    assert!(after >= before, "{after:?} of {before:?} workers");
}

/// Runs a world whose calls take their full time, until something runs or the time is over. Returns the time that it took.
fn run_with_slow_advice(world: &mut World, limit_ms: u64) -> u64 {
    let begun = world.now;
    let mut pending: Vec<(BootTime, AdviceCall)> = Vec::new();
    while world.running() == 0 && world.now.ms_since(begun) < limit_ms {
        let (due, later) = pending.into_iter().partition(|(at, _)| *at <= world.now);
        pending = later;
        let due: Vec<(BootTime, AdviceCall)> = due;
        for (_, call) in due {
            world.sched.record_advice(&call, Some(&allow_all(&call)), world.now);
        }
        for call in world.turn() {
            let policy = slow_advice();
            let cost = policy.cost_ms(call.workers.len()) as u64;
            pending.push((world.now.plus_ms(cost), call));
        }
    }
    world.now.ms_since(begun)
}

fn slow_advice() -> AdvicePolicy {
    AdvicePolicy { call_ms: 600.0, worker_ms: 1.0, validity_ms: 850 }
}

/// Guards against a gang that renews some tickets while the others lapse, and so never holds all of them at once.
#[test]
fn a_gang_renews_all_tickets_that_lapse_before_the_answer() {
    let mut world = World::new(&[4, 4]);
    advice_vms(&mut world, &["split-1", "zadar-1"]);
    let mut gang = step(4, 4);
    gang.gang = true;
    let route = Route { advice: Some(slow_advice()), ..advised_route() };
    world.admit(1, spec(route, vec![gang]));
    run_with_slow_advice(&mut world, 700);
    for name in ["late-1", "late-2"] {
        let key = world.sched.upsert_worker(&Arc::from(name), Arc::new(entry(4)), world.now);
        world.workers.insert(key, FakeWorker::default());
        world.keys.push(key);
    }
    world.list_all();
    let took = run_with_slow_advice(&mut world, 10_000);
    assert_eq!(world.running(), 4, "nothing runs after {took} ms");
}

/// Guards against room that stands idle during the call for its tickets: what will be free by the answer counts.
#[test]
fn a_gang_asks_before_its_room_is_free() {
    let mut world = World::new(&[4, 4]);
    advice_vms(&mut world, &["split-1", "zadar-1"]);
    world.admit(10, crate::support::job(vec![step(2, 3)]));
    world.turn();
    assert_eq!(world.running(), 2);
    let mut gang = step(2, 4);
    gang.gang = true;
    let policy = AdvicePolicy { validity_ms: 5_000, ..slow_advice() };
    let route = Route { advice: Some(policy), ..advised_route() };
    world.admit(1, spec(route, vec![gang]));
    let first = world.turn();
    world.sched.record_advice(&first[0], Some(&allow_all(&first[0])), world.now);
    // The tickets lapse, and the runs, of 1,000 ms by their estimate, should end within the next call.
    world.now = world.now.plus_ms(4_900);
    for key in world.keys.clone() {
        let worker = world.workers.get_mut(&key).unwrap();
        worker.running.values_mut().for_each(|(_, percent)| *percent = 95);
    }
    world.list_all();
    let calls = world.turn();
    assert_eq!(calls.iter().map(|call| call.workers.len()).sum::<usize>(), 2);
}

/// Guards against a second call for want of one more allowed worker, where naming more costs next to nothing.
#[test]
fn a_short_call_names_more_workers_than_needed() {
    let mut world = World::new(&[4; 30]);
    advice_vms(&mut world, &["split-1"]);
    world.admit(1, spec(advised_route(), vec![step(1, 1)]));
    let named = world.turn()[0].workers.len();
    assert!((6..=10).contains(&named), "{named} workers");
}

/// Guards against advice VMs that stand idle while a slow store records the last decisions.
#[test]
fn advice_is_asked_for_while_a_record_is_under_way() {
    let mut world = World::new(&[4]);
    advice_vms(&mut world, &["split-1"]);
    world.admit(1, spec(advised_route(), vec![step(1, 1)]));
    world.sched.request_advice(world.now);
    let calls = world.sched.take_calls();
    assert_eq!(calls.len(), 1);
    world.sched.record_advice(&calls[0], Some(&allow_all(&calls[0])), world.now);
    // The room is taken for the step, so no further call is made, and nothing is bound.
    world.sched.request_advice(world.now);
    assert!(world.sched.take_calls().is_empty());
    assert!(world.sched.take_batch().commands.is_empty());
    world.turn();
    assert_eq!(world.running(), 1);
}

/// Guards against starts whose tickets lapse while a slow store records them: on ancfcc-sales-grown trouble-2 the workers refused
/// 332 starts in 5 s, and each step asked again.
#[test]
fn a_ticket_outlives_the_record_of_its_start() {
    let mut world = World::new(&[4]);
    advice_vms(&mut world, &["split-1"]);
    world.sched.set_record_delay(700);
    world.admit(1, spec(advised_route(), vec![step(1, 1)]));
    let calls = world.turn();
    world.sched.record_advice(&calls[0], Some(&allow_all(&calls[0])), world.now);
    world.now = world.now.plus_ms(1_100);
    let again = world.turn();
    assert_eq!((world.running(), again.len()), (0, 1), "650 ms are left of the ticket");
    world.sched.record_advice(&again[0], Some(&allow_all(&again[0])), world.now);
    world.turn();
    assert_eq!(world.running(), 1);
}
