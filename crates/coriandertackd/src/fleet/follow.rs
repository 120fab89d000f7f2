//! Tasks that follow the store's streams.

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use {
    coriandertack_jobs::{boot_time::BootTime, replica::ReplicaRecord},
    coriandertack_log::jobs,
    coriandertack_platform::{
        operator,
        store::{Page, ReadError, Record, Store, Topic},
    },
    tokio::{sync::watch, time::sleep},
};

use super::{
    arrivals::Arrival,
    clock,
    shared::{Counters, Reached, Shared},
};

/// Pause between two reads of the progress, in milliseconds. Calls are priced, callers' answers may be seconds old, and
/// the leader tells of jobs that have ended.
const PACE_MS: u64 = 250;

/// Pause between two reads of the intake, in milliseconds, for the leader and for others. Only what no leader took
/// comes there.
const INTAKE_PACE_MS: (u64, u64) = (50, 600);

/// Longest wait of a read of the intake for a new record, in milliseconds. It bounds the age of what callers are told.
const INTAKE_WAIT_MS: u64 = 900;

/// Longest wait of a read of the progress for a new record, in milliseconds. It bounds how late a silence is noticed.
const WAIT_MS: u64 = 300;

/// The same without a link to the leader, when a silence is likely to be its end.
const UNLINKED_WAIT_MS: u64 = 100;

/// Longest wait of a read of the operators' stream, in milliseconds. A connection that has gone silent is noticed
/// after it, within the 2 s in which a configuration must be in force.
const OPERATOR_WAIT_MS: u64 = 900;

/// First and longest pause after a failed call, in milliseconds.
const RETRY_MS: (u64, u64) = (50, 400);

/// Reads a stream for ever: the newest record of each key, then what follows.
///
/// `fresh` is called before the newest records of a full reading, `apply` for each record, and `reached` after each
/// successful read with what it brought.
pub async fn stream(
    shared: &Shared,
    topic: Topic,
    wait_ms: impl Fn() -> u64,
    pace_ms: impl Fn() -> u64,
    mut apply: impl FnMut(Vec<Record>, bool),
    mut reached: impl FnMut(u64, BootTime, bool),
) {
    let mut store = Store::new(shared.settings.platform.store);
    let mut pause = RETRY_MS.0;
    let mut lost = false;
    loop {
        let began = clock::now();
        Counters::count(&shared.counters.reads);
        let newest = match store.newest(topic).await {
            Ok(newest) => newest,
            Err(error) => {
                failed(shared, topic, &error, &mut lost);
                back_off(&mut pause).await;
                continue;
            }
        };
        let mut next = newest.end;
        apply(newest.records, true);
        reached(next, began, true);
        loop {
            let began = clock::now();
            Counters::count(&shared.counters.reads);
            match store.read(topic, next, Duration::from_millis(wait_ms())).await {
                Ok(page) => {
                    regained(topic, &mut lost);
                    pause = RETRY_MS.0;
                    let moved = !page.records.is_empty();
                    next = page.next;
                    let all = page.next >= page.end;
                    apply(readable(topic, page), false);
                    if all {
                        reached(next, began, moved);
                    }
                    if moved {
                        let pause = sleep(Duration::from_millis(pace_ms()));
                        tokio::select! {
                            () = pause => {}
                            () = shared.hurry.notified(), if topic == Topic::Progress => {}
                        }
                    }
                }
                Err(ReadError::Deleted { first }) => {
                    log::info!("event=records_deleted topic={topic:?} next={next} first={first}");
                    break;
                }
                Err(error) => {
                    failed(shared, topic, &error, &mut lost);
                    back_off(&mut pause).await;
                }
            }
        }
    }
}

fn readable(topic: Topic, page: Page) -> Vec<Record> {
    let all = page.records.len();
    let records: Vec<Record> = page.records.into_iter().flatten().collect();
    if records.len() < all {
        log::warn!("event=records_unreadable topic={topic:?} count={}", all - records.len());
    }
    records
}

fn failed(shared: &Shared, topic: Topic, error: &ReadError, lost: &mut bool) {
    Counters::count(&shared.counters.store_errors);
    if !std::mem::replace(lost, true) {
        log::warn!("event=dependency_lost dependency=store topic={topic:?} error=\"{error}\"");
    }
}

fn regained(topic: Topic, lost: &mut bool) {
    if std::mem::replace(lost, false) {
        log::info!("event=dependency_regained dependency=store topic={topic:?}");
    }
}

async fn back_off(pause: &mut u64) {
    sleep(Duration::from_millis(*pause)).await;
    *pause = (*pause * 2).min(RETRY_MS.1);
}

/// Follows the configuration.
pub async fn operator(shared: Arc<Shared>) {
    let apply = |records: Vec<Record>, _| {
        for record in records {
            if record.key == operator::CONFIG_KEY && !record.value.is_empty() {
                configure(&shared, &record.value);
            } else if operator::is_wave(&record.key) && !record.value.is_empty() {
                note_wave(&shared, &record);
            }
        }
    };
    stream(&shared, Topic::Operator, || OPERATOR_WAIT_MS, || 0, apply, |_, _, _| {}).await;
}

/// Notes a wave of maintenance. One that is known stays as it is.
fn note_wave(shared: &Shared, record: &Record) {
    match operator::wave(&record.value, clock::now()) {
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

/// Puts a configuration in force, unless a newer one is.
fn configure(shared: &Shared, value: &[u8]) {
    let config = match operator::config(value) {
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
        "event=config revision={} former={current} routes={} services={}",
        config.revision,
        config.routes.len(),
        config.services.len()
    );
    shared.config.send_replace(Arc::new(config));
    shared.wake.notify_one();
}

/// Follows submissions and cancellations.
pub async fn intake(shared: Arc<Shared>) {
    let pace = || if *shared.leading.borrow() { INTAKE_PACE_MS.0 } else { INTAKE_PACE_MS.1 };
    let apply = |records: Vec<Record>, _| apply_intake(&shared, records);
    let reached = |next, began, moved| note_reached(&shared.intake, next, began, moved);
    stream(&shared, Topic::Intake, || INTAKE_WAIT_MS, pace, apply, reached).await;
}

/// Applies records of the intake to the replica, and hands them to the leader's loop if this VM leads.
pub fn apply_intake(shared: &Shared, records: Vec<Record>) {
    let now = clock::now();
    let mut replica = shared.replica();
    let listener = shared.listener.lock().unwrap_or_else(PoisonError::into_inner);
    for record in records {
        let note = jobs::note(&record.key, &record.value);
        if let Some(listener) = listener.as_ref()
            && listener.send(Arrival::Read(note.clone())).is_ok()
        {
            shared.wake.notify_one();
        }
        replica.apply(note, now);
    }
}

/// Follows what the leader recorded.
pub async fn progress(shared: Arc<Shared>) {
    let apply = |records: Vec<Record>, _| {
        let now = clock::now();
        let mut replica = shared.replica();
        for record in records {
            match jobs::note(&record.key, &record.value) {
                ReplicaRecord::LeaderChanged(leader) => {
                    if replica.leader.as_ref().is_none_or(|known| known.epoch < leader.epoch) {
                        log::info!("event=leader_seen vm={} epoch={}", leader.vm, leader.epoch);
                    }
                    replica.apply(ReplicaRecord::LeaderChanged(leader), now);
                }
                note => replica.apply(note, now),
            }
        }
    };
    let reached = |next, began, moved| note_reached(&shared.progress, next, began, moved);
    let wait = || if shared.lost_leader() { UNLINKED_WAIT_MS } else { WAIT_MS };
    stream(&shared, Topic::Progress, wait, || PACE_MS, apply, reached).await;
}

fn note_reached(watch: &watch::Sender<Reached>, next: u64, began: BootTime, moved: bool) {
    watch.send_modify(|reached| {
        if moved || !reached.loaded {
            reached.moved = clock::now();
        }
        reached.loaded = true;
        reached.next = next;
        reached.began = began;
        reached.quiet = clock::now();
    });
}
