//! Prediction of the result of a change, for dry runs.
//!
//! The rules duplicate those of [`State::apply`](coriandertack_core::state::State::apply) for the records
//! that operators write. A test checks that both agree.

use coriandertack_core::{
    code::Code,
    keys::Version,
    record::Record,
    state::{ApplyEffect, ApplyResult, State},
};

/// Returns the result of applying `record` to the current state, without applying it.
///
/// An accepted job has no identifier yet, so its result is [`ApplyEffect::Done`].
pub fn apply_result(state: &State, record: &Record) -> ApplyResult {
    match record {
        Record::Team(change) => {
            let known = state.team(&change.name);
            let version = known.map_or(Version(0), |team| team.version);
            if version != change.expect {
                return Err(Code::Conflict);
            }
            let has_live_jobs = state.jobs.live_jobs_of(&change.name).next().is_some();
            match (known, &change.spec) {
                (None, None) => Err(Code::NotFound),
                (Some(_), None) if has_live_jobs => Err(Code::Conflict),
                _ => {
                    let removed = state.removed_teams.get(&change.name).copied();
                    Ok(ApplyEffect::Version(removed.unwrap_or(version).max(version).next()))
                }
            }
        }
        Record::Setting(change) => {
            let known = state.settings.get(&change.name);
            let version = known.map_or(Version(0), |setting| setting.version);
            if version == change.expect {
                Ok(ApplyEffect::Version(version.next()))
            } else {
                Err(Code::Conflict)
            }
        }
        Record::Cordon(change) => match state.worker(&change.worker) {
            None => Err(Code::NotFound),
            Some(worker) if worker.cordoned == change.cordoned => Ok(ApplyEffect::Unchanged),
            Some(_) => Ok(ApplyEffect::Done),
        },
        Record::Cancel(id) => match state.jobs.get(*id) {
            None => Err(Code::NotFound),
            Some(job) if job.cancelled || job.is_ended() => Ok(ApplyEffect::Unchanged),
            Some(_) => Ok(ApplyEffect::Done),
        },
        Record::Accept(spec) if state.team(&spec.team).is_none() => Err(Code::NotFound),
        _ => Ok(ApplyEffect::Done),
    }
}
