//! The process on an entry VM.

use std::process::ExitCode;

use {
    anyhow::{Context, Result},
    clap::{Arg, Command},
    coriandertackd::{
        logging, process,
        settings::{self, Settings},
    },
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::watch,
    },
};

/// Exit code for faulty settings.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let file: &String = matches.get_one("settings").expect("the argument is required");
    let name: Option<&String> = matches.get_one("vm");
    let settings = match read(file, name.map(String::as_str)) {
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

fn command() -> Command {
    Command::new("coriandertackd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs an entry VM of the coriandertack scheduler")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("Settings file of the deployment"),
        )
        .arg(
            Arg::new("vm")
                .long("vm")
                .value_name("NAME")
                .help("Name of this VM, if the file describes several"),
        )
}

fn read(file: &str, name: Option<&str>) -> Result<Settings, Vec<settings::Fault>> {
    settings::read(file)?.select(name).map_err(|fault| vec![fault])
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
