//! Queues of the teams whose home is this VM.
//!
//! The home alone binds a team's tasks. It knows every task of its teams that has not ended, charges the
//! team's quota in memory, and hands tasks to owners. Tasks accepted before this VM became the home
//! are *recovering* until every owner has listed what runs; younger ones were never bound by another
//! home and queue at once. See docs/design.md, section 4.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use {
    slotmap::{SecondaryMap, SlotMap},
    tokio::time::Instant,
};

use crate::{
    keys::{Epoch, JobId, LeaseId, MAX_ENTRIES, TaskId, TaskKey, TeamKey, VmKey},
    message::{Ask, EndCause, Known, News, Notice, Placed},
    record::{Kind, Outcome, TaskEnd},
    resources::Resources,
    state::{Job, State},
    validity::HOLD_OFF,
};

/// Pause before work that found no room is offered again, unless capacity is freed earlier.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Where a task is.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Another home may have bound it; it waits until every owner has listed its tasks.
    Recovering,
    /// It waits for capacity.
    Queued,
    /// An owner was asked.
    Asked(VmKey),
    /// An owner was asked and did not answer; it may run. Settled not before the deadline.
    Unknown(VmKey, Instant),
    /// It has capacity or runs.
    Bound(VmKey),
    /// Its end is on the way to the log.
    Ending,
}

/// A task that has not ended.
#[derive(Clone, Debug)]
pub struct Task {
    /// The task, with the attempt to make or under way.
    pub ask: Ask,
    /// Team.
    pub team: TeamKey,
    /// Where it is.
    pub step: Step,
    /// Worker of the attempt under way, once known.
    pub worker: String,
    /// Failed attempts that are left.
    pub retries: u32,
    /// Whether it is to be stopped.
    pub cancelled: bool,
    /// When it was queued last.
    pub queued: Instant,
    /// Whether it counts against the quota.
    pub counted: bool,
}

/// What is queued together: a task, or all tasks of a gang.
#[derive(Clone, Debug, PartialEq)]
pub struct Unit {
    /// The tasks.
    pub tasks: Vec<TaskKey>,
}

/// Queued work of one class.
#[derive(Clone, Debug)]
struct Lane {
    class: Arc<str>,
    urgent: bool,
    units: VecDeque<Unit>,
    /// Before this, the lane found no room and is passed over.
    retry_at: Instant,
}

/// The queue of a team.
#[derive(Clone, Debug)]
struct Queue {
    epoch: Epoch,
    quota: Resources,
    used: Resources,
    lanes: Vec<Lane>,
    /// Identifier above which jobs have not been taken over from the state yet.
    next: JobId,
}

/// Work to be placed now.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The tasks with their needs, in order of index.
    pub asks: Vec<Ask>,
    /// Epoch of this home for the team.
    pub epoch: Epoch,
}

/// What a notice requires of the home.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The end goes to the log, and is acknowledged to the owner afterwards.
    End(TaskEnd),
    /// The owner may forget the lease now.
    Acknowledge,
    /// The lease must be stopped: it is cancelled, or not the attempt that this home made.
    Stop,
    /// Nothing.
    Keep,
}

/// The queues of the teams homed here.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    tasks: SlotMap<TaskKey, Task>,
    ids: HashMap<TaskId, TaskKey>,
    queues: SecondaryMap<TeamKey, Queue>,
    /// Team that is served first by the next pick, so that teams take turns.
    turn: usize,
}

impl Homes {
    /// Takes over new jobs, cancellations and quotas from the state, and drops teams homed elsewhere.
    pub fn sync(&mut self, state: &State, me: VmKey, now: Instant) {
        let lost: Vec<TeamKey> =
            self.queues
                .iter()
                .filter(|(key, queue)| {
                    !state.teams.get(*key).is_some_and(|team| {
                        team.home.vm == Some(me) && team.home.epoch == queue.epoch
                    })
                })
                .map(|(key, _)| key)
                .collect();
        for team in lost {
            self.drop_team(team);
        }
        for (key, team) in &state.teams {
            if !team.home.is_ready(me, now) {
                continue;
            }
            let queue = self.queues.entry(key).map(|entry| {
                entry.or_insert_with(|| Queue {
                    epoch: team.home.epoch,
                    quota: team.spec.quota,
                    used: Resources::ZERO,
                    lanes: Vec::new(),
                    next: JobId(0),
                })
            });
            let Some(queue) = queue else { continue };
            queue.quota = team.spec.quota;
            let next = queue.next;
            let jobs = state.jobs.ids.range(next..).map(|(_, &job)| &state.jobs.arena[job]);
            for job in jobs.filter(|job| job.spec.team == team.name) {
                self.add_job(key, job, now);
            }
            if let Some((&last, _)) = state.jobs.ids.last_key_value() {
                self.queues[key].next = JobId(last.0 + 1);
            }
        }
        self.note_cancelled(state);
    }

    fn drop_team(&mut self, team: TeamKey) {
        self.queues.remove(team);
        self.tasks.retain(|_, task| task.team != team);
        let tasks = &self.tasks;
        self.ids.retain(|_, key| tasks.contains_key(*key));
    }

    fn add_job(&mut self, team: TeamKey, job: &Job, now: Instant) {
        let epoch = self.queues[team].epoch;
        // The identifier holds the offset of acceptance; see `JobId::new`.
        let fresh = job.id.0 / MAX_ENTRIES as u64 > epoch.0;
        let class: Arc<str> = class_of(&job.spec.team, &job.spec.name).into();
        let command: Arc<str> = job.spec.command.as_str().into();
        let mut keys = Vec::new();
        for index in (0..job.spec.tasks).filter(|index| !job.ends.contains_key(index)) {
            let id = TaskId { job: job.id, index };
            let ask = Ask {
                lease: LeaseId::first(id, epoch),
                class: Arc::clone(&class),
                kind: job.spec.kind,
                need: job.spec.need,
                run_ms: job.spec.run_ms,
                urgent: job.spec.urgent,
                command: Arc::clone(&command),
            };
            let task = Task {
                ask,
                team,
                step: if fresh { Step::Queued } else { Step::Recovering },
                worker: String::new(),
                retries: job.spec.retries,
                cancelled: job.cancelled,
                queued: now,
                counted: false,
            };
            let key = self.tasks.insert(task);
            self.ids.insert(id, key);
            keys.push(key);
        }
        if fresh {
            self.enqueue_all(keys);
        }
    }

    /// Queues tasks: those of a gang together, others one by one.
    fn enqueue_all(&mut self, keys: Vec<TaskKey>) {
        let Some(&first) = keys.first() else { return };
        if self.tasks[first].ask.kind == Kind::Gang {
            self.enqueue(Unit { tasks: keys });
            return;
        }
        for key in keys {
            self.enqueue(Unit { tasks: vec![key] });
        }
    }

    fn enqueue(&mut self, unit: Unit) {
        let task = &self.tasks[unit.tasks[0]];
        let (class, urgent, queued) = (Arc::clone(&task.ask.class), task.ask.urgent, task.queued);
        let lanes = &mut self.queues[task.team].lanes;
        let known = lanes.iter().position(|lane| lane.class == class && lane.urgent == urgent);
        let at = known.unwrap_or_else(|| {
            lanes.push(Lane { class, urgent, units: VecDeque::new(), retry_at: queued });
            lanes.len() - 1
        });
        lanes[at].units.push_back(unit);
    }

    fn note_cancelled(&mut self, state: &State) {
        for task in self.tasks.values_mut().filter(|task| !task.cancelled) {
            let job = state.jobs.get(task.ask.lease.task.job);
            task.cancelled = job.is_some_and(|job| job.cancelled);
        }
    }

    /// Returns the ends of cancelled tasks that do not run, and the leases to stop.
    pub fn cancelled(&mut self) -> (Vec<TaskEnd>, Vec<(VmKey, LeaseId)>) {
        let mut ends = Vec::new();
        let mut stops = Vec::new();
        let mut dropped = Vec::new();
        for (key, task) in self.tasks.iter_mut().filter(|(_, task)| task.cancelled) {
            match task.step {
                Step::Queued => {
                    task.step = Step::Ending;
                    dropped.push(key);
                    ends.push(end_of(task, Outcome::Cancelled));
                }
                Step::Bound(vm) => stops.push((vm, task.ask.lease)),
                Step::Recovering | Step::Asked(_) | Step::Unknown(..) | Step::Ending => {}
            }
        }
        for queue in self.queues.values_mut() {
            for lane in &mut queue.lanes {
                lane.units.retain(|unit| !unit.tasks.iter().any(|task| dropped.contains(task)));
            }
        }
        (ends, stops)
    }

    /// Picks queued work that the quotas allow, teams in turn and urgent work first.
    ///
    /// The tasks picked count against the quota and wait for [`Homes::placed`].
    pub fn pick(&mut self, now: Instant, limit: usize) -> Vec<Pick> {
        let teams: Vec<TeamKey> = self.queues.keys().collect();
        let mut picks = Vec::new();
        for urgent in [true, false] {
            let mut idle = 0;
            while picks.len() < limit && idle < teams.len() {
                let team = teams[self.turn % teams.len()];
                self.turn = self.turn.wrapping_add(1);
                match self.pick_team(team, urgent, now) {
                    Some(pick) => {
                        idle = 0;
                        picks.push(pick);
                    }
                    None => idle += 1,
                }
            }
        }
        picks
    }

    fn pick_team(&mut self, team: TeamKey, urgent: bool, now: Instant) -> Option<Pick> {
        let queue = &mut self.queues[team];
        let room = queue.quota.saturating_sub(queue.used);
        let tasks = &self.tasks;
        let need =
            |unit: &Unit| unit.tasks.iter().map(|&task| tasks[task].ask.need).sum::<Resources>();
        let age = |lane: &Lane| lane.units.front().map(|unit| tasks[unit.tasks[0]].queued);
        let open =
            queue.lanes.iter_mut().filter(|lane| lane.urgent == urgent && lane.retry_at <= now);
        let fitting =
            open.filter(|lane| lane.units.front().is_some_and(|unit| need(unit).fits(room)));
        let lane = fitting.min_by_key(|lane| age(lane))?;
        let unit = lane.units.pop_front()?;
        let epoch = queue.epoch;
        let asks = unit.tasks.iter().map(|&task| tasks[task].ask.clone()).collect();
        for task in unit.tasks {
            self.count(task);
        }
        Some(Pick { asks, epoch })
    }

    /// Notes that an owner is being asked for a lease.
    pub fn asked(&mut self, lease: LeaseId, vm: VmKey) {
        if let Some(task) = self.attempt(lease) {
            task.step = Step::Asked(vm);
        }
    }

    /// Notes the answer of an owner. Work without room is queued again after a pause.
    pub fn placed(
        &mut self,
        leases: &[LeaseId],
        vm: VmKey,
        placed: Placed,
        until: Instant,
        now: Instant,
    ) {
        match placed {
            Placed::Granted => {
                for &lease in leases {
                    if let Some(task) =
                        self.attempt(lease).filter(|task| task.step == Step::Asked(vm))
                    {
                        task.step = Step::Bound(vm);
                    }
                }
            }
            Placed::Unknown => {
                for &lease in leases {
                    if let Some(task) =
                        self.attempt(lease).filter(|task| task.step == Step::Asked(vm))
                    {
                        task.step = Step::Unknown(vm, until + HOLD_OFF);
                    }
                }
            }
            Placed::Full | Placed::Invalid => self.put_back(leases, now),
        }
    }

    /// Queues tasks again that certainly did not start, and pauses their lane.
    pub fn put_back(&mut self, leases: &[LeaseId], now: Instant) {
        let mut keys = Vec::new();
        for lease in leases {
            let Some(&key) = self.ids.get(&lease.task) else {
                continue;
            };
            let task = &mut self.tasks[key];
            if task.ask.lease != *lease || matches!(task.step, Step::Ending | Step::Recovering) {
                continue;
            }
            // A new attempt number, so that a late start of the old one is recognised.
            task.ask.lease = lease.next();
            task.step = Step::Queued;
            self.uncount(key);
            keys.push(key);
        }
        self.put_front(keys, now + RETRY_AFTER);
    }

    fn put_front(&mut self, keys: Vec<TaskKey>, retry_at: Instant) {
        let Some(&first) = keys.first() else { return };
        let task = &self.tasks[first];
        let (class, urgent, team) = (Arc::clone(&task.ask.class), task.ask.urgent, task.team);
        let gang = task.ask.kind == Kind::Gang;
        let lanes = &mut self.queues[team].lanes;
        let Some(lane) = lanes.iter_mut().find(|lane| lane.class == class && lane.urgent == urgent)
        else {
            self.enqueue_all(keys);
            return;
        };
        lane.retry_at = retry_at;
        if gang {
            lane.units.push_front(Unit { tasks: keys });
            return;
        }
        for key in keys {
            lane.units.push_front(Unit { tasks: vec![key] });
        }
    }

    /// Lets all lanes be offered again, as when capacity has been freed.
    pub fn retry_now(&mut self, now: Instant) {
        for lane in self.queues.values_mut().flat_map(|queue| &mut queue.lanes) {
            lane.retry_at = lane.retry_at.min(now);
        }
    }

    /// Handles news of a task from its owner.
    pub fn notice(&mut self, vm: VmKey, notice: &Notice, now: Instant) -> Verdict {
        let Some(&key) = self.ids.get(&notice.lease.task) else {
            return match notice.news {
                News::Running => Verdict::Keep,
                News::Ended { .. } => Verdict::Acknowledge,
            };
        };
        let task = &mut self.tasks[key];
        let running = matches!(notice.news, News::Running);
        if task.step == Step::Recovering {
            return Verdict::Keep;
        }
        if task.ask.lease != notice.lease {
            return if running { Verdict::Stop } else { Verdict::Acknowledge };
        }
        match notice.news {
            News::Running if task.step == Step::Ending => Verdict::Keep,
            News::Running => {
                task.step = Step::Bound(vm);
                task.worker.clone_from(&notice.worker);
                if task.cancelled { Verdict::Stop } else { Verdict::Keep }
            }
            News::Ended { cause, .. } => {
                task.worker.clone_from(&notice.worker);
                self.ended(key, cause, now)
            }
        }
    }

    /// Decides whether the end of an attempt is the end of the task.
    fn ended(&mut self, key: TaskKey, cause: EndCause, now: Instant) -> Verdict {
        let task = &mut self.tasks[key];
        if task.step == Step::Ending {
            // The end is on its way to the log; the owner is told when it is there.
            return Verdict::Keep;
        }
        let outcome = match cause {
            _ if task.cancelled => Some(Outcome::Cancelled),
            EndCause::Succeeded if task.ask.kind != Kind::Service => Some(Outcome::Succeeded),
            EndCause::Failed | EndCause::OutOfMemory if task.retries == 0 => Some(Outcome::Failed),
            EndCause::Failed | EndCause::OutOfMemory => {
                task.retries -= 1;
                None
            }
            EndCause::Succeeded
            | EndCause::Stopped
            | EndCause::LeaseExpired
            | EndCause::Refused => None,
        };
        if let Some(outcome) = outcome {
            task.step = Step::Ending;
            return Verdict::End(end_of(task, outcome));
        }
        let lease = task.ask.lease;
        task.queued = now;
        self.put_back(&[lease], now);
        Verdict::Acknowledge
    }

    /// Forgets a task whose end is in the log, and frees its quota.
    pub fn finished(&mut self, id: TaskId) {
        let Some(key) = self.ids.remove(&id) else { return };
        self.uncount(key);
        self.tasks.remove(key);
    }

    /// Counts a task against the quota of its team, once.
    fn count(&mut self, key: TaskKey) {
        let task = &mut self.tasks[key];
        if !task.counted {
            task.counted = true;
            self.queues[task.team].used += task.ask.need;
        }
    }

    fn uncount(&mut self, key: TaskKey) {
        let task = &mut self.tasks[key];
        if task.counted {
            task.counted = false;
            let used = &mut self.queues[task.team].used;
            *used = used.saturating_sub(task.ask.need);
        }
    }

    /// Returns the teams with tasks that wait for the owners' lists, with the epochs of this home.
    #[must_use]
    pub fn recovering(&self) -> Vec<(TeamKey, Epoch)> {
        let teams = self.queues.iter().filter(|(team, _)| {
            self.tasks.values().any(|task| task.team == *team && task.step == Step::Recovering)
        });
        teams.map(|(team, queue)| (team, queue.epoch)).collect()
    }

    /// Adopts what an owner listed for a recovering team.
    ///
    /// Of two attempts at one task the later one counts; the earlier one has ended, since a home makes an
    /// attempt only after the one before is over.
    pub fn adopt(&mut self, vm: VmKey, known: &[Known]) {
        for listed in known {
            let Some(&key) = self.ids.get(&listed.lease.task) else {
                continue;
            };
            let task = &mut self.tasks[key];
            let older =
                task.step != Step::Recovering && task.ask.lease.attempt >= listed.lease.attempt;
            if older || listed.ended.is_some() {
                continue;
            }
            task.ask.lease = listed.lease;
            task.worker.clone_from(&listed.worker);
            task.step = Step::Bound(vm);
            self.count(key);
        }
    }

    /// Queues the tasks of a team that no owner listed. Only for complete lists of all owners.
    pub fn recovered(&mut self, team: TeamKey, now: Instant) {
        let waiting = |task: &Task| task.team == team && task.step == Step::Recovering;
        let mut keys: Vec<TaskKey> =
            self.tasks.iter().filter(|(_, task)| waiting(task)).map(|(key, _)| key).collect();
        keys.sort_by_key(|&key| self.tasks[key].ask.lease.task);
        let mut jobs: Vec<Vec<TaskKey>> = Vec::new();
        for key in keys {
            self.uncount(key);
            let task = &mut self.tasks[key];
            // The attempt before is over; the next one must be told from it.
            task.ask.lease = task.ask.lease.next();
            task.step = Step::Queued;
            task.queued = now;
            let job = task.ask.lease.task.job;
            match jobs.last_mut() {
                Some(last) if self.tasks[last[0]].ask.lease.task.job == job => last.push(key),
                _ => jobs.push(vec![key]),
            }
        }
        for job in jobs {
            self.enqueue_all(job);
        }
    }

    /// Returns the leases whose owner did not answer and whose deadline has passed, with the owner asked.
    #[must_use]
    pub fn unsettled(&self, now: Instant) -> Vec<(VmKey, LeaseId)> {
        let unknown = self.tasks.values().filter_map(|task| match task.step {
            Step::Unknown(vm, until) if until <= now => Some((vm, task.ask.lease)),
            _ => None,
        });
        unknown.collect()
    }

    /// Lets a task wait for the lists of all owners, because the owner that was asked is gone.
    pub fn unbind(&mut self, lease: LeaseId) {
        if let Some(task) = self.attempt(lease).filter(|task| task.step != Step::Ending) {
            task.step = Step::Recovering;
        }
    }

    /// Returns the leases bound to or asked of a VM that is no longer a member.
    #[must_use]
    pub fn orphans(&self, is_member: impl Fn(VmKey) -> bool) -> Vec<LeaseId> {
        let lost = self.tasks.values().filter(|task| match task.step {
            Step::Asked(vm) | Step::Unknown(vm, _) | Step::Bound(vm) => !is_member(vm),
            _ => false,
        });
        lost.map(|task| task.ask.lease).collect()
    }

    /// Returns the tasks that have not ended.
    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values()
    }

    /// Returns a task.
    #[must_use]
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.ids.get(&id).map(|&key| &self.tasks[key])
    }

    fn attempt(&mut self, lease: LeaseId) -> Option<&mut Task> {
        let key = *self.ids.get(&lease.task)?;
        self.tasks.get_mut(key).filter(|task| task.ask.lease == lease)
    }
}

/// Returns the class of a workload.
#[must_use]
pub fn class_of(team: &str, name: &str) -> String {
    format!("{team}.{name}")
}

fn end_of(task: &Task, outcome: Outcome) -> TaskEnd {
    TaskEnd { task: task.ask.lease.task, outcome, worker: task.worker.clone() }
}
