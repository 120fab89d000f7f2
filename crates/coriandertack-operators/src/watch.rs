//! Following changes from a position in the log.
//!
//! A position is a log offset. `GET /v1/watch?from=P` answers with every change after `P` that the
//! principal may see, and with the position to go on from; if there is none, it waits up to `wait_ms`.
//! `from` may also be `oldest` or `now`. The changes of one
//! offset are never split, so a resume from the returned position loses none. Positions mean the
//! same on every VM. Each VM keeps the newest `MAX_CHANGES` changes; an older position is answered with 4010,
//! and the reader then lists the objects again and watches from the `position` of that list.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use {
    coriandertack_core::{
        change::{Change, ChangeBatch, Event, Subject},
        code::Code,
        keys::Offset,
        node::{Node, Stage},
    },
    serde::Serialize,
    tokio::{
        sync::{Semaphore, broadcast, watch},
        time::{Duration, Instant, sleep_until, timeout_at},
    },
};

use crate::{
    access::Principal,
    api::Api,
    call::Call,
    reply::{Answer, Fault, Reply},
};

/// Changes kept: several minutes at the target's rate of starts, over a month of configuration changes.
const MAX_CHANGES: usize = 20_000;

/// Steps kept, with or without changes.
const MAX_STEPS: usize = 20_000;

/// The most changes of one answer, beyond which the offset under way is still completed.
const MAX_ANSWER: usize = 500;

/// Longest wait for a change.
const MAX_WAIT_MS: u64 = 30_000;

/// The most requests that wait for a change at one VM, so that idle connections stay few.
const MAX_WAITING: usize = 256;

/// Longest wait for the ring to take in what is applied.
const CATCH_UP_TIME: Duration = Duration::from_secs(5);

/// Recent changes.
pub struct Ring {
    kept: Mutex<Kept>,
    /// Last offset whose changes are in the ring.
    position: watch::Sender<Offset>,
    steps: Mutex<Option<broadcast::Receiver<Arc<ChangeBatch>>>>,
    /// Room for requests that wait.
    room: Semaphore,
}

#[derive(Debug)]
struct Kept {
    /// Position after which no change is missing.
    floor: Offset,
    /// Last offset taken in.
    last: Offset,
    steps: VecDeque<Arc<ChangeBatch>>,
    changes: usize,
}

impl Ring {
    /// Returns an empty ring that begins at the offset that `node` has applied.
    #[must_use]
    pub fn of(node: &Node) -> Self {
        // Steps are sent under the lock of the state, so the offset and the subscription agree.
        let (steps, start) = node.with(|shared| (node.changes.subscribe(), shared.state.offset));
        Self {
            kept: Mutex::new(Kept::starting_at(start)),
            position: watch::Sender::new(start),
            steps: Mutex::new(Some(steps)),
            room: Semaphore::new(MAX_WAITING),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, step: Arc<ChangeBatch>) {
        let last = {
            let mut kept = self.lock();
            kept.take(step);
            kept.last
        };
        self.position.send_replace(last);
    }

    /// Waits until the ring has taken in what the node has applied, so that a reader sees what it has changed.
    ///
    /// The wait is bounded, since the ring stays behind after the load of a snapshot, until the next batch.
    async fn catch_up(&self, node: &Node) {
        let target = node.with(|shared| shared.state.offset);
        let mut position = self.position.subscribe();
        let caught_up = position.wait_for(|position| *position >= target);
        // If the time is over, the answer is the one of a reader that came a little earlier.
        let _ = timeout_at(Instant::now() + CATCH_UP_TIME, caught_up).await;
    }

    /// Returns the changes after `from` that `is_visible` lets through, and the position after them.
    fn after(&self, from: Offset, is_visible: impl Fn(&Change) -> bool) -> Result<Page, Fault> {
        let kept = self.lock();
        if from < kept.floor {
            let reason = format!(
                "changes after position {from} are no longer kept; list the objects and watch from \
                 the position of the list (oldest position kept: {})",
                kept.floor
            );
            return Err(Fault::new(Code::PositionTooOld, reason));
        }
        let start = kept.steps.partition_point(|step| step.offset <= from);
        let mut page = Page { position: from, changes: Vec::new() };
        for step in kept.steps.range(start..) {
            if page.changes.len() >= MAX_ANSWER {
                return Ok(page);
            }
            let visible = step.changes.iter().filter(|change| is_visible(change));
            page.changes.extend(visible.map(|change| View::of(step.offset, change)));
            page.position = step.offset;
        }
        page.position = page.position.max(kept.last);
        Ok(page)
    }
}

impl Kept {
    fn starting_at(offset: Offset) -> Self {
        Self { floor: offset, last: offset, steps: VecDeque::new(), changes: 0 }
    }

    fn take(&mut self, step: Arc<ChangeBatch>) {
        if step.before != self.last {
            // Something was not seen, as when a snapshot was loaded.
            *self = Self::starting_at(step.before);
        }
        self.last = step.offset;
        self.changes += step.changes.len();
        self.steps.push_back(step);
        while self.changes > MAX_CHANGES || self.steps.len() > MAX_STEPS {
            let Some(oldest) = self.steps.pop_front() else { break };
            self.changes -= oldest.changes.len();
            self.floor = oldest.offset;
        }
    }
}

/// Takes applied steps into the ring until the node is dropped.
pub(crate) async fn follow(ring: &Ring) {
    let steps = ring.steps.lock().unwrap_or_else(PoisonError::into_inner).take();
    let Some(mut steps) = steps else { return };
    loop {
        match steps.recv().await {
            Ok(step) => ring.take(step),
            // The next step does not follow the last one, so the ring begins anew with it.
            Err(broadcast::error::RecvError::Lagged(missed)) => {
                log::warn!("event=watch_lagged steps={missed}");
            }
            Err(broadcast::error::RecvError::Closed) => return,
        }
    }
}

/// Changes after a position.
#[derive(Debug, PartialEq)]
struct Page {
    position: Offset,
    changes: Vec<View>,
}

/// A change as it is answered.
#[derive(Debug, PartialEq, Serialize)]
struct View {
    offset: Offset,
    at_ms: u64,
    actor: String,
    subject: Subject,
    event: Event,
    #[serde(skip_serializing_if = "Option::is_none")]
    team: Option<String>,
    #[serde(skip_serializing_if = "is_zero")]
    tasks: u32,
}

impl View {
    fn of(offset: Offset, change: &Change) -> Self {
        let Change { actor, at_ms, subject, event, team, tasks } = change.clone();
        Self { offset, at_ms, actor, subject, event, team, tasks }
    }
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// Answers with the changes after a position, or waits for one.
pub(crate) async fn watch(api: Arc<Api>, call: Call) -> Answer {
    let busy = |_| Fault::new(Code::TooManyRequests, "too many requests wait for changes here");
    let _room = api.ring.room.try_acquire().map_err(busy)?;
    api.ring.catch_up(&api.node).await;
    let mut from = match call.text("from").unwrap_or("oldest") {
        "oldest" => api.ring.lock().floor,
        "now" => *api.ring.position.borrow(),
        _ => Offset(call.number("from")?.unwrap_or_default()),
    };
    let wait_ms = call.number("wait_ms")?.unwrap_or(0).min(MAX_WAIT_MS);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let mut position = api.ring.position.subscribe();
    let mut stage = api.node.stage.subscribe();
    loop {
        position.borrow_and_update();
        let page = api.ring.after(from, |change| is_visible(&call.principal, change))?;
        if !page.changes.is_empty() || Instant::now() >= until {
            let reply = Reply::new(Code::Done).with("position", page.position);
            return Ok(reply.with("changes", page.changes));
        }
        // What the principal may not see is not looked at again.
        from = page.position;
        // A wait must not hold up a planned stop.
        if *stage.borrow_and_update() != Stage::Serving {
            return Err(Code::Stopping.into());
        }
        tokio::select! {
            _ = position.changed() => {}
            _ = stage.changed() => {}
            () = sleep_until(until) => {}
        }
    }
}

/// A team sees its own work and account; an operator sees everything.
fn is_visible(principal: &Principal, change: &Change) -> bool {
    match (principal.team(), &change.team) {
        (None, _) => true,
        (Some(own), Some(team)) => own == team,
        (Some(_), None) => false,
    }
}
