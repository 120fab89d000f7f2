//! Who may use a job: the caller that a request's key names, and the team to which the job belongs.
//!
//! The decisions here are made by the VM that receives a request, on the configuration that it has
//! read. See docs/design/teams.md.
//!
//! ```
//! use coriandertack_jobs::{
//!     access::{Caller, Refusal, authenticate},
//!     config::{Config, Route},
//!     teams::{Team, Teams},
//! };
//!
//! let team = Team { name: "bookings".into(), ..Team::default() };
//! let teams = Some(Teams::new([(team, vec!["secret"])]));
//! let config = Config { teams, ..Config::default() };
//! let caller = authenticate(&config, &Route::default(), Some("secret")).unwrap();
//! assert_eq!(caller, Caller::Team("bookings".into()));
//! assert!(caller.may_use(Some("bookings")) && !caller.may_use(Some("fares")));
//! assert_eq!(authenticate(&config, &Route::default(), None), Err(Refusal::NoKey));
//! ```

use std::sync::Arc;

use derive_more::Display;

use crate::{
    boot_time::BootTime,
    config::{Config, Route},
};

/// The sender of a request, as far as its key tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no teams, so keys are not checked.
    Unchecked,
    /// The route is open, so the key was not read.
    Anonymous,
    /// The key belongs to the team of this name.
    Team(Arc<str>),
}

impl Caller {
    /// Returns whether the caller may read and cancel a job of this team.
    ///
    /// A job without a team was submitted on an open route, or before the configuration had teams.
    #[must_use]
    pub fn may_use(&self, owner: Option<&str>) -> bool {
        match (self, owner) {
            (Self::Unchecked, _) | (_, None) => true,
            (Self::Team(team), Some(owner)) => **team == *owner,
            (Self::Anonymous, Some(_)) => false,
        }
    }

    /// Returns the team to which a job of this caller belongs.
    #[must_use]
    pub const fn team(&self) -> Option<&Arc<str>> {
        match self {
            Self::Team(team) => Some(team),
            Self::Unchecked | Self::Anonymous => None,
        }
    }
}

/// The callers that have cancelled a job. A cancellation takes effect only if one of them may use
/// the job, which is not known before the job's submission is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cancellers(Vec<Caller>);

impl Cancellers {
    /// Adds callers. Each is kept once, so their number is bounded by that of the teams.
    pub fn add(&mut self, others: &Self) {
        for caller in &others.0 {
            if !self.0.contains(caller) {
                self.0.push(caller.clone());
            }
        }
    }

    /// Returns whether nobody has cancelled the job.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether one of the callers may cancel a job of this team.
    #[must_use]
    pub fn may_cancel(&self, owner: Option<&str>) -> bool {
        self.0.iter().any(|caller| caller.may_use(owner))
    }

    /// Returns whether one of the callers may cancel any job.
    #[must_use]
    pub fn may_cancel_any(&self) -> bool {
        self.0.contains(&Caller::Unchecked)
    }

    /// Returns all callers.
    pub fn iter(&self) -> impl Iterator<Item = &Caller> {
        self.0.iter()
    }
}

impl FromIterator<Caller> for Cancellers {
    fn from_iter<I: IntoIterator<Item = Caller>>(callers: I) -> Self {
        Self(callers.into_iter().collect())
    }
}

impl From<Caller> for Cancellers {
    fn from(caller: Caller) -> Self {
        Self(vec![caller])
    }
}

/// Why a request is refused because of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Refusal {
    /// The request has no key.
    #[display("no_key")]
    NoKey,
    /// No team has the key.
    #[display("unknown_key")]
    UnknownKey,
    /// The job belongs to another team.
    #[display("other_team")]
    OtherTeam,
}

impl Refusal {
    /// All reasons, in the order of their numbers.
    pub const ALL: [Self; 3] = [Self::NoKey, Self::UnknownKey, Self::OtherTeam];
}

/// Decides who sent a request that matches a route, given the request's key.
///
/// The cost is one digest and one lookup, for any number of teams and keys.
///
/// # Errors
///
/// Fails if the route requires a key and the request has none that a team holds.
pub fn authenticate(config: &Config, route: &Route, key: Option<&str>) -> Result<Caller, Refusal> {
    let Some(teams) = &config.teams else { return Ok(Caller::Unchecked) };
    if route.open {
        return Ok(Caller::Anonymous);
    }
    let team = teams.by_key(key.ok_or(Refusal::NoKey)?).ok_or(Refusal::UnknownKey)?;
    Ok(Caller::Team(team.name.clone()))
}

/// Interval between two log lines on refusals with the same reason, in milliseconds. Clients without
/// a valid key can send any number of requests, and must not be able to fill the log.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Decides which refusals are logged.
#[derive(Clone, Debug, Default)]
pub struct RefusalLog {
    reasons: [LoggedReason; Refusal::ALL.len()],
}

#[derive(Clone, Copy, Debug, Default)]
struct LoggedReason {
    /// When the next line may be written.
    next: BootTime,
    /// Number of refusals since the last line.
    pending: u64,
}

impl RefusalLog {
    /// Adds a refusal. Returns the number of refusals that the line to be logged now stands for, or
    /// `None` if none is due.
    pub fn add(&mut self, refusal: Refusal, now: BootTime) -> Option<u64> {
        let reason = &mut self.reasons[refusal as usize];
        reason.pending += 1;
        if now < reason.next {
            return None;
        }
        reason.next = now.plus_ms(LOG_INTERVAL_MS);
        Some(std::mem::take(&mut reason.pending))
    }
}
