//! Errands between entry VMs: the leader asks others to make calls for advice.
//!
//! The leader keeps one connection to each other VM ([`dial`]); a VM serves each connection with one task
//! ([`serve`]) and makes the calls one at a time, as the service answers them.

use std::{collections::HashMap, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use {
    anyhow::{Context, Result},
    bytes::Bytes,
    coriandertack_jobs::{
        ids::{JobId, StepId},
        sched::AdviceCall,
    },
    futures::{SinkExt, StreamExt},
    prost::Message,
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::timeout,
    },
};

use crate::{
    errands_proto::{Errand, Report},
    frames::{self, Frames},
};

/// Longest wait for a connection, in milliseconds; several times the round trip between regions.
const CONNECT_MS: u64 = 500;

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

/// Carries calls to another VM until the connection breaks or the queue closes.
///
/// `answered` is called for each call that was answered. The calls that have no answer when the connection breaks are
/// returned to it as failed.
///
/// # Errors
///
/// Fails if the connection cannot be opened or breaks.
pub async fn dial(
    address: SocketAddr,
    mut queue: mpsc::UnboundedReceiver<(AdviceCall, u32)>,
    answered: impl Fn(&AdviceCall, Advice),
    connected: impl FnOnce(),
) -> Result<()> {
    let limit = Duration::from_millis(CONNECT_MS);
    let stream = timeout(limit, TcpStream::connect(address)).await.context("no connection")??;
    let mut connection = frames::wrap(stream)?;
    connected();
    let mut pending = HashMap::new();
    let result = exchange(&mut connection, &mut queue, &mut pending, &answered).await;
    for call in pending.values() {
        answered(call, None);
    }
    queue.close();
    while let Ok((call, _)) = queue.try_recv() {
        answered(&call, None);
    }
    result
}

async fn exchange(
    connection: &mut Frames,
    queue: &mut mpsc::UnboundedReceiver<(AdviceCall, u32)>,
    pending: &mut HashMap<u64, AdviceCall>,
    answered: &impl Fn(&AdviceCall, Advice),
) -> Result<()> {
    let mut id = 0;
    loop {
        tokio::select! {
            next = queue.recv() => {
                let Some((call, limit_ms)) = next else { return Ok(()) };
                id += 1;
                let errand = Errand {
                    id,
                    job: call.step.job.0,
                    occurrence: call.step.occurrence,
                    step: call.step.step,
                    workers: call.workers.iter().map(|(_, name)| name.to_string()).collect(),
                    limit_ms,
                };
                pending.insert(id, call);
                connection.send(Bytes::from(errand.encode_to_vec())).await?;
            }
            frame = connection.next() => {
                let frame = frame.context("the peer closed the connection")??;
                let report = Report::decode(frame)?;
                if let Some(call) = pending.remove(&report.id) {
                    answered(&call, advice(report));
                }
            }
        }
    }
}

fn advice(report: Report) -> Advice {
    let rows = report.eligible.into_iter().map(|row| (row.worker.into(), row.ticket.into()));
    report.answered.then(|| rows.collect())
}

/// Serves the errands of other VMs for as long as the future is polled.
///
/// # Errors
///
/// Fails if no connection can be accepted any more.
pub async fn serve<F>(
    listener: &TcpListener,
    ask: impl Fn(Question) -> F + Clone + Send + Sync + 'static,
) -> Result<()>
where
    F: Future<Output = Advice> + Send + 'static,
{
    loop {
        let (stream, peer) = listener.accept().await.context("cannot accept a link")?;
        let ask = ask.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_one(stream, ask).await {
                log::debug!("event=errands_ended peer={peer} error=\"{error:#}\"");
            }
        });
    }
}

async fn serve_one<F>(stream: TcpStream, ask: impl Fn(Question) -> F) -> Result<()>
where
    F: Future<Output = Advice>,
{
    let mut connection = frames::wrap(stream)?;
    while let Some(frame) = connection.next().await {
        let errand = Errand::decode(frame?)?;
        let question = Question {
            step: StepId {
                job: JobId(errand.job),
                occurrence: errand.occurrence,
                step: errand.step,
            },
            workers: errand.workers.into_iter().map(Arc::from).collect(),
            limit_ms: errand.limit_ms,
        };
        let advice = ask(question).await;
        let report = Report {
            id: errand.id,
            answered: advice.is_some(),
            eligible: advice
                .into_iter()
                .flatten()
                .map(|(worker, ticket)| crate::errands_proto::Eligible {
                    worker: worker.to_string(),
                    ticket: ticket.to_string(),
                })
                .collect(),
        };
        connection.send(Bytes::from(report.encode_to_vec())).await?;
    }
    Ok(())
}
