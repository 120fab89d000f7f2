//! The task that reads the log and applies it.
//!
//! A page that reaches the tail proves the state current at the moment its request was sent, so it
//! extends the validity from that moment; see docs/design.md, section 3.1.

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

/// Longest wait of a long poll. An idle VM renews its validity of 3 s with each one.
const POLL_WAIT: Duration = Duration::from_millis(500);

/// Validity that must be left for a long poll. Less is left if the answers are slow, and then a wait
/// for records on top of the slowness would let the validity lapse.
const LEAST_VALIDITY: Duration = Duration::from_millis(2_000);

/// Least time between the starts of two reads that found the tail.
///
/// At 300 appends/s it turns a read for each record into 100 reads/s, which bounds the cost of
/// following the log.
const READ_SPACING: Duration = Duration::from_millis(10);

/// Attempts of a VM to end its own session after a corrupt record.
const FENCE_ATTEMPTS: usize = 3;

/// Time that each of these attempts may take. Together they take about as long as the suspicion and
/// the fence by a peer would.
const FENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why the task has ended without a fault in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Ended {
    /// The session has ended, by `Leave`, by a `Fence`, or by a newer session of the same name.
    #[display("session ended")]
    Session,
    /// The retention dropped records that were not read in time.
    #[display("fell behind the retention")]
    Behind,
}

/// Restores the state, then reads and applies the log until the session ends.
///
/// When it returns, the node is stopped and may not act. A process continues with a new node and a
/// new incarnation.
///
/// # Errors
///
/// Fails if a record is corrupt or of an unknown kind.
pub async fn run(node: Arc<Node>, client: Client) -> anyhow::Result<Ended> {
    let ended = follow(&node, &client).await;
    match &ended {
        Ok(Ended::Session) => {
            node.stop(Code::Fenced);
            log::info!("event=session_ended vm={}", node.info.name);
        }
        Ok(Ended::Behind) => {
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

/// Ends the own session, so that the peers need not first suspect this VM.
///
/// It is a `Fence` and no `Leave`, because the VM has not drained. A failure only costs the time
/// until the peers notice the silence.
async fn fence_self(node: &Node, client: &Client) {
    let Some(session) = node.session() else {
        return;
    };
    let record = Record::Fence(session);
    let entries = vec![Entry { actor: "system".into(), at_ms: now_ms(), record }];
    // The batch in flight has a lower number; it is void if it arrives after this one.
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
        sleep(backoff.fail()).await;
    }
}

async fn follow(node: &Node, client: &Client) -> anyhow::Result<Ended> {
    let mut from = restore::start(node, client).await?;
    let mut backoff = Backoff::default();
    let mut current = false;
    loop {
        let reading = ReadStart::now();
        let began = reading.at;
        let wait = poll_wait(began, node.valid_until());
        let page = match client.read(from, wait).await {
            Ok(Read::Page(page)) => page,
            // The arena keys that other tasks hold would mean something else in a restored state.
            Ok(Read::Gone(_)) if current => return Ok(Ended::Behind),
            Ok(Read::Gone(_)) => {
                from = restore::start(node, client).await?;
                continue;
            }
            Err(error) => {
                log::warn!("event=log_read_failed from={from} error={error:#}");
                sleep(backoff.fail()).await;
                continue;
            }
        };
        backoff.reset();
        from = apply(node, from, &page)?;
        if node.has_ended() {
            return Ok(Ended::Session);
        }
        if from == page.tail {
            node.extend_validity(reading);
            current = true;
            if !page.records.is_empty() {
                sleep_until(began + READ_SPACING).await;
            }
        }
    }
}

/// Returns how long a read may wait for records. A VM whose validity is short or lapsed does not wait.
fn poll_wait(now: Instant, valid_until: Instant) -> Duration {
    if now + LEAST_VALIDITY <= valid_until { POLL_WAIT } else { Duration::ZERO }
}

/// Applies the records of a page up to the end of the own session. Returns the next offset to read.
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
