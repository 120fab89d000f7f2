//! The demo.

use clap::ArgMatches;

/// Runs the demo.
pub fn command(_: &ArgMatches) -> anyhow::Result<()> {
    anyhow::bail!("the subcommand `demo` is not built in")
}
