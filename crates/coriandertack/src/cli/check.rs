//! `check`: every fault of a settings file.

use {clap::ArgMatches, coriandertackd::settings};

use crate::cli::{Failure, args, output::print};

/// Prints every fault with its file, key and reason.
pub fn check(matches: &ArgMatches) -> Result<(), Failure> {
    let path = args::text(matches, "file").unwrap_or_default();
    let faults = settings::check(path);
    if faults.is_empty() {
        return print(&format!("{path}: no faults"));
    }
    for fault in &faults {
        eprintln!("{fault}");
    }
    let count = faults.len();
    let message = format!("{path} has {count} faults; docs/OPERATIONS.md describes the keys");
    Err(Failure::usage(message))
}
