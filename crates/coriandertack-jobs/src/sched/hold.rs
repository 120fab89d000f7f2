//! Jobs whose progress cannot be recorded.
//!
//! A successor would not know of their latest starts, so none is sent. Their tasks take no place in the meantime, which
//! other jobs can use. See docs/design/record-sizes.md.

use std::collections::HashSet;

use super::{Scheduler, StartCommand};

use crate::{boot_time::BootTime, ids::JobId};

impl Scheduler {
    /// Replaces the jobs of which no task is started until they are left out again.
    pub fn hold_jobs(&mut self, jobs: HashSet<JobId>) {
        self.held_jobs = jobs;
    }

    /// Returns the task of a start that is not sent to the waiting state.
    pub fn withdraw_start(&mut self, start: &StartCommand, now: BootTime) {
        self.remove_run(start.worker, start.task, start.attempt, "not_recorded", now);
    }
}
