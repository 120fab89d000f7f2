//! Listing of charges and the audit trail.

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
    reply::{ApiError, ApiResult, Reply},
};

/// Maximum number of lines in a CSV response, which is not paged.
const MAX_LINES: usize = 100_000;

/// Maximum number of CSV lines copied while the state is locked once.
const CHUNK_LINES: usize = 1_000;

/// Maximum number of sums scanned for one page, which bounds how long the state is locked.
const MAX_SCAN: usize = 5_000;

/// The sum of charges of one period, team and kind, as returned by the API.
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
    fn from_line(line: ChargeLine) -> Self {
        let ChargeLine { key, usage } = line;
        Self {
            period: format_time(key.start_ms),
            start_ms: key.start_ms,
            team: key.team,
            kind: key.kind,
            core_ms: usage.core_ms,
            mib_s: usage.mib_s,
            acc_ms: usage.acc_ms,
        }
    }
}

/// Formats a Unix time in milliseconds as RFC 3339 text in UTC; empty if it is out of range.
fn format_time(at_ms: u64) -> String {
    let time = i64::try_from(at_ms).ok().and_then(|ms| Timestamp::from_millisecond(ms).ok());
    time.map(|time| time.to_string()).unwrap_or_default()
}

/// Lists the charges by period, team and kind, as JSON pages or CSV.
pub(crate) async fn list_charges(api: Arc<Api>, call: Call) -> ApiResult {
    let is_csv = match call.param("format").unwrap_or("json") {
        "json" => false,
        "csv" => true,
        other => {
            let reason = format!("unknown format `{other}`; use `json` or `csv`");
            return Err(ApiError::new(Code::Malformed, reason));
        }
    };
    let filter = ChargeFilter::from_call(&call)?;
    let after = call.param("after").map(parse_charge_cursor).transpose()?;
    if is_csv {
        let lines = collect_all(&api, &filter, after);
        return to_csv(&lines).map(|body| Reply::table("text/csv; charset=utf-8", body));
    }
    let limit = call.limit()?;
    let page = api.node.with(|shared| filter.page(&shared.state, after.as_ref(), limit));
    let lines: Vec<ChargeView> = page.lines.into_iter().map(ChargeView::from_line).collect();
    let reply = Reply::new(Code::Done).with("position", page.position).with("next", page.next);
    Ok(reply.with("period_ms", CHARGE_PERIOD_MS).with("charges", lines))
}

/// Filter of a charge list; a `None` field matches every value.
struct ChargeFilter<'a> {
    call: &'a Call,
    from_ms: u64,
    to_ms: u64,
    team: Option<&'a str>,
    kind: Option<&'a str>,
}

/// A page of charges; `next` is the cursor of the following page, if any.
struct ChargePage {
    position: Offset,
    lines: Vec<ChargeLine>,
    next: Option<String>,
}

impl<'a> ChargeFilter<'a> {
    fn from_call(call: &'a Call) -> Result<Self, ApiError> {
        let (from_ms, to_ms) = time_range(call)?;
        Ok(Self { call, from_ms, to_ms, team: call.param("team"), kind: call.param("kind") })
    }

    fn matches(&self, key: &ChargeKey) -> bool {
        self.call.principal.can_access(&key.team)
            && self.team.is_none_or(|team| team == key.team)
            && self.kind.is_none_or(|kind| kind == key.kind.to_string())
    }

    /// Returns the matching charges after a key, scanning at most `MAX_SCAN` sums.
    fn page(&self, state: &State, after: Option<&ChargeKey>, limit: usize) -> ChargePage {
        let first = ChargeKey { start_ms: self.from_ms, team: String::new(), kind: Kind::Service };
        let from = match after.filter(|after| after.start_ms >= self.from_ms) {
            Some(after) => Bound::Excluded(after),
            None => Bound::Included(&first),
        };
        let mut page = ChargePage { position: state.offset, lines: Vec::new(), next: None };
        let mut last = None;
        let range = state.ledger.sums.range::<ChargeKey, _>((from, Bound::Unbounded));
        for (scanned, (key, &usage)) in range.enumerate() {
            if key.start_ms >= self.to_ms {
                break;
            }
            if page.lines.len() == limit || scanned == MAX_SCAN {
                page.next = last.map(format_charge_cursor);
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

/// Returns all matching charges, at most [`MAX_LINES`]. The state is locked for one chunk at a time.
fn collect_all(
    api: &Api,
    filter: &ChargeFilter<'_>,
    mut after: Option<ChargeKey>,
) -> Vec<ChargeView> {
    let mut lines = Vec::new();
    loop {
        let limit = (MAX_LINES - lines.len()).min(CHUNK_LINES);
        let page = api.node.with(|shared| filter.page(&shared.state, after.as_ref(), limit));
        lines.extend(page.lines.into_iter().map(ChargeView::from_line));
        after = page.next.as_deref().and_then(|next| parse_charge_cursor(next).ok());
        if after.is_none() || lines.len() >= MAX_LINES {
            return lines;
        }
    }
}

/// Formats the cursor of a sum, `START_MS/TEAM/KIND`.
fn format_charge_cursor(key: &ChargeKey) -> String {
    format!("{}/{}/{}", key.start_ms, key.team, key.kind)
}

/// Parses the cursor of a sum, `START_MS/TEAM/KIND`.
fn parse_charge_cursor(text: &str) -> Result<ChargeKey, ApiError> {
    let error = || {
        let reason = format!(
            "invalid cursor `{text}` in `after`; pass the `next` value of the previous page"
        );
        ApiError::new(Code::Malformed, reason)
    };
    let parts: Vec<&str> = text.split('/').collect();
    let [start, team, kind] = parts[..] else { return Err(error()) };
    let kind = match kind {
        "service" => Kind::Service,
        "batch" => Kind::Batch,
        "gang" => Kind::Gang,
        _ => return Err(error()),
    };
    Ok(ChargeKey { start_ms: start.parse().map_err(|_| error())?, team: team.to_owned(), kind })
}

fn time_range(call: &Call) -> Result<(u64, u64), ApiError> {
    let from_ms = call.int_param("from_ms")?.unwrap_or(0);
    Ok((from_ms, call.int_param("to_ms")?.unwrap_or(u64::MAX)))
}

fn to_csv(lines: &[ChargeView]) -> Result<Vec<u8>, ApiError> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let failed = |error: csv::Error| ApiError::new(Code::Internal, error.to_string());
    if lines.is_empty() {
        let header = ["period", "start_ms", "team", "kind", "core_ms", "mib_s", "acc_ms"];
        writer.write_record(header).map_err(failed)?;
    }
    for line in lines {
        writer.serialize(line).map_err(failed)?;
    }
    writer.into_inner().map_err(|error| ApiError::new(Code::Internal, error.to_string()))
}

/// An entry of the audit trail as returned by the API.
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
    fn from_entry(entry: AuditEntry) -> Self {
        Self {
            position: format_audit_position(&entry),
            time: format_time(entry.at_ms),
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
pub(crate) async fn list_audit(api: Arc<Api>, call: Call) -> ApiResult {
    let limit = call.limit()?;
    let after = call.param("after").map(parse_audit_position).transpose()?;
    let (from_ms, to_ms) = time_range(&call)?;
    let (actor, action) = (call.param("actor"), call.param("action"));
    let result = call.int_param("result")?;
    let is_refused = call.bool_param("refused")?;
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
    let has_more = found.len() > limit;
    found.truncate(limit);
    let next = found.last().filter(|_| has_more).map(format_audit_position);
    let entries: Vec<AuditView> = found.into_iter().map(AuditView::from_entry).collect();
    let reply = Reply::new(Code::Done).with("position", position);
    Ok(reply.with("next", next).with("entries", entries))
}

/// Formats the position of an audit entry, `OFFSET.INDEX`.
fn format_audit_position(entry: &AuditEntry) -> String {
    format!("{}.{}", entry.offset, entry.index)
}

/// Parses the position of an audit entry, `OFFSET.INDEX`.
fn parse_audit_position(text: &str) -> Result<(Offset, u32), ApiError> {
    let error = || {
        let reason = format!(
            "invalid position `{text}` in `after`; pass the `next` value of the previous page"
        );
        ApiError::new(Code::Malformed, reason)
    };
    let (offset, index) = text.split_once('.').ok_or_else(error)?;
    let offset = offset.parse().map_err(|_| error())?;
    Ok((Offset(offset), index.parse().map_err(|_| error())?))
}
