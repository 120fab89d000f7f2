//! The `coriandertackd` program, which runs one entry VM.

use std::{path::Path, pin::pin, process::ExitCode};

use {
    anyhow::{Context, Result},
    clap::ArgMatches,
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
    match serve(&matches, settings) {
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

/// Runs a VM until it is told to stop. After SIGHUP it leaves the cluster as in a planned stop and joins again with the
/// changed settings.
#[tokio::main]
async fn serve(matches: &ArgMatches, mut settings: Settings) -> Result<()> {
    logging::init(settings.common.level)?;
    let mut terminate = signal(SignalKind::terminate()).context("cannot handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot handle SIGINT")?;
    let mut hangup = signal(SignalKind::hangup()).context("cannot handle SIGHUP")?;
    let mut stopping = false;
    loop {
        let (stop, stopped) = watch::channel(false);
        let mut process = pin!(process::run(settings.clone(), stopped, watch::Sender::default()));
        let mut changed = None;
        loop {
            tokio::select! {
                result = &mut process => {
                    result?;
                    break;
                }
                _ = terminate.recv() => stopping = true,
                _ = interrupt.recv() => stopping = true,
                _ = hangup.recv() => changed = reload(matches, &settings).or(changed),
            }
            if stopping || changed.is_some() {
                stop.send_replace(true);
            }
        }
        match changed.filter(|_| !stopping) {
            Some(changed) => settings = changed,
            None => return Ok(()),
        }
        logging::set_level(settings.common.level);
        log::info!("event=reloaded vm={}", settings.vm.name);
    }
}

/// Reads the settings file again. Returns the settings if they are valid and differ from the current ones; otherwise the
/// current ones stay in force.
fn reload(matches: &ArgMatches, current: &Settings) -> Option<Settings> {
    match args::read_settings(matches) {
        Ok(settings) if settings == *current => {
            log::info!("event=reload_unchanged vm={}", current.vm.name);
            None
        }
        Ok(settings) => {
            log::info!("event=reload vm={}", current.vm.name);
            Some(settings)
        }
        Err(faults) => {
            for fault in faults {
                log::error!("event=reload_refused vm={} fault=\"{fault}\"", current.vm.name);
            }
            None
        }
    }
}
