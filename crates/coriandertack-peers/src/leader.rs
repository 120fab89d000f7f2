//! Links between the leader and the other entry VMs.
//!
//! The leader opens one connection to each VM ([`dial`]) and requests advice calls from it. The VM serves the
//! connection with one task ([`serve`]) and forwards the records of its callers to the leader, which appends them
//! together with its own. A record whose outcome has not arrived when the connection breaks may have been appended.

use std::{collections::HashMap, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use {
    anyhow::{Context, Result, bail, ensure},
    bytes::Bytes,
    coriandertack_jobs::{
        ids::{JobId, StepId},
        sched::AdviceCall,
    },
    futures::{
        SinkExt, StreamExt,
        stream::{FuturesOrdered, FuturesUnordered},
    },
    prost::Message,
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{mpsc, oneshot},
        time::{Instant, MissedTickBehavior, interval, timeout, timeout_at},
    },
};

use crate::{
    frames::{self, FrameStream},
    leader_proto::{
        self, AdviceRequest, Beat, Eligible, Frame, Outcome, Report, Submission, frame::Body,
    },
};

/// Timeout of connecting, several times the round-trip time between regions.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Interval of the leader's heartbeats, which the VM echoes.
const BEAT_INTERVAL_MS: u64 = 1_000;

/// Silence after which a connection counts as lost. TCP alone may never report that a peer is gone.
const SILENCE_TIMEOUT_MS: u64 = 2_500;

/// A request for advice on a step, as received by the VM that makes the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceQuery {
    /// Step that needs workers.
    pub step: StepId,
    /// Names of the candidate workers.
    pub workers: Vec<Arc<str>>,
    /// Time limit for the answer.
    pub limit_ms: u32,
}

/// Eligible workers for a step, with their tickets, or `None` if the call failed.
pub type AdviceReply = Option<Vec<(Arc<str>, Arc<str>)>>;

/// A record that a VM forwards to the leader.
#[derive(Debug)]
pub struct ForwardedRecord {
    /// Key in the store.
    pub key: String,
    /// Encoded value.
    pub value: Bytes,
    /// Receives the outcome of the append, or is closed if the outcome is unknown.
    pub outcome: oneshot::Sender<ForwardOutcome>,
}

/// Outcome of a forwarded record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The record is durable.
    Durable,
    /// The record was not appended and will not be.
    Refused,
}

/// Jobs whose final state has been recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndedJobs {
    /// Jobs that completed.
    pub completed: Vec<JobId>,
    /// Jobs that failed.
    pub failed: Vec<JobId>,
}

/// Message from the leader to a VM.
#[derive(Clone, Debug)]
pub enum LeaderMessage {
    /// Requests an advice call, whose answer is useful for the given number of milliseconds.
    Ask(AdviceCall, u32),
    /// Announces ended jobs, so that the VM need not wait for its next read of the store.
    Ended(Arc<EndedJobs>),
}

/// Sends messages to a VM and receives its records until the connection breaks or the queue closes.
///
/// `connected` is called once the connection is open. `answered` is called once for each advice call, with `None` if
/// the connection breaks before its answer. `take` is called for each forwarded record.
///
/// # Errors
///
/// Fails if the connection cannot be opened or breaks.
pub async fn dial(
    address: SocketAddr,
    mut queue: mpsc::UnboundedReceiver<LeaderMessage>,
    answered: impl Fn(&AdviceCall, AdviceReply),
    take: impl Fn(ForwardedRecord),
    connected: impl FnOnce(),
) -> Result<()> {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream =
        timeout(limit, TcpStream::connect(address)).await.context("connecting timed out")??;
    let mut connection = frames::framed(stream)?;
    connected();
    let mut pending = HashMap::new();
    let result = exchange(&mut connection, &mut queue, &mut pending, &answered, &take).await;
    for call in pending.values() {
        answered(call, None);
    }
    queue.close();
    while let Ok(message) = queue.try_recv() {
        if let LeaderMessage::Ask(call, _) = message {
            answered(&call, None);
        }
    }
    result
}

async fn exchange(
    connection: &mut FrameStream,
    queue: &mut mpsc::UnboundedReceiver<LeaderMessage>,
    pending: &mut HashMap<u64, AdviceCall>,
    answered: &impl Fn(&AdviceCall, AdviceReply),
    take: &impl Fn(ForwardedRecord),
) -> Result<()> {
    let mut last_id = 0;
    let mut outcomes = FuturesUnordered::new();
    let mut beat_timer = interval(Duration::from_millis(BEAT_INTERVAL_MS));
    beat_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut silence_deadline = Instant::now() + Duration::from_millis(SILENCE_TIMEOUT_MS);
    loop {
        tokio::select! {
            _ = beat_timer.tick() => {
                ensure!(
                    Instant::now() < silence_deadline,
                    "no heartbeat from the peer for {SILENCE_TIMEOUT_MS} ms"
                );
                send(connection, Body::Beat(Beat {})).await?;
            }
            message = queue.recv() => match message {
                Some(LeaderMessage::Ask(call, limit_ms)) => {
                    last_id += 1;
                    let request = encode_request(last_id, &call, limit_ms);
                    pending.insert(last_id, call);
                    send(connection, Body::Request(request)).await?;
                }
                Some(LeaderMessage::Ended(ended)) => send(connection, Body::Ended(encode_ended(&ended))).await?,
                None => return Ok(()),
            },
            Some((id, result)) = outcomes.next(), if !outcomes.is_empty() => {
                let result: Result<ForwardOutcome, oneshot::error::RecvError> = result;
                if let Ok(result) = result {
                    let refused = result == ForwardOutcome::Refused;
                    send(connection, Body::Outcome(Outcome { id, refused })).await?;
                }
            }
            body = receive(connection) => match body? {
                Body::Beat(_) => {
                    silence_deadline = Instant::now() + Duration::from_millis(SILENCE_TIMEOUT_MS);
                }
                Body::Report(report) => {
                    silence_deadline = Instant::now() + Duration::from_millis(SILENCE_TIMEOUT_MS);
                    if let Some(call) = pending.remove(&report.id) {
                        answered(&call, decode_report(report));
                    }
                }
                Body::Submission(Submission { id, key, value }) => {
                    let (outcome, result) = oneshot::channel();
                    take(ForwardedRecord { key, value, outcome });
                    outcomes.push(async move { (id, result.await) });
                }
                Body::Request(_) | Body::Outcome(_) | Body::Ended(_) => {
                    bail!("unexpected frame, which only a leader may send");
                }
            }
        }
    }
}

fn encode_ended(ended: &EndedJobs) -> leader_proto::Ended {
    let ids = |jobs: &[JobId]| jobs.iter().map(|job| job.0).collect();
    leader_proto::Ended { completed: ids(&ended.completed), failed: ids(&ended.failed) }
}

fn encode_request(id: u64, call: &AdviceCall, limit_ms: u32) -> AdviceRequest {
    AdviceRequest {
        id,
        job: call.step.job.0,
        occurrence: call.step.occurrence,
        step: call.step.step,
        workers: call.workers.iter().map(|(_, name)| name.to_string()).collect(),
        limit_ms,
    }
}

fn decode_report(report: Report) -> AdviceReply {
    let rows = report.eligible.into_iter().map(|row| (row.worker.into(), row.ticket.into()));
    report.answered.then(|| rows.collect())
}

async fn send(connection: &mut FrameStream, body: Body) -> Result<()> {
    let frame = Frame { body: Some(body) };
    connection.send(Bytes::from(frame.encode_to_vec())).await.context("cannot send a frame")
}

async fn receive(connection: &mut FrameStream) -> Result<Body> {
    let frame = connection.next().await.context("the peer closed the connection")??;
    Frame::decode(frame)?.body.context("frame without a body")
}

/// Accepts connections from leaders for as long as the future is polled.
///
/// `ask` makes an advice call. `linked` is called for each new connection with the queue of records for its leader.
/// When the connection ends, the queue closes and `ended` is called. `finished` is called for jobs whose final state
/// the leader has recorded.
///
/// # Errors
///
/// Fails if accepting a connection fails.
pub async fn serve<F>(
    listener: &TcpListener,
    ask: impl Fn(AdviceQuery) -> F + Clone + Send + Sync + 'static,
    linked: impl Fn(mpsc::UnboundedSender<ForwardedRecord>),
    finished: impl Fn(EndedJobs) + Clone + Send + Sync + 'static,
    ended: impl Fn() + Clone + Send + Sync + 'static,
) -> Result<()>
where
    F: Future<Output = AdviceReply> + Send + 'static,
{
    loop {
        let (stream, peer) = listener.accept().await.context("cannot accept a connection")?;
        let (ask, finished, ended) = (ask.clone(), finished.clone(), ended.clone());
        let (sender, records) = mpsc::unbounded_channel();
        linked(sender);
        tokio::spawn(async move {
            if let Err(error) = serve_leader(stream, ask, finished, records).await {
                log::debug!("event=leader_link_ended peer={peer} error=\"{error:#}\"");
            }
            ended();
        });
    }
}

/// Serves one leader. Advice calls run concurrently and are answered in the order of their requests.
async fn serve_leader<F>(
    stream: TcpStream,
    ask: impl Fn(AdviceQuery) -> F,
    finished: impl Fn(EndedJobs),
    mut records: mpsc::UnboundedReceiver<ForwardedRecord>,
) -> Result<()>
where
    F: Future<Output = AdviceReply>,
{
    let mut connection = frames::framed(stream)?;
    let mut calls = FuturesOrdered::new();
    let mut pending: HashMap<u64, oneshot::Sender<ForwardOutcome>> = HashMap::new();
    let mut last_id = 0;
    let mut silence_deadline = Instant::now() + Duration::from_millis(SILENCE_TIMEOUT_MS);
    loop {
        tokio::select! {
            body = timeout_at(silence_deadline, receive(&mut connection)) => match body
                .context("no heartbeat from the leader in time")??
            {
                Body::Request(request) => {
                    let (id, call) = (request.id, ask(decode_question(request)));
                    calls.push_back(async move { encode_report(id, call.await) });
                }
                Body::Beat(beat) => {
                    silence_deadline = Instant::now() + Duration::from_millis(SILENCE_TIMEOUT_MS);
                    send(&mut connection, Body::Beat(beat)).await?;
                }
                Body::Outcome(Outcome { id, refused }) => {
                    if let Some(outcome) = pending.remove(&id) {
                        let result = if refused { ForwardOutcome::Refused } else { ForwardOutcome::Durable };
                        // The submitter of the record may have stopped waiting.
                        let _unsent = outcome.send(result);
                    }
                }
                Body::Ended(ended) => {
                    let ids = |jobs: Vec<u64>| jobs.into_iter().map(JobId).collect();
                    let (completed, failed) = (ids(ended.completed), ids(ended.failed));
                    finished(EndedJobs { completed, failed });
                }
                Body::Report(_) | Body::Submission(_) => bail!("unexpected frame, which a leader may not send"),
            },
            Some(report) = calls.next(), if !calls.is_empty() => {
                send(&mut connection, Body::Report(report)).await?;
            }
            Some(record) = records.recv() => {
                last_id += 1;
                let ForwardedRecord { key, value, outcome } = record;
                pending.insert(last_id, outcome);
                send(&mut connection, Body::Submission(Submission { id: last_id, key, value })).await?;
            }
        }
    }
}

fn decode_question(request: AdviceRequest) -> AdviceQuery {
    let step =
        StepId { job: JobId(request.job), occurrence: request.occurrence, step: request.step };
    let workers = request.workers.into_iter().map(Arc::from).collect();
    AdviceQuery { step, workers, limit_ms: request.limit_ms }
}

fn encode_report(id: u64, advice: AdviceReply) -> Report {
    let row = |(worker, ticket): (Arc<str>, Arc<str>)| Eligible {
        worker: worker.to_string(),
        ticket: ticket.to_string(),
    };
    let answered = advice.is_some();
    Report { id, answered, eligible: advice.into_iter().flatten().map(row).collect() }
}
