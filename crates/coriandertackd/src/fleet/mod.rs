//! An entry VM on the platform.
//!
//! Each VM takes callers' requests ([`front`]), writes submissions to the store ([`intake`]) and follows the records
//! of all jobs ([`follow`]). One of them leads ([`lead`]): it holds the fence of the progress records, keeps a task for
//! each worker ([`workers`]) and has the others ask for advice ([`advice`]). docs/notes/platform.md has the design.

pub mod advice;
pub mod arrivals;
pub mod campaign;
pub mod clock;
pub mod connections;
pub mod follow;
pub mod forget;
pub mod front;
pub mod handover;
pub mod intake;
pub mod lead;
pub mod metrics;
pub mod output;
pub mod settings;
pub mod shared;
pub mod upkeep;
pub mod workers;

use std::{sync::Arc, time::Duration};

use {
    anyhow::{Context, Result},
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
        task::JoinSet,
        time::sleep,
    },
};

use self::{settings::Settings, shared::Shared};

/// Time from the signal to stop until connections are closed, in milliseconds. The platform's balancer notices within two
/// looks, one a second, that the VM takes no new connections.
const LAME_MS: u64 = 2_500;

/// Time that is left to requests in flight after that, in milliseconds. Together both stay below the platform's grace.
const CLOSE_MS: u64 = 2_500;

/// Runs the VM until it is told to stop.
///
/// # Errors
///
/// Fails if an address cannot be bound.
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
    let callers = bind(settings.vm.callers).await?;
    let ready = bind(settings.vm.ready).await?;
    let link = bind(settings.vm.link).await?;
    let mut tasks = JoinSet::new();
    tasks.spawn(follow::operator(shared.clone()));
    tasks.spawn(follow::intake(shared.clone()));
    tasks.spawn(follow::progress(shared.clone()));
    tasks.spawn(intake::run(shared.clone(), submissions));
    tasks.spawn(lead::run(shared.clone()));
    tasks.spawn(advice::serve(shared.clone(), link));
    tasks.spawn(front::ready(shared.clone(), ready));
    if let Some(address) = settings.vm.metrics {
        match bind(address).await {
            Ok(listener) => drop(tasks.spawn(metrics::serve(shared.clone(), listener))),
            // A port that is taken is no reason not to serve callers.
            Err(error) => log::warn!("event=metrics_unavailable error=\"{error:#}\""),
        }
    }
    let front = tokio::spawn(front::callers(shared.clone(), callers));
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
    sleep(Duration::from_millis(LAME_MS)).await;
    shared.closing.send_replace(true);
    if tokio::time::timeout(Duration::from_millis(CLOSE_MS), front).await.is_err() {
        log::warn!("event=stop_cut vm={} reason=requests_in_flight", settings.vm.name);
    }
    log::info!("event=stopped vm={}", settings.vm.name);
    Ok(())
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen at {address}"))
}
