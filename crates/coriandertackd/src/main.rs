//! The `coriandertackd` program, which runs one entry VM.

use std::{path::Path, process::ExitCode};

use {
    anyhow::{Context, Result},
    coriandertackd::{args, fleet, logging, process, settings::Settings},
    tokio::{
        runtime::Builder,
        signal::unix::{SignalKind, signal},
        sync::watch,
    },
};

/// Exit code for invalid settings, so that a supervisor can tell them from a failure at run time.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    if let Some(file) = args::platform_settings(&matches) {
        return serve_platform(&file);
    }
    let settings = match args::read_settings(&matches) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("error: {fault}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=process_failed error=\"{error:#}\"");
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a VM on the platform. Such a VM has a fraction of a core, so a single-threaded runtime suffices.
fn serve_platform(file: &Path) -> ExitCode {
    let settings = match fleet::settings::read(file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error:#}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let run = || -> Result<()> {
        let _flush = fleet::output::init(settings.logging.level)?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let result = runtime.block_on(fleet::run(settings.clone()));
        if let Err(error) = &result {
            log::error!("event=process_failed error=\"{error:#}\"");
        }
        result
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn serve(settings: Settings) -> Result<()> {
    logging::init(settings.common.level)?;
    let mut terminate = signal(SignalKind::terminate()).context("cannot handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot handle SIGINT")?;
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop.send_replace(true);
    });
    process::run(settings, stopped, watch::Sender::default()).await
}
