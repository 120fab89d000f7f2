//! The task that polls the VM list.

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

use crate::{client::Client, diff::AbsenceTracker};

/// Time limit for submitting the records of one response. Polling continues during a log outage, because the
/// missing members are still needed.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Traffic limit for polling: half of the 4 KB/s that a VM may use for control traffic.
///
/// Each response has the whole list. With 48 workers and 8 entry VMs it is 9.3 KB, so polling every second
/// would use more than twice the control traffic of a VM.
const MAX_BYTES_PER_S: u32 = 2_048;

/// Polls the list every `interval`, or less often if the list is large, until the process ends.
///
/// Every VM polls, but only the lowest live session submits records, so that each change is recorded once.
/// Members that are no longer in the list are published in `missing`. They are only suspected; the list alone
/// does not remove them.
pub async fn run(
    node: Arc<Node>,
    client: Client,
    interval: Duration,
    missing: watch::Sender<BTreeSet<Session>>,
) {
    let mut absent = AbsenceTracker::default();
    let mut next = Instant::now();
    loop {
        sleep_until(next).await;
        let started_at = Instant::now();
        next = started_at + interval;
        let response = match client.list().await {
            Ok(response) => response,
            Err(error) => {
                log::warn!("event=vm_list_failed error=\"{error:#}\"");
                continue;
            }
        };
        let differences = node.with(|shared| absent.compare(&shared.state, &response.listing));
        if !differences.unconfirmed {
            next = started_at + interval.max(min_interval(response.bytes));
        }
        missing.send_if_modified(|known| {
            let changed = *known != differences.missing;
            known.clone_from(&differences.missing);
            changed
        });
        if !differences.records.is_empty() && is_writer(&node) {
            submit(&node, differences.records).await;
        }
    }
}

/// Returns the minimum polling interval at which responses of this size stay within the traffic limit.
fn min_interval(bytes: usize) -> Duration {
    Duration::from_secs(1) * u32::try_from(bytes).unwrap_or(u32::MAX) / MAX_BYTES_PER_S
}

/// Returns whether this VM submits the records: it has the lowest live session and may act.
fn is_writer(node: &Node) -> bool {
    let own = node.own_key();
    let first = node.with(|shared| shared.state.sessions.values().next().copied());
    own.is_some() && own == first && node.is_valid()
}

async fn submit(node: &Node, records: Vec<Record>) {
    let entry = |record| Entry { actor: "system".to_owned(), at_ms: now_ms(), record };
    let count = records.len();
    let entries = records.into_iter().map(entry).collect();
    // Whatever the outcome, the next response is compared with the state again.
    match timeout(SUBMIT_TIMEOUT, node.submit(entries)).await {
        Ok(Ok(_)) => log::info!("event=vm_list_applied records={count}"),
        Ok(Err(code)) => log::warn!("event=vm_list_not_applied code=\"{code}\""),
        Err(_) => log::warn!("event=vm_list_not_applied code=timeout"),
    }
}
