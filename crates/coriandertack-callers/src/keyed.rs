//! Requests under an idempotency key.
//!
//! The VM that a caller reached forwards the request to the primary of its key. The primary notes the
//! key at the backup before it sends the request, so that after the loss of either one the other still
//! knows that the request may have run. Repeats get the first answer, through whichever VM they come.

use std::{sync::Arc, time::Duration};

use {
    coriandertack_core::{
        code::Code,
        keys::Session,
        message::{Call, CallResponse, KeyRecord, PeerReply, PeerRequest},
        node::now_ms,
        routing::idempotency::{
            BeginOutcome, KEY_LIFETIME, KeyId, key_id, primary_and_backup, resume_after_backup,
        },
    },
    tokio::time::{Instant, timeout_at},
    uuid::Uuid,
    xxhash_rust::xxh3::Xxh3,
};

use crate::router::{Held, Members, Router};

/// Longest wait for the backup. A link takes 3 ms there and back, and a VM that is silent for 2 s is
/// suspected.
const NOTE_LIMIT: Duration = Duration::from_millis(500);

/// Most that a key may seem to come from the future.
const LONGEST_AHEAD: Duration = Duration::from_secs(5);

/// A request under a key, as its primary handles it.
#[derive(Clone, Debug)]
struct Keyed {
    call: Call,
    name: Arc<str>,
    id: KeyId,
    digest: u64,
    minted: Instant,
    until: Instant,
}

impl Keyed {
    /// Reads the key. A UUIDv7 carries the time at which it was minted.
    fn parse(call: Call, key: &str, now: Instant) -> Result<Self, Code> {
        let uuid = Uuid::try_parse(key).map_err(|_| Code::Malformed)?;
        let stamp = uuid.get_timestamp().filter(|_| uuid.get_version_num() == 7);
        let (seconds, nanos) = stamp.ok_or(Code::Malformed)?.to_unix();
        let minted_ms = seconds * 1_000 + u64::from(nanos) / 1_000_000;
        let ahead = Duration::from_millis(minted_ms.saturating_sub(now_ms()));
        if ahead > LONGEST_AHEAD {
            return Err(Code::Malformed);
        }
        let age = Duration::from_millis(now_ms().saturating_sub(minted_ms));
        if age >= KEY_LIFETIME {
            return Err(Code::KeyExpired);
        }
        let name: Arc<str> = format!("{}/{uuid}", call.service).into();
        let minted = now.checked_sub(age).ok_or(Code::OutcomeUnknown)?;
        let until = now + ahead + (KEY_LIFETIME - age);
        Ok(Self { id: key_id(&name), digest: digest(&call), name, minted, until, call })
    }

    fn note(&self, response: Option<CallResponse>) -> KeyRecord {
        KeyRecord { key: Arc::clone(&self.name), digest: self.digest, until: self.until, response }
    }
}

/// Returns a digest of what makes a request the same request.
fn digest(call: &Call) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&call.body);
    hash.update(call.class.as_bytes());
    hash.update(&[u8::from(call.repeatable)]);
    hash.digest()
}

impl Router {
    /// Carries out a keyed request of a caller of this VM, here or at its primary.
    pub(crate) async fn call_keyed(
        self: &Arc<Self>,
        call: Call,
        key: Arc<str>,
        held: Held,
    ) -> Result<CallResponse, Code> {
        let keyed = Keyed::parse(call, &key, Instant::now())?;
        let members = Members::read(&self.node);
        let (primary, _) = primary_and_backup(keyed.id, &members.sessions);
        if primary == members.me {
            return self.keep(keyed, held).await;
        }
        let primary = primary.ok_or(Code::NotReady)?;
        self.forward(primary, keyed.call).await
    }

    async fn forward(&self, primary: Session, call: Call) -> Result<CallResponse, Code> {
        let vm = self.node.with(|shared| shared.state.sessions.get(&primary).copied());
        let until = call.until;
        let reply =
            self.node.request(vm.ok_or(Code::NotReady)?, PeerRequest::Call(call), until).await?;
        match reply {
            PeerReply::Response(response) => Ok(response),
            PeerReply::Refused(code) => Err(code),
            _ => Err(Code::OutcomeUnknown),
        }
    }

    /// Carries out a keyed request that another VM forwarded.
    pub(crate) async fn keep_forwarded(
        self: &Arc<Self>,
        call: Call,
        key: Arc<str>,
        held: Held,
    ) -> Result<CallResponse, Code> {
        let keyed = Keyed::parse(call, &key, Instant::now())?;
        let members = Members::read(&self.node);
        if primary_and_backup(keyed.id, &members.sessions).0 != members.me {
            // One of the two VMs has not read the newest membership yet.
            return Err(Code::NotReady);
        }
        self.keep(keyed, held).await
    }

    /// Runs a keyed request as its primary, in a task of its own, so that the result is kept even if
    /// the caller goes away.
    async fn keep(self: &Arc<Self>, keyed: Keyed, held: Held) -> Result<CallResponse, Code> {
        let now = Instant::now();
        let begin = self.keys().store.begin(keyed.id, keyed.digest, keyed.until, now);
        let noted_at = match begin {
            BeginOutcome::Run => None,
            BeginOutcome::Rerun(generation) => Some(generation),
            BeginOutcome::Respond(response) => return Ok(response),
            BeginOutcome::Refuse(code) => return Err(code),
            BeginOutcome::Wait(response) => {
                let response = timeout_at(keyed.call.until, response).await;
                return response.map_or(Err(Code::OutcomeUnknown), |response| {
                    response.unwrap_or(Err(Code::OutcomeUnknown))
                });
            }
        };
        let router = Arc::clone(self);
        let task = tokio::spawn(async move {
            let result = router.run_noted(&keyed, noted_at).await;
            drop(held);
            result
        });
        task.await.unwrap_or(Err(Code::OutcomeUnknown))
    }

    /// Notes the key at the backup, runs the request and keeps the result.
    async fn run_noted(&self, keyed: &Keyed, noted_at: Option<u64>) -> Result<CallResponse, Code> {
        let members = Members::read(&self.node);
        let (primary, backup) = primary_and_backup(keyed.id, &members.sessions);
        let generation = {
            let mut keys = self.keys();
            keys.history.observe(&members.sessions, Instant::now());
            keys.history.generation()
        };
        let result = if primary != members.me {
            Err(Code::NotReady)
        } else {
            let mine = noted_at == Some(generation);
            match self.note_at(backup, keyed, mine).await {
                Ok(Some(response)) => Ok(response),
                Ok(None) => self.run(&keyed.call).await,
                Err(code) => Err(code),
            }
        };
        self.finish(keyed, &result, generation);
        if let (Ok(response), Some(backup)) = (&result, backup) {
            self.tell(backup, keyed.note(Some(response.clone())));
        }
        result
    }

    fn finish(&self, keyed: &Keyed, result: &Result<CallResponse, Code>, generation: u64) {
        let mut keys = self.keys();
        keys.store.finish(keyed.id, result, generation);
        if *result == Err(Code::KeyReused) {
            keys.store.forget(keyed.id);
        }
    }

    /// Notes the key at the backup and learns what it knew before.
    async fn note_at(
        &self,
        backup: Option<Session>,
        keyed: &Keyed,
        mine: bool,
    ) -> Result<Option<CallResponse>, Code> {
        let known = match backup {
            None => None,
            Some(backup) => {
                let vm = self.node.with(|shared| shared.state.sessions.get(&backup).copied());
                let until = keyed.call.until.min(Instant::now() + NOTE_LIMIT);
                let request = PeerRequest::RecordKey(keyed.note(None));
                // Nothing is sent to a worker without the note, so these refusals are true.
                let vm = vm.ok_or(Code::NotReady)?;
                match self.node.request(vm, request, until).await {
                    Ok(PeerReply::Key(known)) => known,
                    Ok(_) | Err(_) => return Err(Code::NotReady),
                }
            }
        };
        let margin = Duration::from_millis(self.config.key_margin_ms);
        let since = keyed.minted.checked_sub(margin);
        let knows = since.is_some_and(|since| self.keys().history.covers(keyed.id, since));
        resume_after_backup(known, keyed.digest, mine, knows)
    }

    /// Tells the backup the answer. Nobody waits for that: without it the backup still knows that the
    /// request may have run.
    fn tell(&self, backup: Session, note: KeyRecord) {
        let node = Arc::clone(&self.node);
        tokio::spawn(async move {
            let vm = node.with(|shared| shared.state.sessions.get(&backup).copied());
            if let Some(vm) = vm {
                let until = Instant::now() + NOTE_LIMIT;
                let told = node.request(vm, PeerRequest::RecordKey(note), until).await;
                if told.is_err() {
                    log::info!("event=answer_not_noted backup={backup}");
                }
            }
        });
    }
}
