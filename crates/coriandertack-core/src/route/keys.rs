//! Idempotency keys: who keeps one, what is known of it, and when that is not enough.
//!
//! The first two live sessions by rendezvous hash are the keeper and the backup of a key. The keeper
//! notes the key at the backup before it sends the request, so one of them may be lost. After a change
//! of membership the new pair still contains a session that was in the old one, unless too many
//! sessions changed that rank above it; then the pair cannot know, and says so ([`History::knows`]).
//!
//! ```
//! use {
//!     coriandertack_core::route::keys::{Begin, KeyStore, id_of},
//!     std::time::Duration,
//!     tokio::time::Instant,
//! };
//!
//! let now = Instant::now();
//! let mut store = KeyStore::default();
//! let id = id_of("vukic.quotes/0190");
//! let until = now + Duration::from_secs(600);
//! assert!(matches!(store.begin(id, 7, until, now), Begin::Run));
//! assert!(matches!(store.begin(id, 7, until, now), Begin::Wait(_)));
//! ```

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use {
    tokio::{sync::oneshot, time::Instant},
    xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128},
};

use crate::{
    code::Code,
    keys::Session,
    message::{Answer, KeyNote},
};

/// How long a key is remembered after it was minted.
pub const KEY_LIFE: Duration = Duration::from_secs(600);

/// Usual margin of [`History::knows`]: most that the clock of a caller may differ from ours, together
/// with the time for which another VM may act on an older membership (3.3 s).
pub const KEY_MARGIN: Duration = Duration::from_secs(5);

/// Most keys remembered. 200,000 keys with answers of 80 bytes took 60 MB in a measurement, so this
/// bounds the store to 30 MB and longer answers. With 8 VMs it suffices for 660 new keys per second.
const MOST_KEYS: usize = 100_000;

/// Most bytes of answers remembered.
const MOST_ANSWER_BYTES: usize = 16 << 20;

/// Identity of a key within its service. A collision of two 128-bit hashes is not to be expected, and
/// the digest of the request would still tell the requests apart.
pub type KeyId = u128;

/// Returns the identity of a key, given the text that names it in a [`KeyNote`], `team.name/key`.
#[must_use]
pub fn id_of(name: &str) -> KeyId {
    xxh3_128(name.as_bytes())
}

/// Returns the weight of a session for a key; the highest weight is the keeper.
fn weight(id: KeyId, session: Session) -> u64 {
    xxh3_64_with_seed(&id.to_le_bytes(), session.0)
}

/// Returns the keeper and the backup of a key among the live sessions.
#[must_use]
pub fn pair(id: KeyId, sessions: &[Session]) -> (Option<Session>, Option<Session>) {
    let (mut first, mut second) = (None, None);
    for &session in sessions {
        let ranked = Some((weight(id, session), session));
        if ranked > first {
            (first, second) = (ranked, first);
        } else if ranked > second {
            second = ranked;
        }
    }
    (first.map(|(_, session)| session), second.map(|(_, session)| session))
}

/// Changes of membership over the life of a key.
#[derive(Clone, Debug, Default)]
pub struct History {
    live: Vec<(Session, Instant)>,
    ended: Vec<(Session, Instant)>,
    began: Option<Instant>,
    generation: u64,
}

impl History {
    /// Notes the live sessions.
    pub fn observe(&mut self, sessions: &[Session], now: Instant) {
        let began = *self.began.get_or_insert(now);
        let same = self.live.len() == sessions.len()
            && self.live.iter().all(|(known, _)| sessions.contains(known));
        if same {
            return;
        }
        self.generation += 1;
        for &session in sessions {
            if !self.live.iter().any(|&(known, _)| known == session) {
                let joined = if self.live.is_empty() { began } else { now };
                self.live.push((session, joined));
            }
        }
        let (live, gone) = self.live.iter().partition(|(known, _)| sessions.contains(known));
        self.live = live;
        let gone: Vec<(Session, Instant)> = gone;
        self.ended.extend(gone.into_iter().map(|(session, _)| (session, now)));
        self.ended.retain(|&(_, at)| at + KEY_LIFE + KEY_MARGIN > now);
    }

    /// Returns a number that changes with the membership.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Tells whether the current pair knows every request made under a key since `since`, the time at
    /// which it was minted less a margin.
    ///
    /// Let S be the highest-ranked session that has been live throughout. It is in the current pair
    /// and was in every pair since then if at most one session that came or went ranks above it.
    #[must_use]
    pub fn knows(&self, id: KeyId, since: Instant) -> bool {
        if self.began.is_none_or(|began| since < began) {
            return false;
        }
        let stable = self.live.iter().filter(|&&(_, joined)| joined <= since);
        let Some(stable) = stable.map(|&(session, _)| weight(id, session)).max() else {
            return false;
        };
        let came = self.live.iter().filter(|&&(_, joined)| joined > since);
        let went = self.ended.iter().filter(|&&(_, at)| at > since);
        came.chain(went).filter(|&&(session, _)| weight(id, session) > stable).count() <= 1
    }
}

/// What is known of a key.
#[derive(Debug)]
enum State {
    /// It was noted under this generation of the membership, and the request was certainly not run.
    Idle(u64),
    /// Its request runs here.
    Running,
    /// Its request runs or ran at another keeper, which noted it here.
    Noted,
    /// The answer is known.
    Answered(Answer),
    /// The request may have run, and no answer is known.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    digest: u64,
    until: Instant,
    state: State,
    waiting: Vec<oneshot::Sender<Result<Answer, Code>>>,
}

/// How a request under a key begins at its keeper.
#[derive(Debug)]
pub enum Begin {
    /// It is the first one: note it at the backup, then run it.
    Run,
    /// It was not run before, and the backup of this generation of the membership may have a note.
    RunAgain(u64),
    /// It was answered before.
    Answer(Answer),
    /// It runs; wait for its answer.
    Wait(oneshot::Receiver<Result<Answer, Code>>),
    /// Refuse it.
    Refuse(Code),
}

/// Keys known to this VM as keeper or backup.
#[derive(Debug, Default)]
pub struct KeyStore {
    entries: HashMap<KeyId, Entry>,
    ends: BTreeSet<(Instant, KeyId)>,
    answer_bytes: usize,
}

impl KeyStore {
    /// Returns how many keys are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no key is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Forgets a key that turned out to belong to another request, which its backup knows.
    pub fn forget(&mut self, id: KeyId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.ends.remove(&(entry.until, id));
        }
    }

    /// Begins a request at its keeper. A key is forgotten at `until` and never before.
    pub fn begin(&mut self, id: KeyId, digest: u64, until: Instant, now: Instant) -> Begin {
        self.expire(now);
        let Some(entry) = self.entries.get_mut(&id) else {
            return match self.insert(id, digest, until, State::Running) {
                true => Begin::Run,
                false => Begin::Refuse(Code::Overloaded),
            };
        };
        if entry.digest != digest {
            return Begin::Refuse(Code::KeyReused);
        }
        match &entry.state {
            State::Idle(generation) => {
                let generation = *generation;
                entry.state = State::Running;
                Begin::RunAgain(generation)
            }
            State::Running => {
                let (reply, answer) = oneshot::channel();
                entry.waiting.push(reply);
                Begin::Wait(answer)
            }
            State::Answered(answer) => Begin::Answer(answer.clone()),
            State::Noted | State::Unknown => Begin::Refuse(Code::OutcomeUnknown),
        }
    }

    fn insert(&mut self, id: KeyId, digest: u64, until: Instant, state: State) -> bool {
        // Refusing new keys keeps the promise for the known ones; forgetting one early would not.
        if self.entries.len() >= MOST_KEYS {
            return false;
        }
        self.ends.insert((until, id));
        self.entries.insert(id, Entry { digest, until, state, waiting: Vec::new() });
        true
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&(until, id)) = self.ends.first() {
            if until > now {
                break;
            }
            self.ends.pop_first();
            if let Some(Entry { state: State::Answered(answer), .. }) = self.entries.remove(&id) {
                self.answer_bytes -= answer.body.len();
            }
        }
    }

    /// Ends a request at its keeper and answers the repeats that wait for it.
    ///
    /// A refusal that promises that the request was not run leaves the key usable. `generation` is that of
    /// the membership under which the key was noted.
    pub fn finish(&mut self, id: KeyId, result: &Result<Answer, Code>, generation: u64) {
        let room = MOST_ANSWER_BYTES - self.answer_bytes;
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.state = match result {
            Ok(answer) if answer.body.len() <= room => {
                self.answer_bytes += answer.body.len();
                State::Answered(answer.clone())
            }
            Err(code) if code.is_not_run() => State::Idle(generation),
            // An answer that cannot be kept is not given again, but the request is not run again.
            Ok(_) | Err(_) => State::Unknown,
        };
        for reply in entry.waiting.drain(..) {
            // A repeat whose caller has gone needs no answer.
            let _ = reply.send(result.clone());
        }
    }

    /// Notes at the backup what the keeper sent. Returns what was known before.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Overloaded`] if no more keys can be remembered.
    pub fn note(
        &mut self,
        id: KeyId,
        note: &KeyNote,
        now: Instant,
    ) -> Result<Option<KeyNote>, Code> {
        self.expire(now);
        let Some(entry) = self.entries.get(&id) else {
            if !self.insert(id, note.digest, note.until, State::Noted) {
                return Err(Code::Overloaded);
            }
            self.take_answer(id, note);
            return Ok(None);
        };
        let answer = match &entry.state {
            State::Answered(answer) => Some(answer.clone()),
            _ => None,
        };
        let key = note.key.clone();
        let known = KeyNote { key, digest: entry.digest, until: entry.until, answer };
        if known.digest == note.digest && matches!(entry.state, State::Noted) {
            self.take_answer(id, note);
        }
        Ok(Some(known))
    }

    fn take_answer(&mut self, id: KeyId, note: &KeyNote) {
        if let Some(answer) = &note.answer {
            self.finish(id, &Ok(answer.clone()), 0);
        }
    }
}

/// Decides how a request goes on after the backup said what it knew of the key before.
///
/// `mine` tells whether the backup's note is known to be this keeper's own earlier one, and `knows` is
/// the result of [`History::knows`].
///
/// # Errors
///
/// Fails with [`Code::KeyReused`] if the key belongs to another request, and with
/// [`Code::OutcomeUnknown`] if the request may have run. `Ok` holds the answer if there is one.
pub fn after_note(
    known: Option<KeyNote>,
    digest: u64,
    mine: bool,
    knows: bool,
) -> Result<Option<Answer>, Code> {
    match known {
        Some(note) if note.digest != digest => Err(Code::KeyReused),
        Some(KeyNote { answer: Some(answer), .. }) => Ok(Some(answer)),
        Some(_) if mine => Ok(None),
        None if knows || mine => Ok(None),
        Some(_) | None => Err(Code::OutcomeUnknown),
    }
}
