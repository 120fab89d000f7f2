//! The task that makes submissions and cancellations durable.
//!
//! Records that arrive while an append is under way go into the next one. Each record is idempotent: its key names
//! the job, and a repeated record is the same job. An append without an answer is therefore repeated until the
//! store confirms it, also after its callers have been told that the outcome is unknown.

use std::{mem, sync::Arc, time::Duration};

use {
    coriandertack_jobs::moment::Moment,
    coriandertack_platform::store::{AppendError, Record, Store, Topic},
    tokio::{
        sync::{mpsc, oneshot},
        time::sleep,
    },
};

use super::{
    clock,
    shared::{Counters, Shared, Stored, Submission},
};

use coriandertack_log::jobs;

/// Age of an append under way from which new records are refused, in milliseconds. They were not sent, so the refusal
/// is true, and callers can come back at once. A slow store takes some 250 ms.
const STALLED_MS: u64 = 600;

/// Age of an append under way at which its callers are told that the outcome is unknown, in milliseconds.
const UNKNOWN_MS: u64 = 1_200;

/// Pause between two tries, in milliseconds.
const PAUSE_MS: u64 = 60;

/// Longest time for which a batch is repeated after its callers were answered, in milliseconds. They have come
/// back with the same job by then.
const REPEAT_MS: u64 = 10_000;

/// Most records of one append; a record has a few KiB.
const MOST_RECORDS: usize = 200;

/// An append under way.
struct Batch {
    records: Vec<Record>,
    replies: Vec<oneshot::Sender<Stored>>,
    began: Moment,
}

impl Batch {
    fn new(items: Vec<Submission>) -> Self {
        let (records, replies) = items
            .into_iter()
            .map(|item| (Record { key: item.key, value: item.value }, item.reply))
            .unzip();
        Self { records, replies, began: clock::now() }
    }

    fn age(&self) -> u64 {
        clock::now().since(self.began)
    }

    fn answer(&mut self, stored: Stored) {
        for reply in mem::take(&mut self.replies) {
            // A caller that has left needs no answer.
            let _gone = reply.send(stored);
        }
    }
}

/// Appends what is handed in for as long as the process runs.
pub async fn run(shared: Arc<Shared>, mut queue: mpsc::UnboundedReceiver<Submission>) {
    let mut store = Store::new(shared.settings.platform.store);
    let vm = &shared.settings.vm;
    let (key, value) = jobs::announced(&vm.name, vm.link);
    let announcement = vec![Record { key, value }];
    let mut batch =
        Batch { records: announcement, replies: Vec::new(), began: clock::now() };
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
    let mut unknown = false;
    loop {
        Counters::count(&shared.counters.appends);
        let records = batch.records.clone();
        let began = batch.began;
        let mut replies = mem::take(&mut batch.replies);
        let work = store.append(Topic::Intake, &records, None, None);
        let outcome = {
            let mut work = std::pin::pin!(work);
            loop {
                let age = clock::now().since(began);
                let next = if age < STALLED_MS { STALLED_MS } else { UNKNOWN_MS.max(age + 1) };
                tokio::select! {
                    outcome = &mut work => break outcome,
                    Some(item) = queue.recv() => {
                        if age < STALLED_MS {
                            waiting.push(item);
                        } else {
                            refuse(item);
                        }
                    }
                    () = sleep(Duration::from_millis(next - age)) => {
                        waiting.drain(..).for_each(refuse);
                        if clock::now().since(began) >= UNKNOWN_MS {
                            for reply in mem::take(&mut replies) {
                                // A caller that has left needs no answer.
                                let _gone = reply.send(Stored::Unknown);
                            }
                        }
                    }
                }
            }
        };
        batch.replies = replies;
        let error = match outcome {
            Ok(_) => return batch.answer(Stored::Done),
            Err(error) => error,
        };
        Counters::count(&shared.counters.store_errors);
        unknown |= error == AppendError::Unknown;
        let age = batch.age();
        if !unknown && age >= STALLED_MS {
            log::warn!(
                "event=intake_refused records={} age_ms={age} error=\"{error}\"",
                batch.records.len()
            );
            waiting.drain(..).for_each(refuse);
            batch.answer(Stored::NotRun);
            if !batch.records.iter().any(|record| jobs::is_announcement(&record.key)) {
                return;
            }
        }
        if unknown && age >= UNKNOWN_MS {
            batch.answer(Stored::Unknown);
        }
        if age >= REPEAT_MS && !batch.records.iter().any(|r| jobs::is_announcement(&r.key)) {
            log::warn!("event=intake_given_up records={} age_ms={age}", batch.records.len());
            return;
        }
        sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

/// Tells a caller that its record was not sent.
fn refuse(item: Submission) {
    // A caller that has left needs no answer.
    let _gone = item.reply.send(Stored::NotRun);
}
