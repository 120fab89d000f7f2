//! The records of a batch, and what has to wait if the store does not accept one of them for its size.

use std::{collections::HashSet, mem};

use {
    bytes::Bytes,
    coriandertack_jobs::{
        ids::JobId,
        progress::JobPhase,
        sched::{Batch, StartCommand, WorkerCommand, WorkerKey},
    },
    coriandertack_log::jobs,
    coriandertack_platform::store::Record,
};

/// Returns the records of a batch after those that were forwarded by VMs.
#[must_use]
pub fn encode(batch: &Batch, forwarded: Vec<Record>) -> Vec<Record> {
    let mut records = forwarded;
    for (id, progress) in &batch.records {
        let (key, value) = jobs::progress(*id, progress);
        records.push(Record { key, value });
        if progress.phase.is_final() {
            // A starting VM reads every key. Submissions are most of the bytes and are not needed once the job has
            // ended.
            let [submission, cancellation] = jobs::request_keys(*id);
            records.push(Record { key: submission, value: Bytes::new() });
            if progress.phase == JobPhase::Cancelled {
                records.push(Record { key: cancellation, value: Bytes::new() });
            }
        }
    }
    records
}

/// Jobs whose newest progress is not recorded because its record is larger than the store accepts, and what depends on
/// it. See docs/design/record-sizes.md.
#[derive(Debug, Default)]
pub struct Oversized {
    jobs: HashSet<JobId>,
    /// Numbers of ends that are not acknowledged while such a job exists.
    acks: Vec<(WorkerKey, u64)>,
}

impl Oversized {
    /// Returns the jobs.
    #[must_use]
    pub const fn jobs(&self) -> &HashSet<JobId> {
        &self.jobs
    }

    /// Removes from a batch what must not be done because some of its records cannot be appended: the starts of their jobs,
    /// and all acknowledgements until each such job has a record that can. Returns the starts.
    pub fn withhold(&mut self, batch: &mut Batch, excess: &[Record]) -> Vec<StartCommand> {
        for record in excess {
            log::error!("event=record_too_large key={} bytes={}", record.key, record.size());
        }
        batch.records.retain(|(id, _)| {
            let key = jobs::progress_key(*id);
            let fits = excess.iter().all(|record| record.key != key);
            match fits {
                true => self.jobs.remove(id),
                false => self.jobs.insert(*id),
            };
            fits
        });
        let mut withheld = Vec::new();
        for command in mem::take(&mut batch.commands) {
            match command {
                WorkerCommand::Start(start) if self.jobs.contains(&start.task.job) => {
                    withheld.push(start);
                }
                command => batch.commands.push(command),
            }
        }
        self.acks.append(&mut batch.acks);
        if self.jobs.is_empty() {
            batch.acks = mem::take(&mut self.acks);
        }
        withheld
    }
}
