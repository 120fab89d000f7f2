//! Charges and the audit trail.

use std::{ops::Bound, sync::Arc};

use {
    coriandertack_core::{
        code::Code,
        keys::Offset,
        record::Kind,
        state::{AuditEntry, CHARGE_PERIOD_MS, ChargeKey, ChargeLine, State},
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

/// Lines of CSV that are copied under one lock of the state.
const PART: usize = 1_000;

/// The most sums that one page looks at, so that the state is not locked for long.
const MAX_SCAN: usize = 5_000;

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
    fn of(line: ChargeLine) -> Self {
        let ChargeLine { key, usage } = line;
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
    let filter = Filter::of(&call)?;
    let after = call.text("after").map(line_key).transpose()?;
    if is_csv {
        let lines = all(&api, &filter, after);
        return csv_of(&lines).map(|body| Reply::table("text/csv; charset=utf-8", body));
    }
    let limit = call.limit()?;
    let page = api.node.with(|shared| filter.page(&shared.state, after.as_ref(), limit));
    let lines: Vec<ChargeView> = page.lines.into_iter().map(ChargeView::of).collect();
    let reply = Reply::new(Code::Done).with("position", page.position).with("next", page.next);
    Ok(reply.with("period_ms", CHARGE_PERIOD_MS).with("charges", lines))
}

/// Which charges a list shows.
struct Filter<'a> {
    call: &'a Call,
    from_ms: u64,
    to_ms: u64,
    team: Option<&'a str>,
    kind: Option<&'a str>,
}

/// A part of the charges.
struct Page {
    position: Offset,
    lines: Vec<ChargeLine>,
    next: Option<String>,
}

impl<'a> Filter<'a> {
    fn of(call: &'a Call) -> Result<Self, Fault> {
        let (from_ms, to_ms) = period(call)?;
        Ok(Self { call, from_ms, to_ms, team: call.text("team"), kind: call.text("kind") })
    }

    fn matches(&self, key: &ChargeKey) -> bool {
        self.call.principal.is_over(&key.team)
            && self.team.is_none_or(|team| team == key.team)
            && self.kind.is_none_or(|kind| kind == key.kind.to_string())
    }

    /// Returns charges after a key, and looks at a bounded number of sums.
    fn page(&self, state: &State, after: Option<&ChargeKey>, limit: usize) -> Page {
        let first = ChargeKey { start_ms: self.from_ms, team: String::new(), kind: Kind::Service };
        let from = match after.filter(|after| after.start_ms >= self.from_ms) {
            Some(after) => Bound::Excluded(after),
            None => Bound::Included(&first),
        };
        let mut page = Page { position: state.offset, lines: Vec::new(), next: None };
        let mut last = None;
        let range = state.ledger.sums.range::<ChargeKey, _>((from, Bound::Unbounded));
        for (scanned, (key, &usage)) in range.enumerate() {
            if key.start_ms >= self.to_ms {
                break;
            }
            if page.lines.len() == limit || scanned == MAX_SCAN {
                page.next = last.map(key_text);
                break;
            }
            last = Some(key);
            if self.matches(key) {
                page.lines.push(ChargeLine { key: key.clone(), usage });
            }
        }
        page
    }
}

/// Returns all charges up to [`MAX_LINES`]. The state is locked for one part at a time.
fn all(api: &Api, filter: &Filter<'_>, mut after: Option<ChargeKey>) -> Vec<ChargeView> {
    let mut lines = Vec::new();
    loop {
        let limit = (MAX_LINES - lines.len()).min(PART);
        let page = api.node.with(|shared| filter.page(&shared.state, after.as_ref(), limit));
        lines.extend(page.lines.into_iter().map(ChargeView::of));
        after = page.next.as_deref().and_then(|next| line_key(next).ok());
        if after.is_none() || lines.len() >= MAX_LINES {
            return lines;
        }
    }
}

/// Returns the place of a sum, `START_MS/TEAM/KIND`.
fn key_text(key: &ChargeKey) -> String {
    format!("{}/{}/{}", key.start_ms, key.team, key.kind)
}

/// Reads the place of a sum.
fn line_key(text: &str) -> Result<ChargeKey, Fault> {
    let refuse = || Fault::new(Code::Malformed, "`after` must be the `next` of a page");
    let parts: Vec<&str> = text.split('/').collect();
    let [start, team, kind] = parts[..] else { return Err(refuse()) };
    let kind = match kind {
        "service" => Kind::Service,
        "batch" => Kind::Batch,
        "gang" => Kind::Gang,
        _ => return Err(refuse()),
    };
    Ok(ChargeKey { start_ms: start.parse().map_err(|_| refuse())?, team: team.to_owned(), kind })
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
struct AuditView {
    position: String,
    time: String,
    at_ms: u64,
    actor: String,
    action: String,
    before: String,
    after: String,
    result: u16,
}

impl AuditView {
    fn of(entry: AuditEntry) -> Self {
        Self {
            position: place_text(&entry),
            time: time(entry.at_ms),
            at_ms: entry.at_ms,
            actor: entry.actor,
            action: entry.action,
            before: entry.before,
            after: entry.after,
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
    let (position, mut found) = api.node.with(|shared| {
        let trail = shared.state.audit.iter();
        let found: Vec<AuditEntry> = trail
            .filter(|entry| after.is_none_or(|after| entry.position() > after))
            .filter(|entry| (from_ms..to_ms).contains(&entry.at_ms))
            .filter(|entry| actor.is_none_or(|actor| actor == entry.actor))
            .filter(|entry| action.is_none_or(|action| entry.action.contains(action)))
            .filter(|entry| result.is_none_or(|result| result == u64::from(entry.code)))
            .filter(|entry| !is_refused || entry.code != Code::Done.number())
            .take(limit + 1)
            .cloned()
            .collect();
        (shared.state.offset, found)
    });
    let is_more = found.len() > limit;
    found.truncate(limit);
    let next = found.last().filter(|_| is_more).map(place_text);
    let entries: Vec<AuditView> = found.into_iter().map(AuditView::of).collect();
    let reply = Reply::new(Code::Done).with("position", position);
    Ok(reply.with("next", next).with("entries", entries))
}

/// Returns the place of an entry, `OFFSET.INDEX`.
fn place_text(entry: &AuditEntry) -> String {
    format!("{}.{}", entry.offset, entry.index)
}

/// Reads the place of an entry, `OFFSET.INDEX`.
fn place(text: &str) -> Result<(Offset, u32), Fault> {
    let refuse = || Fault::new(Code::Malformed, "`after` must be the position of an entry");
    let (offset, index) = text.split_once('.').ok_or_else(refuse)?;
    let offset = offset.parse().map_err(|_| refuse())?;
    Ok((Offset(offset), index.parse().map_err(|_| refuse())?))
}
