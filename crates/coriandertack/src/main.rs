//! Command line of the coriandertack scheduler, with a demo and benchmarks.

mod bench;
mod cli;
mod demo;
#[allow(dead_code)]
mod local;
mod standins;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let result = match matches.subcommand() {
        Some(("demo", matches)) => demo::command(matches).map_err(cli::Failure::from),
        Some(("standins", matches)) => standins::command(matches).map_err(cli::Failure::from),
        Some(("bench", matches)) => bench::command(matches).map_err(cli::Failure::from),
        Some((name, matches)) => cli::run(name, matches),
        None => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            if !failure.message.is_empty() {
                eprintln!("error: {failure}");
            }
            ExitCode::from(failure.exit_code)
        }
    }
}
