//! Watching changes from a position in the log.
//!
//! A position is a log offset and means the same on every VM. `GET /v1/watch?from=P` returns every change
//! after `P` that the principal may access, and the position to continue from; if there is none, it waits
//! up to `wait_ms`. `from` may also be `oldest` or `now`. The changes of one offset are never split across
//! responses, so resuming from the returned position loses none. Each VM retains the newest `MAX_CHANGES`
//! changes. An older position gets 4010, and the client then lists the objects again and watches from the
//! `position` of that list.

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
    reply::{ApiError, ApiResult, Reply},
};

/// Maximum number of retained changes: several minutes at the target rate of task starts, or over a month of
/// configuration changes.
const MAX_CHANGES: usize = 20_000;

/// Maximum number of retained batches, including those without changes.
const MAX_BATCHES: usize = 20_000;

/// Number of changes after which a page ends. The offset that reaches it is still completed.
const MAX_PAGE_CHANGES: usize = 500;

/// Maximum time that a request waits for a change, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

/// Maximum number of concurrent watch requests on one VM, which bounds the number of idle connections.
const MAX_WAITERS: usize = 256;

/// Time limit for the buffer to receive the changes that the node has applied.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);

/// Buffer of recent changes for watch requests.
pub struct ChangeBuffer {
    retained: Mutex<Retained>,
    /// Last offset whose changes are in the buffer.
    position: watch::Sender<Offset>,
    /// Source of new batches; `None` once `fill_buffer` has taken it.
    batches: Mutex<Option<broadcast::Receiver<Arc<ChangeBatch>>>>,
    /// Permits for concurrent watch requests.
    waiters: Semaphore,
}

/// The retained batches of a [`ChangeBuffer`], without gaps.
#[derive(Debug)]
struct Retained {
    /// Oldest position after which no change is missing.
    floor: Offset,
    /// Offset of the newest batch.
    last: Offset,
    batches: VecDeque<Arc<ChangeBatch>>,
    /// Total number of changes in `batches`.
    change_count: usize,
}

impl ChangeBuffer {
    /// Returns an empty buffer that begins at the offset that `node` has applied.
    #[must_use]
    pub fn new(node: &Node) -> Self {
        // Batches are sent while the state is locked, so the offset and the subscription agree.
        let (batches, start) = node.with(|shared| (node.changes.subscribe(), shared.state.offset));
        Self {
            retained: Mutex::new(Retained::starting_at(start)),
            position: watch::Sender::new(start),
            batches: Mutex::new(Some(batches)),
            waiters: Semaphore::new(MAX_WAITERS),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Retained> {
        self.retained.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, batch: Arc<ChangeBatch>) {
        let last = {
            let mut retained = self.lock();
            retained.push(batch);
            retained.last
        };
        self.position.send_replace(last);
    }

    /// Waits until the buffer has received all batches that the node has applied, so that a client sees its own
    /// changes.
    ///
    /// The wait is bounded because, after a snapshot is loaded, the buffer stays behind until the next batch.
    async fn catch_up(&self, node: &Node) {
        let target = node.with(|shared| shared.state.offset);
        let mut position = self.position.subscribe();
        let caught_up = position.wait_for(|position| *position >= target);
        // After a time-out, the client gets the result of a slightly earlier request.
        let _ = timeout_at(Instant::now() + CATCH_UP_TIMEOUT, caught_up).await;
    }

    /// Returns a page of the changes after `from` for which `is_visible` is true, and the position after it.
    fn after(
        &self,
        from: Offset,
        is_visible: impl Fn(&Change) -> bool,
    ) -> Result<ChangePage, ApiError> {
        let retained = self.lock();
        if from < retained.floor {
            let reason = format!(
                "changes after position {from} are no longer kept; list the objects and watch from \
                 the position of the list (oldest position kept: {})",
                retained.floor
            );
            return Err(ApiError::new(Code::PositionTooOld, reason));
        }
        let start = retained.batches.partition_point(|batch| batch.offset <= from);
        let mut page = ChangePage { position: from, changes: Vec::new() };
        for batch in retained.batches.range(start..) {
            if page.changes.len() >= MAX_PAGE_CHANGES {
                return Ok(page);
            }
            let visible = batch.changes.iter().filter(|change| is_visible(change));
            page.changes
                .extend(visible.map(|change| ChangeView::from_change(batch.offset, change)));
            page.position = batch.offset;
        }
        page.position = page.position.max(retained.last);
        Ok(page)
    }
}

impl Retained {
    fn starting_at(offset: Offset) -> Self {
        Self { floor: offset, last: offset, batches: VecDeque::new(), change_count: 0 }
    }

    fn push(&mut self, batch: Arc<ChangeBatch>) {
        if batch.before != self.last {
            // Batches are missing, for example because a snapshot was loaded.
            *self = Self::starting_at(batch.before);
        }
        self.last = batch.offset;
        self.change_count += batch.changes.len();
        self.batches.push_back(batch);
        while self.change_count > MAX_CHANGES || self.batches.len() > MAX_BATCHES {
            let Some(oldest) = self.batches.pop_front() else { break };
            self.change_count -= oldest.changes.len();
            self.floor = oldest.offset;
        }
    }
}

/// Copies applied batches into the buffer until the node is dropped.
pub(crate) async fn fill_buffer(change_buffer: &ChangeBuffer) {
    let batches = change_buffer.batches.lock().unwrap_or_else(PoisonError::into_inner).take();
    let Some(mut batches) = batches else { return };
    loop {
        match batches.recv().await {
            Ok(batch) => change_buffer.push(batch),
            // The next batch does not follow the last one, so `push` restarts the buffer with it.
            Err(broadcast::error::RecvError::Lagged(missed)) => {
                log::warn!("event=watch_lagged steps={missed}");
            }
            Err(broadcast::error::RecvError::Closed) => return,
        }
    }
}

/// A page of changes.
#[derive(Debug, PartialEq)]
struct ChangePage {
    position: Offset,
    changes: Vec<ChangeView>,
}

/// A change as returned by the API.
#[derive(Debug, PartialEq, Serialize)]
struct ChangeView {
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

impl ChangeView {
    fn from_change(offset: Offset, change: &Change) -> Self {
        let Change { actor, at_ms, subject, event, team, tasks } = change.clone();
        Self { offset, at_ms, actor, subject, event, team, tasks }
    }
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// Returns the changes after a position, waiting for one if there is none.
pub(crate) async fn watch(api: Arc<Api>, call: Call) -> ApiResult {
    let busy = |_| {
        ApiError::new(
            Code::TooManyRequests,
            "too many concurrent watch requests on this VM; retry later or on another VM",
        )
    };
    let _permit = api.change_buffer.waiters.try_acquire().map_err(busy)?;
    api.change_buffer.catch_up(&api.node).await;
    let mut from = match call.param("from").unwrap_or("oldest") {
        "oldest" => api.change_buffer.lock().floor,
        "now" => *api.change_buffer.position.borrow(),
        _ => Offset(call.int_param("from")?.unwrap_or_default()),
    };
    let wait_ms = call.int_param("wait_ms")?.unwrap_or(0).min(MAX_WAIT_MS);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let mut position = api.change_buffer.position.subscribe();
    let mut stage = api.node.stage.subscribe();
    loop {
        position.borrow_and_update();
        let page = api.change_buffer.after(from, |change| is_visible(&call.principal, change))?;
        if !page.changes.is_empty() || Instant::now() >= until {
            let reply = Reply::new(Code::Done).with("position", page.position);
            return Ok(reply.with("changes", page.changes));
        }
        // Continue after the changes that the principal may not access.
        from = page.position;
        // Waiting requests must not delay a planned stop.
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

/// Returns whether the principal may see a change: a team only its own jobs and account, an operator all.
fn is_visible(principal: &Principal, change: &Change) -> bool {
    match (principal.team(), &change.team) {
        (None, _) => true,
        (Some(own), Some(team)) => own == team,
        (Some(_), None) => false,
    }
}
