//! Tasks, leases, usage and events of one worker.
//!
//! The engine has no timers of its own: [`Engine::advance`] carries out everything that is due in the
//! order of time, so that a delayed call gives the same result as a punctual one.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    slotmap::{SlotMap, new_key_type},
    tokio::time::Instant,
};

use super::{
    WorkerConfig,
    run::{Due, Run, Temper},
    wire::{
        Amount, Cause, Effect, Ended, Event, Events, Interval, Listed, News, Order, Orders,
        Results, Start, Tasks, Used,
    },
};
use crate::audit::{Audit, Stretch};

new_key_type! {
    /// Handle of a running task.
    struct RunKey;
}

/// Highest number of events in one answer.
const MAX_EVENTS: usize = 1_000;

/// Tasks and events of a worker.
#[derive(Debug)]
pub(super) struct Engine {
    pub config: WorkerConfig,
    pub audit: Audit,
    pub leaving: bool,
    /// Number of crashes so far.
    pub boot: u32,
    origin: Instant,
    wall_ms: u64,
    seed: u64,
    rng: ChaCha8Rng,
    epoch: u64,
    runs: SlotMap<RunKey, Run>,
    leases: BTreeMap<String, RunKey>,
    seen: HashMap<String, u64>,
    ended: BTreeMap<String, Ended>,
    acked: HashMap<String, u32>,
    events: BTreeMap<u64, News>,
    seq: u64,
    late: BTreeMap<(u64, u64), Interval>,
    held: u64,
}

impl Engine {
    /// Returns a worker without tasks. Its clock starts at a random value, because nothing may depend on
    /// it agreeing with another clock.
    pub fn new(config: WorkerConfig, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let skew = Duration::from_millis(rng.random_range(0..1_000_000));
        let now = Instant::now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let skew_ms = u64::try_from(skew.as_millis()).unwrap_or(0);
        Self {
            config,
            audit: Audit::default(),
            leaving: false,
            boot: 0,
            origin: now.checked_sub(skew).unwrap_or(now),
            wall_ms: u64::try_from(wall.as_millis()).unwrap_or(0).saturating_sub(skew_ms),
            seed,
            rng,
            epoch: 0,
            runs: SlotMap::with_key(),
            leases: BTreeMap::new(),
            seen: HashMap::new(),
            ended: BTreeMap::new(),
            acked: HashMap::new(),
            events: BTreeMap::new(),
            seq: 0,
            late: BTreeMap::new(),
            held: 0,
        }
    }

    /// Returns the time on the worker's clock.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn at(&self, ms: u64) -> Instant {
        self.origin + Duration::from_millis(ms)
    }

    /// Returns when something is due next.
    pub fn next(&self) -> Option<Instant> {
        let run = self.runs.values().map(|run| run.next().0).min();
        let late = self.late.keys().next().map(|key| key.0);
        run.into_iter().chain(late).min().map(|ms| self.at(ms))
    }

    /// Returns the number of the last event.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Carries out everything that is due. Returns the time on the worker's clock.
    pub fn advance(&mut self) -> u64 {
        let now = self.now_ms();
        loop {
            let run = self.leases.values().map(|&key| (self.runs[key].next(), key)).min();
            let run = run.filter(|((at, _), _)| *at <= now);
            let late = self.late.keys().next().copied().filter(|key| key.0 <= now);
            match (run, late) {
                (Some(((at, _), _)), Some(key)) if key.0 < at => self.release(key),
                (Some(((at, due), key)), _) => self.carry_out(key, at, due),
                (None, Some(key)) => self.release(key),
                (None, None) => return now,
            }
        }
    }

    fn carry_out(&mut self, key: RunKey, at: u64, due: Due) {
        self.runs[key].account(at);
        match due {
            Due::Interval => self.close_interval(key, at, false),
            Due::OutOfMemory => self.end(key, at, Cause::OutOfMemory),
            Due::Failed => self.end(key, at, Cause::Failed),
            Due::Succeeded => self.end(key, at, Cause::Succeeded),
            Due::LeaseExpired => self.end(key, at, Cause::LeaseExpired),
        }
    }

    fn close_interval(&mut self, key: RunKey, at: u64, last: bool) {
        let run = &mut self.runs[key];
        let interval = Interval {
            lease: run.start.lease.clone(),
            interval: run.interval,
            usage: run.take_interval(),
            end_ms: self.wall_ms + at,
            last,
        };
        run.interval += 1;
        run.interval_end = at + self.config.interval_ms;
        self.report(at, interval);
    }

    /// Schedules a usage report. Random delays reorder reports.
    fn report(&mut self, at: u64, interval: Interval) {
        let config = &self.config;
        let copies = 1 + u64::from(self.rng.random_bool(config.doubled));
        for _ in 0..copies {
            let delay = config.usage_delay_ms + self.rng.random_range(0..=config.usage_jitter_ms);
            self.held += 1;
            self.late.insert((at + delay, self.held), interval.clone());
        }
    }

    fn release(&mut self, key: (u64, u64)) {
        if let Some(interval) = self.late.remove(&key) {
            self.push(News::Usage(interval));
        }
    }

    fn push(&mut self, news: News) {
        self.seq += 1;
        self.events.insert(self.seq, news);
    }

    fn end(&mut self, key: RunKey, at: u64, cause: Cause) {
        self.close_interval(key, at, true);
        let Some(run) = self.runs.remove(key) else { return };
        let lease = run.start.lease.clone();
        self.leases.remove(&lease);
        self.audit.used.insert(lease.clone(), run.used());
        self.audit.stretches[run.record].end = Some(self.at(at));
        let ended = Ended {
            lease: lease.clone(),
            cause,
            run_ms: at - run.started_ms,
            peak: run.peak(cause == Cause::OutOfMemory),
        };
        self.ended.insert(lease, ended.clone());
        self.push(News::Ended(ended));
    }

    /// Carries out commands, or returns nothing if the epoch is too low.
    pub fn command(&mut self, orders: Orders) -> Option<Results> {
        let now_ms = self.advance();
        if orders.epoch < self.epoch {
            self.audit.stale += 1;
            return None;
        }
        self.epoch = orders.epoch;
        let results =
            orders.commands.into_iter().map(|order| self.carry_order(now_ms, order)).collect();
        Some(Results { now_ms, results })
    }

    fn carry_order(&mut self, now: u64, order: Order) -> Effect {
        match order {
            Order::Start(start) => self.start(now, start),
            Order::Stop { lease } => match self.leases.get(&lease).copied() {
                Some(key) => {
                    self.runs[key].account(now);
                    self.end(key, now, Cause::Stopped);
                    Effect::Done
                }
                None if self.ended.contains_key(&lease) => Effect::Done,
                None => Effect::Unknown,
            },
            Order::Checkpoint { lease } => self.checkpoint(now, lease),
            Order::Throttle { lease, millicores } => match self.leases.get(&lease) {
                Some(&key) => {
                    self.runs[key].throttle(now, millicores);
                    Effect::Done
                }
                None => Effect::Unknown,
            },
            Order::Renew { until_ms, except } => {
                for run in self.runs.values_mut() {
                    if !except.contains(&run.start.lease) {
                        run.until_ms = run.until_ms.max(until_ms);
                    }
                }
                Effect::Done
            }
            Order::AckEnd { lease } => match self.ended.remove(&lease) {
                Some(_) => Effect::Done,
                None => Effect::Unknown,
            },
            Order::AckUsage { lease, to } => {
                let mark = self.acked.entry(lease).or_default();
                *mark = to.max(*mark);
                Effect::Done
            }
        }
    }

    fn start(&mut self, now: u64, start: Start) -> Effect {
        self.seen.retain(|_, until| *until > now);
        if self.leases.contains_key(&start.lease)
            || self.ended.contains_key(&start.lease)
            || self.seen.contains_key(&start.lease)
        {
            return Effect::Known;
        }
        if start.until_ms <= now {
            self.audit.late += 1;
            return Effect::Refused;
        }
        // A second copy of the start can only arrive usefully until its lease would have ended.
        self.seen.insert(start.lease.clone(), start.until_ms);
        let done = self.config.checkpoints.progress(task_of(&start.lease));
        let temper = Temper { slowdown: self.config.slowdown_percent, bad: self.config.bad };
        let seed = self.seed ^ hash(&start.lease);
        let mut run = Run::new(start, now, done, temper, seed);
        run.interval_end = now + self.config.interval_ms;
        run.record = self.audit.stretches.len();
        let lease = run.start.lease.clone();
        let stretch = Stretch { lease: lease.clone(), start: self.at(now), end: None };
        self.audit.stretches.push(stretch);
        let key = self.runs.insert(run);
        self.leases.insert(lease.clone(), key);
        self.audit.granted = self.audit.granted.max(self.granted());
        self.push(News::Started { lease });
        Effect::Done
    }

    fn granted(&self) -> Amount {
        let grants = self.runs.values().map(|run| run.start.grant);
        grants.fold(Amount::default(), Amount::plus)
    }

    fn checkpoint(&mut self, now: u64, lease: String) -> Effect {
        let Some(&key) = self.leases.get(&lease) else {
            return Effect::Unknown;
        };
        self.runs[key].account(now);
        self.config.checkpoints.save(task_of(&lease), self.runs[key].done());
        self.push(News::Checkpointed { lease });
        Effect::Done
    }

    /// Returns the events after `after` and drops earlier ones that nobody has to acknowledge.
    pub fn events(&mut self, after: u64) -> Events {
        let now_ms = self.advance();
        let (ended, acked) = (&self.ended, &self.acked);
        self.events.retain(|&seq, news| match news {
            News::Ended(end) => ended.contains_key(&end.lease),
            News::Usage(usage) => {
                let mark = acked.get(&usage.lease).copied().unwrap_or(0);
                seq > after || usage.interval >= mark
            }
            News::Started { .. } | News::Checkpointed { .. } | News::Leaving => seq > after,
        });
        let newer = self.events.range(after.saturating_add(1)..).take(MAX_EVENTS);
        let events = newer.map(|(&seq, news)| Event { seq, news: news.clone() }).collect();
        Events { now_ms, events }
    }

    /// Answers a reading of the list.
    pub fn list(&mut self) -> Tasks {
        self.audit.listings.push(self.epoch);
        self.tasks()
    }

    /// Lists the running tasks and the ends that are not acknowledged.
    pub fn tasks(&mut self) -> Tasks {
        let now_ms = self.advance();
        let listed = |&key: &RunKey| {
            let run = &self.runs[key];
            Listed {
                lease: run.start.lease.clone(),
                class: run.start.class.clone(),
                kind: run.start.kind.clone(),
                grant: run.start.grant,
                urgent: run.start.urgent,
                until_ms: run.until_ms,
            }
        };
        Tasks {
            now_ms,
            leaving: self.leaving,
            running: self.leases.values().map(listed).collect(),
            ended: self.ended.values().cloned().collect(),
        }
    }

    /// Returns the time that `service` takes for one request, or nothing if it does not run here.
    pub fn serving(&mut self, service: &str) -> Option<u64> {
        self.advance();
        let instance = self.runs.values().find(|run| run.start.class == service)?;
        Some(instance.behaviour.work_ms.unwrap_or(self.config.work_ms))
    }

    /// Marks the worker as leaving.
    pub fn leave(&mut self) {
        if !self.leaving {
            self.leaving = true;
            self.push(News::Leaving);
        }
    }

    /// Loses everything but the audit, as when the VM fails.
    pub fn crash(&mut self) {
        let now = self.advance();
        let at = self.at(now);
        for (_, mut run) in self.runs.drain() {
            run.account(now);
            self.audit.used.insert(run.start.lease.clone(), run.used());
            self.audit.stretches[run.record].end = Some(at);
        }
        self.leases.clear();
        self.seen.clear();
        self.ended.clear();
        self.acked.clear();
        self.events.clear();
        self.late.clear();
        self.epoch = 0;
        self.seq = 0;
        self.boot += 1;
    }

    /// Returns the record of what was done, with the use up to now.
    pub fn audited(&mut self) -> Audit {
        let now = self.advance();
        let mut audit = self.audit.clone();
        for run in self.runs.values_mut() {
            run.account(now);
            audit.used.insert(run.start.lease.clone(), run.used());
        }
        audit
    }

    /// Returns what a lease has used up to now.
    pub fn used(&mut self, lease: &str) -> Used {
        self.audited().used.get(lease).copied().unwrap_or_default()
    }
}

/// Returns the task of a lease, which is its text without the attempt.
fn task_of(lease: &str) -> &str {
    lease.rsplit_once('.').map_or(lease, |(task, _)| task)
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
