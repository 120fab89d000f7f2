//! The task that makes submissions and cancellations durable.
//!
//! Records that arrive while an append is under way go into the next one. Each record is idempotent: its key names
//! the job, and a repeated record is the same job. An append without an answer is therefore repeated at once.

use std::{sync::Arc, time::Duration};

use {
    coriandertack_platform::store::{AppendError, Record, Store, Topic},
    tokio::{sync::mpsc, time::sleep},
};

use super::{
    clock,
    shared::{Counters, Shared, Stored, Submission},
};

use coriandertack_log::jobs;

/// Time for which a batch is tried, in milliseconds. Callers wait for 3 s, and shall hear of a refusal early enough
/// to come back.
const TRY_MS: u64 = 700;

/// Time for which a batch is tried whose first append had no answer, in milliseconds.
const UNKNOWN_MS: u64 = 2_200;

/// Pause between two tries, in milliseconds.
const PAUSE_MS: u64 = 40;

/// Most records of one append; a record has a few KiB.
const MOST_RECORDS: usize = 200;

/// Appends what is handed in for as long as the process runs.
pub async fn run(shared: Arc<Shared>, mut queue: mpsc::UnboundedReceiver<Submission>) {
    let mut store = Store::new(shared.settings.platform.store);
    announce(&shared, &mut store).await;
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, MOST_RECORDS).await > 0 {
        let (records, replies): (Vec<Record>, Vec<_>) = batch
            .drain(..)
            .map(|item| (Record { key: item.key, value: item.value }, item.reply))
            .unzip();
        let stored = append(&shared, &mut store, &records).await;
        for reply in replies {
            // A caller that has left needs no answer.
            let _gone = reply.send(stored);
        }
    }
}

/// Writes the address of this VM's link, until it is stored.
async fn announce(shared: &Shared, store: &mut Store) {
    let vm = &shared.settings.vm;
    let (key, value) = jobs::announced(&vm.name, vm.link);
    let record = [Record { key, value }];
    while append(shared, store, &record).await != Stored::Done {
        sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

async fn append(shared: &Shared, store: &mut Store, records: &[Record]) -> Stored {
    let began = clock::now();
    let mut unknown = false;
    loop {
        Counters::count(&shared.counters.appends);
        let error = match store.append(Topic::Intake, records, None, None).await {
            Ok(_) => return Stored::Done,
            Err(error) => error,
        };
        Counters::count(&shared.counters.store_errors);
        unknown |= error == AppendError::Unknown;
        let limit = if unknown { UNKNOWN_MS } else { TRY_MS };
        if clock::now().since(began) >= limit {
            log::warn!(
                "event=intake_failed records={} unknown={unknown} error=\"{error}\"",
                records.len()
            );
            return if unknown { Stored::Unknown } else { Stored::NotRun };
        }
        sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}
