//! Idempotency keys: where they are stored, what is known of each, and when that is not enough.
//!
//! The first two live sessions by rendezvous hash are the primary and the backup of a key. The primary
//! records the key at the backup before it sends the request, so either of them may be lost. After a change
//! of membership the new pair still contains a session of the old pair, unless too many sessions that rank
//! above it have joined or ended. The new pair then cannot know whether the key was used, and refuses the
//! request ([`MembershipHistory::covers`]).
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

/// Time for which a key is remembered after it was created.
pub const KEY_LIFETIME: Duration = Duration::from_secs(600);

/// Usual margin of [`MembershipHistory::covers`]: the largest expected difference between the clocks of a
/// caller and of this VM, and the time for which another VM may act on an older membership (3.3 s).
pub const KEY_CLOCK_MARGIN: Duration = Duration::from_secs(5);

/// Maximum number of stored keys. 200,000 keys with responses of 80 bytes took 60 MB, so the limit keeps the
/// store at 30 MB plus longer responses. With 8 VMs it suffices for 660 new keys per second.
const MAX_KEYS: usize = 100_000;

/// Maximum number of stored response bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Hash that identifies a key within its service. Collisions of 128-bit hashes are not expected, and the
/// digest of the request would still tell the requests apart.
pub type KeyId = u128;

/// Returns the identifier of a key, given the name it has in a [`KeyRecord`], `team.name/key`.
#[must_use]
pub fn key_id(name: &str) -> KeyId {
    xxh3_128(name.as_bytes())
}

/// Returns the rendezvous weight of a session for a key. The session with the highest weight is the primary.
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

/// Changes of membership during the lifetime of a key.
#[derive(Clone, Debug, Default)]
pub struct MembershipHistory {
    live: Vec<(Session, Instant)>,
    ended: Vec<(Session, Instant)>,
    observed_since: Option<Instant>,
    generation: u64,
}

impl MembershipHistory {
    /// Records the sessions that are live at `now`.
    pub fn observe(&mut self, sessions: &[Session], now: Instant) {
        let observed_since = *self.observed_since.get_or_insert(now);
        let unchanged = self.live.len() == sessions.len()
            && self.live.iter().all(|(known, _)| sessions.contains(known));
        if unchanged {
            return;
        }
        self.generation += 1;
        for &session in sessions {
            if !self.live.iter().any(|&(known, _)| known == session) {
                let joined = if self.live.is_empty() { observed_since } else { now };
                self.live.push((session, joined));
            }
        }
        let (live, newly_ended) = self.live.iter().partition(|(known, _)| sessions.contains(known));
        self.live = live;
        let newly_ended: Vec<(Session, Instant)> = newly_ended;
        self.ended.extend(newly_ended.into_iter().map(|(session, _)| (session, now)));
        self.ended.retain(|&(_, at)| at + KEY_LIFETIME + KEY_CLOCK_MARGIN > now);
    }

    /// Returns a number that changes with the membership.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether the current primary and backup know of every request made with a key since `since`,
    /// which is the time of its creation less a margin.
    ///
    /// Let S be the highest-ranked session that has been live throughout. If at most one session that joined or
    /// ended since then ranks above S, then S is in the current pair and was in every earlier one.
    #[must_use]
    pub fn covers(&self, id: KeyId, since: Instant) -> bool {
        if self.observed_since.is_none_or(|observed_since| since < observed_since) {
            return false;
        }
        let stable = self.live.iter().filter(|&&(_, joined)| joined <= since);
        let Some(stable_weight) = stable.map(|&(session, _)| weight(id, session)).max() else {
            return false;
        };
        let joined_later = self.live.iter().filter(|&&(_, joined)| joined > since);
        let ended_later = self.ended.iter().filter(|&&(_, at)| at > since);
        joined_later
            .chain(ended_later)
            .filter(|&&(session, _)| weight(id, session) > stable_weight)
            .count()
            <= 1
    }
}

/// State of a key.
#[derive(Debug)]
enum KeyState {
    /// The request was certainly not run. The key was recorded in this generation of the membership.
    NotRun(u64),
    /// The request is running at this VM.
    Running,
    /// The request is running or has run at another primary, which recorded the key here.
    Recorded,
    /// The response is known.
    Answered(CallResponse),
    /// The request may have run, and its response is not known.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    digest: u64,
    until: Instant,
    state: KeyState,
    waiters: Vec<oneshot::Sender<Result<CallResponse, Code>>>,
}

/// What the primary does with a request that has a key.
#[derive(Debug)]
pub enum BeginOutcome {
    /// Record the key at the backup, then run the request: it is the first with this key.
    Run,
    /// Run the request: an earlier one with the key was certainly not run. The backup may hold a record from
    /// this generation of the membership.
    Rerun(u64),
    /// Return the response of the first request.
    Respond(CallResponse),
    /// Wait for the response of the request, which is running.
    Wait(oneshot::Receiver<Result<CallResponse, Code>>),
    /// Refuse the request with this code.
    Refuse(Code),
}

/// Keys that this VM stores as primary or backup.
#[derive(Debug, Default)]
pub struct KeyStore {
    entries: HashMap<KeyId, Entry>,
    expirations: BTreeSet<(Instant, KeyId)>,
    response_bytes: usize,
}

impl KeyStore {
    /// Returns the number of stored keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes a key that belongs to another request, as its backup has reported.
    pub fn forget(&mut self, id: KeyId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.expirations.remove(&(entry.until, id));
        }
    }

    /// Begins a request at its primary. A new key expires at `until` and not before.
    pub fn begin(&mut self, id: KeyId, digest: u64, until: Instant, now: Instant) -> BeginOutcome {
        self.expire(now);
        let Some(entry) = self.entries.get_mut(&id) else {
            return match self.insert(id, digest, until, KeyState::Running) {
                true => BeginOutcome::Run,
                false => BeginOutcome::Refuse(Code::Overloaded),
            };
        };
        if entry.digest != digest {
            return BeginOutcome::Refuse(Code::KeyReused);
        }
        match &entry.state {
            KeyState::NotRun(generation) => {
                let generation = *generation;
                entry.state = KeyState::Running;
                BeginOutcome::Rerun(generation)
            }
            KeyState::Running => {
                let (reply, response) = oneshot::channel();
                entry.waiters.push(reply);
                BeginOutcome::Wait(response)
            }
            KeyState::Answered(response) => BeginOutcome::Respond(response.clone()),
            KeyState::Recorded | KeyState::Unknown => BeginOutcome::Refuse(Code::OutcomeUnknown),
        }
    }

    fn insert(&mut self, id: KeyId, digest: u64, until: Instant, state: KeyState) -> bool {
        // When the store is full, new keys are refused: evicting a stored key early could run a request twice.
        if self.entries.len() >= MAX_KEYS {
            return false;
        }
        self.expirations.insert((until, id));
        self.entries.insert(id, Entry { digest, until, state, waiters: Vec::new() });
        true
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&(until, id)) = self.expirations.first() {
            if until > now {
                break;
            }
            self.expirations.pop_first();
            if let Some(Entry { state: KeyState::Answered(response), .. }) =
                self.entries.remove(&id)
            {
                self.response_bytes -= response.body.len();
            }
        }
    }

    /// Records the result of a request at its primary and sends it to the waiting duplicates.
    ///
    /// After a refusal that guarantees that the request was not run, the key can be used again. `generation` is
    /// that of the membership in which the key was recorded.
    pub fn finish(&mut self, id: KeyId, result: &Result<CallResponse, Code>, generation: u64) {
        let free_bytes = MAX_RESPONSE_BYTES - self.response_bytes;
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.state = match result {
            Ok(response) if response.body.len() <= free_bytes => {
                self.response_bytes += response.body.len();
                KeyState::Answered(response.clone())
            }
            Err(code) if code.guarantees_not_run() => KeyState::NotRun(generation),
            // A response that does not fit is not returned to duplicates, but the request is not run again.
            Ok(_) | Err(_) => KeyState::Unknown,
        };
        for reply in entry.waiters.drain(..) {
            // Sending fails if the caller of the duplicate has gone, and then nobody needs the result.
            let _ = reply.send(result.clone());
        }
    }

    /// Stores a record of the primary at the backup, and returns what was stored before.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Overloaded`] if the store is full.
    pub fn record(
        &mut self,
        id: KeyId,
        record: &KeyRecord,
        now: Instant,
    ) -> Result<Option<KeyRecord>, Code> {
        self.expire(now);
        let Some(entry) = self.entries.get(&id) else {
            if !self.insert(id, record.digest, record.until, KeyState::Recorded) {
                return Err(Code::Overloaded);
            }
            self.take_response(id, record);
            return Ok(None);
        };
        let response = match &entry.state {
            KeyState::Answered(response) => Some(response.clone()),
            _ => None,
        };
        let key = record.key.clone();
        let known = KeyRecord { key, digest: entry.digest, until: entry.until, response };
        if known.digest == record.digest && matches!(entry.state, KeyState::Recorded) {
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

/// Decides how the primary continues after the backup has returned its earlier record of the key.
///
/// `own_record` states that the backup's record is known to be from this primary, and `covered` is the result
/// of [`MembershipHistory::covers`]. Returns the stored response, or `None` if the request is to be run.
///
/// # Errors
///
/// Fails with [`Code::KeyReused`] if the key belongs to another request, and with [`Code::OutcomeUnknown`] if
/// the request may have run.
pub fn resume_after_backup(
    known: Option<KeyRecord>,
    digest: u64,
    own_record: bool,
    covered: bool,
) -> Result<Option<CallResponse>, Code> {
    match known {
        Some(record) if record.digest != digest => Err(Code::KeyReused),
        Some(KeyRecord { response: Some(response), .. }) => Ok(Some(response)),
        Some(_) if own_record => Ok(None),
        None if covered || own_record => Ok(None),
        Some(_) | None => Err(Code::OutcomeUnknown),
    }
}
