//! Charges and the audit trail.

use std::sync::Arc;

use {
    coriandertack_core::{
        code::Code,
        keys::Offset,
        record::Kind,
        state::{AuditEntry, Line, PERIOD_MS},
    },
    jiff::Timestamp,
    serde::Serialize,
};

use crate::{
    api::Api,
    call::Call,
    reply::{Answer, Fault, Reply},
};

/// The most lines of an answer as CSV, which has no pages.
const MAX_LINES: usize = 100_000;

/// A sum of charges as it is answered.
#[derive(Debug, Serialize)]
struct ChargeView {
    period: String,
    start_ms: u64,
    team: String,
    kind: Kind,
    core_ms: u64,
    mib_s: u64,
    acc_ms: u64,
}

impl ChargeView {
    fn of(line: Line) -> Self {
        let Line { key, usage } = line;
        Self {
            period: time(key.start_ms),
            start_ms: key.start_ms,
            team: key.team,
            kind: key.kind,
            core_ms: usage.core_ms,
            mib_s: usage.mib_s,
            acc_ms: usage.acc_ms,
        }
    }
}

/// Returns a wall-clock time as text, in UTC.
fn time(at_ms: u64) -> String {
    let time = i64::try_from(at_ms).ok().and_then(|ms| Timestamp::from_millisecond(ms).ok());
    time.map(|time| time.to_string()).unwrap_or_default()
}

/// Lists the charges by period, team and kind.
pub(crate) async fn charges(api: Arc<Api>, call: Call) -> Answer {
    let is_csv = match call.text("format").unwrap_or("json") {
        "json" => false,
        "csv" => true,
        _ => return Err(Fault::new(Code::Malformed, "format must be `json` or `csv`")),
    };
    let (from_ms, to_ms) = period(&call)?;
    let (team, kind) = (call.text("team"), call.text("kind"));
    let skip = usize::try_from(call.number("after")?.unwrap_or(0)).unwrap_or(usize::MAX);
    let limit = if is_csv { MAX_LINES } else { call.limit()? };
    let (position, mut lines) = api.node.with(|inner| {
        let lines = inner.state.ledger.lines();
        let own = lines
            .filter(|line| call.caller.is_over(&line.key.team))
            .filter(|line| (from_ms..to_ms).contains(&line.key.start_ms))
            .filter(|line| team.is_none_or(|team| team == line.key.team))
            .filter(|line| kind.is_none_or(|kind| kind == line.key.kind.to_string()));
        let lines: Vec<ChargeView> = own.skip(skip).take(limit + 1).map(ChargeView::of).collect();
        (inner.state.offset, lines)
    });
    let next = (lines.len() > limit).then_some(skip + limit);
    lines.truncate(limit);
    if is_csv {
        return csv_of(&lines).map(|body| Reply::table("text/csv; charset=utf-8", body));
    }
    let reply = Reply::new(Code::Done).with("position", position).with("next", next);
    Ok(reply.with("period_ms", PERIOD_MS).with("charges", lines))
}

fn period(call: &Call) -> Result<(u64, u64), Fault> {
    let from_ms = call.number("from_ms")?.unwrap_or(0);
    Ok((from_ms, call.number("to_ms")?.unwrap_or(u64::MAX)))
}

fn csv_of(lines: &[ChargeView]) -> Result<Vec<u8>, Fault> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let failed = |error: csv::Error| Fault::new(Code::Internal, error.to_string());
    if lines.is_empty() {
        let header = ["period", "start_ms", "team", "kind", "core_ms", "mib_s", "acc_ms"];
        writer.write_record(header).map_err(failed)?;
    }
    for line in lines {
        writer.serialize(line).map_err(failed)?;
    }
    writer.into_inner().map_err(|error| Fault::new(Code::Internal, error.to_string()))
}

/// An entry of the trail as it is answered.
#[derive(Debug, Serialize)]
struct AuditView<'a> {
    position: String,
    time: String,
    at_ms: u64,
    actor: &'a str,
    action: &'a str,
    before: &'a str,
    after: &'a str,
    result: u16,
}

impl<'a> AuditView<'a> {
    fn of(entry: &'a AuditEntry) -> Self {
        Self {
            position: format!("{}.{}", entry.offset, entry.index),
            time: time(entry.at_ms),
            at_ms: entry.at_ms,
            actor: &entry.actor,
            action: &entry.action,
            before: &entry.before,
            after: &entry.after,
            result: entry.code,
        }
    }
}

/// Lists the audit trail, oldest first.
pub(crate) async fn audit(api: Arc<Api>, call: Call) -> Answer {
    let limit = call.limit()?;
    let after = call.text("after").map(place).transpose()?;
    let (from_ms, to_ms) = period(&call)?;
    let (actor, action) = (call.text("actor"), call.text("action"));
    let result = call.number("result")?;
    let is_refused = call.flag("refused")?;
    api.node.with(|inner| {
        let trail = inner.state.audit.entries.iter();
        let mut found: Vec<AuditView<'_>> = trail
            .filter(|entry| after.is_none_or(|after| (entry.offset, entry.index) > after))
            .filter(|entry| (from_ms..to_ms).contains(&entry.at_ms))
            .filter(|entry| actor.is_none_or(|actor| actor == entry.actor))
            .filter(|entry| action.is_none_or(|action| entry.action.contains(action)))
            .filter(|entry| result.is_none_or(|result| result == u64::from(entry.code)))
            .filter(|entry| !is_refused || entry.code != Code::Done.number())
            .take(limit + 1)
            .map(AuditView::of)
            .collect();
        let is_more = found.len() > limit;
        found.truncate(limit);
        let next = found.last().filter(|_| is_more).map(|entry| entry.position.clone());
        let reply = Reply::new(Code::Done).with("position", inner.state.offset);
        Ok(reply.with("next", next).with("entries", found))
    })
}

/// Reads the place of an entry, `OFFSET.INDEX`.
fn place(text: &str) -> Result<(Offset, u32), Fault> {
    let refuse = || Fault::new(Code::Malformed, "`after` must be the position of an entry");
    let (offset, index) = text.split_once('.').ok_or_else(refuse)?;
    let offset = offset.parse().map_err(|_| refuse())?;
    Ok((Offset(offset), index.parse().map_err(|_| refuse())?))
}
