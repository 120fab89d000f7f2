//! The task that reads the list.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use {
    coriandertack_core::{
        keys::Session,
        node::{Node, now_ms},
        record::{Entry, Record},
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep_until, timeout},
    },
};

use crate::{client::Client, diff::Absent};

/// Longest wait for the records of one answer. During a log outage the list is read on, because
/// the members that it lacks are needed.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Bytes per second that reading the list may take: half of the 4 KB/s that a VM has for control.
///
/// The list is answered whole. One of 48 workers and 8 entry VMs has 9.3 KB, so that reading it each
/// second would take more than twice of what a VM has.
const BYTES_PER_S: u32 = 2_048;

/// Reads the list every `every`, or less often if it is long, for as long as the process runs.
///
/// Every VM reads it, but only the lowest live session submits records, so that one change leads to
/// one record. Members that the list no longer has are put into `missing`; they are suspected, and
/// nothing more follows from the list alone.
pub async fn run(
    node: Arc<Node>,
    client: Client,
    every: Duration,
    missing: watch::Sender<BTreeSet<Session>>,
) {
    let mut absent = Absent::default();
    let mut next = Instant::now();
    loop {
        sleep_until(next).await;
        let began = Instant::now();
        next = began + every;
        let answer = match client.list().await {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!("event=vm_list_failed error=\"{error:#}\"");
                continue;
            }
        };
        let findings = node.with(|shared| absent.compare(&shared.state, &answer.listing));
        if !findings.unconfirmed {
            next = began + every.max(share(answer.bytes));
        }
        missing.send_if_modified(|known| {
            let changed = *known != findings.missing;
            known.clone_from(&findings.missing);
            changed
        });
        if !findings.records.is_empty() && writes(&node) {
            submit(&node, findings.records).await;
        }
    }
}

/// Returns the time after which an answer of this size has used no more than its share of the traffic.
fn share(bytes: usize) -> Duration {
    Duration::from_secs(1) * u32::try_from(bytes).unwrap_or(u32::MAX) / BYTES_PER_S
}

/// Tells whether this VM is the one that submits what the list shows.
fn writes(node: &Node) -> bool {
    let me = node.own_key();
    let first = node.with(|shared| shared.state.sessions.values().next().copied());
    me.is_some() && me == first && node.is_valid()
}

async fn submit(node: &Node, records: Vec<Record>) {
    let entry = |record| Entry { actor: "system".to_owned(), at_ms: now_ms(), record };
    let count = records.len();
    let entries = records.into_iter().map(entry).collect();
    // Whatever the outcome, the next answer is compared with the state again.
    match timeout(SUBMIT_TIMEOUT, node.submit(entries)).await {
        Ok(Ok(_)) => log::info!("event=vm_list_applied records={count}"),
        Ok(Err(code)) => log::warn!("event=vm_list_not_applied code=\"{code}\""),
        Err(_) => log::warn!("event=vm_list_not_applied code=timeout"),
    }
}
