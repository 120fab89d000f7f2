//! A stand-in for the platform's store: single-partition topics with fenced and conditional appends,
//! which also serve the newest record of each key.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use {
    anyhow::Result,
    bytes::{Buf, BufMut, Bytes, BytesMut},
    serde_json::{Value, json},
    tokio::{
        sync::Notify,
        task::JoinHandle,
        time::{Instant, sleep, timeout_at},
    },
};

use super::{ApiCall, Reply, Shared, json_reply, lock, pace::Pace, serve, serve_at_pace};

/// Largest number of keys in a page of newest records.
const MAX_PAGE_KEYS: usize = 500;

/// Largest size of the records of a read, in KiB, unless the request names another.
const MAX_FETCH_KIB: u64 = 1_024;

/// Number of recent appends per producer whose responses can be repeated.
const REMEMBERED_APPENDS: usize = 5;

/// Injected faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Every request is rejected with 503.
    pub down: bool,
    /// No request gets a response.
    pub silent: bool,
    /// Every n-th append takes effect without a response; 0 disables this.
    pub lost_every: u64,
    /// Every n-th append gets no response, and takes effect only after `late_ms` if its condition holds then; 0 disables
    /// this.
    pub late_every: u64,
    /// Delay of late appends, in milliseconds.
    pub late_ms: u64,
    /// Appends to this topic take effect without a response.
    pub lost_topic: Option<&'static str>,
    /// Additional delay of every request, in milliseconds.
    pub delay_ms: u64,
    /// Additional delay of the response to a read of records, in milliseconds, which makes the response outdated.
    pub read_ms: u64,
    /// Additional delay of a page of newest records, in milliseconds.
    pub page_ms: u64,
    /// Pages of newest records end with items that no reader can decode.
    pub odd_items: bool,
    /// Appends to this topic are rejected with 503.
    pub refused_topic: Option<&'static str>,
    /// Pages of newest records after the first are answered with 404.
    pub single_pages: bool,
    /// The last page of newest records is followed by the first one.
    pub circular_pages: bool,
}

/// Items that no reader can decode: a key that is not UTF-8, fields of other types, a value that is not
/// base64, and deep nesting.
fn odd_items() -> String {
    let nested = format!("{}{}", "[".repeat(10_000), "]".repeat(10_000));
    format!(
        r#"{{"key":"\udcff","value":"AA==","offset":1}},{{"key":7,"value":"AA==","offset":1}},
        {{"key":"odd","value":"?","offset":1}},{{"value":"AA=="}},7,null,{nested}"#
    )
}

/// Fencing state of a producer.
#[derive(Debug, Default)]
struct Producer {
    /// Highest epoch of an accepted append. Appends of a lower epoch are rejected.
    epoch: u64,
    /// Sequence number of the last append. The next append of this epoch must follow it.
    last_seq: Option<u64>,
    /// Sequence number, first offset and end offset of recent appends, for repeated requests.
    recent_appends: Vec<(u64, u64, u64)>,
}

#[derive(Debug, Default)]
struct Topic {
    /// Offset of the first record in `records`.
    first_offset: u64,
    records: Vec<Bytes>,
    /// Offset and value of the newest record of each key.
    newest: BTreeMap<String, (u64, Bytes)>,
    producers: HashMap<String, Producer>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    /// Appends a record, which is the length of its key in one byte, the key and the value. An empty
    /// value deletes the key.
    fn push(&mut self, mut record: Bytes) {
        let offset = self.end();
        self.records.push(record.clone());
        let key_length = usize::from(record.get_u8()).min(record.len());
        let key = String::from_utf8_lossy(&record.split_to(key_length)).into_owned();
        if record.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (offset, record));
        }
    }
}

/// Largest size of a record, and of all records of an append with their length prefixes, in bytes.
#[derive(Clone, Copy, Debug)]
struct Limits {
    record: usize,
    call: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { record: 262_144, call: 2_097_152 }
    }
}

impl Limits {
    /// Returns whether an append with this body is accepted.
    fn accept(self, mut body: &[u8]) -> bool {
        let mut accepted = body.len() <= self.call;
        while accepted && body.len() >= 4 {
            let length = body.get_u32() as usize;
            accepted = length <= self.record;
            body.advance(length.min(body.len()));
        }
        accepted
    }
}

#[derive(Debug, Default)]
struct State {
    limits: Limits,
    /// Number of appends that were refused for their size.
    refused_sizes: u64,
    topics: HashMap<String, Topic>,
    faults: Faults,
    appends: u64,
    /// Number of appends that arrived while some were carried out late.
    late_appends: u64,
    /// Items that replace those of some keys in pages of newest records.
    replaced_items: HashMap<String, Value>,
    /// Number of requests by path and topic.
    calls: BTreeMap<(String, String), u64>,
}

/// A running store, which stops when the handle is dropped.
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

/// A further address of a store, whose clients can lose their way to it while others keep theirs. It
/// closes when the handle is dropped.
#[derive(Debug)]
pub struct Gateway {
    address: SocketAddr,
    silent: Shared<bool>,
    pace: Shared<Pace>,
    task: JoinHandle<()>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Gateway {
    /// Returns the address that the gateway listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets whether requests are lost on their way to the store.
    pub fn set_silent(&self, silent: bool) {
        *lock(&self.silent) = silent;
    }

    /// Sets how fast responses are sent to the clients of this address.
    pub fn set_pace(&self, pace: Pace) {
        *lock(&self.pace) = pace;
    }
}

impl Store {
    /// Starts an empty store on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start() -> Result<Self> {
        let state = Shared::<State>::default();
        let changed = Arc::new(Notify::new());
        let (handler_state, notify) = (state.clone(), changed.clone());
        let handler = move |call| handle(handler_state.clone(), notify.clone(), call);
        let (address, task) = serve(handler).await?;
        Ok(Self { address, state, changed, task })
    }

    /// Opens a further address of the store on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn open_gateway(&self) -> Result<Gateway> {
        let silent = Shared::<bool>::default();
        let (lost, state, notify) = (silent.clone(), self.state.clone(), self.changed.clone());
        let handler = move |call| {
            let lost = *lock(&lost);
            let (state, notify) = (state.clone(), notify.clone());
            async move { if lost { None } else { handle(state, notify, call).await } }
        };
        let pace = Shared::<Pace>::default();
        let (address, task) = serve_at_pace(pace.clone(), handler).await?;
        Ok(Gateway { address, silent, pace, task })
    }

    /// Returns the address that the store listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn fail(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Replaces the largest size of a record, and that of all records of an append with their length prefixes, in bytes.
    pub fn limit(&self, record: usize, call: usize) {
        lock(&self.state).limits = Limits { record, call };
    }

    /// Returns the number of appends that were refused for their size.
    #[must_use]
    pub fn refused_sizes(&self) -> u64 {
        lock(&self.state).refused_sizes
    }

    /// Replaces the item of a key in pages of newest records.
    pub fn replace_item(&self, key: &str, item: Value) {
        lock(&self.state).replaced_items.insert(key.to_owned(), item);
    }

    /// Returns the number of requests so far by path and topic. The topic is empty for a request without one.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<(String, String), u64> {
        lock(&self.state).calls.clone()
    }

    /// Drops the history of all topics. The newest record of each key stays available.
    pub fn forget_history(&self) {
        for topic in lock(&self.state).topics.values_mut() {
            topic.first_offset = topic.end();
            topic.records.clear();
        }
        self.changed.notify_waiters();
    }

    /// Appends a record without fencing, as operators and workers do.
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

    /// Returns all keys of a topic that have a value.
    #[must_use]
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let state = lock(&self.state);
        state
            .topics
            .get(topic)
            .map(|topic| topic.newest.keys().cloned().collect())
            .unwrap_or_default()
    }
}

async fn handle(state: Shared<State>, changed: Arc<Notify>, call: ApiCall) -> Reply {
    let faults = {
        let mut state = lock(&state);
        let topic = call.query_param("topic").unwrap_or_default().to_owned();
        *state.calls.entry((call.path.clone(), topic)).or_default() += 1;
        state.faults
    };
    if faults.delay_ms > 0 {
        sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.silent {
        return None;
    }
    if faults.down {
        return json_reply(503, &json!({}));
    }
    let topic = call.query_param("topic")?.to_owned();
    match call.path.as_str() {
        "/api/log-append" if is_late(&state) => {
            tokio::spawn(async move {
                sleep(Duration::from_millis(faults.late_ms)).await;
                append(&state, &changed, &topic, &call)
            });
            None
        }
        "/api/log-append" => append(&state, &changed, &topic, &call),
        "/api/log-read" => {
            let reply = read(&state, &changed, &topic, &call).await;
            sleep(Duration::from_millis(faults.read_ms)).await;
            reply
        }
        "/api/log-newest" => {
            sleep(Duration::from_millis(faults.page_ms)).await;
            newest(&state, &topic, &call)
        }
        _ => json_reply(404, &json!({})),
    }
}

/// Counts an append, and returns whether it is to be carried out late.
fn is_late(state: &Shared<State>) -> bool {
    let mut state = lock(state);
    let every = state.faults.late_every;
    state.late_appends += u64::from(every > 0);
    every > 0 && state.late_appends.is_multiple_of(every)
}

fn append(state: &Shared<State>, changed: &Notify, topic_name: &str, call: &ApiCall) -> Reply {
    let mut state = lock(state);
    if state.faults.refused_topic == Some(topic_name) {
        return json_reply(503, &json!({}));
    }
    if !state.limits.accept(&call.body) {
        state.refused_sizes += 1;
        return json_reply(413, &json!({}));
    }
    state.appends += 1;
    let Faults { lost_every, lost_topic, .. } = state.faults;
    let drop_reply = lost_topic == Some(topic_name)
        || lost_every > 0 && state.appends.is_multiple_of(lost_every);
    let topic = state.topics.entry(topic_name.to_owned()).or_default();
    let end = topic.end();
    let producer_fields = call
        .query_param("producer")
        .zip(call.query_number("epoch"))
        .zip(call.query_number("seq-no"));
    if let Some(((producer_id, epoch), seq)) = producer_fields {
        let producer = topic.producers.entry(producer_id.to_owned()).or_default();
        if epoch < producer.epoch {
            return json_reply(409, &json!({ "reason": "fenced" }));
        }
        if epoch == producer.epoch {
            let repeated = producer.recent_appends.iter().find(|(known, ..)| *known == seq);
            if let Some((_, first, end)) = repeated {
                if lost_topic == Some(topic_name) {
                    return None;
                }
                return json_reply(200, &json!({ "offset": first, "end-offset": end }));
            }
            if let Some(last) = producer.last_seq.filter(|last| last + 1 != seq) {
                return json_reply(409, &json!({ "reason": "seq", "seq-no": last + 1 }));
            }
        }
    }
    if call.query_number("at").is_some_and(|at| at != end) {
        return json_reply(412, &json!({ "end-offset": end }));
    }
    let mut body = call.body.clone();
    while body.len() >= 4 {
        let length = (body.get_u32() as usize).min(body.len());
        topic.push(body.split_to(length));
    }
    let new_end = topic.end();
    if let Some(((producer_id, epoch), seq)) = producer_fields {
        let producer = topic.producers.entry(producer_id.to_owned()).or_default();
        if epoch > producer.epoch {
            producer.recent_appends.clear();
        }
        (producer.epoch, producer.last_seq) = (epoch, Some(seq));
        producer.recent_appends.push((seq, end, new_end));
        if producer.recent_appends.len() > REMEMBERED_APPENDS {
            producer.recent_appends.remove(0);
        }
    }
    changed.notify_waiters();
    if drop_reply {
        return None;
    }
    json_reply(200, &json!({ "offset": end, "end-offset": new_end }))
}

async fn read(state: &Shared<State>, changed: &Notify, topic_name: &str, call: &ApiCall) -> Reply {
    let from = call.query_number("from")?;
    // The first record is returned whole, whatever its size.
    let max_bytes = call.query_number("max-fetch-kb").unwrap_or(MAX_FETCH_KIB) as usize * 1_024;
    let deadline =
        Instant::now() + Duration::from_millis(call.query_number("wait-ms").unwrap_or(0));
    loop {
        let notified = changed.notified();
        {
            let mut state = lock(state);
            let topic = state.topics.entry(topic_name.to_owned()).or_default();
            if from < topic.first_offset {
                return json_reply(410, &json!({ "first-offset": topic.first_offset }));
            }
            let skip = (from - topic.first_offset) as usize;
            if skip < topic.records.len() || Instant::now() >= deadline {
                let mut encoded = BytesMut::new();
                encoded.put_u64(topic.end());
                encoded.put_u64(topic.first_offset);
                for (index, record) in topic.records.iter().skip(skip).enumerate() {
                    if index > 0 && encoded.len() + record.len() > max_bytes {
                        break;
                    }
                    encoded.put_u32(record.len() as u32);
                    encoded.put_slice(record);
                }
                return Some((200, encoded.freeze()));
            }
        }
        // The next iteration checks the deadline.
        let _timed_out = timeout_at(deadline, notified).await.is_err();
    }
}

fn newest(state: &Shared<State>, topic_name: &str, call: &ApiCall) -> Reply {
    let mut state = lock(state);
    let Faults { odd_items: odd, single_pages, circular_pages, .. } = state.faults;
    let replaced = state.replaced_items.clone();
    let topic = state.topics.entry(topic_name.to_owned()).or_default();
    let last = topic.newest.keys().next_back().filter(|_| circular_pages);
    let after = call.query_param("depends-on").map(|key| key.replace("%2F", "/"));
    let after = after.filter(|after| Some(after) != last);
    if single_pages && after.is_some() {
        return json_reply(404, &json!({}));
    }
    let remaining =
        topic.newest.iter().filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
    let items: Vec<_> = remaining
        .clone()
        .take(MAX_PAGE_KEYS)
        .map(|(key, (offset, value))| {
            let item = json!({ "key": key, "value": base64(value), "offset": offset });
            replaced.get(key).cloned().unwrap_or(item)
        })
        .collect();
    let more = circular_pages || remaining.count() > items.len();
    if odd {
        let items: Vec<String> = items.iter().map(Value::to_string).chain([odd_items()]).collect();
        let (items, end) = (items.join(","), topic.end());
        let page = format!(r#"{{"items":[{items}],"has-more":{more},"end-offset":{end}}}"#);
        return Some((200, page.into()));
    }
    json_reply(200, &json!({ "items": items, "has-more": more, "end-offset": topic.end() }))
}

/// Encodes bytes as base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |group, byte| (group << 8) | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let index = (group >> (18 - 6 * digit)) & 63;
            let has_bits = digit <= chunk.len() as u32;
            encoded.push(if has_bits { char::from(DIGITS[index as usize]) } else { '=' });
        }
    }
    encoded
}
