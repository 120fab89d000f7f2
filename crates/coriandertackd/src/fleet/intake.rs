//! Makes submissions and cancellations durable.
//!
//! A VM forwards them to the leader, which appends them together with its own records. Without a link to a leader, or
//! if the leader does not answer in time, the VM appends them to the intake topic itself. Records are idempotent: the
//! key names the job, and a repeated record stands for the same job, so one record may be written both ways.

use std::{mem, sync::Arc, time::Duration};

use {
    bytes::Bytes,
    coriandertack_jobs::{boot_time::BootTime, replica::LinkInfo},
    coriandertack_log::jobs,
    coriandertack_peers::leader::{ForwardOutcome, ForwardedRecord},
    coriandertack_platform::store::{AppendError, Record, Store, Topic, record_size},
    tokio::{
        sync::{mpsc, oneshot},
        time::{sleep, timeout},
    },
};

use super::{
    clock,
    shared::{Counters, Outcome, Shared, Submission},
};

/// Maximum wait for the leader to make a record durable, in milliseconds. With a slow store, a record waits for one
/// append of 500 ms and is part of the next one; the leader refuses records that would wait longer.
const LEADER_TIMEOUT_MS: u64 = 1_300;

/// Age from which a forwarded record without an answer, or an append in flight, counts as stalled, in milliseconds. New
/// records are then appended by this VM instead of forwarded, or refused while its own append has stalled.
const STALLED_MS: u64 = 900;

/// Shortest and longest time after which a caller is told that the outcome is unknown, in milliseconds. The shortest
/// suffices for an append while the store is as fast as usual.
const UNKNOWN_MS: (u64, u64) = (250, 1_450);

/// The same time in percent of that for which the caller waits, so that it can ask again before it gives up.
const UNKNOWN_PERCENT: u64 = 45;

/// Time after which callers are refused if the store refuses their append, in milliseconds. Nothing was stored, so they
/// can retry at once.
const REFUSE_AFTER_MS: u64 = 300;

/// Pause between two attempts of an append, in milliseconds.
const RETRY_MS: u64 = 60;

/// Age at which an append with an unknown outcome is abandoned, in milliseconds. Its callers have submitted the same
/// job again by then, or cancelled it: a cancellation of an unknown job is kept for far longer (see `retention`).
const MAX_RETRY_MS: u64 = 10_000;

/// Maximum number of records of one append. A record has a few KiB.
const MAX_BATCH_RECORDS: usize = 200;

/// Makes a record durable: through the leader if a link to it is open, otherwise by an append of this VM. `wait_ms` is
/// the time for which the caller waits for an answer, if it has said so.
pub async fn persist(shared: &Shared, key: String, value: Bytes, wait_ms: Option<u64>) -> Outcome {
    if !shared.settings.platform.append_limits().accepts(record_size(&key, &value)) {
        return Outcome::TooLarge;
    }
    let began = clock::now();
    let share_ms = wait_ms.map_or(UNKNOWN_MS.1, |wait_ms| wait_ms * UNKNOWN_PERCENT / 100);
    let until = began.plus_ms(share_ms.clamp(UNKNOWN_MS.0, UNKNOWN_MS.1));
    let mut unknown = false;
    if let Some(link) = shared.leader_link(began, STALLED_MS) {
        let (outcome, reply) = oneshot::channel();
        if link
            .queue
            .send(ForwardedRecord { key: key.clone(), value: value.clone(), outcome })
            .is_ok()
        {
            let limit = until.ms_since(began).min(LEADER_TIMEOUT_MS);
            let reply = timeout(Duration::from_millis(limit), reply).await;
            match reply {
                Ok(Ok(ForwardOutcome::Durable)) => return Outcome::Done,
                Ok(Ok(ForwardOutcome::Refused)) => return Outcome::NotRun,
                Ok(Err(_)) => {}
                Err(_) => link.report_silence(clock::now()),
            }
            unknown = true;
        }
    }
    if shared.store_health().outage_since(clock::now()).is_some() {
        // The append would not be answered either, and the caller can use the time to return later.
        return if unknown { Outcome::Unknown } else { Outcome::NotRun };
    }
    let (reply, stored) = oneshot::channel();
    if shared.submissions.send(Submission { key, value, until, reply }).is_err() {
        return if unknown { Outcome::Unknown } else { Outcome::NotRun };
    }
    // The task answers every record. A record dropped without an answer may have been appended.
    match stored.await.unwrap_or(Outcome::Unknown) {
        Outcome::NotRun if unknown => Outcome::Unknown,
        stored => stored,
    }
}

/// Records of one append, and the callers that wait for it.
struct Batch {
    records: Vec<Record>,
    replies: Vec<oneshot::Sender<Outcome>>,
    /// When the first of the callers is told that the outcome is unknown.
    until: BootTime,
    /// Whether the append is retried until it succeeds.
    retry_forever: bool,
}

impl Batch {
    fn new(items: Vec<Submission>) -> Self {
        let until = items.iter().map(|item| item.until).min().unwrap_or_else(clock::now);
        let (records, replies) = items
            .into_iter()
            .map(|item| (Record { key: item.key, value: item.value }, item.reply))
            .unzip();
        Self { records, replies, until, retry_forever: false }
    }

    fn reply_all(&mut self, stored: Outcome) {
        for reply in mem::take(&mut self.replies) {
            // The receiver is gone if the caller has disconnected.
            let _disconnected = reply.send(stored);
        }
    }
}

/// Appends the records that no leader accepted, for as long as the process runs. The first record announces the address
/// of this VM's link.
pub async fn run(shared: Arc<Shared>, mut queue: mpsc::UnboundedReceiver<Submission>) {
    let mut store = Store::new(shared.settings.platform.store);
    let limits = shared.settings.platform.append_limits();
    let vm = &shared.settings.vm;
    let link = LinkInfo { address: vm.link, millicores: (vm.cores * 1_000.0) as u32 };
    let (key, value) = jobs::announcement(&vm.name, link);
    let mut batch = Batch::new(Vec::new());
    batch.records.push(Record { key, value });
    batch.retry_forever = true;
    let mut waiting: Vec<Submission> = Vec::new();
    loop {
        append(&shared, &mut store, &mut batch, &mut queue, &mut waiting).await;
        if waiting.is_empty() && queue.recv_many(&mut waiting, MAX_BATCH_RECORDS).await == 0 {
            return;
        }
        let sizes = waiting.iter().map(|item| record_size(&item.key, &item.value));
        let rest = waiting.split_off(limits.first_part(sizes));
        batch = Batch::new(mem::replace(&mut waiting, rest));
    }
}

/// Retries an append until its outcome is known or it is abandoned. Collects or refuses the records that arrive
/// meanwhile.
async fn append(
    shared: &Shared,
    store: &mut Store,
    batch: &mut Batch,
    queue: &mut mpsc::UnboundedReceiver<Submission>,
    waiting: &mut Vec<Submission>,
) {
    let started = clock::now();
    let mut unknown = false;
    loop {
        Counters::count(&shared.counters.appends);
        let error = match try_append(store, batch, started, queue, waiting).await {
            Ok(()) => return batch.reply_all(Outcome::Done),
            Err(error) => error,
        };
        Counters::count(&shared.counters.store_errors);
        unknown |= error == AppendError::Unknown;
        let age = clock::now().ms_since(started);
        if !unknown && age >= REFUSE_AFTER_MS {
            log::warn!(
                "event=intake_refused records={} age_ms={age} error=\"{error}\"",
                batch.records.len()
            );
            waiting.drain(..).for_each(refuse);
            batch.reply_all(Outcome::NotRun);
            if !batch.retry_forever {
                return;
            }
        }
        if age >= MAX_RETRY_MS && !batch.retry_forever {
            log::warn!("event=intake_given_up records={} age_ms={age}", batch.records.len());
            return;
        }
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

/// Attempts an append once. Once [`Batch::until`] has passed, the callers are told that the outcome is unknown.
async fn try_append(
    store: &mut Store,
    batch: &mut Batch,
    started: BootTime,
    queue: &mut mpsc::UnboundedReceiver<Submission>,
    waiting: &mut Vec<Submission>,
) -> Result<(), AppendError> {
    let records = batch.records.clone();
    let mut work = std::pin::pin!(store.append(Topic::Intake, &records, None, None));
    loop {
        let now = clock::now();
        let stalled = now.ms_since(started) >= STALLED_MS;
        if stalled {
            waiting.drain(..).for_each(refuse);
        }
        if now >= batch.until {
            batch.reply_all(Outcome::Unknown);
        }
        let next = [started.plus_ms(STALLED_MS), batch.until];
        let next =
            next.into_iter().filter(|at| *at > now).min().unwrap_or(now.plus_ms(MAX_RETRY_MS));
        tokio::select! {
            outcome = &mut work => return outcome.map(|_| ()),
            Some(item) = queue.recv() => match stalled {
                true => refuse(item),
                false => waiting.push(item),
            },
            () = sleep(Duration::from_millis(next.ms_since(now))) => {}
        }
    }
}

/// Tells a caller that its record was not stored and will not be.
fn refuse(item: Submission) {
    // The receiver is gone if the caller has disconnected.
    let _disconnected = item.reply.send(Outcome::NotRun);
}
