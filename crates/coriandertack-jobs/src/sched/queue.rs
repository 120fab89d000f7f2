//! The queue of steps with waiting tasks.

use super::{JobKey, Scheduler, URGENT_PRIORITY};

use crate::{boot_time::BootTime, ids::StepId, progress::JobPhase};

/// Time to spare from which on a step lets late ones go first, in milliseconds. It covers the calls for advice and the room
/// that a step may have to wait for.
const AMPLE_MS: u64 = 3_000;

/// Objectives after which a job earns nothing any more (RULES, Credit).
const EXPIRED_AFTER: u64 = 3;

/// How urgent a step is now. The first is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// It can be done in time, if it does not wait long.
    Critical,
    /// It is urgent and late, and the job still earns a part.
    Overdue,
    /// It can be done in time, and can wait for some seconds.
    Slack,
    /// It is late, and the job still earns a part.
    Late,
    /// The job earns nothing any more.
    Expired,
}

/// Order of a step in the queue: lower ranks are served first. The priority of the route comes first, and then the moment
/// by which the job should be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority of the route.
    pub priority: u32,
    /// Moment by which the job should be done.
    pub due: BootTime,
}

impl Scheduler {
    /// Returns how urgent a step is now.
    ///
    /// Urgent work that is late comes before work that can wait, which loses nothing by it: urgent jobs are small. Other late
    /// work comes last. A large gang that earns a fifth would take the room of one that earns all.
    pub(super) fn urgency(&self, id: StepId, now: BootTime) -> Urgency {
        let Some((job, spec, _)) = self.step(id) else { return Urgency::Expired };
        let done = now.plus_ms(spec.estimate_ms);
        let urgent = self.route_of(job).priority == URGENT_PRIORITY;
        if done <= job.due {
            let critical = urgent || done.plus_ms(AMPLE_MS) > job.due;
            return if critical { Urgency::Critical } else { Urgency::Slack };
        }
        let last = job.due.plus_ms(job.spec.objective_ms() * (EXPIRED_AFTER - 1));
        match (done > last, urgent) {
            (true, _) => Urgency::Expired,
            (false, true) => Urgency::Overdue,
            (false, false) => Urgency::Late,
        }
    }

    /// Puts the ready steps of an occurrence in the queue.
    pub(super) fn enqueue_ready(&mut self, key: JobKey, number: u32, now: BootTime) {
        let Some(job) = self.jobs.get(key) else { return };
        if job.cancelled || job.phase.is_final() {
            return;
        }
        let rank = Rank { priority: self.route_of(job).priority, due: job.due };
        let id = job.id;
        let steps = job.spec.steps.clone();
        let Some(job) = self.jobs.get_mut(key) else { return };
        let Some(occurrence) = job.occurrences.iter_mut().find(|open| open.number == number) else {
            return;
        };
        let done: Vec<bool> = occurrence.steps.iter().map(|step| step.open == 0).collect();
        for (step, (spec, state)) in steps.iter().zip(&mut occurrence.steps).enumerate() {
            let ready = spec.after.iter().all(|&earlier| done[earlier as usize]);
            // A gang starts again only when no member is bound any more.
            let whole = !spec.gang || state.waiting == state.open;
            if !ready || state.waiting == 0 || !whole || state.queued.is_some() {
                continue;
            }
            state.queued = Some(rank);
            state.ready = now;
            self.queue.insert((rank, StepId { job: id, occurrence: number, step: step as u32 }));
        }
    }

    /// Removes a step from the queue.
    pub(super) fn dequeue(&mut self, id: StepId) {
        if let Some(rank) = self.step_mut(id).and_then(|step| step.queued.take()) {
            self.queue.remove(&(rank, id));
        }
    }

    /// Notes that a task of a step is done, and what follows for the step, the occurrence and the job.
    pub(super) fn advance(&mut self, id: StepId, now: BootTime) {
        let Some(&key) = self.names.get(&id.job) else { return };
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.step(id.occurrence, id.step).is_none_or(|step| step.open > 0) {
            return;
        }
        // Occurrences may end out of order. One that is done stays until all earlier ones are, so that its tasks
        // are recorded as done until the number of finished occurrences covers it.
        job.occurrences.sort_by_key(|open| open.number);
        while let Some(first) = job.occurrences.first()
            && first.number == job.finished
            && first.steps.iter().all(|step| step.open == 0)
        {
            job.occurrences.remove(0);
            job.finished += 1;
        }
        if job.finished >= job.spec.occurrences() {
            job.phase = JobPhase::Completed;
            log::info!(
                "event=job_completed job={} waited_ms={} late_ms={}",
                job.id,
                now.ms_since(job.admitted),
                now.ms_since(job.due)
            );
            self.mark(key);
            return;
        }
        self.enqueue_ready(key, id.occurrence, now);
    }

    /// Ends a job as failed and stops what is left of it.
    pub(super) fn fail_job(&mut self, key: JobKey, now: BootTime) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.phase = JobPhase::Failed;
        let id = job.id;
        log::info!("event=job_failed job={id} waited_ms={}", now.ms_since(job.admitted));
        self.mark(key);
        self.stop_job(id, now);
    }
}
