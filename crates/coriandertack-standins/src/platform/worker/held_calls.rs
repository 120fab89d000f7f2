//! Calls that are on their way to a worker for longer than their senders wait.
//!
//! A call that receives no response may be carried out seconds later, after newer calls, and by whichever incarnation of
//! the worker is at the address then. What the worker checks, such as the fencing token, is checked at that time.

use std::time::Duration;

use {serde_json::Value, tokio::time::Instant};

use super::super::ApiCall;

/// A kind of call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Start of a task.
    Start,
    /// Stop of a run.
    Stop,
    /// Request for the list of runs.
    List,
}

/// Which calls are held.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    /// Kind of the calls.
    pub kind: CallKind,
    /// Requests for lists that acknowledge only lower numbers are not held.
    pub min_acked: u64,
    /// Maximum number of calls to hold.
    pub limit: usize,
    /// Time after which a held call is delivered, in milliseconds; `None` to hold it until
    /// [`Worker::deliver`](super::Worker::deliver).
    pub late_ms: Option<u64>,
}

impl Hold {
    /// Holds all calls of a kind until they are delivered.
    #[must_use]
    pub const fn all(kind: CallKind) -> Self {
        Self { kind, min_acked: 0, limit: usize::MAX, late_ms: None }
    }
}

/// A call that was held.
#[derive(Clone, Debug)]
pub struct HeldCall {
    /// Kind of the call.
    pub kind: CallKind,
    /// Its body.
    pub body: Value,
    /// Start of the incarnation that was at the address when the call arrived there.
    pub sent_to: u64,
    /// What became of it; `None` while it is held, or if no incarnation was at the address.
    pub delivery: Option<Delivery>,
}

/// The delivery of a held call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// Start of the incarnation that received the call.
    pub born: u64,
    /// Status of the response, which the sender does not receive.
    pub status: u16,
}

/// The contents of a call.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// Kind of the call; `None` if the worker knows no such call.
    pub(super) kind: Option<CallKind>,
    pub(super) instance: Option<String>,
    pub(super) token: u64,
    pub(super) body: Value,
}

impl Call {
    /// Returns the contents of a call, or `None` if its body is not JSON.
    pub(super) fn parse(call: ApiCall) -> Option<Self> {
        let body: Value = serde_json::from_slice(&call.body).ok()?;
        let kind = match call.path.as_str() {
            "/api/run-start" => Some(CallKind::Start),
            "/api/run-stop" => Some(CallKind::Stop),
            "/api/hold" => Some(CallKind::List),
            _ => None,
        };
        let token = body.get("fencing-token").and_then(Value::as_u64).unwrap_or(0);
        Some(Self { kind, instance: call.instance, token, body })
    }

    /// Returns the number of the last end that the call acknowledges.
    pub(super) fn acked_through(&self) -> u64 {
        self.body.get("acked-through").and_then(Value::as_u64).unwrap_or(0)
    }
}

/// The calls that were held on their way to one worker.
#[derive(Debug, Default)]
pub(super) struct HeldCalls {
    /// Each with the number of calls that it may still hold.
    holds: Vec<(Hold, usize)>,
    /// Each with its contents until it is delivered.
    calls: Vec<(HeldCall, Option<Call>)>,
}

impl HeldCalls {
    pub(super) fn add(&mut self, hold: Hold) {
        self.holds.push((hold, hold.limit));
    }

    pub(super) fn clear(&mut self) {
        self.holds.clear();
    }

    pub(super) fn list(&self) -> Vec<HeldCall> {
        self.calls.iter().map(|(held, _)| held.clone()).collect()
    }

    /// Holds a call if it is one of those to hold. Returns its number, and when to deliver it.
    pub(super) fn hold(&mut self, call: &Call, born: u64) -> Option<(usize, Option<Instant>)> {
        let kind = call.kind?;
        let acked_through = call.acked_through();
        let matches = |(hold, left): &&mut (Hold, usize)| {
            hold.kind == kind && *left > 0 && acked_through >= hold.min_acked
        };
        let (hold, left) = self.holds.iter_mut().find(matches)?;
        *left -= 1;
        let until = hold.late_ms.map(|late_ms| Instant::now() + Duration::from_millis(late_ms));
        let held = HeldCall { kind, body: call.body.clone(), sent_to: born, delivery: None };
        self.calls.push((held, Some(call.clone())));
        Some((self.calls.len() - 1, until))
    }

    /// Takes a call to deliver it, with the incarnation that it was sent to. Returns `None` if that was done before.
    pub(super) fn take(&mut self, number: usize) -> Option<(Call, u64)> {
        let (held, call) = self.calls.get_mut(number)?;
        Some((call.take()?, held.sent_to))
    }

    pub(super) fn record_delivery(&mut self, number: usize, delivery: Delivery) {
        if let Some((held, _)) = self.calls.get_mut(number) {
            held.delivery = Some(delivery);
        }
    }
}
