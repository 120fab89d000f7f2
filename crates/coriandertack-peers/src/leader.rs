//! Links between the leading entry VM and the others.
//!
//! The leader opens one connection to each VM ([`dial`]) and asks it to make calls for advice; the VM serves it with one
//! task ([`serve`]) and hands the leader the records of its callers, which the leader appends together with its
//! own. A record whose outcome is missing when the connection breaks may have been appended.

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
    frames::{self, Frames},
    leader_proto::{
        self, AdviceRequest, Beat, Eligible, Frame, Outcome, Report, Submission, frame::Body,
    },
};

/// Longest wait for a connection, in milliseconds; several times the round trip between regions.
const CONNECT_MS: u64 = 500;

/// Time between two beats of the leader, in milliseconds.
const BEAT_MS: u64 = 1_000;

/// Silence after which a connection counts as lost, in milliseconds. An open connection can go silent for good.
const SILENT_MS: u64 = 2_500;

/// A question on a step, as the VM that makes the call sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// Step.
    pub step: StepId,
    /// Named workers.
    pub workers: Vec<Arc<str>>,
    /// Milliseconds for which the answer is waited for.
    pub limit_ms: u32,
}

/// Workers that may run a step, with their tickets; nothing if the call failed.
pub type Advice = Option<Vec<(Arc<str>, Arc<str>)>>;

/// A record that a VM hands to the leader.
#[derive(Debug)]
pub struct Handed {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Receives what became of the record, and closes if that is unknown.
    pub outcome: oneshot::Sender<Taken>,
}

/// What a leader made of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is durable.
    Durable,
    /// It was not appended and will not be.
    Refused,
}

/// Jobs whose final state is recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ended {
    /// Completed jobs.
    pub completed: Vec<JobId>,
    /// Failed jobs.
    pub failed: Vec<JobId>,
}

/// What a leader sends to a VM.
#[derive(Clone, Debug)]
pub enum ToVm {
    /// A call for advice, and the milliseconds for which its answer is of use.
    Ask(AdviceCall, u32),
    /// Jobs whose final state is recorded, so that the VM need not wait for its next read of the store.
    Ended(Arc<Ended>),
}

/// Carries calls to another VM, and its records back, until the connection breaks or the queue closes.
///
/// `answered` is called once for each call, with nothing if it has no answer when the connection breaks. `take` is
/// called for each record.
///
/// # Errors
///
/// Fails if the connection cannot be opened or breaks.
pub async fn dial(
    address: SocketAddr,
    mut queue: mpsc::UnboundedReceiver<ToVm>,
    answered: impl Fn(&AdviceCall, Advice),
    take: impl Fn(Handed),
    connected: impl FnOnce(),
) -> Result<()> {
    let limit = Duration::from_millis(CONNECT_MS);
    let stream = timeout(limit, TcpStream::connect(address)).await.context("no connection")??;
    let mut connection = frames::wrap(stream)?;
    connected();
    let mut pending = HashMap::new();
    let result = lead(&mut connection, &mut queue, &mut pending, &answered, &take).await;
    for call in pending.values() {
        answered(call, None);
    }
    queue.close();
    while let Ok(order) = queue.try_recv() {
        if let ToVm::Ask(call, _) = order {
            answered(&call, None);
        }
    }
    result
}

async fn lead(
    connection: &mut Frames,
    queue: &mut mpsc::UnboundedReceiver<ToVm>,
    pending: &mut HashMap<u64, AdviceCall>,
    answered: &impl Fn(&AdviceCall, Advice),
    take: &impl Fn(Handed),
) -> Result<()> {
    let mut last = 0;
    let mut handed = FuturesUnordered::new();
    let mut beat = interval(Duration::from_millis(BEAT_MS));
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut silent_at = Instant::now() + Duration::from_millis(SILENT_MS);
    loop {
        tokio::select! {
            _ = beat.tick() => {
                ensure!(Instant::now() < silent_at, "the peer is silent");
                send(connection, Body::Beat(Beat {})).await?;
            }
            next = queue.recv() => match next {
                Some(ToVm::Ask(call, limit_ms)) => {
                    last += 1;
                    let request = request(last, &call, limit_ms);
                    pending.insert(last, call);
                    send(connection, Body::Request(request)).await?;
                }
                Some(ToVm::Ended(ended)) => send(connection, Body::Ended(wire_ended(&ended))).await?,
                None => return Ok(()),
            },
            Some((id, taken)) = handed.next(), if !handed.is_empty() => {
                let taken: Result<Taken, oneshot::error::RecvError> = taken;
                if let Ok(taken) = taken {
                    let refused = taken == Taken::Refused;
                    send(connection, Body::Outcome(Outcome { id, refused })).await?;
                }
            }
            body = receive(connection) => match body? {
                Body::Beat(_) => {
                    silent_at = Instant::now() + Duration::from_millis(SILENT_MS);
                }
                Body::Report(report) => {
                    silent_at = Instant::now() + Duration::from_millis(SILENT_MS);
                    if let Some(call) = pending.remove(&report.id) {
                        answered(&call, advice(report));
                    }
                }
                Body::Submission(Submission { id, key, value }) => {
                    let (outcome, taken) = oneshot::channel();
                    take(Handed { key, value, outcome });
                    handed.push(async move { (id, taken.await) });
                }
                Body::Request(_) | Body::Outcome(_) | Body::Ended(_) => {
                    bail!("a frame that only a leader sends");
                }
            }
        }
    }
}

fn wire_ended(ended: &Ended) -> leader_proto::Ended {
    let ids = |jobs: &[JobId]| jobs.iter().map(|job| job.0).collect();
    leader_proto::Ended { completed: ids(&ended.completed), failed: ids(&ended.failed) }
}

fn request(id: u64, call: &AdviceCall, limit_ms: u32) -> AdviceRequest {
    AdviceRequest {
        id,
        job: call.step.job.0,
        occurrence: call.step.occurrence,
        step: call.step.step,
        workers: call.workers.iter().map(|(_, name)| name.to_string()).collect(),
        limit_ms,
    }
}

fn advice(report: Report) -> Advice {
    let rows = report.eligible.into_iter().map(|row| (row.worker.into(), row.ticket.into()));
    report.answered.then(|| rows.collect())
}

async fn send(connection: &mut Frames, body: Body) -> Result<()> {
    let frame = Frame { body: Some(body) };
    connection.send(Bytes::from(frame.encode_to_vec())).await.context("cannot send a frame")
}

async fn receive(connection: &mut Frames) -> Result<Body> {
    let frame = connection.next().await.context("the peer closed the connection")??;
    Frame::decode(frame)?.body.context("empty frame")
}

/// Accepts the connections of leaders for as long as the future is polled.
///
/// `ask` makes a call for advice. `linked` is called for each new connection with the queue of records for its leader;
/// the queue closes when the connection ends, and `ended` is called. `finished` is called for jobs that the leader has
/// recorded as ended.
///
/// # Errors
///
/// Fails if no connection can be accepted any more.
pub async fn serve<F>(
    listener: &TcpListener,
    ask: impl Fn(Question) -> F + Clone + Send + Sync + 'static,
    linked: impl Fn(mpsc::UnboundedSender<Handed>),
    finished: impl Fn(Ended) + Clone + Send + Sync + 'static,
    ended: impl Fn() + Clone + Send + Sync + 'static,
) -> Result<()>
where
    F: Future<Output = Advice> + Send + 'static,
{
    loop {
        let (stream, peer) = listener.accept().await.context("cannot accept a link")?;
        let (ask, finished, ended) = (ask.clone(), finished.clone(), ended.clone());
        let (sender, records) = mpsc::unbounded_channel();
        linked(sender);
        tokio::spawn(async move {
            if let Err(error) = follow(stream, ask, finished, records).await {
                log::debug!("event=leader_link_ended peer={peer} error=\"{error:#}\"");
            }
            ended();
        });
    }
}

/// Serves one leader. Calls are made in the order in which they came.
async fn follow<F>(
    stream: TcpStream,
    ask: impl Fn(Question) -> F,
    finished: impl Fn(Ended),
    mut records: mpsc::UnboundedReceiver<Handed>,
) -> Result<()>
where
    F: Future<Output = Advice>,
{
    let mut connection = frames::wrap(stream)?;
    let mut calls = FuturesOrdered::new();
    let mut pending: HashMap<u64, oneshot::Sender<Taken>> = HashMap::new();
    let mut last = 0;
    let mut silent_at = Instant::now() + Duration::from_millis(SILENT_MS);
    loop {
        tokio::select! {
            body = timeout_at(silent_at, receive(&mut connection)) => match body.context("the leader is silent")?? {
                Body::Request(request) => {
                    let (id, call) = (request.id, ask(question(request)));
                    calls.push_back(async move { report(id, call.await) });
                }
                Body::Beat(beat) => {
                    silent_at = Instant::now() + Duration::from_millis(SILENT_MS);
                    send(&mut connection, Body::Beat(beat)).await?;
                }
                Body::Outcome(Outcome { id, refused }) => {
                    if let Some(outcome) = pending.remove(&id) {
                        let taken = if refused { Taken::Refused } else { Taken::Durable };
                        // Whoever handed the record in may have stopped waiting.
                        let _gone = outcome.send(taken);
                    }
                }
                Body::Ended(ended) => {
                    let ids = |jobs: Vec<u64>| jobs.into_iter().map(JobId).collect();
                    let (completed, failed) = (ids(ended.completed), ids(ended.failed));
                    finished(Ended { completed, failed });
                }
                Body::Report(_) | Body::Submission(_) => bail!("a frame that no leader sends"),
            },
            Some(report) = calls.next(), if !calls.is_empty() => {
                send(&mut connection, Body::Report(report)).await?;
            }
            Some(record) = records.recv() => {
                last += 1;
                let Handed { key, value, outcome } = record;
                pending.insert(last, outcome);
                send(&mut connection, Body::Submission(Submission { id: last, key, value })).await?;
            }
        }
    }
}

fn question(request: AdviceRequest) -> Question {
    let step =
        StepId { job: JobId(request.job), occurrence: request.occurrence, step: request.step };
    let workers = request.workers.into_iter().map(Arc::from).collect();
    Question { step, workers, limit_ms: request.limit_ms }
}

fn report(id: u64, advice: Advice) -> Report {
    let row = |(worker, ticket): (Arc<str>, Arc<str>)| Eligible {
        worker: worker.to_string(),
        ticket: ticket.to_string(),
    };
    let answered = advice.is_some();
    Report { id, answered, eligible: advice.into_iter().flatten().map(row).collect() }
}
