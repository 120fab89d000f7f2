//! How submissions and cancellations become durable.
//!
//! A VM hands them to the leader, which appends them together with its own records. Without a link to a leader, or if the
//! leader does not answer, the VM appends them itself. A record is idempotent: its key names the job, and a repeated
//! record is the same job, so both ways may be taken for one record.

use std::{mem, sync::Arc, time::Duration};

use {
    bytes::Bytes,
    coriandertack_jobs::{boot_time::BootTime, replica::LinkInfo},
    coriandertack_log::jobs,
    coriandertack_peers::leader::{Handed, Taken},
    coriandertack_platform::store::{AppendError, Record, Store, Topic},
    tokio::{
        sync::{mpsc, oneshot},
        time::{sleep, timeout},
    },
};

use super::{
    clock,
    shared::{Counters, Shared, Stored, Submission},
};

/// Time for which the leader may take to make a record durable, in milliseconds. With a slow store, a record waits for
/// one append of 500 ms and is part of the next; the leader refuses what waits for longer.
const LEADER_MS: u64 = 1_300;

/// Age of a record without an answer, or of an append under way, from which new records take no part in it, in
/// milliseconds.
const STALLED_MS: u64 = 900;

/// Age of a record at which its caller is told that the outcome is unknown, in milliseconds: before half of the 3 s
/// for which callers wait have passed.
const UNKNOWN_MS: u64 = 1_450;

/// Time for which an append that the store refuses is tried, in milliseconds. Nothing was done, so callers can come back
/// at once.
const REFUSED_MS: u64 = 300;

/// Pause between two tries, in milliseconds.
const PAUSE_MS: u64 = 60;

/// Longest time for which an append is repeated after its callers were answered, in milliseconds. They have come
/// back with the same job by then.
const REPEAT_MS: u64 = 10_000;

/// Most records of one append; a record has a few KiB.
const MOST_RECORDS: usize = 200;

/// Makes a record durable, through the leader if there is a link to one.
pub async fn store(shared: &Shared, key: String, value: Bytes) -> Stored {
    let began = clock::now();
    let mut unknown = false;
    if let Some(link) = shared.leader_link(began, STALLED_MS) {
        let (outcome, taken) = oneshot::channel();
        if link.queue.send(Handed { key: key.clone(), value: value.clone(), outcome }).is_ok() {
            let taken = timeout(Duration::from_millis(LEADER_MS), taken).await;
            drop(link);
            match taken {
                Ok(Ok(Taken::Durable)) => return Stored::Done,
                Ok(Ok(Taken::Refused)) => return Stored::NotRun,
                Ok(Err(_)) | Err(_) => unknown = true,
            }
        }
    }
    let (reply, stored) = oneshot::channel();
    if shared.submissions.send(Submission { key, value, began, reply }).is_err() {
        return if unknown { Stored::Unknown } else { Stored::NotRun };
    }
    // The task answers every record. One that it dropped may have been appended.
    match stored.await.unwrap_or(Stored::Unknown) {
        Stored::NotRun if unknown => Stored::Unknown,
        stored => stored,
    }
}

/// An append under way.
struct Batch {
    records: Vec<Record>,
    replies: Vec<oneshot::Sender<Stored>>,
    /// Since when the first of its callers waits.
    began: BootTime,
    /// Whether the batch is repeated without end.
    lasting: bool,
}

impl Batch {
    fn new(items: Vec<Submission>) -> Self {
        let began = items.iter().map(|item| item.began).min().unwrap_or_else(clock::now);
        let (records, replies) = items
            .into_iter()
            .map(|item| (Record { key: item.key, value: item.value }, item.reply))
            .unzip();
        Self { records, replies, began, lasting: false }
    }

    fn answer(&mut self, stored: Stored) {
        for reply in mem::take(&mut self.replies) {
            // A caller that has left needs no answer.
            let _gone = reply.send(stored);
        }
    }
}

/// Appends what no leader took, for as long as the process runs. The first record is the address of this VM's link.
pub async fn run(shared: Arc<Shared>, mut queue: mpsc::UnboundedReceiver<Submission>) {
    let mut store = Store::new(shared.settings.platform.store);
    let vm = &shared.settings.vm;
    let link = LinkInfo { address: vm.link, millicores: (vm.cores * 1_000.0) as u32 };
    let (key, value) = jobs::announced(&vm.name, link);
    let mut batch = Batch::new(Vec::new());
    batch.records.push(Record { key, value });
    batch.lasting = true;
    let mut waiting: Vec<Submission> = Vec::new();
    loop {
        append(&shared, &mut store, &mut batch, &mut queue, &mut waiting).await;
        if waiting.is_empty() && queue.recv_many(&mut waiting, MOST_RECORDS).await == 0 {
            return;
        }
        batch = Batch::new(mem::take(&mut waiting));
    }
}

/// Repeats an append until its outcome is known, and collects or refuses what arrives meanwhile.
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
            Ok(()) => return batch.answer(Stored::Done),
            Err(error) => error,
        };
        Counters::count(&shared.counters.store_errors);
        unknown |= error == AppendError::Unknown;
        let age = clock::now().ms_since(started);
        if !unknown && age >= REFUSED_MS {
            log::warn!(
                "event=intake_refused records={} age_ms={age} error=\"{error}\"",
                batch.records.len()
            );
            waiting.drain(..).for_each(refuse);
            batch.answer(Stored::NotRun);
            if !batch.lasting {
                return;
            }
        }
        if age >= REPEAT_MS && !batch.lasting {
            log::warn!("event=intake_given_up records={} age_ms={age}", batch.records.len());
            return;
        }
        sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

/// Appends once. Callers who waited long enough meanwhile are told that the outcome is unknown.
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
        if now.ms_since(batch.began) >= UNKNOWN_MS {
            batch.answer(Stored::Unknown);
        }
        let next = [started.plus_ms(STALLED_MS), batch.began.plus_ms(UNKNOWN_MS)];
        let next = next.into_iter().filter(|at| *at > now).min().unwrap_or(now.plus_ms(REPEAT_MS));
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

/// Tells a caller that its record was not sent.
fn refuse(item: Submission) {
    // A caller that has left needs no answer.
    let _gone = item.reply.send(Stored::NotRun);
}
