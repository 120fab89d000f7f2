//! The HTTP interface for callers, with one task for each connection, and the readiness probe of the load balancer.
//!
//! Submissions and cancellations are answered once they are durable, all other requests from the records that this VM
//! has read.

use std::{convert::Infallible, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use {
    bytes::Bytes,
    coriandertack_callers::bodies::{BODY_TIME, BodyError, Limit, ReceivedBody},
    coriandertack_core::code::Code,
    coriandertack_jobs::{
        access::{self, Caller, Refusal},
        boot_time::BootTime,
        config::{Config, Route},
        config_age::{ConfigAge, Verdict},
        ids::JobId,
        ledger::check_cap,
        progress::JobPhase,
        replica::ReplicaRecord,
        return_time,
    },
    coriandertack_log::jobs,
    coriandertack_platform::callers,
    http_body_util::Full,
    hyper::{
        Method, Request, Response, StatusCode,
        body::Incoming,
        header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE},
        server::conn::http1::{self, Builder},
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinSet,
        time::{Instant, sleep, timeout},
    },
};

use super::{
    clock,
    connections::{self, Activity, Connections, TrackedStream},
    intake, metrics,
    shared::{Counters, Outcome, Shared},
};

/// Maximum wait for a new read of the records before a job counts as unknown, in milliseconds.
const FRESH_READ_WAIT_MS: u64 = 2_000;

/// Maximum wait for an attempt to read a newer configuration, in milliseconds: a read that waits for a record takes 900 ms.
const CONFIG_WAIT_MS: u64 = 1_200;

/// Pause after a failure to accept a connection, for example because no file descriptor is left, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 100;

type Reply = Response<Full<Bytes>>;

/// Serves callers until the VM closes its connections, and then until the requests in flight are answered.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let open = Arc::new(Connections::new(shared.settings.max_connections(), shared.bodies.clone()));
    let mut closing = shared.closing.subscribe();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let Some((key, activity)) = open.add() else {
                        shared.bodies.record_refusal(Limit::Connections);
                        continue;
                    };
                    let (shared, open) = (shared.clone(), open.clone());
                    connections.spawn(async move {
                        serve_connection(shared, stream, &activity).await;
                        open.remove(key);
                    });
                }
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = wait_until_set(&mut closing) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits until a flag is set. Its sender lives as long as the process.
async fn wait_until_set(flag: &mut watch::Receiver<bool>) {
    let _closed = flag.wait_for(|set| *set).await.is_err();
}

/// Serves one connection. When the VM stops, it is closed once the request in flight is answered.
async fn serve_connection(shared: Arc<Shared>, stream: TcpStream, activity: &Arc<Activity>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_failed error=\"{error}\"");
    }
    let limits = shared.config.borrow().limits;
    let service = service_fn(|request| {
        let (shared, activity) = (shared.clone(), activity.clone());
        async move {
            activity.begin();
            let reply = handle(&shared, request).await;
            // What still arrives on a connection that closes is the rest of a body, which is dropped. It is not a head that
            // needs room.
            if !reply.headers().contains_key(CONNECTION) {
                activity.end();
            }
            Ok::<_, Infallible>(reply)
        }
    });
    let serving = Builder::new()
        .max_buf_size(limits.header_bytes.max(8 * 1_024))
        .serve_connection(TokioIo::new(TrackedStream::new(stream, activity.clone())), service);
    let shut_down = |serving: Pin<&mut http1::Connection<_, _>>| serving.graceful_shutdown();
    let mut flag = shared.closing.subscribe();
    let closing = wait_until_set(&mut flag);
    let ended = connections::serve(serving, shut_down, activity, limits, closing).await;
    if let Some(limit) = ended.limit {
        shared.bodies.record_close(limit);
    }
    if let Some(Err(error)) = ended.result {
        log::debug!("event=connection_ended error=\"{error}\"");
    }
}

async fn handle(shared: &Shared, request: Request<Incoming>) -> Reply {
    Counters::count(&shared.counters.answers);
    let wait_ms = callers::wait_ms(request.headers());
    let config = match current_config(shared).await {
        Ok(config) => config,
        Err(missing) => return unconfigured(shared, missing, wait_ms),
    };
    let (head, body) = request.into_parts();
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let path = head.uri.path();
    let Some((route, rest)) = config.route(host, path) else {
        return text(StatusCode::NOT_FOUND, "no such queue");
    };
    let route = route.clone();
    let key = callers::bearer_key(&head.headers);
    let caller = match access::authenticate(&config, &route, key) {
        Ok(caller) => caller,
        Err(refusal) => return unauthorized(shared, &config, &route, refusal),
    };
    if rest.is_empty() && head.method == Method::GET {
        return pending_jobs(shared, &route, wait_ms);
    }
    let Ok(id) = rest.parse::<JobId>() else {
        return text(StatusCode::BAD_REQUEST, "a job's name has 16 hexadecimal digits");
    };
    match head.method {
        Method::POST => {
            let time = BODY_TIME.min(Duration::from_millis(config.limits.idle_ms));
            let body =
                shared.bodies.read(body, config.limits.body_bytes, Instant::now() + time).await;
            match body {
                Ok(body) => {
                    // The key may have been removed while the body arrived.
                    let config = match current_config(shared).await {
                        Ok(config) => config,
                        Err(missing) => return unconfigured(shared, missing, wait_ms),
                    };
                    let current = config.route_named(&route.name).unwrap_or(&route);
                    match access::authenticate(&config, current, key) {
                        Ok(caller) => submit(shared, &route, id, &caller, body, wait_ms).await,
                        Err(refusal) => unauthorized(shared, &config, &route, refusal),
                    }
                }
                Err(error) => body_refused(&error, wait_ms),
            }
        }
        Method::GET => job_state(shared, &route, id, &caller, wait_ms),
        Method::DELETE => cancel(shared, &route, id, &caller, wait_ms).await,
        _ => text(StatusCode::METHOD_NOT_ALLOWED, "GET, POST or DELETE"),
    }
}

/// Why requests cannot be answered by a configuration.
#[derive(Clone, Copy, Debug)]
enum MissingConfig {
    /// None has been read since the process started.
    Unread,
    /// A newer one is known, and its transfer takes longer than an older one may be used.
    Outdated { since: BootTime },
}

/// Returns the configuration in force.
///
/// A process that was suspended would use a version from before. If the last attempt to read a newer one is too old, this
/// waits for another one; a VM that the store does not answer keeps its version.
async fn current_config(shared: &Shared) -> Result<Arc<Config>, MissingConfig> {
    if shared.config().is_none() {
        return Err(MissingConfig::Unread);
    }
    let mut age = shared.config_age.subscribe();
    let is_known = |age: &ConfigAge| age.verdict(clock::now()) != Verdict::Wait;
    let known = timeout(Duration::from_millis(CONFIG_WAIT_MS), age.wait_for(is_known)).await;
    if known.is_err() {
        log::debug!("event=config_unconfirmed revision={}", shared.config.borrow().revision);
    }
    let verdict = shared.config_age.borrow().verdict(clock::now());
    if let Verdict::Refuse { since } = verdict {
        return Err(MissingConfig::Outdated { since });
    }
    // Another version may have been read meanwhile.
    shared.config().ok_or(MissingConfig::Unread)
}

/// Refuses a request that has not run because there is no configuration by which to answer it.
fn unconfigured(shared: &Shared, missing: MissingConfig, wait_ms: Option<u64>) -> Reply {
    match missing {
        MissingConfig::Unread => unavailable(shared, "no configuration yet", wait_ms),
        MissingConfig::Outdated { since } => {
            shared.record_outdated(since);
            let behind_ms = clock::now().ms_since(since);
            unavailable_since(behind_ms, "a newer configuration is being read", wait_ms)
        }
    }
}

/// Refuses a request that has no key, or one that no team holds.
fn unauthorized(shared: &Shared, config: &Config, route: &Route, refusal: Refusal) -> Reply {
    shared.refusals.record(refusal, &route.name, config.revision);
    let message = match refusal {
        Refusal::NoKey => "a key is required",
        Refusal::UnknownKey | Refusal::OtherTeam => "the key is not known",
    };
    let mut reply = text(StatusCode::UNAUTHORIZED, message);
    reply.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    reply
}

/// Records that a request was refused because the job belongs to another team.
fn record_refusal(shared: &Shared, route: &Route, refusal: Refusal) {
    shared.refusals.record(refusal, &route.name, shared.config.borrow().revision);
}

/// Refuses a submission under the name of another team's job.
fn conflict(shared: &Shared, route: &Route, refusal: Refusal) -> Reply {
    record_refusal(shared, route, refusal);
    text(StatusCode::CONFLICT, "a job of another team has this name")
}

/// Answers a submission whose body was not received, and which therefore has not run.
fn body_refused(error: &BodyError, wait_ms: Option<u64>) -> Reply {
    let message = error.to_string();
    let mut reply = match error {
        BodyError::TooLong | BodyError::Broken(_) => {
            log::debug!("event=body_unreadable error=\"{error}\"");
            return text(StatusCode::PAYLOAD_TOO_LARGE, &message);
        }
        BodyError::Late => text(StatusCode::REQUEST_TIMEOUT, &message),
        BodyError::NoRoom => unavailable_since(0, &message, wait_ms),
    };
    // The rest of the body is not read, so no further request can be.
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// Makes a submission durable. Answers that the job was accepted, that it was refused, or that the outcome is unknown.
async fn submit(
    shared: &Shared,
    route: &Arc<Route>,
    id: JobId,
    caller: &Caller,
    body: ReceivedBody,
    wait_ms: Option<u64>,
) -> Reply {
    let known = shared.replica().phase_for(id, caller);
    match known {
        Ok(None) => {}
        Ok(Some(_)) => return text(StatusCode::OK, "known"),
        Err(refusal) => return conflict(shared, route, refusal),
    }
    let team = caller.team().cloned();
    let spec = match callers::decode_submission(&body, route, team, clock::wall()) {
        Ok(spec) => spec,
        Err(error) => {
            log::info!("event=job_malformed job={id} route={} error=\"{error:#}\"", route.name);
            return text(StatusCode::BAD_REQUEST, &format!("{error:#}"));
        }
    };
    let fits_cap = {
        let config = shared.config.borrow();
        let teams = config.teams.as_ref();
        check_cap(&spec, spec.team.as_deref().and_then(|name| teams?.named(name)))
    };
    if let Err(error) = fits_cap {
        log::info!(
            "event=job_exceeds_cap job={id} route={} error={:?}",
            route.name,
            error.to_string()
        );
        return text(StatusCode::BAD_REQUEST, &error.to_string());
    }
    let began = clock::now();
    let (key, value) = jobs::submission(id, &spec);
    let stored = intake::persist(shared, key, value, wait_ms).await;
    let waited = clock::now().ms_since(began);
    metrics::record(&shared.latencies.acceptance, waited);
    log::info!(
        "event=job_submitted job={id} route={} team={} config={} steps={} stored={stored:?} waited_ms={waited} \
         deadline_ms={}",
        route.name,
        spec.team.as_deref().unwrap_or("-"),
        shared.config.borrow().revision,
        spec.steps.len(),
        wait_ms.unwrap_or(0)
    );
    match stored {
        Outcome::Done => {
            Counters::count(&shared.counters.accepted);
            // Reads show the job only later, and not at all while the store turns this VM away.
            shared.replica().apply(ReplicaRecord::Submitted(id, Arc::new(spec)), clock::now());
            text(StatusCode::OK, "accepted")
        }
        Outcome::NotRun => {
            Counters::count(&shared.counters.refused);
            // The leader refuses a submission if it knows a job of another team with this name.
            let known = shared.replica().phase_for(id, caller);
            if let Err(refusal) = known {
                return conflict(shared, route, refusal);
            }
            unavailable(shared, "the store is unavailable; the job was not accepted", wait_ms)
        }
        Outcome::TooLarge => {
            Counters::count(&shared.counters.refused);
            too_large(shared, "the job")
        }
        Outcome::Unknown => {
            Counters::count(&shared.counters.unknown);
            text(StatusCode::GATEWAY_TIMEOUT, "the outcome is unknown")
        }
    }
}

/// Makes a cancellation durable, also one of an unknown job: a VM may still be storing its submission, although its
/// caller was told that the outcome is unknown. See docs/notes/platform.md.
///
/// The record names all callers that have cancelled the job, since it replaces the one before. A cancellation by another
/// team than that of the job has no effect.
async fn cancel(
    shared: &Shared,
    route: &Route,
    id: JobId,
    caller: &Caller,
    wait_ms: Option<u64>,
) -> Reply {
    let asked = clock::now();
    let (phase, can_keep, mut callers) = {
        let replica = shared.replica();
        let callers = replica.jobs.get(&id).map(|view| view.cancellers.clone());
        let phase = replica.phase_for(id, caller);
        (phase, replica.can_keep_early_cancel(id), callers.unwrap_or_default())
    };
    let phase = match phase {
        Ok(phase) => phase,
        Err(refusal) => {
            record_refusal(shared, route, refusal);
            return text(StatusCode::GONE, "no such job");
        }
    };
    callers.add(&caller.clone().into());
    match phase {
        Some(JobPhase::Completed | JobPhase::Failed | JobPhase::Cancelled) => {
            return text(StatusCode::OK, "ended");
        }
        None if !can_keep => {
            return unavailable_since(u64::MAX, "too many cancellations of unknown jobs", wait_ms);
        }
        Some(JobPhase::Queued | JobPhase::Running) | None => {}
    }
    let (key, value) = jobs::cancellation(id, &callers);
    let stored = intake::persist(shared, key, value, wait_ms).await;
    log::info!("event=cancel_asked job={id} known={} stored={stored:?}", phase.is_some());
    match stored {
        Outcome::Done => {}
        Outcome::NotRun => {
            return unavailable(shared, "the store is unavailable; nothing was cancelled", wait_ms);
        }
        Outcome::TooLarge => return too_large(shared, "the cancellation"),
        Outcome::Unknown => return text(StatusCode::GATEWAY_TIMEOUT, "the outcome is unknown"),
    }
    shared.replica().apply(ReplicaRecord::Cancelled(id, callers), clock::now());
    // Another VM may have accepted the job since the last read. If that cannot be found out, the job is cancelled all
    // the same.
    let exists = phase.is_some()
        || !is_read_anew(shared, asked).await
        || matches!(shared.replica().phase_for(id, caller), Ok(Some(_)));
    match exists {
        true => text(StatusCode::OK, "cancelled"),
        false => text(StatusCode::GONE, "no such job"),
    }
}

/// Waits until both topics with records of jobs have been read by reads that began after `asked`. Returns false on
/// timeout.
async fn is_read_anew(shared: &Shared, asked: BootTime) -> bool {
    let read = async {
        for position in [&shared.progress, &shared.intake] {
            let mut position = position.subscribe();
            // The sender lives as long as the process, so an error cannot occur.
            let _closed = position.wait_for(|position| position.started_at >= asked).await.is_err();
        }
    };
    let until = asked.plus_ms(FRESH_READ_WAIT_MS);
    timeout(Duration::from_millis(until.ms_since(clock::now())), read).await.is_ok()
}

fn job_state(
    shared: &Shared,
    route: &Route,
    id: JobId,
    caller: &Caller,
    wait_ms: Option<u64>,
) -> Reply {
    let known = shared.replica().phase_for(id, caller).unwrap_or_else(|refusal| {
        record_refusal(shared, route, refusal);
        // The answer is the same as for a job that does not exist.
        None
    });
    match known {
        Some(phase) => json(callers::encode_state(phase).to_owned()),
        None if shared.is_fresh() => text(StatusCode::GONE, "no such job"),
        None => unavailable(shared, "the records are out of date", wait_ms),
    }
}

fn pending_jobs(shared: &Shared, route: &Route, wait_ms: Option<u64>) -> Reply {
    if !shared.is_fresh() {
        return unavailable(shared, "the records are out of date", wait_ms);
    }
    json(callers::encode_pending(shared.replica().pending_jobs(&route.name)))
}

fn json(body: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

fn text(status: StatusCode, message: &str) -> Reply {
    let mut reply = json(serde_json::json!({ "message": message }).to_string());
    *reply.status_mut() = status;
    reply
}

/// Refuses a request whose record the store would refuse however often it is sent.
fn too_large(shared: &Shared, what: &str) -> Reply {
    let max_bytes = shared.settings.platform.append_limits().record_bytes;
    let code = Code::TooLarge;
    let message =
        format!("the record of {what} exceeds the {max_bytes} bytes that the store accepts");
    let body =
        serde_json::json!({ "code": code.number(), "text": code.text(), "message": message });
    let mut reply = json(body.to_string());
    *reply.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
    reply
}

/// Refuses a request that has not run because the store is away, or soon may be.
fn unavailable(shared: &Shared, message: &str, wait_ms: Option<u64>) -> Reply {
    let now = clock::now();
    let since = shared.store_health().outage_since(now);
    unavailable_since(since.map_or(0, |since| now.ms_since(since)), message, wait_ms)
}

/// Refuses a request that has not run, for a reason that has lasted for `outage_ms`. `wait_ms` is the time for which its
/// caller waits, if the request says so.
fn unavailable_since(outage_ms: u64, message: &str, wait_ms: Option<u64>) -> Reply {
    let pause_s = return_time::pause_s(outage_ms, wait_ms);
    let mut reply = text(StatusCode::SERVICE_UNAVAILABLE, message);
    reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from(pause_s));
    reply
}

/// Serves the load balancer's readiness probe.
pub async fn serve_ready(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tokio::spawn(serve_ready_connection(shared.clone(), stream, peer));
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

async fn serve_ready_connection(shared: Arc<Shared>, stream: TcpStream, peer: SocketAddr) {
    let service = service_fn(|request: Request<Incoming>| {
        let ready = request.uri().path() == callers::READY_PATH && is_ready(&shared);
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        async move { Ok::<_, Infallible>(text(status, status.as_str())) }
    });
    let serving = Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = serving.await {
        log::debug!("event=connection_ended peer={peer} error=\"{error}\"");
    }
}

fn is_ready(shared: &Shared) -> bool {
    let verdict = shared.config_age.borrow().verdict(clock::now());
    let is_outdated = matches!(verdict, Verdict::Refuse { .. });
    shared.config().is_some() && !is_outdated && shared.is_fresh() && !*shared.stopping.borrow()
}
