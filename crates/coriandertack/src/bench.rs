//! The benchmarks.

use clap::ArgMatches;

/// Runs the benchmarks.
pub fn command(_: &ArgMatches) -> anyhow::Result<()> {
    anyhow::bail!("the subcommand `bench` is not built in")
}
