//! Subcommands and their flags.

use std::io;

use {
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    clap_complete::Shell,
};

use crate::cli::Failure;

/// Kinds of objects that can be read.
pub const KINDS: [&str; 5] = ["teams", "settings", "jobs", "workers", "vms"];

/// Scenarios of the benchmarks.
const SCENARIOS: [&str; 7] = ["wait", "packing", "surge", "blocking", "cost", "recovery", "all"];

/// Returns the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("coriandertack")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Talks to the coriandertack scheduler, checks its settings, runs its demo and benchmarks")
        .after_help("Exit codes and examples: docs/OPERATIONS.md")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(connection())
        .subcommands(changing())
        .subcommands(reading())
        .subcommands(local())
}

fn connection() -> [Arg; 3] {
    [
        Arg::new("server")
            .long("server")
            .global(true)
            .value_name("ADDRESS")
            .help("Address of an entry VM or its load balancer, IP:PORT [env CORIANDERTACK_SERVER]"),
        Arg::new("token")
            .long("token")
            .global(true)
            .value_name("TOKEN")
            .help("Token of an operator or a team; better set in CORIANDERTACK_TOKEN, which other users cannot see"),
        Arg::new("output")
            .short('o')
            .long("output")
            .global(true)
            .value_name("FORM")
            .value_parser(["table", "json"])
            .default_value("table")
            .help("Form of the output"),
    ]
}

fn changing() -> [Command; 3] {
    [
        Command::new("apply")
            .about("Creates or changes the teams, settings and jobs of a TOML file")
            .arg(file_flag())
            .arg(dry_run()),
        Command::new("cancel").about("Cancels a job").arg(job()).arg(dry_run()),
        Command::new("drain")
            .about("Keeps new work away from a worker; what runs there runs to its end")
            .arg(name("worker"))
            .arg(flag("undo", "Lets the worker take new work again"))
            .arg(dry_run()),
    ]
}

fn reading() -> [Command; 8] {
    [
        Command::new("get")
            .about("Lists objects, or shows one")
            .arg(kind())
            .arg(name("name").required(false))
            .arg(option("team", "Only jobs of this team"))
            .arg(option("standing", "Only jobs in this standing: active, cancelling, ended"))
            .arg(option("zone", "Only workers of this availability zone"))
            .arg(limit()),
        Command::new("describe").about("Shows all of one object").arg(kind()).arg(name("name")),
        Command::new("watch")
            .about("Prints changes as they are made")
            .arg(option("from", "Position to begin after; `oldest` or `now`").default_value("now")),
        Command::new("events").about("Prints the changes that the VM still keeps, and ends").arg(
            option("from", "Position to begin after; `oldest` or `now`").default_value("oldest"),
        ),
        Command::new("top").about("Lists teams by what they used lately").arg(
            Arg::new("hours")
                .long("hours")
                .value_name("HOURS")
                .value_parser(value_parser!(u64).range(1..=8_760))
                .default_value("24")
                .help("Hours to look back"),
        ),
        Command::new("audit")
            .about("Lists the trail of changes, made and refused")
            .arg(option("actor", "Only changes of this actor, for example `operator:ana`"))
            .arg(option("action", "Only actions that contain this text"))
            .arg(flag("refused", "Only refused changes"))
            .arg(limit()),
        Command::new("charges")
            .about("Lists charges by period, team and kind")
            .arg(option("team", "Only this team"))
            .arg(option("kind", "Only this kind: service, batch, gang"))
            .arg(flag("csv", "Prints CSV"))
            .arg(limit()),
        Command::new("explain").about("Tells why a job has not started").arg(job()),
    ]
}

fn local() -> [Command; 6] {
    [
        Command::new("check").about("Checks a settings file").arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .help("Settings file of a deployment"),
        ),
        Command::new("trace")
            .about("Puts the log lines of one job from several VMs in order, and names the cause of its end")
            .arg(Arg::new("id").value_name("ID").required(true).help("Name of the job"))
            .arg(
                Arg::new("files")
                    .value_name("FILE")
                    .required(true)
                    .num_args(1..)
                    .value_parser(value_parser!(std::path::PathBuf))
                    .help("Log files"),
            ),
        Command::new("completion").about("Prints the completion script of a shell").arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("Shell"),
        ),
        Command::new("standins")
            .about("Serves stand-ins of the platform at the addresses of a settings file")
            .arg(path("settings", "Settings file of the deployment").required(true)),
        Command::new("demo")
            .about("Runs a whole deployment in this process and checks it")
            .arg(path("json", "Writes the result to this file as JSON"))
            .arg(path("settings", "Settings file of the deployment")),
        Command::new("bench")
            .about("Measures one scenario or all")
            .arg(
                Arg::new("scenario")
                    .value_name("SCENARIO")
                    .required(true)
                    .value_parser(SCENARIOS)
                    .help("Scenario"),
            )
            .arg(path("json", "Writes the report to this file as JSON"))
            .arg(
                Arg::new("seed")
                    .long("seed")
                    .value_name("N")
                    .value_parser(value_parser!(u64))
                    .help("Seed of the random numbers"),
            )
            .arg(path("plots", "Writes plots of the scenario cost to this directory"))
            .arg(path("compare", "Compares with this earlier report")),
    ]
}

fn file_flag() -> Arg {
    Arg::new("file").short('f').long("file").value_name("FILE").required(true).help("TOML file")
}

fn dry_run() -> Arg {
    flag("dry-run", "Only checks the change")
}

fn kind() -> Arg {
    Arg::new("kind")
        .value_name("KIND")
        .required(true)
        .value_parser(KINDS)
        .help("Kind of the objects")
}

fn name(id: &'static str) -> Arg {
    Arg::new(id).value_name("NAME").required(true).help("Name, or number of a job")
}

fn job() -> Arg {
    Arg::new("job")
        .value_name("JOB")
        .required(true)
        .value_parser(value_parser!(u64))
        .help("Number of the job")
}

fn limit() -> Arg {
    Arg::new("limit")
        .long("limit")
        .value_name("N")
        .value_parser(value_parser!(u64).range(1..=1_000_000))
        .default_value("1000")
        .help("The most lines")
}

fn option(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).long(id).value_name("VALUE").help(help)
}

fn path(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .long(id)
        .value_name("PATH")
        .value_parser(value_parser!(std::path::PathBuf))
        .help(help)
}

fn flag(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).long(id).action(ArgAction::SetTrue).help(help)
}

/// Prints the completion script of a shell.
pub fn completion(matches: &ArgMatches) -> Result<(), Failure> {
    let shell = matches.get_one::<Shell>("shell").copied();
    let shell = shell.ok_or_else(|| Failure::usage("name a shell"))?;
    clap_complete::generate(shell, &mut command(), "coriandertack", &mut io::stdout());
    Ok(())
}

/// Returns the value of an option that is a text.
pub fn text<'a>(matches: &'a ArgMatches, id: &str) -> Option<&'a str> {
    matches.get_one::<String>(id).map(String::as_str)
}
