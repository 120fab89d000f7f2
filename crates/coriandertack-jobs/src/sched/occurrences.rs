//! Occurrences of recurring jobs: which of them are open, and when the next one opens.
//!
//! Each open occurrence takes time with every decision, and space in the record of its job. Callers and outages determine how
//! many are overdue, so the number of open ones is limited: the oldest open first, and others as these end. An occurrence that
//! takes long does not prevent later ones from opening. See docs/design/recurring-jobs.md.

use std::mem;

use super::{Job, JobKey, MAX_SUBMISSION_AGE_MS, Occurrence, Scheduler, Step};

use crate::{
    boot_time::{BootTime, WallTime},
    spec::MAX_TASKS,
};

/// Maximum number of unfinished tasks in the open occurrences of a job. A record of as many fits into the store.
const MAX_OPEN_TASKS: u32 = MAX_TASKS;

/// Maximum number of steps that wait in the queue, over all jobs with overdue occurrences, unless there are more such jobs. A
/// pass takes time for each.
const MAX_QUEUED_STEPS: usize = 4_000;

/// Maximum number of tasks of ended occurrences that a job keeps. With those at work they fit into a
/// record of 256 KiB.
const MAX_ENDED_TASKS: usize = 1_000;

impl Occurrence {
    fn is_ended(&self) -> bool {
        self.steps.iter().all(|step| step.unfinished == 0)
    }

    fn unfinished_tasks(&self) -> u32 {
        self.steps.iter().map(|step| step.unfinished).sum()
    }

    fn queued_steps(&self) -> usize {
        self.steps.iter().filter(|step| step.queued.is_some()).count()
    }
}

impl Job {
    /// Returns the position of an open occurrence, or where it would be.
    fn position(&self, number: u32) -> Result<usize, usize> {
        self.occurrences.binary_search_by_key(&number, |occurrence| occurrence.number)
    }

    /// Returns an open occurrence.
    pub(super) fn occurrence_mut(&mut self, number: u32) -> Option<&mut Occurrence> {
        let position = self.position(number).ok()?;
        self.occurrences.get_mut(position)
    }

    /// Returns a step of an open occurrence.
    pub(super) fn step(&self, number: u32, step: u32) -> Option<&Step> {
        self.occurrences.get(self.position(number).ok()?)?.steps.get(step as usize)
    }

    /// Returns a step of an open occurrence.
    pub(super) fn step_mut(&mut self, number: u32, step: u32) -> Option<&mut Step> {
        self.occurrence_mut(number)?.steps.get_mut(step as usize)
    }

    /// Opens an occurrence without queueing its steps, unless it is open.
    pub(super) fn open_unqueued(&mut self, number: u32, now: BootTime, wall: WallTime) {
        if let Err(position) = self.position(number) {
            let due = self.due_of(number, now, wall);
            let steps = self.spec.steps.iter().map(|step| Step::new(step, now)).collect();
            self.occurrences.insert(position, Occurrence { number, due, steps });
        }
    }

    /// Returns the time by which an occurrence that is opened now should be done. One that is long overdue earns nothing
    /// any more, and lets other work go first.
    fn due_of(&self, number: u32, now: BootTime, wall: WallTime) -> BootTime {
        let Some(at) = self.spec.due_at(number) else { return self.due };
        let age_ms = wall.0.saturating_sub(at.0).min(MAX_SUBMISSION_AGE_MS);
        BootTime(now.0.saturating_sub(age_ms)).plus_ms(self.spec.objective_ms())
    }

    /// Returns the lowest occurrence that is neither open nor done, if there is one.
    fn next_to_open(&mut self) -> Option<u32> {
        let mut next = self.next_occurrence.max(self.finished);
        loop {
            next = self.ended.next_gap(next);
            if self.position(next).is_err() {
                break;
            }
            next += 1;
        }
        self.next_occurrence = next;
        (next < self.spec.occurrences()).then_some(next)
    }

    /// Removes the occurrences that have ended from the front, and keeps the tasks of few others.
    ///
    /// Those behind an unfinished occurrence stay there for hours perhaps, and a record that lists all their tasks exceeds
    /// what the store accepts. Few are kept, because programs of former versions read them from the record.
    pub(super) fn remove_ended(&mut self) {
        loop {
            let numbered = (self.finished..).zip(&self.occurrences);
            let is_next = |(next, occurrence): &(u32, &Occurrence)| {
                occurrence.number == *next && occurrence.is_ended()
            };
            let count = numbered.take_while(is_next).count();
            self.occurrences.drain(..count);
            let next = self.ended.next_gap(self.finished + count as u32);
            if next == self.finished {
                break;
            }
            self.finished = next;
            self.ended.remove_before(next);
        }
        let size = |occurrence: &Occurrence| -> usize {
            occurrence.steps.iter().map(|step| step.tasks.len()).sum()
        };
        let kept: usize = self.occurrences.iter().filter(|known| known.is_ended()).map(size).sum();
        if kept > MAX_ENDED_TASKS {
            for ended in self.occurrences.extract_if(.., |known| known.is_ended()) {
                self.ended.insert(ended.number);
            }
        }
    }
}

impl Scheduler {
    /// Opens the occurrences that have become due. Returns the wall-clock time at which the next
    /// one is due.
    pub fn open_due_occurrences(&mut self, now: BootTime, wall: WallTime) -> Option<WallTime> {
        let scheduled = mem::take(&mut self.scheduled);
        let mut next = None;
        let mut backlogged = 0;
        for key in scheduled {
            let is_backlogged = self.open_due(key, now, wall);
            backlogged += usize::from(is_backlogged);
            let Some(job) = self.jobs.get_mut(key).filter(|job| !job.cancelled) else { continue };
            let Some(number) = job.next_to_open() else { continue };
            let due = job.spec.due_at(number).filter(|_| !is_backlogged);
            next = match (next, due) {
                (Some(a), Some(b)) => Some(std::cmp::min::<WallTime>(a, b)),
                (a, b) => a.or(b),
            };
            self.scheduled.push(key);
        }
        self.backlogged = backlogged;
        next
    }

    /// Returns true if any job has an overdue occurrence that waits for others of the job to start or to end.
    #[must_use]
    pub const fn has_backlog(&self) -> bool {
        self.backlogged > 0
    }

    /// Opens the first occurrences of a job that is admitted, and schedules the others.
    pub(super) fn open_first(&mut self, key: JobKey, now: BootTime, wall: WallTime) {
        if self.open_due(key, now, wall) {
            self.backlogged += 1;
        }
        if self.jobs.get_mut(key).is_some_and(|job| job.next_to_open().is_some()) {
            self.scheduled.push(key);
        }
    }

    /// Opens the occurrences of a job that are due, as far as the job may have them open. Returns true if it has others.
    fn open_due(&mut self, key: JobKey, now: BootTime, wall: WallTime) -> bool {
        let max_queued = MAX_QUEUED_STEPS / (self.backlogged + 1);
        let mut load = None;
        loop {
            let Some(job) = self.jobs.get_mut(key).filter(|job| !job.cancelled) else {
                return false;
            };
            let Some(number) = job.next_to_open() else { return false };
            if job.spec.due_at(number).is_some_and(|due| due > wall) {
                return false;
            }
            let (tasks, queued) = *load.get_or_insert_with(|| {
                let tasks: u32 = job.occurrences.iter().map(Occurrence::unfinished_tasks).sum();
                let queued: usize = job.occurrences.iter().map(Occurrence::queued_steps).sum();
                (tasks, queued)
            });
            let more: u32 = job.spec.steps.iter().map(|step| step.count).sum();
            if tasks > 0 && (tasks + more > MAX_OPEN_TASKS || queued >= max_queued) {
                return true;
            }
            job.open_unqueued(number, now, wall);
            self.enqueue_ready(key, number, now);
            let opened = self.jobs.get_mut(key).and_then(|job| job.occurrence_mut(number));
            let steps = opened.map_or(0, |occurrence| occurrence.queued_steps());
            load = Some((tasks + more, queued + steps));
        }
    }
}
