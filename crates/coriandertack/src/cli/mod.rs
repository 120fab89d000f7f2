//! Subcommands that talk to the resource API or to nothing at all.

mod apply;
mod args;
mod changes;
mod check;
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

/// What the subcommands share.
#[derive(Debug)]
struct Context {
    client: Client,
    output: Output,
}

/// Runs a subcommand.
///
/// # Errors
///
/// Fails with the message and the exit code of the process.
pub fn run(name: &str, matches: &ArgMatches) -> Result<(), Failure> {
    match name {
        "check" => check::check(matches),
        "trace" => trace::trace(matches),
        "completion" => args::completion(matches),
        _ => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(talk(name, matches))
        }
    }
}

async fn talk(name: &str, matches: &ArgMatches) -> Result<(), Failure> {
    let context = Context { client: Client::of(matches)?, output: Output::of(matches) };
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
