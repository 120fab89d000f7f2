//! Joining and leaving.

use {
    coriandertack_core::{
        code::Code,
        keys::Session,
        node::{Node, Stage},
        record::Record,
        state::ApplyEffect,
    },
    tokio::time::Instant,
};

/// Who asks for the records that the system writes by itself.
const SYSTEM: &str = "system";

/// Waits until the state is current, makes this VM a member, and returns its session.
///
/// The stage becomes [`Stage::Serving`]. Waits as long as the log service is unavailable.
///
/// # Errors
///
/// Fails with [`Code::Fenced`] or [`Code::Stopping`] if the node has stopped meanwhile.
pub async fn join(node: &Node) -> Result<Session, Code> {
    loop {
        until_current(node).await?;
        match node.submit_one(SYSTEM, Record::Join(node.info.clone())).await {
            Ok(ApplyEffect::Session(session)) => return serve(node, session),
            Ok(_) => return Err(Code::Internal),
            // Nothing was sent, so the same record can be sent again.
            Err(Code::LogUnavailable) => {}
            // The log task keeps sending the batch, and its outcome shows in the state.
            Err(Code::OutcomeUnknown) => {
                let session = until_member(node).await?;
                return serve(node, session);
            }
            Err(code) => return Err(code),
        }
    }
}

/// Ends the own membership, which passes on the workers and teams without a hold-off.
///
/// The caller drains first. The tail task stops the node when it reads the record.
///
/// # Errors
///
/// Fails with [`Code::LogUnavailable`] if nothing was sent. The peers then fence this VM.
pub async fn leave(node: &Node) -> Result<(), Code> {
    match node.submit_one(SYSTEM, Record::Leave).await {
        // A session that has ended meanwhile needs no leave.
        Ok(_) | Err(Code::Fenced) => Ok(()),
        Err(code) => Err(code),
    }
}

fn serve(node: &Node, session: Session) -> Result<Session, Code> {
    // A fence may have stopped the node between the join and here.
    let started = node.stage.send_if_modified(|stage| {
        let starting = *stage == Stage::Starting;
        if starting {
            *stage = Stage::Serving;
        }
        starting
    });
    if started { Ok(session) } else { Err(Code::Fenced) }
}

/// Waits until the permission to act holds.
async fn until_current(node: &Node) -> Result<(), Code> {
    let mut valid = node.valid_until.subscribe();
    let mut stage = node.stage.subscribe();
    tokio::select! {
        _ = valid.wait_for(|until| Instant::now() < *until) => Ok(()),
        _ = stage.wait_for(|stage| *stage == Stage::Stopped) => Err(Code::Stopping),
    }
}

/// Waits until the own `Join` is applied.
async fn until_member(node: &Node) -> Result<Session, Code> {
    let mut applied = node.applied_offset.subscribe();
    let mut stage = node.stage.subscribe();
    loop {
        if let Some(session) = node.session() {
            return Ok(session);
        }
        tokio::select! {
            _ = applied.changed() => {}
            _ = stage.wait_for(|stage| *stage == Stage::Stopped) => return Err(Code::Stopping),
        }
    }
}
