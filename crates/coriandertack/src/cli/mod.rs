//! Subcommands of the command line: clients of the resource API, and commands that work on local files.

mod apply;
mod args;
mod changes;
mod check;
mod check_config;
mod client;
mod explain;
mod failure;
mod follow;
mod output;
mod read;
mod records;
mod trace;

use clap::ArgMatches;

pub use self::{args::command, client::Client, failure::Failure};

use self::output::Output;

/// Client and output format of a subcommand that calls the resource API.
#[derive(Debug)]
struct Context {
    client: Client,
    output: Output,
}

/// Runs a subcommand.
///
/// # Errors
///
/// Returns the message to print and the exit code of the process.
pub fn run(name: &str, matches: &ArgMatches) -> Result<(), Failure> {
    match name {
        "check" => check::check(matches),
        "check-config" => check_config::check_config(matches),
        "trace" => trace::trace(matches),
        "completion" => args::completion(matches),
        _ => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(run_remote(name, matches))
        }
    }
}

async fn run_remote(name: &str, matches: &ArgMatches) -> Result<(), Failure> {
    let context =
        Context { client: Client::from_matches(matches)?, output: Output::from_matches(matches) };
    match name {
        "apply" => apply::apply(&context, matches).await,
        "get" => read::get(&context, matches).await,
        "describe" => read::describe(&context, matches).await,
        "watch" => follow::watch(&context, matches).await,
        "events" => follow::events(&context, matches).await,
        "cancel" => changes::cancel(&context, matches).await,
        "drain" => changes::drain(&context, matches).await,
        "top" => records::top(&context, matches).await,
        "audit" => records::audit(&context, matches).await,
        "charges" => records::charges(&context, matches).await,
        "explain" => explain::explain(&context, matches).await,
        _ => Err(Failure::usage(format!("unknown subcommand `{name}`"))),
    }
}
