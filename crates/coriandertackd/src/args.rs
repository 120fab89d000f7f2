//! Command line of the process.
//!
//! `coriandertackd --settings FILE --vm NAME` runs one VM of a deployment. The name can be left out if
//! the file has only one VM, or names one with `vm_name`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::settings::{self, Fault, Settings};

/// Returns the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("coriandertackd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs one entry VM of the coriandertack scheduler")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file of the deployment"),
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .action(ArgAction::SetTrue)
                .conflicts_with("vm")
                .help("Runs on the platform, with the settings that deploy/settings.toml renders"),
        )
        .arg(Arg::new("vm").long("vm").value_name("NAME").help("Name of the VM in the file"))
}

/// Returns the settings file of a VM on the platform, if the command line asks for one.
#[must_use]
pub fn platform(matches: &ArgMatches) -> Option<PathBuf> {
    let file = matches.get_one::<PathBuf>("settings").cloned();
    file.filter(|_| matches.get_flag("platform"))
}

/// Reads the settings that the command line names.
///
/// # Errors
///
/// Returns every fault of the file, or the one of the choice of the VM.
pub fn settings(matches: &ArgMatches) -> Result<Settings, Vec<Fault>> {
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let name = matches.get_one::<String>("vm").map(String::as_str);
    settings::read(path)?.select(name).map_err(|fault| vec![fault])
}
