//! The order in which a pass serves the steps that wait.
//!
//! Without teams, or while there is capacity for all, steps are served by their [`Place`]. When a
//! resource of a service's workers is short, teams that use less than their fair share of it come
//! first, in the same order. Work beyond the fair shares follows: always the first step of the team
//! with the lowest dominant share by weight, until another team has the lowest.
//!
//! The VMs that make advice calls are shared in the same way. A step whose team has its fair share
//! of calls in progress is served, but has its next call made only after the others.
//!
//! The load is a full pass over all steps that wait, thousands, for each change of the cluster. The
//! fair levels are computed once for each service and pass. After that, a turn costs at most one
//! operation on a heap of teams. See docs/design/team-shares.md.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use {coriandertack_core::resources::Resources, slotmap::SecondaryMap};

use super::{Rank, queue::Urgency};

use crate::{
    fair::{Demand, FairLevels},
    ids::StepId,
    ledger::{TeamKey, Usage},
};

/// Position of a step among all steps; lower places are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    /// Whether the route is contained because its tasks crash many workers.
    pub(super) contained: bool,
    pub(super) urgency: Urgency,
    pub(super) rank: Rank,
    pub(super) id: StepId,
}

/// What the fair shares need to know about a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claimant {
    pub(super) team: TeamKey,
    /// Index of the service whose workers run the tasks.
    pub(super) pool: usize,
    /// Need of one task.
    pub(super) need: Resources,
    /// Whether the tasks start together or not at all, so that they cannot be limited to a share.
    pub(super) gang: bool,
    /// Number of advice calls in progress; `None` if the route needs no advice.
    pub(super) calls: Option<u32>,
    /// Whether the tasks keep their place beyond the fair share: long-running ones that ran before.
    pub(super) restarts: bool,
}

/// A step that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingStep {
    pub(super) place: Place,
    /// Number of tasks that wait.
    pub(super) tasks: u32,
    /// `None` if there are no teams.
    pub(super) claimant: Option<Claimant>,
}

/// The workers of a service, and what teams use of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    pub(super) capacity: Usage,
    pub(super) usage: SecondaryMap<TeamKey, Usage>,
}

impl Pool {
    fn add(&mut self, team: TeamKey, amount: Usage) {
        if let Some(entry) = self.usage.entry(team) {
            *entry.or_default() += amount;
        }
    }

    /// Adds what a run of a team uses.
    pub(super) fn add_run(&mut self, team: TeamKey, need: Resources) {
        self.add(team, need.into());
    }
}

/// What a team has running over all services.
#[derive(Clone, Copy, Debug)]
pub(super) struct TeamLoad {
    pub(super) weight: f64,
    pub(super) usage: Usage,
    pub(super) cap: Resources,
}

/// A step whose turn it is.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn {
    /// Step to serve.
    pub(super) id: StepId,
    /// Number of tasks up to which its team keeps its share.
    pub(super) limit: u32,
    /// Whether an advice call may be made now. Otherwise the step is to be put back for a later
    /// turn.
    pub(super) may_call: bool,
    step: WaitingStep,
    phase: Phase,
}

impl Turn {
    /// Returns the maximum number of tasks that may be placed in this turn.
    pub(super) fn max_tasks(&self) -> u32 {
        self.limit.min(self.step.tasks)
    }

    /// Returns true if all tasks of the step have been placed.
    pub(super) const fn is_served(&self, taken: u32) -> bool {
        taken >= self.step.tasks
    }

    /// Returns true if the step gets another turn once `taken` tasks have been placed.
    pub(super) const fn is_cut_short(&self, taken: u32) -> bool {
        taken >= self.limit && taken < self.step.tasks
    }
}

/// Part of a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Steps in the order of their places, up to the fair shares.
    Fair,
    /// Work beyond the fair shares.
    Beyond,
    /// Steps of contained routes.
    Contained,
}

/// Fair shares during one pass.
#[derive(Debug)]
struct Shares {
    pools: Vec<(Pool, FairLevels)>,
    teams: SecondaryMap<TeamKey, TeamLoad>,
    /// Capacity of all workers.
    total: Usage,
    calls: CallShares,
}

/// Fair shares of the VMs that make advice calls, each one call at a time. A call counts as one
/// task that needs one unit.
#[derive(Debug, Default)]
struct CallShares {
    levels: FairLevels,
    /// Number of calls in progress of each team.
    in_progress: SecondaryMap<TeamKey, Usage>,
}

/// Need of one advice call.
const CALL: Resources = Resources::new(1, 0, 0);

impl CallShares {
    fn new(
        vms: u32,
        tolerance: f64,
        teams: &SecondaryMap<TeamKey, TeamLoad>,
        steps: &[WaitingStep],
    ) -> Self {
        let mut in_progress: SecondaryMap<TeamKey, Usage> = SecondaryMap::new();
        let mut wanted: SecondaryMap<TeamKey, Usage> = SecondaryMap::new();
        for claimant in steps.iter().filter_map(|step| step.claimant.as_ref()) {
            let Some(calls) = claimant.calls else { continue };
            for (sums, count) in [(&mut in_progress, calls), (&mut wanted, calls.max(1))] {
                if let Some(entry) = sums.entry(claimant.team) {
                    *entry.or_default() += Usage::of_tasks(CALL, count);
                }
            }
        }
        let weight = |team: TeamKey| teams.get(team).map_or(0.0, |load| load.weight);
        let demand =
            |(team, amount): (TeamKey, &Usage)| Demand { weight: weight(team), amount: *amount };
        let demands: Vec<Demand> = wanted.iter().map(demand).collect();
        let levels = FairLevels::fill(Usage::of_tasks(CALL, vms), &demands);
        Self { levels: levels.tolerating(tolerance), in_progress }
    }

    /// Returns true if a step may have a call made before teams that use less of the VMs' time.
    fn may_call(&self, claimant: &Claimant, weight: f64) -> bool {
        let in_progress = self.in_progress.get(claimant.team).copied().unwrap_or_default();
        claimant.calls != Some(0) || self.levels.room(weight, in_progress, CALL) > 0
    }

    fn take(&mut self, team: TeamKey, calls: u32) {
        if let Some(entry) = self.in_progress.entry(team) {
            *entry.or_default() += Usage::of_tasks(CALL, calls);
        }
    }
}

impl Shares {
    fn new(
        pools: Vec<Pool>,
        teams: SecondaryMap<TeamKey, TeamLoad>,
        total: Usage,
        vms: u32,
        tolerance: f64,
        steps: &[WaitingStep],
    ) -> Self {
        let calls = CallShares::new(vms, tolerance, &teams, steps);
        let mut demands: Vec<SecondaryMap<TeamKey, Usage>> =
            pools.iter().map(|pool| pool.usage.clone()).collect();
        for step in steps {
            let Some(claimant) = &step.claimant else { continue };
            if let Some(entry) = demands[claimant.pool].entry(claimant.team) {
                *entry.or_default() += Usage::of_tasks(claimant.need, step.tasks);
            }
        }
        let fill = |(pool, demands): (Pool, SecondaryMap<TeamKey, Usage>)| {
            let demand = |(team, amount): (TeamKey, &Usage)| {
                let load = teams.get(team)?;
                Some(Demand { weight: load.weight, amount: amount.limited_to(load.cap) })
            };
            let demands: Vec<Demand> = demands.iter().filter_map(demand).collect();
            let levels = FairLevels::fill(pool.capacity, &demands);
            (pool, levels.tolerating(tolerance))
        };
        let pools = pools.into_iter().zip(demands).map(fill).collect();
        Self { pools, teams, total, calls }
    }

    fn is_short(&self) -> bool {
        self.calls.levels.is_short() || self.pools.iter().any(|(_, levels)| levels.is_short())
    }

    /// Returns how many tasks of a step may start until its team has reached its fair share.
    fn fair_room(&self, claimant: &Claimant) -> u32 {
        let (pool, levels) = &self.pools[claimant.pool];
        let weight = self.teams.get(claimant.team).map_or(0.0, |load| load.weight);
        let usage = pool.usage.get(claimant.team).copied().unwrap_or_default();
        match levels.room(weight, usage, claimant.need) {
            0 => 0,
            _ if claimant.gang => u32::MAX,
            room => room,
        }
    }

    fn may_call(&self, claimant: &Claimant) -> bool {
        let weight = self.teams.get(claimant.team).map_or(0.0, |load| load.weight);
        claimant.restarts || self.calls.may_call(claimant, weight)
    }

    /// Returns the dominant share of a team by its weight.
    fn share(&self, team: TeamKey) -> f64 {
        let Some(load) = self.teams.get(team) else { return f64::INFINITY };
        by_weight(load.usage.dominant_share(self.total), load.weight)
    }

    /// Returns how many tasks of a step may start until the share of its team exceeds `next`.
    fn room_until(&self, claimant: &Claimant, next: f64) -> u32 {
        let share = self.share(claimant.team);
        let weight = self.teams.get(claimant.team).map_or(0.0, |load| load.weight);
        let growth = by_weight(Usage::from(claimant.need).dominant_share(self.total), weight);
        if claimant.gang || growth <= 0.0 || !share.is_finite() || !next.is_finite() {
            return u32::MAX;
        }
        // The quotient exceeds the range for a tiny task if the weights are far apart.
        (((next - share) / growth).floor().max(0.0) as u32).saturating_add(1)
    }

    fn take(&mut self, claimant: &Claimant, tasks: u32) {
        let amount = Usage::of_tasks(claimant.need, tasks);
        self.pools[claimant.pool].0.add(claimant.team, amount);
        if let Some(load) = self.teams.get_mut(claimant.team) {
            load.usage += amount;
        }
    }
}

/// Returns a share by weight. Teams without weight have the highest.
fn by_weight(share: f64, weight: f64) -> f64 {
    if weight > 0.0 { share / weight } else { f64::INFINITY }
}

/// The first step of a team beyond its fair share, ordered by the share. The bits of floating-point
/// numbers that are not negative are in the order of the numbers.
type TeamEntry = Reverse<(u64, Place, TeamKey)>;

/// The steps of a pass in the order in which they are served.
#[derive(Debug)]
pub(super) struct ServingOrder {
    /// Steps that have not had a turn, in the order of their places.
    steps: VecDeque<WaitingStep>,
    /// `None` if there are no teams, or capacity for all.
    shares: Option<Shares>,
    /// Steps beyond the fair shares of their teams.
    beyond: SecondaryMap<TeamKey, VecDeque<WaitingStep>>,
    /// Teams with steps in `beyond`. It is filled once all steps have had a turn.
    heap: BinaryHeap<TeamEntry>,
    contained: VecDeque<WaitingStep>,
    phase: Phase,
}

impl ServingOrder {
    /// Orders steps by their places.
    pub(super) fn by_place(mut steps: Vec<WaitingStep>) -> Self {
        steps.sort_unstable_by_key(|step| step.place);
        Self {
            steps: steps.into(),
            shares: None,
            beyond: SecondaryMap::new(),
            heap: BinaryHeap::new(),
            contained: VecDeque::new(),
            phase: Phase::Fair,
        }
    }

    /// Orders steps by the fair shares of their teams and by their places. `total` is the capacity
    /// of all workers, `vms` the number of VMs that make advice calls, and `tolerance` the multiple
    /// of its fair share that a team may use before it counts as beyond it.
    pub(super) fn by_share(
        steps: Vec<WaitingStep>,
        pools: Vec<Pool>,
        teams: SecondaryMap<TeamKey, TeamLoad>,
        total: Usage,
        vms: u32,
        tolerance: f64,
    ) -> Self {
        let shares = Shares::new(pools, teams, total, vms, tolerance, &steps);
        Self { shares: Some(shares).filter(Shares::is_short), ..Self::by_place(steps) }
    }

    /// Returns the next turn. After it, [`Self::put_back`] or [`Self::finish`] has to be called.
    pub(super) fn next(&mut self) -> Option<Turn> {
        let Some(shares) = &self.shares else {
            let step = self.steps.pop_front()?;
            return Some(Turn::new(step, u32::MAX, Phase::Fair));
        };
        while let Some(step) = self.steps.pop_front() {
            let Some(claimant) = &step.claimant else {
                return Some(Turn::new(step, u32::MAX, Phase::Fair));
            };
            if step.place.contained {
                self.contained.push_back(step);
                continue;
            }
            let room = if claimant.restarts { u32::MAX } else { shares.fair_room(claimant) };
            if room > 0 {
                let may_call = shares.may_call(claimant);
                return Some(Turn { may_call, ..Turn::new(step, room, Phase::Fair) });
            }
            if let Some(entry) = self.beyond.entry(claimant.team) {
                entry.or_default().push_back(step);
            }
        }
        if self.phase == Phase::Fair {
            self.phase = Phase::Beyond;
            let entry = |(team, steps): (TeamKey, &VecDeque<WaitingStep>)| {
                Some(Reverse((shares.share(team).to_bits(), steps.front()?.place, team)))
            };
            self.heap = self.beyond.iter().filter_map(entry).collect();
        }
        if let Some(Reverse((_, _, team))) = self.heap.pop()
            && let Some(step) = self.beyond.get_mut(team).and_then(VecDeque::pop_front)
            && let Some(claimant) = &step.claimant
        {
            let next =
                self.heap.peek().map_or(f64::INFINITY, |Reverse((bits, ..))| f64::from_bits(*bits));
            return Some(Turn::new(step, shares.room_until(claimant, next), Phase::Beyond));
        }
        let step = self.contained.pop_front()?;
        Some(Turn::new(step, u32::MAX, Phase::Contained))
    }

    /// Puts a step back whose turn was cut short after `taken` of its tasks.
    pub(super) fn put_back(&mut self, turn: Turn, taken: u32) {
        let step = WaitingStep { tasks: turn.step.tasks.saturating_sub(taken), ..turn.step };
        let Some(claimant) = &step.claimant else { return };
        if let Some(entry) = self.beyond.entry(claimant.team) {
            let steps = entry.or_default();
            match turn.phase {
                Phase::Fair | Phase::Contained => steps.push_back(step),
                Phase::Beyond => steps.push_front(step),
            }
        }
        self.finish(turn, taken, 0);
    }

    /// Ends the turn of a step, which has taken or claimed capacity for `taken` tasks and makes
    /// `calls` new advice calls.
    pub(super) fn finish(&mut self, turn: Turn, taken: u32, calls: u32) {
        let (Some(shares), Some(claimant)) = (&mut self.shares, &turn.step.claimant) else {
            return;
        };
        shares.take(claimant, taken);
        shares.calls.take(claimant.team, calls);
        if turn.phase == Phase::Beyond
            && let Some(first) = self.beyond.get(claimant.team).and_then(VecDeque::front)
        {
            let share = shares.share(claimant.team).to_bits();
            self.heap.push(Reverse((share, first.place, claimant.team)));
        }
    }
}

impl Turn {
    const fn new(step: WaitingStep, limit: u32, phase: Phase) -> Self {
        Self { id: step.place.id, limit, may_call: true, step, phase }
    }
}
