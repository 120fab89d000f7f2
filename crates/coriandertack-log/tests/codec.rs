//! Encoding of batches and snapshots.

use {
    coriandertack_core::{
        code::Code,
        keys::{Incarnation, JobId, LeaseId, MAX_BATCH_ENTRIES, Offset, Session, TaskId, Version},
        record::{
            Batch, Cordon, Entry, JobSpec, Kind, Outcome, Presence, Record, Refusal, SettingChange,
            SnapshotPart, TaskEnd, TeamChange, TeamSpec, Usage, UsageSpan, VmInfo, WorkerInfo,
        },
        resources::Resources,
        state::State,
    },
    coriandertack_log::codec,
    proptest::{collection::vec, option, prelude::*, sample::select, test_runner::RngSeed},
    tokio::time::Instant,
};

/// Generates names from a small set, so that records refer to the same teams, workers and settings.
fn name() -> impl Strategy<Value = String> {
    select(vec!["", "vans", "herders", "split-1", "Thiès"]).prop_map(str::to_owned)
}

fn resources() -> impl Strategy<Value = Resources> {
    any::<(u32, u32, u32)>().prop_map(|(cores, memory, acc)| Resources::new(cores, memory, acc))
}

fn task() -> impl Strategy<Value = TaskId> {
    (0..9 * MAX_BATCH_ENTRIES as u64, 0..4_u32)
        .prop_map(|(job, index)| TaskId { job: JobId(job), index })
}

fn job_spec() -> impl Strategy<Value = JobSpec> {
    let kind = select(vec![Kind::Service, Kind::Batch, Kind::Gang]);
    let numbers = (1..4_u32, any::<u64>(), any::<bool>(), any::<u32>());
    (name(), name(), kind, numbers, resources(), name(), option::of(name())).prop_map(
        |(team, name, kind, (tasks, run_ms, urgent, retries), need, command, key)| JobSpec {
            team,
            name,
            kind,
            tasks,
            need,
            run_ms,
            urgent,
            retries,
            command,
            key,
        },
    )
}

fn worker() -> impl Strategy<Value = WorkerInfo> {
    let presence = select(vec![Presence::Live, Presence::Leaving]);
    (name(), any::<([u8; 4], u16)>(), name(), name(), presence, resources()).prop_map(
        |(name, address, zone, rack, presence, capacity)| WorkerInfo {
            name,
            address: address.into(),
            zone,
            rack,
            presence,
            capacity,
        },
    )
}

fn team_spec() -> impl Strategy<Value = TeamSpec> {
    (resources(), vec(name(), 0..3)).prop_map(|(quota, tokens)| TeamSpec { quota, tokens })
}

fn span() -> impl Strategy<Value = UsageSpan> {
    let usage = (0..1_u64 << 40, 0..1_u64 << 40, 0..1_u64 << 40)
        .prop_map(|(core_ms, mib_s, acc_ms)| Usage { core_ms, mib_s, acc_ms });
    (task(), any::<(u64, u64)>(), 0..2_u32, 1..3_u32, usage).prop_map(
        |(task, (attempt, end_ms), from, to, usage)| UsageSpan {
            lease: LeaseId { task, attempt },
            from,
            to,
            usage,
            end_ms,
        },
    )
}

fn end() -> impl Strategy<Value = TaskEnd> {
    let outcome = select(vec![Outcome::Succeeded, Outcome::Failed, Outcome::Cancelled]);
    (task(), outcome, name()).prop_map(|(task, outcome, worker)| TaskEnd { task, outcome, worker })
}

fn join() -> impl Strategy<Value = VmInfo> {
    (name(), name(), any::<([u16; 8], u16)>(), any::<([u8; 4], u16)>()).prop_map(
        |(name, zone, link, http)| VmInfo { name, zone, link: link.into(), http: http.into() },
    )
}

fn record() -> impl Strategy<Value = Record> {
    let version = (0..3_u64).prop_map(Version);
    let part = (any::<u64>(), any::<(u32, u32)>(), vec(any::<u8>(), 0..9)).prop_map(
        |(base, (part, parts), body)| SnapshotPart {
            base: Offset(base),
            part: part / 2,
            parts,
            body,
        },
    );
    prop_oneof![
        join().prop_map(Record::Join),
        Just(Record::Leave),
        any::<u64>().prop_map(|session| Record::Fence(Session(session))),
        vec(worker(), 0..3).prop_map(Record::Workers),
        vec(name(), 0..3).prop_map(Record::WorkersGone),
        (name(), any::<bool>())
            .prop_map(|(worker, cordoned)| Record::Cordon(Cordon { worker, cordoned })),
        (name(), version.clone(), option::of(team_spec()))
            .prop_map(|(name, expect, spec)| Record::Team(TeamChange { name, expect, spec })),
        (name(), version, option::of(name())).prop_map(|(name, expect, value)| {
            Record::Setting(SettingChange { name, expect, value })
        }),
        job_spec().prop_map(Record::Accept),
        task().prop_map(|task| Record::Cancel(task.job)),
        vec(end(), 0..3).prop_map(Record::Ended),
        vec(span(), 0..3).prop_map(Record::Usage),
        (name(), select(Code::ALL.to_vec()))
            .prop_map(|(action, code)| Record::Refused(Refusal { action, code })),
        part.prop_map(Record::Snapshot),
    ]
}

fn batch() -> impl Strategy<Value = Batch> {
    let entry = (name(), any::<u64>(), record()).prop_map(|(actor, at_ms, record)| Entry {
        actor,
        at_ms,
        record,
    });
    (any::<u64>(), any::<u64>(), vec(entry, 0..40)).prop_map(|(author, seq, entries)| Batch {
        author: Incarnation(author),
        seq,
        entries,
    })
}

/// Returns the state after one member has appended `records`.
fn state_after(records: Vec<Record>) -> State {
    let mut state = State::default();
    let join = Record::Join(VmInfo {
        name: "split-1".into(),
        zone: "split".into(),
        link: ([127, 0, 0, 1], 1).into(),
        http: ([127, 0, 0, 1], 2).into(),
    });
    // A second `Join` or a `Leave` would end the only session.
    let keeps_session = |record: &Record| !matches!(record, Record::Join(_) | Record::Leave);
    for (index, record) in
        [join].into_iter().chain(records.into_iter().filter(keeps_session)).enumerate()
    {
        let entry = Entry { actor: "operator".into(), at_ms: 1, record };
        let seq = index as u64 + 1;
        let batch = Batch { author: Incarnation(1), seq, entries: vec![entry] };
        state.apply(Offset(seq), &batch, Instant::now());
    }
    state
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against a field that is lost in one direction of the conversion.
    #[test]
    fn batches_round_trip(batch in batch()) {
        prop_assert_eq!(codec::decode(&codec::encode(&batch)).unwrap(), batch);
    }

    /// Guards against a part of the state that is missing in snapshots.
    #[test]
    fn images_round_trip(records in vec(record(), 0..60)) {
        let image = state_after(records).image();
        let decoded = codec::decode_image(&codec::encode_image(&image)).unwrap();
        prop_assert_eq!(&decoded, &image);
        prop_assert_eq!(State::from_image(decoded, Instant::now()).image(), image);
    }

    /// Guards against undetected corruption, and against a panic on invalid bytes.
    #[test]
    fn corrupt_bodies_are_rejected(batch in batch(), at in any::<prop::sample::Index>(), mask in 1..=255_u8) {
        let mut body = codec::encode(&batch).to_vec();
        let at = at.index(body.len());
        body[at] ^= mask;
        prop_assert!(codec::decode(&body).is_err());
        body[at] ^= mask;
        prop_assert!(codec::decode(&body[..at]).is_err());
    }

    /// Guards against a batch that exceeds its size limit because `entry_size` is too small.
    #[test]
    fn entry_sizes_cover_the_encoded_batch(batch in batch()) {
        let entry_bytes: usize = batch.entries.iter().map(codec::entry_size).sum();
        // Author, sequence number, format version, checksum and lengths take at most 64 bytes.
        prop_assert!(codec::encode(&batch).len() <= entry_bytes + 64);
    }
}

fn leave() -> Batch {
    let entry = Entry { actor: "system".into(), at_ms: 1, record: Record::Leave };
    Batch { author: Incarnation(1), seq: 1, entries: vec![entry] }
}

/// Guards against an older program that misinterprets the format of a newer one.
#[test]
fn other_format_versions_are_rejected() {
    let mut body = codec::encode(&leave()).to_vec();
    assert_eq!(body[..2], [0x08, 0x01], "the format version is the first field");
    body[1] = 2;
    let error = codec::decode(&body).unwrap_err();
    assert_eq!(error.to_string(), "unknown format 2");
}

/// Guards against a batch with more entries than job ids can number.
#[test]
fn too_many_entries_are_rejected() {
    let mut batch = leave();
    batch.entries = vec![batch.entries[0].clone(); MAX_BATCH_ENTRIES];
    assert!(codec::decode(&codec::encode(&batch)).is_ok());
    batch.entries.push(batch.entries[0].clone());
    assert!(codec::decode(&codec::encode(&batch)).is_err());
}

/// Guards against a record kind of a newer program that is skipped silently.
#[test]
fn unknown_records_are_rejected() {
    // A batch with one entry whose only field has the unknown number 99.
    let content = [0x1a, 3, 0x98, 0x06, 1];
    let checksum = xxhash_rust::xxh3::xxh3_64(&content).to_le_bytes();
    let body = [&[0x08, 1, 0x11][..], &checksum, &[0x1a, 5], &content].concat();
    let error = codec::decode(&body).unwrap_err();
    assert_eq!(error.to_string(), "unknown field or record");
}
