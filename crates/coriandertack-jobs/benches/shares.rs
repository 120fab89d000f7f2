//! Benchmark of a scheduling pass over 20,000 tasks that wait for a full cluster, by the number of
//! teams that sent them.

use std::{hint::black_box, sync::Arc};

use {
    coriandertack_core::resources::Resources,
    coriandertack_jobs::{
        boot_time::{BootTime, WallTime},
        config::{Config, Route},
        ids::JobId,
        report::{EndCause, RunEnd, RunList, WorkerEntry},
        sched::{ListCall, Scheduler, WorkerKey},
        spec::{JobSpec, StepSpec},
        teams::{Team, Teams},
    },
    criterion::{Criterion, criterion_group, criterion_main},
};

const WORKER_COUNT: u32 = 350;
const WAITING_TASKS: u32 = 20_000;
const TASKS_PER_JOB: u32 = 20;
const NOW: BootTime = BootTime(1_000_000);

fn config(teams: usize) -> Config {
    let team = |number: usize| {
        let name = format!("team-{number}").into();
        let team = Team { name, weight: 1.0 + (number % 3) as f64, cap: Resources::ZERO };
        (team, vec![format!("key-{number}")])
    };
    let teams = (teams > 0).then(|| Teams::new((0..teams).map(team)));
    Config { revision: 1, teams, ..Config::default() }
}

/// Returns a scheduler with workers that are full, and tasks that wait.
fn full_cluster(teams: usize) -> Scheduler {
    let mut sched = Scheduler::new(Arc::new(config(teams)));
    let entry = Arc::new(WorkerEntry {
        service: "vans".into(),
        address: "127.0.0.1:1".parse().expect("a valid address"),
        zone: "split".into(),
        capacity: Resources::new(64_000, 256 * 1_024, 0),
        labels: Vec::new(),
        draining: false,
        remaining_ms: 0,
        born: Some(1),
    });
    for number in 0..WORKER_COUNT {
        let key = sched.upsert_worker(&format!("w{number}").into(), Arc::clone(&entry), NOW);
        let list = RunList { born: Some(1), ..RunList::default() };
        apply_list(&mut sched, key, &list);
    }
    let running = WORKER_COUNT * 16;
    for job in 0..(running + WAITING_TASKS) / TASKS_PER_JOB {
        submit(&mut sched, u64::from(job), teams);
    }
    sched.place(NOW);
    sched
}

fn submit(sched: &mut Scheduler, job: u64, teams: usize) {
    let route = Route {
        name: "plans".into(),
        service: "vans".into(),
        max_attempts: 2,
        stretch: 2.0,
        slo_ms: 1_000,
        ..Route::default()
    };
    let step = StepSpec {
        count: TASKS_PER_JOB,
        need: Resources::new(4_000, 1_024, 0),
        estimate_ms: 1_000,
        ..StepSpec::default()
    };
    let spec = JobSpec {
        route: Arc::new(route),
        team: (teams > 0).then(|| format!("team-{}", job as usize % teams).into()),
        payload: "".into(),
        steps: vec![step],
        repeat: None,
        accepted_at: WallTime(0),
    };
    sched.admit(JobId(job), Arc::new(spec), None, false, NOW, WallTime(0));
}

fn bench_shares(criterion: &mut Criterion) {
    for teams in [0, 20, 140] {
        let mut sched = full_cluster(teams);
        assert!(sched.waiting_step_count() >= (WAITING_TASKS / TASKS_PER_JOB) as usize);
        let name = format!("pass over {WAITING_TASKS} waiting tasks, {teams} teams");
        criterion.bench_function(&name, |bencher| bencher.iter(|| black_box(sched.place(NOW))));
        let name = format!("end of a run and start of a task, {teams} teams");
        let mut ends = 0;
        criterion.bench_function(&name, |bencher| {
            bencher.iter(|| {
                ends += 1;
                end_run(&mut sched, ends);
                if ends % u64::from(TASKS_PER_JOB) == 0 {
                    submit(&mut sched, 1_000_000 + ends, teams);
                }
                assert_eq!(sched.place(NOW).bound, 1);
                black_box(sched.take_batch())
            });
        });
    }
}

/// Ends a run of one of the workers in turn. Its task is done.
fn end_run(sched: &mut Scheduler, number: u64) {
    let keys = sched.worker_keys();
    let key = keys[number as usize % keys.len()];
    let worker = sched.worker(key).expect("the worker exists");
    let (task, attempt) = worker.run_ids().next().expect("the worker is full");
    let cause = EndCause::Done;
    let end = RunEnd { number, task, attempt, cause, checkpoint: "".into() };
    let list = RunList { born: Some(1), ended: vec![end], truncated: true, ..RunList::default() };
    apply_list(sched, key, &list);
}

fn apply_list(sched: &mut Scheduler, key: WorkerKey, list: &RunList) {
    let token = sched.worker(key).expect("the worker exists").token();
    let call = ListCall { sent_at: NOW, token, ..ListCall::default() };
    sched.apply_run_list(key, &call, list, NOW);
}

criterion_group!(benches, bench_shares);
criterion_main!(benches);
