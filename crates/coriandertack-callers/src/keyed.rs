//! Requests with an idempotency key.
//!
//! The VM that receives the request from the caller forwards it to the primary of its key. The
//! primary records the key at the backup before it sends the request to a worker, so that after the
//! loss of either VM the other one still knows that the request may have run. Repeats get the first
//! response, whichever VM receives them.

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

use crate::router::{CallGuard, Members, Router};

/// Longest wait for the backup. The round trip over a link takes 3 ms, and a VM that is silent for
/// 2 s is suspected to have failed.
const BACKUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Most that the minting time of a key may be ahead of this VM's clock.
const MAX_CLOCK_AHEAD: Duration = Duration::from_secs(5);

/// Request with an idempotency key, as the key's primary handles it.
#[derive(Clone, Debug)]
struct KeyedRequest {
    call: Call,
    /// Full name of the key, `service/uuid`.
    name: Arc<str>,
    id: KeyId,
    /// Digest that distinguishes a repeated request from a different one with the same key.
    digest: u64,
    /// When the key was minted.
    minted: Instant,
    /// When the lifetime of the key ends.
    until: Instant,
}

impl KeyedRequest {
    /// Parses the key, which must be a UUIDv7 because that carries the time at which it was minted.
    fn parse(call: Call, key: &str, now: Instant) -> Result<Self, Code> {
        let uuid = Uuid::try_parse(key).map_err(|_| Code::Malformed)?;
        let stamp = uuid.get_timestamp().filter(|_| uuid.get_version_num() == 7);
        let (seconds, nanos) = stamp.ok_or(Code::Malformed)?.to_unix();
        let minted_ms = seconds * 1_000 + u64::from(nanos) / 1_000_000;
        let ahead = Duration::from_millis(minted_ms.saturating_sub(now_ms()));
        if ahead > MAX_CLOCK_AHEAD {
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

    /// Returns the record of the key for the backup.
    fn key_record(&self, response: Option<CallResponse>) -> KeyRecord {
        KeyRecord { key: Arc::clone(&self.name), digest: self.digest, until: self.until, response }
    }
}

/// Returns a digest of the parts in which a repeat must equal the first request.
fn digest(call: &Call) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&call.body);
    hash.update(call.class.as_bytes());
    hash.update(&[u8::from(call.repeatable)]);
    hash.digest()
}

impl Router {
    /// Runs a keyed request of a caller of this VM, here if this VM is the key's primary, or else
    /// at the primary.
    pub(crate) async fn call_keyed(
        self: &Arc<Self>,
        call: Call,
        key: Arc<str>,
        guard: CallGuard,
    ) -> Result<CallResponse, Code> {
        let keyed = KeyedRequest::parse(call, &key, Instant::now())?;
        let members = Members::read(&self.node);
        let (primary, _) = primary_and_backup(keyed.id, &members.sessions);
        if primary == members.own_session {
            return self.run_as_primary(keyed, guard).await;
        }
        let primary = primary.ok_or(Code::NotReady)?;
        self.forward(primary, keyed.call).await
    }

    /// Forwards a request to the primary of its key.
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

    /// Runs a keyed request that another VM forwarded to this one as the key's primary.
    pub(crate) async fn call_forwarded(
        self: &Arc<Self>,
        call: Call,
        key: Arc<str>,
        guard: CallGuard,
    ) -> Result<CallResponse, Code> {
        let keyed = KeyedRequest::parse(call, &key, Instant::now())?;
        let members = Members::read(&self.node);
        if primary_and_backup(keyed.id, &members.sessions).0 != members.own_session {
            // One of the two VMs has not applied the latest membership yet.
            return Err(Code::NotReady);
        }
        self.run_as_primary(keyed, guard).await
    }

    /// Runs a keyed request as the key's primary, unless it was run before or is running.
    ///
    /// The request runs in a task of its own, so that its result is stored even if the caller
    /// disconnects.
    async fn run_as_primary(
        self: &Arc<Self>,
        keyed: KeyedRequest,
        guard: CallGuard,
    ) -> Result<CallResponse, Code> {
        let now = Instant::now();
        let begin = self.keys().store.begin(keyed.id, keyed.digest, keyed.until, now);
        let recorded_generation = match begin {
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
            let result = router.run_recorded(&keyed, recorded_generation).await;
            drop(guard);
            result
        });
        task.await.unwrap_or(Err(Code::OutcomeUnknown))
    }

    /// Records the key at the backup, runs the request and stores the result.
    ///
    /// `recorded_generation` is the generation of the membership under which this primary may
    /// already have recorded the key at the backup.
    async fn run_recorded(
        &self,
        keyed: &KeyedRequest,
        recorded_generation: Option<u64>,
    ) -> Result<CallResponse, Code> {
        let members = Members::read(&self.node);
        let (primary, backup) = primary_and_backup(keyed.id, &members.sessions);
        let generation = {
            let mut keys = self.keys();
            keys.history.observe(&members.sessions, Instant::now());
            keys.history.generation()
        };
        let result = if primary != members.own_session {
            Err(Code::NotReady)
        } else {
            let is_own_record = recorded_generation == Some(generation);
            match self.record_at_backup(backup, keyed, is_own_record).await {
                Ok(Some(response)) => Ok(response),
                Ok(None) => self.run(&keyed.call).await,
                Err(code) => Err(code),
            }
        };
        self.store_result(keyed, &result, generation);
        if let (Ok(response), Some(backup)) = (&result, backup) {
            self.send_to_backup(backup, keyed.key_record(Some(response.clone())));
        }
        result
    }

    /// Stores the result of a request. The key of a request refused with [`Code::KeyReused`] is
    /// removed again, because it belongs to another request.
    fn store_result(
        &self,
        keyed: &KeyedRequest,
        result: &Result<CallResponse, Code>,
        generation: u64,
    ) {
        let mut keys = self.keys();
        keys.store.finish(keyed.id, result, generation);
        if *result == Err(Code::KeyReused) {
            keys.store.forget(keyed.id);
        }
    }

    /// Records the key at the backup.
    ///
    /// Returns the response if the request has already been answered, and `None` if it may be run
    /// now.
    async fn record_at_backup(
        &self,
        backup: Option<Session>,
        keyed: &KeyedRequest,
        is_own_record: bool,
    ) -> Result<Option<CallResponse>, Code> {
        let earlier = match backup {
            None => None,
            Some(backup) => {
                let vm = self.node.with(|shared| shared.state.sessions.get(&backup).copied());
                let until = keyed.call.until.min(Instant::now() + BACKUP_TIMEOUT);
                let request = PeerRequest::RecordKey(keyed.key_record(None));
                // Nothing is sent to a worker before the key is recorded, so a code that says that
                // the request was not run is correct.
                let vm = vm.ok_or(Code::NotReady)?;
                match self.node.request(vm, request, until).await {
                    Ok(PeerReply::Key(earlier)) => earlier,
                    Ok(_) | Err(_) => return Err(Code::NotReady),
                }
            }
        };
        let margin = Duration::from_millis(self.config.key_margin_ms);
        let since = keyed.minted.checked_sub(margin);
        let is_covered = since.is_some_and(|since| self.keys().history.covers(keyed.id, since));
        resume_after_backup(earlier, keyed.digest, is_own_record, is_covered)
    }

    /// Sends the response to the backup in the background. If that fails, the backup still knows
    /// that the request may have run.
    fn send_to_backup(&self, backup: Session, record: KeyRecord) {
        let node = Arc::clone(&self.node);
        tokio::spawn(async move {
            let vm = node.with(|shared| shared.state.sessions.get(&backup).copied());
            if let Some(vm) = vm {
                let until = Instant::now() + BACKUP_TIMEOUT;
                let result = node.request(vm, PeerRequest::RecordKey(record), until).await;
                if result.is_err() {
                    log::info!("event=answer_not_noted backup={backup}");
                }
            }
        });
    }
}
