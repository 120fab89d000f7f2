//! Packing: how full the workers are when the first job is refused.
//!
//! Jobs of mixed kinds arrive in random order, and nothing is known of later ones. The share of the
//! scarcest resource that is granted at the first refusal is compared with first-fit and random
//! placement, and the workers used with first-fit-decreasing, which knows all sizes. A second
//! part divides the workers among owners that a home knows only by their summaries, and a third
//! measures the time of a decision.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Instant,
};

use {
    coriandertack_core::{
        cell::{Cell, Host, Phase, Reach, Refusal, Weights},
        home_choice::{Owner, rank_owners},
        keys::{JobId, LeaseId, TaskId, VmKey, WorkerKey},
        message::{Ask, Summary},
        record::Kind,
        resources::Resources,
    },
    hdrhistogram::Histogram,
    rand::{RngExt, SeedableRng, seq::IteratorRandom},
    rand_chacha::ChaCha8Rng,
    slotmap::SlotMap,
};

use crate::bench::row::Row;

/// Least share of the scarcest resource at the first refusal, in percent.
const USED_TARGET: f64 = 95.0;

/// Most workers used, as a multiple of those that first-fit-decreasing uses.
const WORKERS_TARGET: f64 = 1.05;

/// Longest decision at the 99th percentile, in milliseconds.
const DECISION_TARGET: f64 = 1.0;

/// Workers in each rack.
const RACK: usize = 8;

/// Availability zones.
const ZONES: usize = 3;

/// Owners in the part with split ownership.
const OWNERS: usize = 8;

/// Decisions between two heartbeats in the part with split ownership.
const HEARTBEAT_EVERY: usize = 20;

/// Ends of jobs during which decisions are measured.
const DECISIONS: usize = 20_000;

/// A worker without accelerators.
const PLAIN: Resources = Resources::new(16_000, 32_768, 0);

/// A worker with accelerators.
const ACCELERATED: Resources = Resources::new(16_000, 32_768, 4);

/// What the jobs mostly need.
#[derive(Clone, Copy, Debug)]
struct Mix {
    name: &'static str,
    /// Jobs of each hundred that need accelerators.
    accelerated: u32,
    /// Memory for each core in MiB, from and to.
    memory: (u32, u32),
}

const MIXES: [Mix; 4] = [
    Mix { name: "processors", accelerated: 5, memory: (512, 2_560) },
    Mix { name: "memory", accelerated: 5, memory: (1_536, 4_096) },
    Mix { name: "processors and accelerators", accelerated: 12, memory: (512, 2_560) },
    Mix { name: "accelerators", accelerated: 20, memory: (512, 2_560) },
];

/// Makes jobs of mixed kinds.
struct Jobs {
    rng: ChaCha8Rng,
    mix: Mix,
    next: u64,
}

impl Jobs {
    fn new(seed: u64, mix: Mix) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed), mix, next: 1 }
    }

    /// Returns the tasks of the next job.
    fn job(&mut self) -> Vec<Ask> {
        let roll = self.rng.random_range(0..100);
        let accelerated = self.mix.accelerated;
        if roll < accelerated {
            let need = self.need(2, 8, 2);
            return self.asks(Kind::Batch, need, 1);
        }
        match (roll - accelerated) * 100 / (100 - accelerated) {
            0..20 => {
                let need = self.need(2, 16, 0);
                self.asks(Kind::Service, need, 1)
            }
            20..30 => {
                let (need, tasks) = (self.need(4, 8, 0), self.rng.random_range(2..=8));
                self.asks(Kind::Gang, need, tasks)
            }
            _ => {
                let need = self.need(1, 16, 0);
                self.asks(Kind::Batch, need, 1)
            }
        }
    }

    /// Returns a need with processors in quarters of a core and memory in steps of 64 MiB.
    fn need(&mut self, from: u32, to: u32, accelerators: u32) -> Resources {
        let quarters = self.rng.random_range(from..=to);
        let (least, most) = self.mix.memory;
        let per_core = self.rng.random_range(least..=most);
        let memory_mib = (quarters * per_core / 4 / 64).max(1) * 64;
        let accelerators = match accelerators {
            0 => 0,
            most => self.rng.random_range(1..=most),
        };
        Resources::new(quarters * 250, memory_mib, accelerators)
    }

    fn asks(&mut self, kind: Kind, need: Resources, tasks: u32) -> Vec<Ask> {
        let job = JobId(self.next);
        self.next += 1;
        let class = format!("team.{kind}-{}", self.next % 40);
        let ask = |index| Ask {
            lease: LeaseId { task: TaskId { job, index }, attempt: 1 },
            class: class.as_str().into(),
            kind,
            need,
            run_ms: 0,
            urgent: false,
            command: "".into(),
        };
        (0..tasks).map(ask).collect()
    }
}

/// Returns the capacities of a fleet with 1.1 accelerators for each worker, on 11 of each 40 workers.
fn fleet(workers: usize) -> Vec<Resources> {
    let capacity = |at| if at * 11 % 40 < 11 { ACCELERATED } else { PLAIN };
    (0..workers).map(capacity).collect()
}

/// Returns cells that own the workers of a fleet in turn.
fn cells(fleet: &[Resources], owners: usize, weights: Weights) -> Vec<Cell> {
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let mut cells = vec![Cell::new(weights); owners];
    for (at, &capacity) in fleet.iter().enumerate() {
        let rack = at / RACK;
        let (name, zone) = (format!("w{at}"), format!("z{}", rack % ZONES));
        let worker = keys.insert(());
        let cell = &mut cells[at % owners];
        cell.track(worker, Host::new(&name, &zone, &format!("r{rack}"), capacity));
        cell.resolve(worker, &[]);
    }
    cells
}

/// Places jobs until the first refusal, or until `limit` tasks are placed. Returns their needs.
fn fill(
    mut jobs: Jobs,
    limit: usize,
    mut place: impl FnMut(&[Ask]) -> Result<(), Refusal>,
) -> Vec<Resources> {
    let mut placed = Vec::new();
    while placed.len() < limit {
        let asks = jobs.job();
        if place(&asks).is_err() {
            break;
        }
        placed.extend(asks.iter().map(|ask| ask.need));
    }
    placed
}

/// Places the tasks of one job in one cell.
fn place_job(cell: &mut Cell, asks: &[Ask], reach: Reach) -> Result<(), Refusal> {
    match asks {
        [ask] => cell.place_within(ask, Phase::Running, reach).map(drop),
        _ => cell.place_all_within(asks, Phase::Running, reach).map(drop),
    }
}

/// Places the tasks of one job on the first workers with room, or none of them.
fn first_fit(free: &mut [Resources], asks: &[Ask]) -> Result<(), Refusal> {
    place_by(free, asks, |free, need| free.iter().position(|room| need.fits(*room)))
}

/// Places the tasks of one job on random workers with room, or none of them.
fn random_fit(rng: &mut ChaCha8Rng, free: &mut [Resources], asks: &[Ask]) -> Result<(), Refusal> {
    place_by(free, asks, |free, need| {
        let fitting = (0..free.len()).filter(|&at| need.fits(free[at]));
        fitting.choose(rng)
    })
}

fn place_by(
    free: &mut [Resources],
    asks: &[Ask],
    mut choose: impl FnMut(&[Resources], Resources) -> Option<usize>,
) -> Result<(), Refusal> {
    let mut taken = Vec::with_capacity(asks.len());
    for ask in asks {
        match choose(free, ask.need) {
            Some(at) => {
                free[at] = free[at].saturating_sub(ask.need);
                taken.push((at, ask.need));
            }
            None => {
                for (at, need) in taken {
                    free[at] += need;
                }
                return Err(Refusal::Full);
            }
        }
    }
    Ok(())
}

/// Returns the workers that first-fit-decreasing uses. It knows all needs, and may ignore spread and
/// gangs. Workers without accelerators come first for work that needs none.
fn decreasing(fleet: &[Resources], placed: &[Resources]) -> usize {
    let mut free: Vec<Resources> = fleet.to_vec();
    free.sort_by_key(|capacity| capacity.accelerators);
    // Room for what it cannot fit into the fleet itself.
    free.extend(vec![ACCELERATED; fleet.len() / 2]);
    let whole = free.clone();
    let mut needs = placed.to_vec();
    needs.sort_by(|one, two| {
        let size = |need: &Resources| (need.accelerators > 0, need.dominant_share(ACCELERATED));
        let (one, two) = (size(one), size(two));
        two.0.cmp(&one.0).then(two.1.total_cmp(&one.1))
    });
    for need in needs {
        if let Some(room) = free.iter_mut().find(|room| need.fits(**room)) {
            *room = room.saturating_sub(need);
        }
    }
    free.iter().zip(&whole).filter(|(left, whole)| left != whole).count()
}

/// Returns the number of workers with tasks.
fn used(cells: &[Cell]) -> usize {
    let hosts = cells.iter().flat_map(Cell::hosts);
    hosts.filter(|(_, host)| host.granted != Resources::ZERO).count()
}

/// Returns the largest share of a resource of the fleet that the needs take, in percent.
fn scarcest(fleet: &[Resources], needs: &[Resources]) -> f64 {
    let parts: [fn(&Resources) -> u32; 3] =
        [|one| one.millicores, |one| one.memory_mib, |one| one.accelerators];
    let sum = |amounts: &[Resources], part: fn(&Resources) -> u32| {
        amounts.iter().map(|amount| f64::from(part(amount))).sum::<f64>()
    };
    let shares = parts.map(|part| sum(needs, part) / sum(fleet, part));
    100.0 * shares.into_iter().fold(0.0, f64::max)
}

/// Owners with the summaries that a home has of them.
struct Split {
    cells: Vec<Cell>,
    vms: Vec<VmKey>,
    summaries: Vec<Summary>,
    /// Copies of each service at each owner.
    copies: HashMap<Arc<str>, Vec<u32>>,
    decisions: usize,
}

impl Split {
    fn new(fleet: &[Resources], weights: Weights) -> Self {
        let cells = cells(fleet, OWNERS, weights);
        let mut keys: SlotMap<VmKey, ()> = SlotMap::with_key();
        let vms = (0..OWNERS).map(|_| keys.insert(())).collect();
        let copies = HashMap::new();
        let mut split = Self { cells, vms, summaries: Vec::new(), copies, decisions: 0 };
        split.hear();
        split
    }

    /// Takes the summaries of all owners, as from their heartbeats.
    fn hear(&mut self) {
        self.summaries = self.cells.iter().map(Cell::summary).collect();
    }

    /// Returns what the home knows of the owners.
    fn owners(&self, ask: &Ask) -> Vec<Owner> {
        let copies = self.copies.get(&ask.class);
        let owner = |at: usize| Owner {
            vm: self.vms[at],
            summary: self.summaries[at],
            copies: copies.map_or(0, |copies| copies[at]),
        };
        (0..OWNERS).map(owner).collect()
    }

    /// Places a job as a home does: on the owner that the summaries suggest, then on the next.
    fn place(&mut self, asks: &[Ask]) -> Result<(), Refusal> {
        self.decisions += 1;
        if self.decisions.is_multiple_of(HEARTBEAT_EVERY) {
            self.hear();
        }
        if self.try_job(asks).is_ok() {
            return Ok(());
        }
        // A refused job is queued and tried again with the next summaries.
        self.hear();
        self.try_job(asks)
    }

    /// Tries the owners that may hold the whole job, then several together. Workers with accelerators
    /// are used for other work only when that fails.
    fn try_job(&mut self, asks: &[Ask]) -> Result<(), Refusal> {
        let owners = rank_owners(&self.owners(&asks[0]), asks);
        for reach in [Reach::Kept, Reach::Any] {
            let own = owners.iter().filter(|choice| choice.reach == reach);
            for at in own.filter_map(|choice| self.position(choice.vm)).collect::<Vec<_>>() {
                if place_job(&mut self.cells[at], asks, reach).is_ok() {
                    self.count_copies(at, asks);
                    return Ok(());
                }
            }
            if self.try_parts(asks, reach).is_ok() {
                return Ok(());
            }
        }
        Err(Refusal::Full)
    }

    fn count_copies(&mut self, at: usize, asks: &[Ask]) {
        for ask in asks.iter().filter(|ask| ask.kind == Kind::Service) {
            let class = Arc::clone(&ask.class);
            self.copies.entry(class).or_insert_with(|| vec![0; OWNERS])[at] += 1;
        }
    }

    fn position(&self, vm: VmKey) -> Option<usize> {
        self.vms.iter().position(|&other| other == vm)
    }

    /// Places the tasks of a gang on several owners, or none of them.
    fn try_parts(&mut self, asks: &[Ask], reach: Reach) -> Result<(), Refusal> {
        for (at, ask) in asks.iter().enumerate() {
            let owners = rank_owners(&self.owners(ask), std::slice::from_ref(ask));
            let placed = owners.iter().filter(|choice| choice.reach == reach).any(|choice| {
                let cell = self.position(choice.vm).map(|at| &mut self.cells[at]);
                cell.is_some_and(|cell| cell.place_within(ask, Phase::Running, reach).is_ok())
            });
            if !placed {
                for ask in &asks[..at] {
                    for cell in &mut self.cells {
                        cell.release(ask.lease);
                    }
                }
                return Err(Refusal::Full);
            }
        }
        Ok(())
    }
}

/// Returns the times of decisions in nanoseconds, in a cell that stays about 90% full.
#[must_use]
pub fn decision_times(workers: usize, seed: u64) -> Histogram<u64> {
    let fleet = fleet(workers);
    let mut cell = cells(&fleet, 1, Weights::VUKIC).remove(0);
    let mut jobs = Jobs::new(seed, MIXES[0]);
    let mut running: VecDeque<Vec<Ask>> = VecDeque::new();
    let mut times = Histogram::new(3).expect("3 digits are in the range of the library");
    let full = 0.9 * fleet.iter().map(|one| f64::from(one.millicores)).sum::<f64>();
    let mut taken = 0.0;
    let cores = |asks: &[Ask]| asks.iter().map(|ask| f64::from(ask.need.millicores)).sum::<f64>();
    let mut measured = 0;
    while measured < DECISIONS {
        let asks = jobs.job();
        while taken + cores(&asks) > full {
            let Some(ended) = running.pop_front() else { break };
            taken -= cores(&ended);
            for ask in &ended {
                cell.release(ask.lease);
            }
            measured += 1;
        }
        let began = Instant::now();
        let placed = place_job(&mut cell, &asks, Reach::Any);
        let nanos = u64::try_from(began.elapsed().as_nanos()).unwrap_or(u64::MAX);
        if placed.is_ok() {
            taken += cores(&asks);
            running.push_back(asks);
        }
        if measured > 0 {
            // `saturating_record` would cut off at the first size of the histogram.
            times.record(nanos).expect("the histogram grows with its largest value");
        }
    }
    times
}

/// Returns a row with a bound from below or from above.
fn row(metric: String, unit: &str, measured: f64, target: f64, least: bool) -> Row {
    let met = if least { measured >= target } else { measured <= target };
    Row {
        scenario: "packing".into(),
        metric,
        unit: unit.into(),
        target: Some(target),
        measured,
        baseline: None,
        baseline_name: None,
        met: Some(met),
    }
}

fn against(row: Row, baseline: f64, name: &str) -> Row {
    Row { baseline: Some(baseline), baseline_name: Some(name.into()), ..row }
}

/// Measures one fleet and mix. `place` is the product; it returns the needs placed and the workers used.
fn compare(
    name: &str,
    fleet: &[Resources],
    jobs: impl Fn() -> Jobs,
    place: impl Fn(usize) -> (Vec<Resources>, usize),
) -> Vec<Row> {
    let (placed, workers) = place(usize::MAX);
    let share = scarcest(fleet, &placed);
    let mut free = fleet.to_vec();
    let first = scarcest(fleet, &fill(jobs(), usize::MAX, |asks| first_fit(&mut free, asks)));
    let mut free = fleet.to_vec();
    let mut rng = ChaCha8Rng::seed_from_u64(0);
    let random = |asks: &[Ask]| random_fit(&mut rng, &mut free, asks);
    let random = scarcest(fleet, &fill(jobs(), usize::MAX, random));
    let used = row(format!("{name}: scarcest resource used"), "%", share, USED_TARGET, true);
    let known = decreasing(fleet, &placed) as f64;
    let full =
        row(format!("{name}: workers used"), "x", workers as f64 / known, WORKERS_TARGET, false);
    let (half, workers) = place(placed.len() / 2);
    let known_half = decreasing(fleet, &half) as f64;
    let half = row(
        format!("{name}: workers used at half of the tasks"),
        "x",
        workers as f64 / known_half,
        WORKERS_TARGET,
        false,
    );
    vec![
        against(used.clone(), first, "first-fit"),
        against(used, random, "random"),
        against(full, 1.0, "first-fit-decreasing"),
        against(half, 1.0, "first-fit-decreasing"),
    ]
}

/// Runs the packing experiment.
#[must_use]
pub fn run(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (preset, weights) in [("agency", Weights::AGENCY), ("vukic", Weights::VUKIC)] {
        for mix in MIXES {
            let jobs = || Jobs::new(seed, mix);
            let whole = fleet(1_000);
            let one = |limit| {
                let mut cell = cells(&whole, 1, weights).remove(0);
                let placed = fill(jobs(), limit, |asks| place_job(&mut cell, asks, Reach::Any));
                (placed, used(&[cell]))
            };
            let name = format!("{preset}, {} scarce, 1 owner of 1000 workers", mix.name);
            rows.extend(compare(&name, &whole, jobs, one));
            let small = fleet(50);
            let split = |limit| {
                let mut split = Split::new(&small, weights);
                let placed = fill(jobs(), limit, |asks| split.place(asks));
                (placed, used(&split.cells))
            };
            let name = format!("{preset}, {} scarce, 8 owners of 50 workers", mix.name);
            rows.extend(compare(&name, &small, jobs, split));
        }
    }
    for workers in [1_000, 10_000] {
        let millis = decision_times(workers, seed).value_at_quantile(0.99) as f64 / 1e6;
        let metric = format!("decision time p99 at {workers} workers");
        rows.push(row(metric, "ms", millis, DECISION_TARGET, false));
    }
    rows
}
