//! The calls that a worker carries out.

use std::{sync::Arc, time::Duration};

use {
    serde_json::{Value, json},
    tokio::{
        sync::Notify,
        time::{Instant, sleep, sleep_until},
    },
};

use super::{
    super::{ApiCall, Reply, Shared, json_reply, lock},
    Acknowledgement, CRASH_PREFIX, RUN_PREFIX, RecordedRun, State,
    held_calls::{Call, CallKind, Delivery},
};

pub(super) async fn handle(shared: Shared<State>, changed: Arc<Notify>, call: ApiCall) -> Reply {
    let call = Call::parse(call)?;
    let (delay_ms, sent_to, held) = {
        let mut state = lock(&shared);
        if state.faults.silent || state.is_down {
            return None;
        }
        let born = state.born;
        let held = state.held_calls.hold(&call, born);
        if held.is_none() && call.instance.as_ref().is_some_and(|id| *id != state.id) {
            return json_reply(421, &json!({ "clock-ms": state.clock_ms() }));
        }
        (state.faults.late_ms, born, held)
    };
    if let Some((number, until)) = held {
        if let Some(until) = until {
            // The call outlives the connection that it arrived on.
            tokio::spawn(async move {
                sleep_until(until).await;
                deliver(&shared, &changed, number);
            });
        }
        return None;
    }
    if call.kind == Some(CallKind::Start) && delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
        handle_start(&shared, &changed, call.token, &call.body);
        return None;
    }
    if call.kind == Some(CallKind::List) {
        if let Some(refusal) = acknowledge_ends(&shared, &call, sent_to) {
            return refusal;
        }
        return list_runs(&shared, &changed, &call.body).await;
    }
    carry_out(&shared, &changed, &call, sent_to)
}

/// Carries out a call, without waiting for an end.
fn carry_out(shared: &Shared<State>, changed: &Arc<Notify>, call: &Call, sent_to: u64) -> Reply {
    match call.kind {
        Some(CallKind::Start) => handle_start(shared, changed, call.token, &call.body),
        Some(CallKind::Stop) => handle_stop(shared, changed, call.token, &call.body),
        Some(CallKind::List) => {
            acknowledge_ends(shared, call, sent_to).unwrap_or_else(|| json_reply(200, &json!({})))
        }
        None => {
            lock(shared).refuse_former(call.token).unwrap_or_else(|| json_reply(404, &json!({})))
        }
    }
}

/// Delivers a held call to the incarnation that is at the address now. Returns the status of the response.
pub(super) fn deliver(shared: &Shared<State>, changed: &Arc<Notify>, number: usize) -> Option<u16> {
    let (call, sent_to, is_other) = {
        let mut state = lock(shared);
        let (call, sent_to) = state.held_calls.take(number)?;
        if state.is_down {
            return None;
        }
        let is_other = call.instance.as_ref().is_some_and(|id| *id != state.id);
        (call, sent_to, is_other)
    };
    let status = if is_other { 421 } else { carry_out(shared, changed, &call, sent_to)?.0 };
    let mut state = lock(shared);
    let born = state.born;
    if sent_to != born
        && let Some((task, attempt)) = parse_run(&call.body).filter(|_| status == 200)
        && let Some(&run) = state.running.get(&(task, attempt))
    {
        state.history[run].late = true;
    }
    let delivery = Delivery { born, status };
    state.held_calls.record_delivery(number, delivery);
    Some(status)
}

fn parse_run(body: &Value) -> Option<(String, u64)> {
    Some((body.get("task")?.as_str()?.to_owned(), body.get("attempt")?.as_u64()?))
}

fn handle_start(shared: &Shared<State>, changed: &Arc<Notify>, token: u64, body: &Value) -> Reply {
    let (task, attempt) = parse_run(body)?;
    let mut state = lock(shared);
    let clock_ms = state.clock_ms();
    let reject = |reason: &str| json_reply(409, &json!({ "clock-ms": clock_ms, "reason": reason }));
    if let Some(refusal) = state.refuse_former(token) {
        return refusal;
    }
    let until_ms = body.get("until-ms").and_then(Value::as_u64);
    // A start that is refused as superseded extends the lease as well.
    state.extend_lease(until_ms);
    if state.running.contains_key(&(task.clone(), attempt)) {
        return json_reply(200, &json!({ "clock-ms": clock_ms }));
    }
    if state.closed_attempts.get(&task).is_some_and(|closed| attempt <= *closed) {
        return reject("old");
    }
    if until_ms.is_none_or(|until_ms| until_ms <= clock_ms) {
        return reject("late");
    }
    let payload = body.get("task-spec").and_then(Value::as_str).unwrap_or_default();
    let run_ms = payload.strip_prefix(RUN_PREFIX).and_then(|ms| ms.parse().ok());
    let run_ms = run_ms.unwrap_or(state.run_ms);
    let run = RecordedRun {
        worker: state.id.clone(),
        task: task.clone(),
        attempt,
        late: false,
        began: Instant::now(),
        ended: None,
        cause: "running",
        run_ms,
        born: state.born,
        listed: false,
        acknowledged: false,
        forgotten_by: None,
    };
    state.history.push(run);
    let index = state.history.len() - 1;
    state.started.insert((task.clone(), attempt));
    state.running.insert((task.clone(), attempt), index);
    state.check_capacity(&task);
    if let Some(delay_ms) = payload.strip_prefix(CRASH_PREFIX).and_then(|ms| ms.parse().ok()) {
        let shared = shared.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(delay_ms)).await;
            lock(&shared).crash();
        });
    }
    let cause = if state.faults.failing { "failed" } else { "done" };
    let (shared, changed) = (shared.clone(), changed.clone());
    tokio::spawn(async move {
        sleep(Duration::from_millis(run_ms)).await;
        let mut state = lock(&shared);
        // A later incarnation may have a run of the same attempt.
        if state.running.get(&(task.clone(), attempt)) == Some(&index) {
            state.end_run(&task, attempt, cause);
        }
        drop(state);
        changed.notify_waiters();
    });
    json_reply(200, &json!({ "clock-ms": clock_ms }))
}

fn handle_stop(shared: &Shared<State>, changed: &Notify, token: u64, body: &Value) -> Reply {
    let (task, attempt) = parse_run(body)?;
    let mut state = lock(shared);
    if let Some(refusal) = state.refuse_former(token) {
        return refusal;
    }
    state.end_run(&task, attempt, "stopped");
    let closed = state.closed_attempts.entry(task).or_default();
    *closed = (*closed).max(attempt);
    changed.notify_waiters();
    json_reply(200, &json!({ "clock-ms": state.clock_ms() }))
}

/// Extends the lease and forgets the ends that a request for a list acknowledges. Returns the reply if the request is
/// refused.
fn acknowledge_ends(shared: &Shared<State>, call: &Call, sent_to: u64) -> Option<Reply> {
    let acked_through = call.acked_through();
    let mut state = lock(shared);
    if let Some(refusal) = state.refuse_former(call.token) {
        return Some(refusal);
    }
    state.extend_lease(call.body.get("until-ms").and_then(Value::as_u64));
    let (pending, acked): (Vec<_>, Vec<_>) = std::mem::take(&mut state.unacked)
        .into_iter()
        .partition(|(end, _)| end[0].as_u64().is_some_and(|seq| seq > acked_through));
    state.unacked = pending;
    let by = Acknowledgement { acked_through, token: call.token, sent_to, born: state.born };
    for (_, index) in acked {
        let expired = state.expired_ends.contains(&index);
        let run = &mut state.history[index];
        run.acknowledged = !expired;
        run.forgotten_by = (!run.listed).then_some(by);
    }
    None
}

/// Returns the list of runs, as soon as it contains an end or the requested time has passed.
async fn list_runs(shared: &Shared<State>, changed: &Notify, body: &Value) -> Reply {
    let wait_ms = body.get("wait-ms").and_then(Value::as_u64).unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let outages = lock(shared).outages;
    loop {
        let notified = changed.notified();
        {
            let mut state = lock(shared);
            if state.outages != outages {
                return None;
            }
            if !state.unacked.is_empty() || Instant::now() >= deadline {
                let running: Vec<Value> = state
                    .running
                    .iter()
                    .map(|((task, attempt), index)| {
                        let run = &state.history[*index];
                        let ran_ms = run.began.elapsed().as_millis() as u64;
                        json!([task, attempt, "", (ran_ms * 100 / run.run_ms.max(1)).min(99), 0])
                    })
                    .collect();
                let (ended, indexes): (Vec<Value>, Vec<usize>) =
                    state.unacked.iter().cloned().unzip();
                indexes.into_iter().for_each(|index| state.history[index].listed = true);
                state.returned_lists += 1;
                return json_reply(
                    200,
                    &json!({
                        "clock-ms": state.clock_ms(),
                        "born": state.born,
                        "running": running,
                        "ended": ended,
                    }),
                );
            }
        }
        tokio::select! {
            () = notified => {}
            () = sleep_until(deadline) => {}
        }
    }
}
