//! Making one change, or previewing it.

use coriandertack_core::{
    code::Code,
    keys::Version,
    record::Record,
    state::{ApplyEffect, State},
};

use crate::{
    api::Api,
    call::{Call, in_time},
    preview,
    reply::{Answer, Fault, Reply},
};

/// Makes a change, or only says what would come of it if the call is a dry run.
pub(crate) async fn make(api: &Api, call: &Call, record: Record) -> Answer {
    api.require_serving()?;
    let dry_run = call.dry_run()?;
    let result = if dry_run {
        api.node.with(|shared| preview::apply_result(&shared.state, &record))
    } else {
        in_time(api.append(&call.principal.to_string(), record.clone())).await
    };
    match result {
        Ok(applied) => Ok(reply(applied, dry_run)),
        Err(code) => {
            let fault = api.node.with(|shared| explain(&shared.state, &record, code));
            Err(if dry_run { fault } else { fault.void() })
        }
    }
}

fn reply(applied: ApplyEffect, dry_run: bool) -> Reply {
    let reply = match applied {
        ApplyEffect::Unchanged => Reply::new(Code::Unchanged),
        ApplyEffect::Version(version) if dry_run => Reply::new(Code::Done).with("version", version),
        ApplyEffect::Version(version) => {
            Reply::new(Code::Done).with("version", version).tagged(version)
        }
        ApplyEffect::Job(job) => Reply::new(Code::Accepted).with("job", job),
        ApplyEffect::Done | ApplyEffect::Session(_) => Reply::new(Code::Done),
    };
    if dry_run { reply.with("dry_run", true) } else { reply }
}

/// Adds what the principal needs for the next attempt.
fn explain(state: &State, record: &Record, code: Code) -> Fault {
    let current = match record {
        Record::Team(change) => state.team(&change.name).map(|team| team.version),
        Record::Setting(change) => state.settings.get(&change.name).map(|known| known.version),
        _ => None,
    };
    let current = current.unwrap_or(Version(0));
    match (record, code) {
        (Record::Team(change), Code::Conflict) if change.expect == current => {
            Fault::new(code, format!("team `{}` has jobs that have not ended", change.name))
        }
        (Record::Team(_) | Record::Setting(_), Code::Conflict) => {
            let reason = format!("the object has version {current} now; read it and try again");
            Fault::new(code, reason).with_version(current)
        }
        _ => code.into(),
    }
}
