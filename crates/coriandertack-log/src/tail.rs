//! Reads the log and applies its records to the state.
//!
//! A page that reaches the tail proves that the state was current when the request was sent. It
//! therefore extends the validity from that moment. See docs/design.md, section 3.1.

use std::{sync::Arc, time::Duration};

use {
    coriandertack_core::{
        code::Code,
        keys::Offset,
        node::{Node, now_ms},
        record::{Batch, Entry, Record},
        validity::ReadStart,
    },
    derive_more::Display,
    tokio::time::{Instant, sleep, sleep_until},
};

use crate::{
    backoff::Backoff,
    client::{Client, Page, Read},
    codec, restore,
};

/// Duration of a long poll. An idle VM renews its validity of 3 s with each one.
const LONG_POLL_WAIT: Duration = Duration::from_millis(500);

/// Remaining validity below which reads do not wait for records. Less remains only if responses are
/// slow, and a long poll on top of that could let the validity lapse.
const MIN_POLL_VALIDITY: Duration = Duration::from_millis(2_000);

/// Minimum time between the starts of two reads that reach the tail.
///
/// It bounds the cost of following the log: at 300 appends/s it allows 100 reads/s instead of one
/// read for each record.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(10);

/// Number of times that a VM tries to end its own session after a corrupt record.
const FENCE_ATTEMPTS: usize = 3;

/// Timeout of each of these attempts. Together they take about as long as it takes a peer to
/// suspect and fence this VM.
const FENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reason why the tail task ended, other than an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum TailEnd {
    /// The session ended by a `Leave`, a `Fence`, or a newer session of the same name.
    #[display("session ended")]
    Session,
    /// The retention removed records before they were read.
    #[display("fell behind the retention")]
    Behind,
}

/// Restores the state, then reads and applies the log until the session ends.
///
/// When this returns, the node is stopped and no longer has permission to act. To continue, the
/// process needs a new node with a new incarnation.
///
/// # Errors
///
/// Fails if a snapshot or record is corrupt or of an unknown kind.
pub async fn run(node: Arc<Node>, client: Client) -> anyhow::Result<TailEnd> {
    let ended = replay_and_follow(&node, &client).await;
    match &ended {
        Ok(TailEnd::Session) => {
            node.stop(Code::Fenced);
            log::info!("event=session_ended vm={}", node.info.name);
        }
        Ok(TailEnd::Behind) => {
            node.stop(Code::OutcomeUnknown);
            log::error!("event=behind_retention vm={}", node.info.name);
        }
        Err(error) => {
            node.stop(Code::OutcomeUnknown);
            let code = Code::CorruptLog.number();
            log::error!("event=log_alarm code={code} vm={} error={error:#}", node.info.name);
            fence_self(&node, &client).await;
        }
    }
    ended
}

/// Fences the session of this VM, so that the peers need not suspect it first.
///
/// The record is a `Fence` rather than a `Leave` because the VM has not drained. If it cannot be
/// appended, the peers fence this VM once its heartbeats stop.
async fn fence_self(node: &Node, client: &Client) {
    let Some(session) = node.session() else {
        return;
    };
    let record = Record::Fence(session);
    let entries = vec![Entry { actor: "system".into(), at_ms: now_ms(), record }];
    // A batch still in flight has a lower sequence number, so it is void if it is appended later.
    let seq = node.with(|shared| shared.in_flight.register(Vec::new()));
    let body = codec::encode(&Batch { author: node.author, seq, entries });
    let mut backoff = Backoff::default();
    for _ in 0..FENCE_ATTEMPTS {
        match client.append(body.clone(), Instant::now() + FENCE_TIMEOUT).await {
            Ok(offset) => {
                log::info!("event=self_fenced vm={} offset={offset}", node.info.name);
                return;
            }
            Err(error) => log::warn!("event=self_fence_failed vm={} error={error}", node.info.name),
        }
        sleep(backoff.next_delay()).await;
    }
}

/// Replays the log from the restored state and then follows its tail.
async fn replay_and_follow(node: &Node, client: &Client) -> anyhow::Result<TailEnd> {
    let mut from = restore::restore(node, client).await?;
    let mut backoff = Backoff::default();
    let mut caught_up = false;
    loop {
        let read_start = ReadStart::now();
        let started_at = read_start.at;
        let wait = poll_wait(started_at, node.valid_until());
        let page = match client.read(from, wait).await {
            Ok(Read::Page(page)) => page,
            // Other tasks hold arena keys, which would be invalid in a newly restored state.
            Ok(Read::Gone(_)) if caught_up => return Ok(TailEnd::Behind),
            Ok(Read::Gone(_)) => {
                from = restore::restore(node, client).await?;
                continue;
            }
            Err(error) => {
                log::warn!("event=log_read_failed from={from} error={error:#}");
                sleep(backoff.next_delay()).await;
                continue;
            }
        };
        backoff.reset();
        from = apply(node, from, &page)?;
        if node.has_ended() {
            return Ok(TailEnd::Session);
        }
        if from == page.tail {
            node.extend_validity(read_start);
            caught_up = true;
            if !page.records.is_empty() {
                sleep_until(started_at + MIN_READ_INTERVAL).await;
            }
        }
    }
}

/// Returns how long a read may wait for records: not at all if the validity is about to lapse.
fn poll_wait(now: Instant, valid_until: Instant) -> Duration {
    if now + MIN_POLL_VALIDITY <= valid_until { LONG_POLL_WAIT } else { Duration::ZERO }
}

/// Applies the records of a page, stopping if one ends this VM's session.
///
/// Returns the next offset to read.
fn apply(node: &Node, from: Offset, page: &Page) -> anyhow::Result<Offset> {
    let mut next = from;
    for record in &page.records {
        let batch = codec::decode(&record.body).map_err(|error| {
            anyhow::Error::new(error).context(format!("record at offset {}", record.offset))
        })?;
        node.apply(record.offset, &batch);
        next = record.offset.next();
        if node.has_ended() {
            break;
        }
    }
    Ok(next)
}
