//! Applying or previewing a change.

use coriandertack_core::{
    code::Code,
    keys::Version,
    record::Record,
    state::{ApplyEffect, State},
};

use crate::{
    api::Api,
    call::{Call, with_change_timeout},
    preview,
    reply::{ApiError, ApiResult, Reply},
};

/// Applies a change, or only predicts its result if the call is a dry run.
pub(crate) async fn apply_or_preview(api: &Api, call: &Call, record: Record) -> ApiResult {
    api.require_serving()?;
    let dry_run = call.dry_run()?;
    let result = if dry_run {
        api.node.with(|shared| preview::apply_result(&shared.state, &record))
    } else {
        with_change_timeout(api.append(&call.principal.to_string(), record.clone())).await
    };
    match result {
        Ok(applied) => Ok(to_reply(applied, dry_run)),
        Err(code) => {
            let error = api.node.with(|shared| to_error(&shared.state, &record, code));
            Err(if dry_run { error } else { error.logged() })
        }
    }
}

fn to_reply(applied: ApplyEffect, dry_run: bool) -> Reply {
    let reply = match applied {
        ApplyEffect::Unchanged => Reply::new(Code::Unchanged),
        ApplyEffect::Version(version) if dry_run => Reply::new(Code::Done).with("version", version),
        ApplyEffect::Version(version) => {
            Reply::new(Code::Done).with("version", version).with_etag(version)
        }
        ApplyEffect::Job(job) => Reply::new(Code::Accepted).with("job", job),
        ApplyEffect::Done | ApplyEffect::Session(_) => Reply::new(Code::Done),
    };
    if dry_run { reply.with("dry_run", true) } else { reply }
}

/// Returns the error for a failed change, with the current version that a retry needs.
fn to_error(state: &State, record: &Record, code: Code) -> ApiError {
    let current = match record {
        Record::Team(change) => state.team(&change.name).map(|team| team.version),
        Record::Setting(change) => state.settings.get(&change.name).map(|known| known.version),
        _ => None,
    };
    let current = current.unwrap_or(Version(0));
    match (record, code) {
        (Record::Team(change), Code::Conflict) if change.expect == current => ApiError::new(
            code,
            format!(
                "team `{}` has unfinished jobs; cancel them or wait until they end",
                change.name
            ),
        ),
        (Record::Team(_) | Record::Setting(_), Code::Conflict) => {
            let reason = format!(
                "the object is at version {current}; read it again and retry with that version"
            );
            ApiError::new(code, reason).with_version(current)
        }
        _ => code.into(),
    }
}
