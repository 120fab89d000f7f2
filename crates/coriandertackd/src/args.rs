//! Command line of the `coriandertackd` program.
//!
//! `coriandertackd --settings FILE --vm NAME` runs one VM of a deployment. The name may be omitted if
//! the file describes a single VM or selects one with `vm_name`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::settings::{self, Fault, Settings};

/// Returns the definition of the command line.
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
                .help("Settings file of the deployment, in TOML"),
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .action(ArgAction::SetTrue)
                .conflicts_with("vm")
                .help("Runs a VM on the platform; FILE is then rendered from deploy/settings.toml"),
        )
        .arg(
            Arg::new("vm")
                .long("vm")
                .value_name("NAME")
                .help("Name of the VM to run, as given by its [[vm]] section"),
        )
}

/// Returns the settings file if `--platform` is given, and `None` otherwise.
#[must_use]
pub fn platform_settings(matches: &ArgMatches) -> Option<PathBuf> {
    let file = matches.get_one::<PathBuf>("settings").cloned();
    file.filter(|_| matches.get_flag("platform"))
}

/// Reads the settings file and selects the VM given on the command line.
///
/// # Errors
///
/// Returns every fault of the file or, if it has none, the reason why no VM could be selected.
pub fn read_settings(matches: &ArgMatches) -> Result<Settings, Vec<Fault>> {
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let name = matches.get_one::<String>("vm").map(String::as_str);
    settings::read(path)?.select(name).map_err(|fault| vec![fault])
}
