//! Idempotency keys: who keeps one, what is known of it, and when that is not enough.
//!
//! The first two live sessions by rendezvous hash are the primary and the backup of a key. The primary
//! notes the key at the backup before it sends the request, so one of them may be lost. After a change
//! of membership the new pair still contains a session that was in the old one, unless too many
//! sessions changed that rank above it; then the pair cannot know, and says so ([`MembershipHistory::covers`]).
//!
//! ```
//! use {
//!     coriandertack_core::routing::idempotency::{BeginOutcome, KeyStore, key_id},
//!     std::time::Duration,
//!     tokio::time::Instant,
//! };
//!
//! let now = Instant::now();
//! let mut store = KeyStore::default();
//! let id = key_id("vukic.quotes/0190");
//! let until = now + Duration::from_secs(600);
//! assert!(matches!(store.begin(id, 7, until, now), BeginOutcome::Run));
//! assert!(matches!(store.begin(id, 7, until, now), BeginOutcome::Wait(_)));
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
    message::{CallResponse, KeyRecord},
};

/// How long a key is remembered after it was minted.
pub const KEY_LIFETIME: Duration = Duration::from_secs(600);

/// Usual margin of [`MembershipHistory::covers`]: most that the clock of a caller may differ from ours, together
/// with the time for which another VM may act on an older membership (3.3 s).
pub const KEY_CLOCK_MARGIN: Duration = Duration::from_secs(5);

/// Most keys remembered. 200,000 keys with answers of 80 bytes took 60 MB in a measurement, so this
/// bounds the store to 30 MB and longer answers. With 8 VMs it suffices for 660 new keys per second.
const MAX_KEYS: usize = 100_000;

/// Most bytes of answers remembered.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Identity of a key within its service. A collision of two 128-bit hashes is not to be expected, and
/// the digest of the request would still tell the requests apart.
pub type KeyId = u128;

/// Returns the identity of a key, given the text that names it in a [`KeyRecord`], `team.name/key`.
#[must_use]
pub fn key_id(name: &str) -> KeyId {
    xxh3_128(name.as_bytes())
}

/// Returns the weight of a session for a key; the highest weight is the primary.
fn weight(id: KeyId, session: Session) -> u64 {
    xxh3_64_with_seed(&id.to_le_bytes(), session.0)
}

/// Returns the primary and the backup of a key among the live sessions.
#[must_use]
pub fn primary_and_backup(id: KeyId, sessions: &[Session]) -> (Option<Session>, Option<Session>) {
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
pub struct MembershipHistory {
    live: Vec<(Session, Instant)>,
    ended: Vec<(Session, Instant)>,
    began: Option<Instant>,
    generation: u64,
}

impl MembershipHistory {
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
        self.ended.retain(|&(_, at)| at + KEY_LIFETIME + KEY_CLOCK_MARGIN > now);
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
    pub fn covers(&self, id: KeyId, since: Instant) -> bool {
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
    /// Its request runs or ran at another primary, which noted it here.
    Noted,
    /// The answer is known.
    Answered(CallResponse),
    /// The request may have run, and no answer is known.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    digest: u64,
    until: Instant,
    state: State,
    waiting: Vec<oneshot::Sender<Result<CallResponse, Code>>>,
}

/// How a request under a key begins at its primary.
#[derive(Debug)]
pub enum BeginOutcome {
    /// It is the first one: note it at the backup, then run it.
    Run,
    /// It was not run before, and the backup of this generation of the membership may have a note.
    Rerun(u64),
    /// It was answered before.
    Respond(CallResponse),
    /// It runs; wait for its answer.
    Wait(oneshot::Receiver<Result<CallResponse, Code>>),
    /// Refuse it.
    Refuse(Code),
}

/// Keys known to this VM as primary or backup.
#[derive(Debug, Default)]
pub struct KeyStore {
    entries: HashMap<KeyId, Entry>,
    ends: BTreeSet<(Instant, KeyId)>,
    response_bytes: usize,
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

    /// Begins a request at its primary. A key is forgotten at `until` and never before.
    pub fn begin(&mut self, id: KeyId, digest: u64, until: Instant, now: Instant) -> BeginOutcome {
        self.expire(now);
        let Some(entry) = self.entries.get_mut(&id) else {
            return match self.insert(id, digest, until, State::Running) {
                true => BeginOutcome::Run,
                false => BeginOutcome::Refuse(Code::Overloaded),
            };
        };
        if entry.digest != digest {
            return BeginOutcome::Refuse(Code::KeyReused);
        }
        match &entry.state {
            State::Idle(generation) => {
                let generation = *generation;
                entry.state = State::Running;
                BeginOutcome::Rerun(generation)
            }
            State::Running => {
                let (reply, response) = oneshot::channel();
                entry.waiting.push(reply);
                BeginOutcome::Wait(response)
            }
            State::Answered(response) => BeginOutcome::Respond(response.clone()),
            State::Noted | State::Unknown => BeginOutcome::Refuse(Code::OutcomeUnknown),
        }
    }

    fn insert(&mut self, id: KeyId, digest: u64, until: Instant, state: State) -> bool {
        // Refusing new keys keeps the promise for the known ones; forgetting one early would not.
        if self.entries.len() >= MAX_KEYS {
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
            if let Some(Entry { state: State::Answered(response), .. }) = self.entries.remove(&id) {
                self.response_bytes -= response.body.len();
            }
        }
    }

    /// Ends a request at its primary and answers the repeats that wait for it.
    ///
    /// A refusal that promises that the request was not run leaves the key usable. `generation` is that of
    /// the membership under which the key was noted.
    pub fn finish(&mut self, id: KeyId, result: &Result<CallResponse, Code>, generation: u64) {
        let room = MAX_RESPONSE_BYTES - self.response_bytes;
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.state = match result {
            Ok(response) if response.body.len() <= room => {
                self.response_bytes += response.body.len();
                State::Answered(response.clone())
            }
            Err(code) if code.guarantees_not_run() => State::Idle(generation),
            // An answer that cannot be kept is not given again, but the request is not run again.
            Ok(_) | Err(_) => State::Unknown,
        };
        for reply in entry.waiting.drain(..) {
            // A repeat whose caller has gone needs no answer.
            let _ = reply.send(result.clone());
        }
    }

    /// Notes at the backup what the primary sent. Returns what was known before.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Overloaded`] if no more keys can be remembered.
    pub fn record(
        &mut self,
        id: KeyId,
        record: &KeyRecord,
        now: Instant,
    ) -> Result<Option<KeyRecord>, Code> {
        self.expire(now);
        let Some(entry) = self.entries.get(&id) else {
            if !self.insert(id, record.digest, record.until, State::Noted) {
                return Err(Code::Overloaded);
            }
            self.take_response(id, record);
            return Ok(None);
        };
        let response = match &entry.state {
            State::Answered(response) => Some(response.clone()),
            _ => None,
        };
        let key = record.key.clone();
        let known = KeyRecord { key, digest: entry.digest, until: entry.until, response };
        if known.digest == record.digest && matches!(entry.state, State::Noted) {
            self.take_response(id, record);
        }
        Ok(Some(known))
    }

    fn take_response(&mut self, id: KeyId, record: &KeyRecord) {
        if let Some(response) = &record.response {
            self.finish(id, &Ok(response.clone()), 0);
        }
    }
}

/// Decides how a request goes on after the backup said what it knew of the key before.
///
/// `mine` tells whether the backup's note is known to be this primary's own earlier one, and `knows` is
/// the result of [`MembershipHistory::covers`].
///
/// # Errors
///
/// Fails with [`Code::KeyReused`] if the key belongs to another request, and with
/// [`Code::OutcomeUnknown`] if the request may have run. `Ok` holds the answer if there is one.
pub fn resume_after_backup(
    known: Option<KeyRecord>,
    digest: u64,
    mine: bool,
    knows: bool,
) -> Result<Option<CallResponse>, Code> {
    match known {
        Some(record) if record.digest != digest => Err(Code::KeyReused),
        Some(KeyRecord { response: Some(response), .. }) => Ok(Some(response)),
        Some(_) if mine => Ok(None),
        None if knows || mine => Ok(None),
        Some(_) | None => Err(Code::OutcomeUnknown),
    }
}
