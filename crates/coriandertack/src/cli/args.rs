//! Definition of the subcommands and their arguments.

use std::{io, net::SocketAddr};

use {
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    clap_complete::Shell,
};

use crate::cli::Failure;

/// Object kinds that `get` and `describe` accept.
pub const KINDS: [&str; 5] = ["teams", "settings", "jobs", "workers", "vms"];

/// Values of the argument of `bench`.
const SCENARIOS: [&str; 7] = ["wait", "packing", "surge", "blocking", "cost", "recovery", "all"];

/// Returns the definition of the whole command line.
#[must_use]
pub fn command() -> Command {
    Command::new("coriandertack")
        .version(env!("CARGO_PKG_VERSION"))
        .about(
            "Client of the coriandertack scheduler, with a settings checker, a demo and benchmarks",
        )
        .after_help("See docs/OPERATIONS.md for exit codes and examples")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(connection_args())
        .subcommands(write_commands())
        .subcommands(read_commands())
        .subcommands(local_commands())
}

fn connection_args() -> [Arg; 3] {
    [
        Arg::new("server")
            .long("server")
            .global(true)
            .value_name("ADDRESS")
            .help("Address of an entry VM or load balancer as IP:PORT [env CORIANDERTACK_SERVER]"),
        Arg::new("token")
            .long("token")
            .global(true)
            .value_name("TOKEN")
            .help("Operator or team token; prefer CORIANDERTACK_TOKEN, since other users can see arguments"),
        Arg::new("output")
            .short('o')
            .long("output")
            .global(true)
            .value_name("FORM")
            .value_parser(["table", "json"])
            .default_value("table")
            .help("Output format"),
    ]
}

fn write_commands() -> [Command; 3] {
    [
        Command::new("apply")
            .about("Creates or updates the teams, settings and jobs in a TOML file")
            .arg(file_arg())
            .arg(dry_run_flag()),
        Command::new("cancel").about("Cancels a job").arg(job_arg()).arg(dry_run_flag()),
        Command::new("drain")
            .about(
                "Stops new work from being placed on a worker; running tasks continue to their end",
            )
            .arg(name_arg("worker"))
            .arg(switch("undo", "Allows new work on the worker again"))
            .arg(dry_run_flag()),
    ]
}

fn read_commands() -> [Command; 8] {
    [
        Command::new("get")
            .about("Lists objects, or shows one by name")
            .arg(kind_arg())
            .arg(name_arg("name").required(false))
            .arg(text_option("team", "Only jobs of this team"))
            .arg(text_option(
                "standing",
                "Only jobs with this standing: active, cancelling or ended",
            ))
            .arg(text_option("zone", "Only workers in this availability zone"))
            .arg(limit_arg()),
        Command::new("describe")
            .about("Shows all fields of one object")
            .arg(kind_arg())
            .arg(name_arg("name")),
        Command::new("watch").about("Prints changes as they occur").arg(
            text_option("from", "Position after which to start: a number, `oldest` or `now`")
                .default_value("now"),
        ),
        Command::new("events")
            .about("Prints the changes that the VM still retains, then exits")
            .arg(
                text_option("from", "Position after which to start: a number, `oldest` or `now`")
                    .default_value("oldest"),
            ),
        Command::new("top").about("Lists teams by their recent resource usage").arg(
            Arg::new("hours")
                .long("hours")
                .value_name("HOURS")
                .value_parser(value_parser!(u64).range(1..=8_760))
                .default_value("24")
                .help("Number of hours to include, up to the present"),
        ),
        Command::new("audit")
            .about("Lists the audit trail of accepted and refused changes")
            .arg(text_option("actor", "Only changes by this actor, for example `operator:ana`"))
            .arg(text_option("action", "Only actions whose name contains this text"))
            .arg(switch("refused", "Only refused changes"))
            .arg(limit_arg()),
        Command::new("charges")
            .about("Lists charges by period, team and job kind")
            .arg(text_option("team", "Only charges of this team"))
            .arg(text_option("kind", "Only charges of this job kind: service, batch or gang"))
            .arg(switch("csv", "Prints CSV instead of a table"))
            .arg(limit_arg()),
        Command::new("explain").about("Shows why a job has not started").arg(job_arg()),
    ]
}

fn local_commands() -> [Command; 7] {
    [
        Command::new("check").about("Checks a settings file and prints every error in it").arg(
            Arg::new("file").value_name("FILE").required(true).help("Path of the settings file"),
        ),
        Command::new("check-config")
            .about("Checks a configuration of the platform before it is published")
            .after_help(
                "Exit status: 0 nothing found, 1 warnings only, 2 errors, 3 a version cannot be read",
            )
            .arg(
                Arg::new("file")
                    .value_name("FILE")
                    .required(true)
                    .value_parser(value_parser!(std::path::PathBuf))
                    .help("Path of the configuration, in JSON"),
            )
            .arg(
                path_option("against", "Configuration to compare with, in JSON")
                    .conflicts_with("in-force"),
            )
            .arg(
                Arg::new("in-force")
                    .long("in-force")
                    .value_name("ADDRESS")
                    .value_parser(value_parser!(SocketAddr))
                    .help("Address of the platform's store as IP:PORT, to compare with the version in force"),
            ),
        Command::new("trace")
            .about("Merges the log lines of one job from several VMs and reports why the job ended")
            .arg(
                Arg::new("id")
                    .value_name("ID")
                    .required(true)
                    .help("ID of the job as it appears in the log lines"),
            )
            .arg(
                Arg::new("files")
                    .value_name("FILE")
                    .required(true)
                    .num_args(1..)
                    .value_parser(value_parser!(std::path::PathBuf))
                    .help("Log files of entry VMs"),
            ),
        Command::new("completion").about("Prints the completion script for a shell").arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("Shell to complete for"),
        ),
        Command::new("standins")
            .about("Serves stand-ins of the platform services at the addresses in a settings file")
            .arg(path_option("settings", "Settings file that names the addresses").required(true)),
        Command::new("demo")
            .about("Runs a complete deployment in this process and checks its results")
            .arg(path_option("json", "File to write the result to, as JSON"))
            .arg(path_option("settings", "Settings file of the deployment [default: built in]")),
        Command::new("bench")
            .about("Runs one benchmark scenario, or all of them")
            .arg(
                Arg::new("scenario")
                    .value_name("SCENARIO")
                    .required(true)
                    .value_parser(SCENARIOS)
                    .help("Scenario to run"),
            )
            .arg(path_option("json", "File to write the report to, as JSON"))
            .arg(
                Arg::new("seed")
                    .long("seed")
                    .value_name("N")
                    .value_parser(value_parser!(u64))
                    .help("Seed of the random number generators"),
            )
            .arg(path_option("plots", "Directory to write the plots of the scenario `cost` to"))
            .arg(path_option("compare", "Earlier JSON report to compare with")),
    ]
}

fn file_arg() -> Arg {
    Arg::new("file")
        .short('f')
        .long("file")
        .value_name("FILE")
        .required(true)
        .help("TOML file to apply")
}

fn dry_run_flag() -> Arg {
    switch("dry-run", "Checks the change without making it")
}

fn kind_arg() -> Arg {
    Arg::new("kind").value_name("KIND").required(true).value_parser(KINDS).help("Object kind")
}

fn name_arg(id: &'static str) -> Arg {
    Arg::new(id).value_name("NAME").required(true).help("Object name, or the number of a job")
}

fn job_arg() -> Arg {
    Arg::new("job")
        .value_name("JOB")
        .required(true)
        .value_parser(value_parser!(u64))
        .help("Job number")
}

fn limit_arg() -> Arg {
    Arg::new("limit")
        .long("limit")
        .value_name("N")
        .value_parser(value_parser!(u64).range(1..=1_000_000))
        .default_value("1000")
        .help("Maximum number of lines")
}

fn text_option(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).long(id).value_name("VALUE").help(help)
}

fn path_option(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .long(id)
        .value_name("PATH")
        .value_parser(value_parser!(std::path::PathBuf))
        .help(help)
}

fn switch(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).long(id).action(ArgAction::SetTrue).help(help)
}

/// Writes the completion script for a shell to standard output.
pub fn completion(matches: &ArgMatches) -> Result<(), Failure> {
    let shell = matches.get_one::<Shell>("shell").copied();
    let shell =
        shell.ok_or_else(|| Failure::usage("no shell given; name one, for example bash"))?;
    clap_complete::generate(shell, &mut command(), "coriandertack", &mut io::stdout());
    Ok(())
}

/// Returns the value of a string argument, or `None` if it was not given.
pub fn string_value<'a>(matches: &'a ArgMatches, id: &str) -> Option<&'a str> {
    matches.get_one::<String>(id).map(String::as_str)
}
