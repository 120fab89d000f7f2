//! The store: topics of one partition, fenced and conditional appends, the newest record of each key.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use {
    anyhow::Result,
    bytes::{Buf, BufMut, Bytes, BytesMut},
    serde_json::json,
    tokio::{
        sync::Notify,
        task::JoinHandle,
        time::{Instant, sleep, timeout_at},
    },
};

use super::{Call, Reply, Shared, json, lock, serve};

/// Most keys of one page of newest records.
const PAGE_KEYS: usize = 500;

/// Answers of appends that are remembered for repeats.
const REMEMBERED: usize = 5;

/// What the store does wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Every call is refused.
    pub down: bool,
    /// No call is answered.
    pub silent: bool,
    /// Each n-th append is carried out and not answered; 0 for none.
    pub lost_every: u64,
    /// Time that each call takes longer, in milliseconds.
    pub delay_ms: u64,
    /// Time that a page of newest records takes longer, in milliseconds.
    pub page_ms: u64,
}

#[derive(Debug, Default)]
struct Writer {
    epoch: u64,
    number: Option<u64>,
    answers: Vec<(u64, u64, u64)>,
}

#[derive(Debug, Default)]
struct Topic {
    /// Offset of the first record that is kept.
    first: u64,
    records: Vec<Bytes>,
    newest: BTreeMap<String, (u64, Bytes)>,
    writers: HashMap<String, Writer>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, mut record: Bytes) {
        let offset = self.end();
        self.records.push(record.clone());
        let length = usize::from(record.get_u8()).min(record.len());
        let key = String::from_utf8_lossy(&record.split_to(length)).into_owned();
        if record.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (offset, record));
        }
    }
}

#[derive(Debug, Default)]
struct State {
    topics: HashMap<String, Topic>,
    faults: Faults,
    appends: u64,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    state: Shared<State>,
    changed: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Fails if no address is free.
    pub async fn start() -> Result<Self> {
        let state = Shared::<State>::default();
        let changed = Arc::new(Notify::new());
        let (for_calls, notify) = (state.clone(), changed.clone());
        let answer = move |call| answer(for_calls.clone(), notify.clone(), call);
        let (address, task) = serve(answer).await?;
        Ok(Self { address, state, changed, task })
    }

    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what the store does wrong from now on.
    pub fn fail(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Drops the history of all topics; the newest record of each key stays.
    pub fn forget_history(&self) {
        for topic in lock(&self.state).topics.values_mut() {
            topic.first = topic.end();
            topic.records.clear();
        }
        self.changed.notify_waiters();
    }

    /// Writes a record as operators and workers do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = BytesMut::new();
        record.put_u8(key.len() as u8);
        record.put_slice(key.as_bytes());
        record.put_slice(value);
        let mut state = lock(&self.state);
        state.topics.entry(topic.to_owned()).or_default().push(record.freeze());
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the newest value of a key.
    #[must_use]
    pub fn value(&self, topic: &str, key: &str) -> Option<Bytes> {
        let state = lock(&self.state);
        state.topics.get(topic)?.newest.get(key).map(|(_, value)| value.clone())
    }

    /// Returns the keys of a topic.
    #[must_use]
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let state = lock(&self.state);
        state.topics.get(topic).map(|t| t.newest.keys().cloned().collect()).unwrap_or_default()
    }
}

async fn answer(state: Shared<State>, changed: Arc<Notify>, call: Call) -> Reply {
    let faults = lock(&state).faults;
    if faults.delay_ms > 0 {
        sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.silent {
        return None;
    }
    if faults.down {
        return json(503, &json!({}));
    }
    let topic = call.parameter("topic")?.to_owned();
    match call.path.as_str() {
        "/api/log-append" => append(&state, &changed, &topic, &call),
        "/api/log-read" => read(&state, &changed, &topic, &call).await,
        "/api/log-newest" => {
            sleep(Duration::from_millis(faults.page_ms)).await;
            newest(&state, &topic, &call)
        }
        _ => json(404, &json!({})),
    }
}

fn append(state: &Shared<State>, changed: &Notify, name: &str, call: &Call) -> Reply {
    let mut state = lock(state);
    state.appends += 1;
    let lost = state.faults.lost_every > 0 && state.appends.is_multiple_of(state.faults.lost_every);
    let topic = state.topics.entry(name.to_owned()).or_default();
    let end = topic.end();
    let fence = call.parameter("producer").zip(call.number("epoch")).zip(call.number("seq-no"));
    if let Some(((producer, epoch), number)) = fence {
        let writer = topic.writers.entry(producer.to_owned()).or_default();
        if epoch < writer.epoch {
            return json(409, &json!({ "reason": "fenced" }));
        }
        if epoch == writer.epoch {
            let known = writer.answers.iter().find(|(known, ..)| *known == number);
            if let Some((_, first, end)) = known {
                return json(200, &json!({ "offset": first, "end-offset": end }));
            }
            if let Some(last) = writer.number.filter(|last| last + 1 != number) {
                return json(409, &json!({ "reason": "seq", "seq-no": last + 1 }));
            }
        }
    }
    if call.number("at").is_some_and(|at| at != end) {
        return json(412, &json!({ "end-offset": end }));
    }
    let mut body = call.body.clone();
    while body.len() >= 4 {
        let length = (body.get_u32() as usize).min(body.len());
        topic.push(body.split_to(length));
    }
    let after = topic.end();
    if let Some(((producer, epoch), number)) = fence {
        let writer = topic.writers.entry(producer.to_owned()).or_default();
        if epoch > writer.epoch {
            writer.answers.clear();
        }
        (writer.epoch, writer.number) = (epoch, Some(number));
        writer.answers.push((number, end, after));
        if writer.answers.len() > REMEMBERED {
            writer.answers.remove(0);
        }
    }
    changed.notify_waiters();
    if lost {
        return None;
    }
    json(200, &json!({ "offset": end, "end-offset": after }))
}

async fn read(state: &Shared<State>, changed: &Notify, name: &str, call: &Call) -> Reply {
    let from = call.number("from")?;
    let until = Instant::now() + Duration::from_millis(call.number("wait-ms").unwrap_or(0));
    loop {
        let notified = changed.notified();
        {
            let mut state = lock(state);
            let topic = state.topics.entry(name.to_owned()).or_default();
            if from < topic.first {
                return json(410, &json!({ "first-offset": topic.first }));
            }
            let skip = (from - topic.first) as usize;
            if skip < topic.records.len() || Instant::now() >= until {
                let mut out = BytesMut::new();
                out.put_u64(topic.end());
                out.put_u64(topic.first);
                for record in topic.records.iter().skip(skip) {
                    out.put_u32(record.len() as u32);
                    out.put_slice(record);
                }
                return Some((200, out.freeze()));
            }
        }
        // The deadline is looked at in the next turn.
        let _late = timeout_at(until, notified).await.is_err();
    }
}

fn newest(state: &Shared<State>, name: &str, call: &Call) -> Reply {
    let mut state = lock(state);
    let topic = state.topics.entry(name.to_owned()).or_default();
    let after = call.parameter("depends-on").map(|key| key.replace("%2F", "/"));
    let rest = topic.newest.iter().filter(|(key, _)| after.as_ref().is_none_or(|a| *key > a));
    let items: Vec<_> = rest
        .clone()
        .take(PAGE_KEYS)
        .map(|(key, (offset, value))| json!({ "key": key, "value": base64(value), "offset": offset }))
        .collect();
    let more = rest.count() > items.len();
    json(200, &json!({ "items": items, "has-more": more, "end-offset": topic.end() }))
}

/// Encodes in base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |group, byte| (group << 8) | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let index = (group >> (18 - 6 * digit)) & 63;
            let known = digit <= chunk.len() as u32;
            out.push(if known { char::from(DIGITS[index as usize]) } else { '=' });
        }
    }
    out
}
