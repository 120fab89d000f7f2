//! Leases as the worker keeps them, compared with what the leader assumes.

use std::sync::Arc;

use coriandertack_jobs::{
    boot_time::{BootTime, WallTime},
    config::Config,
    ids::JobId,
    report::{RunList, StartRefusal, WorkerEntry},
    sched::{LEADERSHIP_TERM_MS, LossCause, MAX_LEASE_MS, Scheduler, StartOutcome, WorkerKey},
};

use crate::support::{
    INCARNATION, NEXT_INCARNATION, TestCluster, apply_list, job, step, task, worker_entry,
};

/// Longest lease that a worker accepts, in milliseconds.
const LEASE_LIMIT_MS: u64 = 10_000;

/// Reading of the clock of a worker that has been up for some minutes, in milliseconds.
const FORMER_CLOCK_MS: u64 = 480_000;

/// Time between two requests to a worker that does not answer, in milliseconds.
const RETRY_MS: u64 = 150;

/// The lease of a worker whose clock showed 0 at `born` and runs 2% slow.
struct SlowLease {
    born: BootTime,
    end_ms: u64,
}

impl SlowLease {
    /// Applies the end of a lease from a call that arrives at `now`.
    fn extend(&mut self, until_ms: u64, now: BootTime) {
        let limit_ms = now.ms_since(self.born) * 98 / 100 + LEASE_LIMIT_MS;
        self.end_ms = self.end_ms.max(until_ms.min(limit_ms));
    }

    /// Returns when the lease expires, on the leader's clock.
    fn expiry(&self) -> BootTime {
        self.born.plus_ms(self.end_ms * 100 / 98)
    }
}

fn empty_list(clock_ms: u64, born: Option<u64>) -> RunList {
    RunList { clock_ms, born, ..RunList::default() }
}

/// Grants a lease to a worker now, and returns its end on the worker's clock.
fn grant(cluster: &mut TestCluster, key: WorkerKey) -> u64 {
    let now = cluster.now;
    cluster.sched.worker_mut(key).unwrap().grant_lease(now).unwrap()
}

/// Lets a worker stay silent until the leader gives it up. Returns when that is.
fn time_of_loss(cluster: &mut TestCluster, key: WorkerKey) -> BootTime {
    let cut_at = cluster.now;
    while cluster.sched.record_list_failure(key, cut_at, false, cluster.now) {
        cluster.now = cluster.now.plus_ms(RETRY_MS);
    }
    cluster.now
}

/// Guards against a second run of the tasks of a worker that started again under its name and was then
/// cut off: it had taken a lease end of its former clock, which it cuts to the longest lease.
#[test]
fn lease_from_the_former_clock_is_waited_for() {
    // Time after the restart at which a call for the former incarnation is carried out.
    for delay_ms in [0, 400, 3_000] {
        let mut cluster = TestCluster::new(&[4]);
        let former = cluster.keys[0];
        let name = cluster.sched.worker(former).unwrap().name.clone();
        let list = empty_list(FORMER_CLOCK_MS, INCARNATION);
        apply_list(&mut cluster.sched, former, cluster.now, &list, cluster.now);
        cluster.admit(1, job(vec![step(1, 1)]));
        cluster.run_pass();

        let until_ms = grant(&mut cluster, former);
        let mut lease = SlowLease { born: cluster.now, end_ms: 0 };
        lease.extend(until_ms, cluster.now.plus_ms(delay_ms));
        let list = empty_list(1, NEXT_INCARNATION);
        let sent = cluster.now;
        cluster.now = sent.plus_ms(1);
        assert!(apply_list(&mut cluster.sched, former, sent, &list, cluster.now).is_none());
        cluster.sched.remove_lost_worker(former, LossCause::Replaced, cluster.now);
        let entry = WorkerEntry { born: NEXT_INCARNATION, ..worker_entry(4) };
        let key = cluster.sched.upsert_worker(&name, Arc::new(entry), cluster.now);
        assert_ne!(key, former);
        apply_list(&mut cluster.sched, key, cluster.now, &list, cluster.now.plus_ms(1));
        cluster.run_pass();
        assert_eq!(cluster.starts.last().unwrap().worker, key);

        let lost_at = time_of_loss(&mut cluster, key);
        let expiry = lease.expiry();
        assert!(
            lost_at >= expiry,
            "given up {} ms before its lease expires, with a delay of {delay_ms} ms",
            expiry.ms_since(lost_at)
        );
    }
}

/// Guards against a second run of the tasks of a worker that took a lease end of its former clock from a
/// former leader, before the successor requested its list.
#[test]
fn successor_waits_for_a_lease_from_the_former_clock() {
    for (clock_ms, lease_ms) in [(1_500, LEASE_LIMIT_MS), (FORMER_CLOCK_MS, MAX_LEASE_MS)] {
        let mut cluster = TestCluster::new(&[]);
        cluster.sched.succeed_leader(cluster.now);
        let key = cluster.sched.upsert_worker(&"w0".into(), Arc::new(worker_entry(4)), cluster.now);
        let list = empty_list(clock_ms, INCARNATION);
        apply_list(&mut cluster.sched, key, cluster.now, &list, cluster.now);
        cluster.admit(1, job(vec![step(1, 1)]));
        let answered_at = cluster.now;
        cluster.run_pass();
        assert_eq!(cluster.starts.len(), 1);
        let lost_at = time_of_loss(&mut cluster, key);
        let waited_ms = lost_at.ms_since(answered_at);
        let longest_ms = lease_ms * 100 / 98;
        assert!(
            (longest_ms..longest_ms + 500).contains(&waited_ms),
            "{waited_ms} ms with a clock of {clock_ms}, but the lease lasts {longest_ms} ms"
        );
    }
}

/// Guards against a second run of a task whose start a former leader sent at the end of its term, with
/// a lease end on the former clock of a worker that the successor cannot reach.
#[test]
fn unreachable_worker_keeps_the_longest_lease_of_a_late_start() {
    let mut cluster = TestCluster::new(&[4]);
    let spec = job(vec![step(1, 1)]);
    cluster.admit(1, spec.clone());
    cluster.run_pass();
    let began = cluster.now;
    let arrival = began.plus_ms(LEADERSHIP_TERM_MS + 3_000);
    let expiry = arrival.plus_ms(LEASE_LIMIT_MS * 100 / 98);
    let mut next = Scheduler::new(Arc::new(Config::default()));
    next.succeed_leader(began);
    next.admit(JobId(1), Arc::new(spec), cluster.records.get(&JobId(1)), false, began, WallTime(0));
    let [key] = next.worker_keys()[..] else { panic!("the record names the worker") };
    let mut now = began;
    while next.record_list_failure(key, began, false, now) {
        now = now.plus_ms(RETRY_MS);
    }
    assert!(now >= expiry, "given up {} ms before its lease expires", expiry.ms_since(now));
}

/// Guards against a lease that is taken for shorter than the worker keeps it because the leader stood
/// still between reading its clock and sending the call.
#[test]
fn lease_of_a_delayed_start_is_waited_for() {
    for stood_still_ms in [0, 3_000, 30_000] {
        let mut cluster = TestCluster::new(&[4]);
        let key = cluster.keys[0];
        let list = empty_list(1, INCARNATION);
        let born = cluster.now;
        apply_list(&mut cluster.sched, key, born, &list, born);
        cluster.admit(1, job(vec![step(1, 1)]));
        cluster.run_pass();
        let until_ms = grant(&mut cluster, key);
        cluster.now = cluster.now.plus_ms(stood_still_ms);
        let mut lease = SlowLease { born, end_ms: 0 };
        lease.extend(until_ms, cluster.now);
        let lost_at = time_of_loss(&mut cluster, key);
        assert!(lost_at >= lease.expiry(), "after {stood_still_ms} ms");
    }
}

/// Guards against a lease that is not waited for because the start that extended it was refused, was not
/// answered or ended at once.
#[test]
fn lease_of_a_refused_start_is_waited_for() {
    let outcomes = [
        StartOutcome::Refused(StartRefusal::Superseded),
        StartOutcome::Refused(StartRefusal::NoRoom),
        StartOutcome::Unanswered,
        StartOutcome::NotSent,
    ];
    for outcome in outcomes {
        let mut cluster = TestCluster::new(&[4]);
        let (key, born) = (cluster.keys[0], cluster.now);
        apply_list(&mut cluster.sched, key, born, &empty_list(1, INCARNATION), born);
        cluster.admit(1, job(vec![step(1, 1)]));
        cluster.run_pass();
        cluster.now = cluster.now.plus_ms(4_000);
        cluster.admit(2, job(vec![step(1, 1)]));
        cluster.sched.place(cluster.now);
        let _start = cluster.sched.take_batch();
        let until_ms = grant(&mut cluster, key);
        let mut lease = SlowLease { born, end_ms: 0 };
        lease.extend(until_ms, cluster.now);
        cluster.sched.record_start_outcome(key, task(2, 0, 0), 1, outcome, cluster.now);
        let lost_at = time_of_loss(&mut cluster, key);
        assert!(lost_at >= lease.expiry(), "after {outcome:?}");
    }
}

/// Guards against a second run of the tasks of a worker that was removed while it had none, and came
/// back: a lease that was granted by an old reading of its slow clock outlasts the next one.
#[test]
fn lease_of_a_worker_that_comes_back_is_waited_for() {
    let mut cluster = TestCluster::new(&[4]);
    let (key, born) = (cluster.keys[0], cluster.now);
    apply_list(&mut cluster.sched, key, born, &empty_list(1, INCARNATION), born);
    cluster.now = born.plus_ms(200_000);
    let until_ms = grant(&mut cluster, key);
    let mut lease = SlowLease { born, end_ms: 0 };
    lease.extend(until_ms, cluster.now);
    while cluster.sched.record_list_failure(key, cluster.now, true, cluster.now) {}
    let entry = Arc::new(worker_entry(4));
    let key = cluster.sched.upsert_worker(&"w0".into(), entry, cluster.now);
    let clock_ms = cluster.now.ms_since(born) * 98 / 100;
    let list = empty_list(clock_ms, INCARNATION);
    apply_list(&mut cluster.sched, key, cluster.now, &list, cluster.now);
    cluster.admit(1, job(vec![step(1, 1)]));
    cluster.run_pass();
    let lost_at = time_of_loss(&mut cluster, key);
    let expiry = lease.expiry();
    assert!(lost_at >= expiry, "given up {} ms before its lease expires", expiry.ms_since(lost_at));
}

/// Guards against a first lease, after a worker was idle, that is longer than the others by what its slow
/// clock lags behind: a successor does not know of it.
#[test]
fn lease_by_an_old_reading_of_the_clock_is_no_longer_than_others() {
    for idle_ms in [0, 20_000, 100_000, 150_000] {
        let mut cluster = TestCluster::new(&[4]);
        let (key, born) = (cluster.keys[0], cluster.now);
        apply_list(&mut cluster.sched, key, born, &empty_list(0, INCARNATION), born);
        cluster.now = born.plus_ms(idle_ms);
        let until_ms = grant(&mut cluster, key);
        assert!(until_ms >= idle_ms + 2_000, "it expires at once on a clock that is not slow");
        let mut lease = SlowLease { born, end_ms: 0 };
        lease.extend(until_ms, cluster.now);
        let lease_ms = lease.expiry().ms_since(cluster.now);
        assert!(lease_ms <= MAX_LEASE_MS * 100 / 98 + 1, "{lease_ms} ms after {idle_ms} ms");
        assert!(cluster.sched.worker(key).unwrap().lease_end() >= lease.expiry());
    }
}

/// Guards against a second run of a task whose start got no answer: it is carried out as late as
/// calls are expected to be, by an incarnation that the leader cannot reach, under the longest lease.
#[test]
fn start_that_may_be_carried_out_late_is_waited_for() {
    for delay_ms in [2_000, 6_000, 11_900] {
        let mut cluster = TestCluster::new(&[4]);
        let key = cluster.keys[0];
        let list = empty_list(FORMER_CLOCK_MS, INCARNATION);
        apply_list(&mut cluster.sched, key, cluster.now, &list, cluster.now);
        cluster.admit(1, job(vec![step(1, 1)]));
        cluster.sched.place(cluster.now);
        let _sent = cluster.sched.take_batch();
        let until_ms = grant(&mut cluster, key);
        let (id, sent) = (task(1, 0, 0), cluster.now);
        assert!(cluster.sched.prepare_start(key, id, 1, sent));
        cluster.now = sent.plus_ms(400);
        let outcome = StartOutcome::Unanswered;
        cluster.sched.record_start_outcome(key, id, 1, outcome, cluster.now);

        let arrival = sent.plus_ms(delay_ms);
        let mut lease = SlowLease { born: arrival, end_ms: 0 };
        lease.extend(until_ms, arrival);
        let lost_at = time_of_loss(&mut cluster, key);
        let expiry = lease.expiry();
        assert!(
            lost_at >= expiry,
            "given up {} ms before its lease expires, with a delay of {delay_ms} ms",
            expiry.ms_since(lost_at)
        );
    }
}

/// Guards against a second run beside one that a late call keeps: a former leader's calls may be carried out for as long
/// as this leader's own, and extend the lease of a young incarnation to the longest.
#[test]
fn successor_counts_a_lease_from_a_call_that_was_held_up() {
    let mut cluster = TestCluster::new(&[]);
    cluster.sched.succeed_leader(cluster.now);
    // The former leader granted the lease as it was replaced, and the call is carried out 11.5 s later.
    cluster.now = cluster.now.plus_ms(11_600);
    let key = cluster.sched.upsert_worker(&"w0".into(), Arc::new(worker_entry(4)), cluster.now);
    let list = empty_list(100, INCARNATION);
    apply_list(&mut cluster.sched, key, cluster.now, &list, cluster.now);
    let lease_ms = cluster.sched.worker(key).unwrap().lease_end().ms_since(cluster.now);
    assert!(lease_ms >= LEASE_LIMIT_MS, "counted {lease_ms} ms");
}
