//! The ledger of what teams have running, their caps and their weights.
//!
//! Every run that a worker may hold is charged to its team with the whole need of its task, from
//! when it is bound until the worker is known not to hold it any more. Sums are kept in 64 bits,
//! since a team may use more of a resource than 32 bits hold. See docs/design/team-shares.md.
//!
//! ```
//! use coriandertack_core::resources::Resources;
//! use coriandertack_jobs::{ledger::{Charge, Ledger}, teams::{Team, Teams}};
//!
//! let team = Team { name: "bookings".into(), weight: 1.0, cap: Resources::new(4_000, 0, 0) };
//! let mut ledger = Ledger::default();
//! ledger.configure(Some(&Teams::new([(team, vec!["secret"])])));
//! let key = ledger.team(Some("bookings")).unwrap();
//! let need = Resources::new(1_500, 512, 0);
//! assert_eq!(ledger.room(key, need), 2);
//! ledger.charge(Charge { team: key, need, lasting: false });
//! assert_eq!(ledger.room(key, need), 1);
//! ```

use std::{collections::HashMap, sync::Arc};

use {
    coriandertack_core::resources::Resources,
    derive_more::{AddAssign, Display, Error},
    slotmap::{SlotMap, new_key_type},
};

use crate::{
    spec::{JobSpec, StepSpec},
    teams::{Team, Teams},
};

new_key_type! {
    /// Key of a team in the ledger. It stays valid for as long as the ledger exists.
    pub struct TeamKey;
}

/// Units of the parts of [`Usage`], as messages name them.
pub const PART_UNITS: [&str; 3] = ["millicores", "MiB of memory", "accelerators"];

/// Name under which the jobs of callers without a key are charged.
pub const KEYLESS: &str = "";

/// Weight of the jobs of callers without a key. Together they count as one team, so that a flood on
/// an open route takes no more than any team could.
const KEYLESS_WEIGHT: f64 = 1.0;

/// A sum of resources over many tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, AddAssign, Display)]
#[display("{millicores}m/{memory_mib}MiB/{accelerators}acc")]
pub struct Usage {
    /// Thousandths of a core.
    pub millicores: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl From<Resources> for Usage {
    fn from(amounts: Resources) -> Self {
        Self::from([
            u64::from(amounts.millicores),
            u64::from(amounts.memory_mib),
            u64::from(amounts.accelerators),
        ])
    }
}

impl From<[u64; 3]> for Usage {
    fn from([millicores, memory_mib, accelerators]: [u64; 3]) -> Self {
        Self { millicores, memory_mib, accelerators }
    }
}

impl Usage {
    /// Returns the parts in the order of [`PART_UNITS`].
    #[must_use]
    pub const fn parts(self) -> [u64; 3] {
        [self.millicores, self.memory_mib, self.accelerators]
    }

    /// Returns the need of several tasks.
    #[must_use]
    pub fn of_tasks(need: Resources, count: u32) -> Self {
        Self::from(Self::from(need).parts().map(|part| part * u64::from(count)))
    }

    /// Adds each part.
    #[must_use]
    pub fn plus(mut self, other: Self) -> Self {
        self += other;
        self
    }

    /// Applies a function to each pair of parts.
    #[must_use]
    pub fn zip(self, other: Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        let (own, other) = (self.parts(), other.parts());
        Self::from([0, 1, 2].map(|part| combine(own[part], other[part])))
    }

    /// Returns the amounts, limited to a cap. A part of the cap that is 0 is no limit.
    #[must_use]
    pub fn limited_to(self, cap: Resources) -> Self {
        self.zip(cap.into(), |amount, cap| if cap == 0 { amount } else { amount.min(cap) })
    }

    /// Returns the largest fraction of a part of `total` that these amounts take. A part that
    /// `total` lacks counts as taken once if any of it is used.
    #[must_use]
    pub fn dominant_share(self, total: Self) -> f64 {
        let share = |(amount, limit): (u64, u64)| match (amount, limit) {
            (0, _) => 0.0,
            (_, 0) => 1.0,
            (amount, limit) => amount as f64 / limit as f64,
        };
        self.parts().into_iter().zip(total.parts()).map(share).fold(0.0, f64::max)
    }
}

/// What a run is charged. It is returned unchanged when the run is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge {
    /// Team that the run belongs to.
    pub team: TeamKey,
    /// Whole need of the task, also of one that uses only spare processor time.
    pub need: Resources,
    /// Whether the run does not end by itself.
    pub lasting: bool,
}

/// A team and what it has running.
#[derive(Clone, Debug)]
struct Account {
    name: Arc<str>,
    usage: Usage,
    /// Part of the usage that does not end by itself.
    lasting: Usage,
    /// A part that is 0 has no limit.
    cap: Resources,
    weight: f64,
    configured: bool,
}

/// A change of a team's cap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapChange {
    /// Name of the team.
    pub name: Arc<str>,
    /// Cap before the change.
    pub former: Resources,
    /// Cap from now on.
    pub cap: Resources,
    /// What the team has running.
    pub usage: Usage,
}

/// State of a team as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamState {
    /// Name of the team; [`KEYLESS`] for callers without a key.
    pub name: Arc<str>,
    /// What the team has running.
    pub usage: Usage,
    /// What it may have running. A part that is 0 has no limit.
    pub cap: Resources,
    /// Largest fraction of a resource of all workers that the team uses.
    pub share: f64,
    /// Number of tasks that wait for a worker.
    pub waiting: u64,
}

/// Usage, caps and weights of all teams.
///
/// Without teams in the configuration, nothing is limited and jobs without a team are not charged.
/// Teams are never removed, so that a team that the configuration no longer has keeps its usage
/// until its runs end. Their number is bounded by the teams of all configurations and jobs that one
/// leader reads.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: SlotMap<TeamKey, Account>,
    names: HashMap<Arc<str>, TeamKey>,
    enabled: bool,
}

impl Ledger {
    /// Applies the teams of a configuration, or `None` if it has none. Returns the caps that
    /// changed.
    ///
    /// Usage is not affected: a cap that shrinks stops nothing. A team that is missing from now on
    /// has no cap and no weight, which is the lowest share.
    pub fn configure(&mut self, teams: Option<&Teams>) -> Vec<CapChange> {
        self.enabled = teams.is_some();
        let former: HashMap<TeamKey, Resources> =
            self.accounts.iter().map(|(key, account)| (key, account.cap)).collect();
        for account in self.accounts.values_mut() {
            (account.cap, account.weight, account.configured) = (Resources::ZERO, 0.0, false);
        }
        for team in teams.into_iter().flat_map(Teams::iter) {
            let key = self.insert(&team.name);
            let account = &mut self.accounts[key];
            // A name that occurs twice belongs to the first entry, as in `Teams::named`.
            if !account.configured {
                account.cap = team.cap;
                account.weight = if team.weight.is_finite() { team.weight.max(0.0) } else { 0.0 };
                account.configured = true;
            }
        }
        if self.enabled {
            let key = self.insert(KEYLESS);
            self.accounts[key].weight = KEYLESS_WEIGHT;
        }
        let change = |(key, account): (TeamKey, &Account)| {
            let former = former.get(&key).copied().unwrap_or_default();
            let (name, cap, usage) = (Arc::clone(&account.name), account.cap, account.usage);
            (former != cap).then_some(CapChange { name, former, cap, usage })
        };
        self.accounts.iter().filter_map(change).collect()
    }

    /// Returns the key of a team, adding one that the configuration does not have. A job without a
    /// team has the key of all callers without a key; it has none while the configuration has no
    /// teams.
    pub fn team(&mut self, name: Option<&str>) -> Option<TeamKey> {
        match name {
            Some(name) => Some(self.insert(name)),
            None => self.keyless(),
        }
    }

    /// Returns the key of all callers without a key, or `None` while the configuration has no
    /// teams.
    #[must_use]
    pub fn keyless(&self) -> Option<TeamKey> {
        self.names.get(KEYLESS).copied().filter(|_| self.enabled)
    }

    fn insert(&mut self, name: &str) -> TeamKey {
        if let Some(&key) = self.names.get(name) {
            return key;
        }
        let name: Arc<str> = name.into();
        let key = self.accounts.insert(Account {
            name: Arc::clone(&name),
            usage: Usage::default(),
            lasting: Usage::default(),
            cap: Resources::ZERO,
            weight: 0.0,
            configured: false,
        });
        self.names.insert(name, key);
        key
    }

    /// Returns true if the configuration has teams.
    #[must_use]
    pub const fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Adds a run to the usage of its team.
    pub fn charge(&mut self, charge: Charge) {
        let Some(account) = self.accounts.get_mut(charge.team) else { return };
        account.usage += charge.need.into();
        if charge.lasting {
            account.lasting += charge.need.into();
        }
    }

    /// Removes a run from the usage of its team.
    pub fn release(&mut self, charge: Charge) {
        let Some(account) = self.accounts.get_mut(charge.team) else { return };
        let need = Usage::from(charge.need);
        account.usage = account.usage.zip(need, u64::saturating_sub);
        if charge.lasting {
            account.lasting = account.lasting.zip(need, u64::saturating_sub);
        }
    }

    /// Returns what a team has running.
    #[must_use]
    pub fn usage(&self, team: TeamKey) -> Usage {
        self.accounts.get(team).map_or_else(Usage::default, |account| account.usage)
    }

    /// Returns the weight of a team; 0 if the configuration does not have it.
    #[must_use]
    pub fn weight(&self, team: TeamKey) -> f64 {
        self.accounts.get(team).map_or(0.0, |account| account.weight)
    }

    /// Returns the cap of a team. A part that is 0 has no limit.
    #[must_use]
    pub fn cap(&self, team: TeamKey) -> Resources {
        self.accounts.get(team).map_or(Resources::ZERO, |account| account.cap)
    }

    /// Returns the name of a team.
    #[must_use]
    pub fn name(&self, team: TeamKey) -> &str {
        self.accounts.get(team).map_or(KEYLESS, |account| &account.name)
    }

    /// Returns how many more tasks fit under the cap of a team.
    #[must_use]
    pub fn room(&self, team: TeamKey, need: Resources) -> u32 {
        self.room_beside(team, need, Usage::default())
    }

    /// Returns how many more tasks fit under the cap of a team, beside `held` for other tasks.
    #[must_use]
    pub fn room_beside(&self, team: TeamKey, need: Resources, held: Usage) -> u32 {
        match self.accounts.get(team).filter(|_| self.enabled) {
            Some(account) => room_under(account.cap, account.usage, held, need),
            None => u32::MAX,
        }
    }

    /// Returns how many tasks fit under the cap of a team beside those of its runs that do not end
    /// by themselves.
    #[must_use]
    pub fn drained_room(&self, team: TeamKey, need: Resources) -> u32 {
        match self.accounts.get(team).filter(|_| self.enabled) {
            Some(account) => room_under(account.cap, account.lasting, Usage::default(), need),
            None => u32::MAX,
        }
    }

    /// Returns the largest fraction of a resource of `total` that a team uses.
    #[must_use]
    pub fn share(&self, team: TeamKey, total: Usage) -> f64 {
        self.usage(team).dominant_share(total)
    }

    /// Returns the keys of all teams.
    pub fn teams(&self) -> impl Iterator<Item = TeamKey> + '_ {
        self.accounts.keys()
    }

    /// Returns the state of each team that is configured, has something running or has tasks that
    /// wait.
    #[must_use]
    pub fn states(&self, total: Usage, waiting: impl Fn(TeamKey) -> u64) -> Vec<TeamState> {
        let state = |(key, account): (TeamKey, &Account)| {
            let waiting = waiting(key);
            let shown = account.configured || account.usage != Usage::default() || waiting > 0;
            shown.then(|| TeamState {
                name: Arc::clone(&account.name),
                usage: account.usage,
                cap: account.cap,
                share: account.usage.dominant_share(total),
                waiting,
            })
        };
        self.accounts.iter().filter_map(state).collect()
    }
}

/// Returns how many tasks fit under a cap beside `usage` and `held`. None does while the usage of any
/// capped part is above its cap, also if the tasks do not need that part. What is held of a part
/// matters only to tasks that need it.
fn room_under(cap: Resources, usage: Usage, held: Usage, need: Resources) -> u32 {
    let parts = Usage::from(cap).parts().into_iter().zip(usage.parts());
    let needs = held.parts().into_iter().zip(Usage::from(need).parts());
    let rooms = parts.zip(needs).map(|((cap, used), (held, need))| match cap {
        0 => u64::MAX,
        cap if used > cap => 0,
        cap => (cap - used).saturating_sub(held).checked_div(need).unwrap_or(u64::MAX),
    });
    rooms.min().map_or(u32::MAX, |room| u32::try_from(room).unwrap_or(u32::MAX))
}

/// A step that can never start under the cap of its team.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display(
    "step {step} can never start: {} needs {need} {unit}, and the cap of team \"{team}\" is {cap}",
    if *gang { "the gang" } else { "a task" }
)]
pub struct CapError {
    /// Index of the step.
    pub step: usize,
    /// Whether the step is a gang, all of whose tasks must run at one time.
    pub gang: bool,
    /// Amount needed at one time.
    pub need: u64,
    /// Unit of the need and the cap.
    pub unit: &'static str,
    /// Cap of the team.
    pub cap: u64,
    /// Name of the team.
    pub team: Arc<str>,
}

/// Checks that each step of a job fits under the cap of its team while nothing else of the team is
/// running.
///
/// # Errors
///
/// Returns the first step that does not.
pub fn check_cap(spec: &JobSpec, team: Option<&Team>) -> Result<(), CapError> {
    let Some(team) = team else { return Ok(()) };
    for (number, step) in spec.steps.iter().enumerate() {
        let need = needed_at_once(step);
        let parts = need.parts().into_iter().zip(Usage::from(team.cap).parts()).zip(PART_UNITS);
        for ((need, cap), unit) in parts {
            if cap > 0 && need > cap {
                let team = Arc::clone(&team.name);
                return Err(CapError { step: number, gang: step.gang, need, unit, cap, team });
            }
        }
    }
    Ok(())
}

/// Returns what has to fit at one time for a step to start.
fn needed_at_once(step: &StepSpec) -> Usage {
    Usage::of_tasks(step.need, if step.gang { step.count } else { 1 })
}
