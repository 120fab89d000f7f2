//! The process on an entry VM.

use std::process::ExitCode;

use {
    anyhow::{Context, Result},
    coriandertackd::{args, logging, process, settings::Settings},
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::watch,
    },
};

/// Exit code for faulty settings.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let settings = match args::settings(&args::command().get_matches()) {
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
