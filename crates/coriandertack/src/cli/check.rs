//! `check`: validation of a settings file.

use {clap::ArgMatches, coriandertackd::settings};

use crate::cli::{Failure, args, output::print};

/// Prints every error in a settings file with its file, key and reason.
pub fn check(matches: &ArgMatches) -> Result<(), Failure> {
    let path = args::string_value(matches, "file").unwrap_or_default();
    let errors = settings::check(path);
    if errors.is_empty() {
        return print(&format!("{path}: no errors"));
    }
    for error in &errors {
        eprintln!("{error}");
    }
    let count = errors.len();
    let message = format!("{path} has {count} error(s); docs/OPERATIONS.md describes the keys");
    Err(Failure::usage(message))
}
