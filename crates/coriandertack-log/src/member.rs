//! Joining and leaving the cluster.

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

/// Actor of the records that no operator or team has requested.
const SYSTEM_ACTOR: &str = "system";

/// Waits until the state is current, joins the cluster, and returns the session of this VM.
///
/// On success the stage is [`Stage::Serving`]. While the log service is unavailable, this waits
/// without a time limit.
///
/// # Errors
///
/// Fails with [`Code::Fenced`] or [`Code::Stopping`] if the node stops in the meantime.
pub async fn join(node: &Node) -> Result<Session, Code> {
    loop {
        wait_until_valid(node).await?;
        match node.submit_one(SYSTEM_ACTOR, Record::Join(node.info.clone())).await {
            Ok(ApplyEffect::Session(session)) => return start_serving(node, session),
            Ok(_) => return Err(Code::Internal),
            // The record was not appended, so it is safe to retry.
            Err(Code::LogUnavailable) => {}
            // The commit task keeps retrying the batch; its outcome appears in the state.
            Err(Code::OutcomeUnknown) => {
                let session = wait_until_joined(node).await?;
                return start_serving(node, session);
            }
            Err(code) => return Err(code),
        }
    }
}

/// Leaves the cluster, which reassigns the workers and teams of this VM without a hold-off.
///
/// The caller must drain the node first. The tail task stops the node when it reads the record.
///
/// # Errors
///
/// Fails with [`Code::LogUnavailable`] if the record was not appended. The peers then fence this
/// VM.
pub async fn leave(node: &Node) -> Result<(), Code> {
    match node.submit_one(SYSTEM_ACTOR, Record::Leave).await {
        // A session that has already ended needs no `Leave`.
        Ok(_) | Err(Code::Fenced) => Ok(()),
        Err(code) => Err(code),
    }
}

/// Moves the node from the starting to the serving stage.
fn start_serving(node: &Node, session: Session) -> Result<Session, Code> {
    // A fence may have stopped the node since the join.
    let started = node.stage.send_if_modified(|stage| {
        let starting = *stage == Stage::Starting;
        if starting {
            *stage = Stage::Serving;
        }
        starting
    });
    if started { Ok(session) } else { Err(Code::Fenced) }
}

/// Waits until the node has permission to act, which implies that its state is current.
async fn wait_until_valid(node: &Node) -> Result<(), Code> {
    let mut valid = node.valid_until.subscribe();
    let mut stage = node.stage.subscribe();
    tokio::select! {
        _ = valid.wait_for(|until| Instant::now() < *until) => Ok(()),
        _ = stage.wait_for(|stage| *stage == Stage::Stopped) => Err(Code::Stopping),
    }
}

/// Waits until the `Join` of this node is applied.
async fn wait_until_joined(node: &Node) -> Result<Session, Code> {
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
