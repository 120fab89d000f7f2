use std::{sync::Arc, time::Duration};

use {
    coriandertack_core::{
        code::Code,
        keys::Session,
        message::{Answer, KeyNote},
        route::keys::{Begin, History, KeyStore, after_note, id_of, pair},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    tokio::time::Instant,
};

use crate::support::ms;

/// Guards against a pair that believes to know a key while neither of the two was in the pair that
/// handled it.
#[test]
fn a_pair_that_knows_overlaps_every_earlier_pair() {
    let mut known = 0;
    for seed in 0..400 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let mut history = History::default();
        let mut sessions: Vec<Session> = (1..=random.random_range(1..6)).map(Session).collect();
        history.observe(&sessions, start);
        let minted = start + ms(1_000);
        let id = id_of(&format!("vukic.quotes/{seed}"));
        let mut earlier = vec![pair(id, &sessions)];
        for step in 1..=random.random_range(0..6) {
            if random.random_bool(0.5) && sessions.len() > 1 {
                sessions.remove(random.random_range(0..sessions.len()));
            } else {
                sessions.push(Session(100 + step));
            }
            history.observe(&sessions, minted + ms(step * 1_000));
            if history.knows(id, minted) {
                known += 1;
                let (keeper, backup) = pair(id, &sessions);
                for &(first, second) in &earlier {
                    let overlaps = [keeper, backup]
                        .iter()
                        .any(|now| now.is_some() && (*now == first || *now == second));
                    assert!(overlaps, "seed {seed}, step {step}");
                }
            }
            earlier.push(pair(id, &sessions));
        }
    }
    assert!(known > 100, "the rule must not refuse everything: {known}");
}

/// Guards against knowledge claimed for the time before this VM began to follow the membership.
#[test]
fn nothing_is_known_from_before_the_start() {
    let start = Instant::now();
    let mut history = History::default();
    let id = id_of("vukic.quotes/1");
    assert!(!history.knows(id, start));
    history.observe(&[Session(1)], start);
    assert!(history.knows(id, start));
    assert!(!history.knows(id, start - ms(1)));
}

fn note(digest: u64, answer: Option<Answer>, until: Instant) -> KeyNote {
    KeyNote { key: "vukic.quotes/1".into(), digest, until, answer }
}

fn answer() -> Answer {
    Answer { status: 200, body: Arc::from(&b"yes"[..]) }
}

/// Guards against running a request whose key another VM handled, or refusing one that is new.
#[test]
fn the_backups_note_decides() {
    let until = Instant::now() + ms(1_000);
    let cases = [
        (None, false, true, Ok(None)),
        (None, false, false, Err(Code::OutcomeUnknown)),
        (None, true, false, Ok(None)),
        (Some(note(7, None, until)), false, true, Err(Code::OutcomeUnknown)),
        (Some(note(7, None, until)), true, true, Ok(None)),
        (Some(note(8, None, until)), true, true, Err(Code::KeyReused)),
        (Some(note(7, Some(answer()), until)), false, false, Ok(Some(answer()))),
        (Some(note(8, Some(answer()), until)), false, true, Err(Code::KeyReused)),
    ];
    for (known, mine, knows, expected) in cases {
        let text = format!("{known:?}, mine {mine}, knows {knows}");
        assert_eq!(after_note(known, 7, mine, knows), expected, "{text}");
    }
}

/// Guards against a key that is forgotten before, or kept after, its time.
#[test]
fn keys_live_until_their_end() {
    let now = Instant::now();
    let until = now + Duration::from_secs(600);
    let mut store = KeyStore::default();
    let id = id_of("vukic.quotes/1");
    assert!(matches!(store.begin(id, 7, until, now), Begin::Run));
    store.finish(id, &Ok(answer()), 1);
    let before = until - ms(1);
    assert!(matches!(store.begin(id, 7, until, before), Begin::Answer(known) if known == answer()));
    assert!(matches!(store.begin(id, 8, until, before), Begin::Refuse(Code::KeyReused)));
    assert!(matches!(store.begin(1, 7, until + ms(9), until), Begin::Run));
    assert_eq!(store.len(), 1);
}

/// Guards against running a request again after its outcome became unknown.
#[test]
fn unknown_outcome_stays_unknown() {
    let now = Instant::now();
    let until = now + ms(1_000);
    let mut store = KeyStore::default();
    let id = id_of("vukic.quotes/1");
    assert!(matches!(store.begin(id, 7, until, now), Begin::Run));
    store.finish(id, &Err(Code::OutcomeUnknown), 1);
    let again = store.begin(id, 7, until, now);
    assert!(matches!(again, Begin::Refuse(Code::OutcomeUnknown)));
    // The backup says the same after it became the keeper.
    let mut backup = KeyStore::default();
    assert_eq!(backup.note(id, &note(7, None, until), now), Ok(None));
    let taken_over = backup.begin(id, 7, until, now);
    assert!(matches!(taken_over, Begin::Refuse(Code::OutcomeUnknown)));
    let known = backup.note(id, &note(7, Some(answer()), until), now);
    assert_eq!(known, Ok(Some(note(7, None, until))));
    assert!(matches!(backup.begin(id, 7, until, now), Begin::Answer(_)));
}
