use std::{sync::Arc, time::Duration};

use {
    coriandertack_core::{
        code::Code,
        keys::Session,
        message::{CallResponse, KeyRecord},
        routing::idempotency::{
            BeginOutcome, KeyStore, MembershipHistory, key_id, primary_and_backup,
            resume_after_backup,
        },
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    tokio::time::Instant,
};

use crate::support::ms;

/// Guards against a primary and a backup that claim to know of every request with a key although neither
/// was in the pair that handled an earlier one.
#[test]
fn covered_pair_overlaps_every_earlier_pair() {
    let mut covered_count = 0;
    for seed in 0..400 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let observed_from = Instant::now();
        let mut history = MembershipHistory::default();
        let mut sessions: Vec<Session> = (1..=random.random_range(1..6)).map(Session).collect();
        history.observe(&sessions, observed_from);
        let created_at = observed_from + ms(1_000);
        let id = key_id(&format!("vukic.quotes/{seed}"));
        let mut earlier = vec![primary_and_backup(id, &sessions)];
        for step in 1..=random.random_range(0..6) {
            if random.random_bool(0.5) && sessions.len() > 1 {
                sessions.remove(random.random_range(0..sessions.len()));
            } else {
                sessions.push(Session(100 + step));
            }
            history.observe(&sessions, created_at + ms(step * 1_000));
            if history.covers(id, created_at) {
                covered_count += 1;
                let (primary, backup) = primary_and_backup(id, &sessions);
                for &(first, second) in &earlier {
                    let overlaps = [primary, backup]
                        .iter()
                        .any(|now| now.is_some() && (*now == first || *now == second));
                    assert!(overlaps, "seed {seed}, step {step}");
                }
            }
            earlier.push(primary_and_backup(id, &sessions));
        }
    }
    assert!(
        covered_count > 100,
        "the rule must not refuse nearly everything: {covered_count} covered"
    );
}

/// Guards against claiming to cover the time before this VM began to observe the membership.
#[test]
fn history_does_not_cover_the_time_before_it() {
    let observed_from = Instant::now();
    let mut history = MembershipHistory::default();
    let id = key_id("vukic.quotes/1");
    assert!(!history.covers(id, observed_from));
    history.observe(&[Session(1)], observed_from);
    assert!(history.covers(id, observed_from));
    assert!(!history.covers(id, observed_from - ms(1)));
}

fn record(digest: u64, response: Option<CallResponse>, until: Instant) -> KeyRecord {
    KeyRecord { key: "vukic.quotes/1".into(), digest, until, response }
}

fn response() -> CallResponse {
    CallResponse { status: 200, body: Arc::from(&b"yes"[..]) }
}

/// Guards against running a request that another VM may have run, and against refusing a new one.
#[test]
fn backup_record_decides_whether_to_run() {
    let until = Instant::now() + ms(1_000);
    let cases = [
        (None, false, true, Ok(None)),
        (None, false, false, Err(Code::OutcomeUnknown)),
        (None, true, false, Ok(None)),
        (Some(record(7, None, until)), false, true, Err(Code::OutcomeUnknown)),
        (Some(record(7, None, until)), true, true, Ok(None)),
        (Some(record(8, None, until)), true, true, Err(Code::KeyReused)),
        (Some(record(7, Some(response()), until)), false, false, Ok(Some(response()))),
        (Some(record(8, Some(response()), until)), false, true, Err(Code::KeyReused)),
    ];
    for (known, own_record, covers, expected) in cases {
        let text = format!("record {known:?}, own record {own_record}, covered {covers}");
        assert_eq!(resume_after_backup(known, 7, own_record, covers), expected, "{text}");
    }
}

/// Guards against a key that is removed before it expires or kept afterwards.
#[test]
fn keys_are_kept_until_they_expire() {
    let now = Instant::now();
    let until = now + Duration::from_secs(600);
    let mut store = KeyStore::default();
    let id = key_id("vukic.quotes/1");
    assert!(matches!(store.begin(id, 7, until, now), BeginOutcome::Run));
    store.finish(id, &Ok(response()), 1);
    let before = until - ms(1);
    assert!(
        matches!(store.begin(id, 7, until, before), BeginOutcome::Respond(known) if known == response())
    );
    assert!(matches!(store.begin(id, 8, until, before), BeginOutcome::Refuse(Code::KeyReused)));
    assert!(matches!(store.begin(1, 7, until + ms(9), until), BeginOutcome::Run));
    assert_eq!(store.len(), 1);
}

/// Guards against running a request again after its outcome became unknown.
#[test]
fn unknown_outcome_stays_unknown() {
    let now = Instant::now();
    let until = now + ms(1_000);
    let mut store = KeyStore::default();
    let id = key_id("vukic.quotes/1");
    assert!(matches!(store.begin(id, 7, until, now), BeginOutcome::Run));
    store.finish(id, &Err(Code::OutcomeUnknown), 1);
    let again = store.begin(id, 7, until, now);
    assert!(matches!(again, BeginOutcome::Refuse(Code::OutcomeUnknown)));
    // The backup gives the same answer after it has become the primary.
    let mut backup = KeyStore::default();
    assert_eq!(backup.record(id, &record(7, None, until), now), Ok(None));
    let taken_over = backup.begin(id, 7, until, now);
    assert!(matches!(taken_over, BeginOutcome::Refuse(Code::OutcomeUnknown)));
    let known = backup.record(id, &record(7, Some(response()), until), now);
    assert_eq!(known, Ok(Some(record(7, None, until))));
    assert!(matches!(backup.begin(id, 7, until, now), BeginOutcome::Respond(_)));
}
