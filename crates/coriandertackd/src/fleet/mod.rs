//! An entry VM on the platform.
//!
//! Each VM serves callers ([`caller_api`]), makes submissions durable ([`intake`]) and reads the records of all jobs
//! ([`readers`]). One VM is the leader ([`leadership`]): it holds the fence of the progress topic, runs tasks for each
//! worker ([`workers`]) and distributes calls for advice over the VMs ([`advice`]). docs/notes/platform.md has the
//! design.

pub mod advice;
pub mod arrivals;
pub mod batches;
pub mod caller_api;
pub mod election;
pub mod handover;
pub mod hosts;
pub mod intake;
pub mod leadership;
pub mod maintenance;
pub mod metrics;
pub mod output;
pub mod readers;
pub mod refusals;
pub mod retention;
pub mod settings;
pub mod shared;
pub mod workers;

use std::{sync::Arc, time::Duration};

use {
    anyhow::{Context, Result},
    tokio::{
        net::{TcpListener, TcpSocket},
        signal::unix::{SignalKind, signal},
        task::JoinSet,
        time::sleep,
    },
};

use self::{settings::Settings, shared::Shared};
use crate::{clock, connections};

/// Time from the stop signal until connections are closed, in milliseconds. The platform's load balancer probes once a
/// second and stops sending new connections after at most two probes.
const LAMEDUCK_MS: u64 = 2_500;

/// Time for requests in flight to finish after that, in milliseconds. The sum of both stays below the platform's grace
/// period.
const CLOSE_TIMEOUT_MS: u64 = 2_500;

/// Size of the kernel's buffers of a caller's connection in each direction, in bytes. By default they grow to several MB
/// each, which count as memory of the VM; a client that sends to a busy process, or reads no response, would fill them.
/// The kernel doubles the value, which gives the size that buffers for received bytes start with by default.
const KERNEL_BUFFER_BYTES: u32 = 64 * 1_024;

/// Number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Runs the VM until it receives SIGTERM.
///
/// # Errors
///
/// Fails if an address cannot be bound, a signal handler cannot be installed or a task of the process ends.
pub async fn run(settings: Settings) -> Result<()> {
    let settings = Arc::new(settings);
    let (shared, submissions) = Shared::new(settings.clone())?;
    let shared = Arc::new(shared);
    log::info!(
        "event=start vm={} zone={} version={} store={}",
        settings.vm.name,
        settings.vm.zone,
        env!("CARGO_PKG_VERSION"),
        settings.platform.store
    );
    let callers = bind_callers(settings.vm.callers)?;
    let ready = bind(settings.vm.ready).await?;
    let link = bind(settings.vm.link).await?;
    let mut tasks = JoinSet::new();
    tasks.spawn(readers::operator(shared.clone()));
    tasks.spawn(readers::intake(shared.clone()));
    tasks.spawn(readers::progress(shared.clone()));
    tasks.spawn(intake::run(shared.clone(), submissions));
    tasks.spawn(leadership::run(shared.clone()));
    tasks.spawn(advice::serve(shared.clone(), link));
    tasks.spawn(caller_api::serve_ready(shared.clone(), ready));
    if let Some(address) = settings.vm.metrics {
        match bind(address).await {
            Ok(listener) => drop(tasks.spawn(metrics::serve(shared.clone(), listener))),
            // Callers are served even if the metrics address is already in use.
            Err(error) => log::warn!("event=metrics_unavailable error=\"{error:#}\""),
        }
    }
    let caller_server = tokio::spawn(caller_api::serve(shared.clone(), callers));
    let mut reload = signal(SignalKind::hangup()).context("cannot handle SIGHUP")?;
    let mut terminate = signal(SignalKind::terminate()).context("cannot handle SIGTERM")?;
    loop {
        tokio::select! {
            _ = reload.recv() => settings::reload(&settings),
            _ = terminate.recv() => break,
            Some(ended) = tasks.join_next() => {
                log::error!("event=task_ended result={ended:?}");
                anyhow::bail!("a task of the process ended");
            }
        }
    }
    log::info!("event=stop vm={} reason=signal", settings.vm.name);
    shared.stopping.send_replace(true);
    sleep(Duration::from_millis(LAMEDUCK_MS)).await;
    shared.closing.send_replace(true);
    if tokio::time::timeout(Duration::from_millis(CLOSE_TIMEOUT_MS), caller_server).await.is_err() {
        log::warn!("event=stop_cut vm={} reason=requests_in_flight", settings.vm.name);
    }
    log::info!("event=stopped vm={}", settings.vm.name);
    Ok(())
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen at {address}"))
}

/// Listens for callers. Their connections inherit the sizes of the buffers.
fn bind_callers(address: std::net::SocketAddr) -> Result<TcpListener> {
    let listen = || {
        let socket = match address.is_ipv4() {
            true => TcpSocket::new_v4()?,
            false => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.set_recv_buffer_size(KERNEL_BUFFER_BYTES)?;
        socket.set_send_buffer_size(KERNEL_BUFFER_BYTES)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().with_context(|| format!("cannot listen at {address}"))
}
