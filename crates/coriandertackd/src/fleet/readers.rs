//! Tasks that read the store's topics and apply their records.

use std::{
    mem,
    sync::{Arc, PoisonError, atomic::Ordering},
    time::Duration,
};

use {
    coriandertack_jobs::{
        boot_time::BootTime,
        replica::{Listing, Replica, ReplicaRecord, Stream},
        teams::Teams,
    },
    coriandertack_log::jobs,
    coriandertack_platform::{
        http::Transfer,
        operator,
        store::{Newest, Page, ReadError, Record, Store, Topic},
    },
    tokio::{sync::watch, time::sleep},
};

use super::{
    arrivals::Arrival,
    clock,
    shared::{Counters, ReadPosition, Shared},
};

/// Pause between two reads of the progress topic, in milliseconds. It can be long, which saves calls that are charged
/// for, because callers may be given a state that is seconds old and the leader announces ended jobs over its links.
const READ_INTERVAL_MS: u64 = 250;

/// Pause between two reads of the intake topic, in milliseconds, on the leader and on other VMs. The topic has only
/// records that no leader accepted over a link.
const INTAKE_INTERVAL_MS: (u64, u64) = (50, 600);

/// Maximum wait of a read of the intake topic for a new record, in milliseconds. It bounds the age of the state that
/// callers are given.
const INTAKE_WAIT_MS: u64 = 900;

/// Maximum wait of a read of the progress topic for a new record, in milliseconds. It bounds how late a failure of the
/// leader is detected.
const PROGRESS_WAIT_MS: u64 = 300;

/// The same without a link to the leader, in milliseconds; it is shorter because the leader has probably failed.
const UNLINKED_WAIT_MS: u64 = 100;

/// Maximum wait of a read of the operator topic, in milliseconds. A connection without responses is detected after it,
/// within the 2 s in which a new configuration must be in force.
const OPERATOR_WAIT_MS: u64 = 900;

/// Number of further records of the operator topic from which its newest records are read instead. Most records are versions
/// of the configuration, each in full, of which only the last matters; in the listing of the newest ones, text encoding
/// makes it a third larger.
const SUPERSEDED_RECORDS: u64 = 2;

/// Part of the bound for a new configuration, as a divisor, from which the time for its transfer is reported. The link also
/// carries requests, and the VMs share the speed of the store.
const LONG_TRANSFER_SHARE: u64 = 2;

/// Initial and maximum backoff after a failed call, in milliseconds.
const RETRY_MS: (u64, u64) = (50, 400);

/// What a read of a topic returned.
#[derive(Debug)]
pub enum Read {
    /// The newest record of each key, and when the read began.
    Newest(Newest, BootTime),
    /// Records that follow those read before.
    Page(Page),
}

impl Read {
    /// Returns whether newest records are incomplete, and when their read began; `None` for a page.
    const fn listing(&self) -> Option<(bool, BootTime)> {
        match self {
            Self::Newest(newest, began) => Some((newest.incomplete, *began)),
            Self::Page(_) => None,
        }
    }

    /// Returns the offset after the last record.
    const fn next(&self) -> u64 {
        match self {
            Self::Newest(newest, _) => newest.end,
            Self::Page(page) => page.next,
        }
    }

    /// Returns the size and duration of the transfer.
    const fn transfer(&self) -> Transfer {
        match self {
            Self::Newest(newest, _) => newest.transfer,
            Self::Page(page) => page.transfer,
        }
    }

    /// Removes records before an offset, and returns whether the read reached it.
    fn skip_before(&mut self, offset: u64) -> bool {
        if let Self::Page(page) = self {
            let known = offset.saturating_sub(page.next - page.records.len() as u64) as usize;
            page.records.drain(..known.min(page.records.len()));
        }
        self.next() >= offset
    }

    /// Returns the records that could be decoded, and logs the number of others.
    pub fn into_records(self, topic: Topic) -> Vec<Record> {
        match self {
            Self::Newest(newest, _) => newest.records,
            Self::Page(page) => readable(topic, page),
        }
    }
}

/// A read that reached the end of a topic.
#[derive(Clone, Copy, Debug)]
pub struct EndReached {
    /// Offset after the last record.
    pub next: u64,
    /// When the read began.
    pub began: BootTime,
    /// When the store had no records beyond `next`: when the read began, or after it had waited for one.
    pub shown: BootTime,
    /// Whether the read returned records.
    pub changed: bool,
}

/// Reads a topic without end: first the newest record of each key, then the records that follow.
///
/// `apply` gets what each read returned. `on_newer` is called as soon as the store has records that were not applied, which
/// is before they have arrived, and `on_end` after each read that reached the end of the topic.
pub async fn follow_topic(
    shared: &Shared,
    topic: Topic,
    wait_ms: impl Fn() -> u64,
    interval_ms: impl Fn() -> u64,
    mut apply: impl FnMut(Read),
    on_newer: impl Fn(),
    mut on_end: impl FnMut(EndReached),
) {
    let mut store = Store::new(shared.settings.platform.store);
    let mut pause = RETRY_MS.0;
    let mut unavailable = false;
    loop {
        let began = clock::now();
        Counters::count(&shared.counters.reads);
        let newest = match store.newest(topic).await {
            Ok(newest) => newest,
            Err(error) => {
                log_failure(shared, topic, began, &error, store.transfer(), &mut unavailable);
                back_off(&mut pause).await;
                continue;
            }
        };
        Counters::add(&shared.counters.bytes_read, newest.transfer.bytes);
        log_recovery(shared, topic, &mut unavailable);
        let mut next = newest.end;
        apply(Read::Newest(newest, began));
        on_end(EndReached { next, began, shown: began, changed: true });
        loop {
            let began = clock::now();
            Counters::count(&shared.counters.reads);
            // A read that waits for a record would find out late that the store responds again.
            let wait_ms = if unavailable { 0 } else { wait_ms() };
            let wait = Duration::from_millis(wait_ms);
            let observe = |end| {
                if end > next {
                    on_newer();
                }
            };
            match store.read_observed(topic, next, wait, observe).await {
                Ok(page) => {
                    log_recovery(shared, topic, &mut unavailable);
                    Counters::add(&shared.counters.bytes_read, page.transfer.bytes);
                    pause = RETRY_MS.0;
                    let changed = !page.records.is_empty();
                    next = page.next;
                    let further = page.end.saturating_sub(page.next);
                    apply(Read::Page(page));
                    if further == 0 {
                        // The store waits for a record before it says that there is none.
                        let waited_ms = if changed { 0 } else { wait_ms };
                        let shown = began.plus_ms(waited_ms).min(clock::now());
                        on_end(EndReached { next, began, shown, changed });
                    }
                    if topic == Topic::Operator && further >= SUPERSEDED_RECORDS {
                        log::info!(
                            "event=records_skipped topic={topic:?} next={next} count={further}"
                        );
                        break;
                    }
                    if changed {
                        let pause = sleep(Duration::from_millis(interval_ms()));
                        tokio::select! {
                            () = pause => {}
                            () = shared.read_now.notified(), if topic == Topic::Progress => {}
                        }
                    }
                }
                Err(ReadError::Deleted { first }) => {
                    on_newer();
                    log::info!("event=records_deleted topic={topic:?} next={next} first={first}");
                    break;
                }
                Err(error) => {
                    log_failure(shared, topic, began, &error, store.transfer(), &mut unavailable);
                    back_off(&mut pause).await;
                }
            }
        }
    }
}

/// Returns the records of a page that could be parsed, and logs the number of others.
fn readable(topic: Topic, page: Page) -> Vec<Record> {
    let total = page.records.len();
    let records: Vec<Record> = page.records.into_iter().flatten().collect();
    if records.len() < total {
        log::warn!("event=records_unreadable topic={topic:?} count={}", total - records.len());
    }
    records
}

/// Decodes the records of a read. A record whose value cannot be decoded is known by its key.
fn decode_records(topic: Topic, mut read: Read) -> Vec<ReplicaRecord> {
    let unreadable = match &mut read {
        Read::Newest(newest, _) => mem::take(&mut newest.unreadable),
        Read::Page(_) => Vec::new(),
    };
    let records = read.into_records(topic);
    let decoded = records.iter().map(|record| jobs::decode(&record.key, &record.value));
    decoded.chain(unreadable.iter().map(|key| jobs::decode_key(key))).collect()
}

/// Applies the records of a read. `listing` is whether the newest records of all keys are incomplete, and when their read
/// began.
fn apply_records(
    replica: &mut Replica,
    stream: Stream,
    listing: Option<(bool, BootTime)>,
    records: Vec<ReplicaRecord>,
) {
    let now = clock::now();
    match listing {
        Some((incomplete, began)) => {
            replica.reload(stream, Listing { records, incomplete, began }, now);
        }
        None => records.into_iter().for_each(|record| replica.apply_from(stream, record, now)),
    }
}

fn log_failure(
    shared: &Shared,
    topic: Topic,
    began: BootTime,
    error: &ReadError,
    transfer: Transfer,
    unavailable: &mut bool,
) {
    Counters::count(&shared.counters.store_errors);
    if *error == (ReadError::Unavailable { status: 0 }) && transfer.status == Some(200) {
        // The store responds, and the connection ended or fell silent before the end of the response.
        let Transfer { bytes, took_ms, .. } = transfer;
        Counters::count(&shared.counters.reads_cut);
        Counters::add(&shared.counters.bytes_read, bytes);
        log::warn!("event=read_cut topic={topic:?} bytes={bytes} took_ms={took_ms}");
        return;
    }
    if topic == Topic::Operator {
        shared.config_age.send_modify(|age| age.record_silence(began));
    }
    if !mem::replace(unavailable, true) {
        shared.store_health().record_failure(topic, clock::now());
        log::warn!("event=dependency_lost dependency=store topic={topic:?} error=\"{error}\"");
    }
}

fn log_recovery(shared: &Shared, topic: Topic, unavailable: &mut bool) {
    if mem::replace(unavailable, false) {
        shared.store_health().record_response(topic);
        log::info!("event=dependency_regained dependency=store topic={topic:?}");
    }
}

async fn back_off(pause: &mut u64) {
    sleep(Duration::from_millis(*pause)).await;
    *pause = (*pause * 2).min(RETRY_MS.1);
}

/// Reads the operator topic: the configuration and maintenance waves.
pub async fn operator(shared: Arc<Shared>) {
    let apply = |read: Read| {
        let transfer = read.transfer();
        for record in read.into_records(Topic::Operator) {
            if record.key == operator::CONFIG_KEY && !record.value.is_empty() {
                apply_config(&shared, &record.value, transfer);
            } else if operator::is_wave_key(&record.key) && !record.value.is_empty() {
                add_wave(&shared, &record);
            }
        }
    };
    let on_newer = || shared.config_age.send_modify(|age| age.record_newer(clock::now()));
    let on_end = |end: EndReached| shared.record_current_config(end.shown);
    let wait = || OPERATOR_WAIT_MS;
    follow_topic(&shared, Topic::Operator, wait, || 0, apply, on_newer, on_end).await;
}

/// Adds a maintenance wave. A wave that is already known is not changed, so its deadline stays the same.
fn add_wave(shared: &Shared, record: &Record) {
    match operator::decode_wave(&record.value, clock::now()) {
        Ok(wave) => {
            shared.waves.send_if_modified(|waves| {
                let known = waves.contains_key(&wave.number);
                waves.entry(wave.number).or_insert(wave);
                !known
            });
        }
        Err(error) => log::warn!("event=wave_unreadable key={} error=\"{error:#}\"", record.key),
    }
}

/// Puts a configuration in force, unless its revision is not newer than the current one.
fn apply_config(shared: &Shared, value: &[u8], transfer: Transfer) {
    let received = clock::now();
    let config = match operator::decode_config(value) {
        Ok(config) => config,
        Err(error) => {
            log::warn!("event=config_unreadable error=\"{error:#}\"");
            return;
        }
    };
    let current = shared.config.borrow().revision;
    if config.revision <= current {
        return;
    }
    log::info!(
        "event=config revision={} former={current} routes={} services={} teams={} keys={} bytes={} read_bytes={} \
         read_ms={} decode_ms={} behind_ms={}",
        config.revision,
        config.routes.len(),
        config.services.len(),
        config.teams.iter().flat_map(Teams::iter).count(),
        config.teams.as_ref().map_or(0, Teams::key_count),
        value.len(),
        transfer.bytes,
        transfer.took_ms,
        clock::now().ms_since(received),
        shared.config_behind_ms()
    );
    shared.config_bytes.store(value.len() as u64, Ordering::Relaxed);
    let (transfer_ms, bound_ms) =
        (shared.settings.transfer_ms(value.len()), shared.settings.bounds.apply_ms);
    if transfer_ms > bound_ms / LONG_TRANSFER_SHARE {
        log::warn!(
            "event=config_large bytes={} link_mbps={} transfer_ms={transfer_ms} bound_ms={bound_ms}",
            value.len(),
            shared.settings.limits.link_mbps
        );
    }
    shared.config.send_replace(Arc::new(config));
    shared.wake.notify_one();
}

/// Reads the intake topic: submissions and cancellations.
pub async fn intake(shared: Arc<Shared>) {
    let interval =
        || if *shared.is_leader.borrow() { INTAKE_INTERVAL_MS.0 } else { INTAKE_INTERVAL_MS.1 };
    let apply = |read: Read| apply_intake(&shared, read);
    let on_end = |end| update_position(&shared.intake, end);
    let wait = || INTAKE_WAIT_MS;
    follow_topic(&shared, Topic::Intake, wait, interval, apply, || {}, on_end).await;
}

/// Applies a read of the intake topic to the replica, and sends its records to the leader's main loop if this VM leads.
///
/// A candidate reads the topic to its end beside the task that follows it. Records that the other reader has applied
/// are skipped: a submission must not come back after its deletion was read.
pub fn apply_intake(shared: &Shared, mut read: Read) {
    let mut applied = shared.intake_applied();
    if !read.skip_before(*applied) {
        return;
    }
    *applied = read.next();
    let listing = read.listing();
    let records = decode_records(Topic::Intake, read);
    let mut replica = shared.replica();
    let arrivals = shared.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
    for record in &records {
        if let Some(arrivals) = arrivals.as_ref()
            && arrivals.send(Arrival::Read(record.clone())).is_ok()
        {
            shared.wake.notify_one();
        }
    }
    apply_records(&mut replica, Stream::Intake, listing, records);
}

/// Reads the progress topic: the records of leaders.
pub async fn progress(shared: Arc<Shared>) {
    let apply = |read: Read| {
        let listing = read.listing();
        let records = decode_records(Topic::Progress, read);
        let mut replica = shared.replica();
        let former = replica.leader.as_ref().map_or(0, |leader| leader.epoch);
        apply_records(&mut replica, Stream::Progress, listing, records);
        if let Some(leader) = replica.leader.as_ref().filter(|leader| leader.epoch > former) {
            log::info!("event=leader_seen vm={} epoch={}", leader.vm, leader.epoch);
        }
    };
    let on_end = |end| update_position(&shared.progress, end);
    let wait = || if shared.is_unlinked() { UNLINKED_WAIT_MS } else { PROGRESS_WAIT_MS };
    let interval = || READ_INTERVAL_MS;
    follow_topic(&shared, Topic::Progress, wait, interval, apply, || {}, on_end).await;
}

fn update_position(watch: &watch::Sender<ReadPosition>, end: EndReached) {
    watch.send_modify(|position| {
        if end.changed || !position.loaded {
            position.changed_at = clock::now();
        }
        position.loaded = true;
        position.next = end.next;
        position.started_at = end.began;
        position.finished_at = clock::now();
    });
}
