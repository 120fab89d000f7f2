//! Benchmarks against the targets in docs/design.md, section 1.3.
//!
//! Each scenario measures the scheduler and, where there is one, a named baseline, and returns one [`Row`] for
//! each metric.

pub mod blocking;
mod cell;
pub mod cost;
mod fleet;
mod load;
pub mod packing;
mod plots;
pub mod recovery;
pub mod row;
pub mod surge;
pub mod wait;

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use {
    anyhow::{Context, Result},
    clap::ArgMatches,
    comfy_table::{Table, presets::ASCII_MARKDOWN},
};

use self::row::Row;

/// Default seed.
const SEED: u64 = 1;

/// Scenarios in the order in which `all` runs them.
const SCENARIOS: [&str; 6] = ["wait", "packing", "surge", "blocking", "cost", "recovery"];

/// Runs the selected benchmarks and prints their report.
///
/// # Errors
///
/// Fails if a scenario cannot run or a file cannot be read or written. A missed target is not an error; the
/// report shows it.
pub fn command(matches: &ArgMatches) -> Result<()> {
    crate::local::init_logging()?;
    let selected: &String = matches.get_one("scenario").context("no scenario given")?;
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(SEED);
    let runtime = tokio::runtime::Runtime::new().context("cannot start the async runtime")?;
    println!("{}; seed {seed}", machine_info());
    let plots = matches.get_one::<PathBuf>("plots").map(PathBuf::as_path);
    let mut rows = Vec::new();
    for scenario in SCENARIOS.iter().filter(|&&name| selected == "all" || selected == name) {
        eprintln!("running {scenario}");
        rows.extend(runtime.block_on(run(scenario, seed, plots))?);
    }
    println!("{}", table(&rows));
    if let Some(file) = matches.get_one::<PathBuf>("compare") {
        println!("{}", comparison(&rows, &read_report(file)?));
    }
    if let Some(file) = matches.get_one::<PathBuf>("json") {
        let text = serde_json::to_string_pretty(&rows)?;
        fs::write(file, text).with_context(|| format!("cannot write {}", file.display()))?;
    }
    Ok(())
}

async fn run(scenario: &str, seed: u64, plots: Option<&Path>) -> Result<Vec<Row>> {
    match scenario {
        "wait" => wait::run(seed).await,
        "packing" => Ok(packing::run(seed)),
        "surge" => Ok(surge::run(seed).await),
        "blocking" => Ok(blocking::run(seed).await),
        "cost" => {
            let (rows, costs) = cost::run(seed).await?;
            if let Some(directory) = plots {
                plots::draw_all(directory, &costs)?;
            }
            Ok(rows)
        }
        "recovery" => recovery::run(seed).await,
        _ => anyhow::bail!("unknown scenario `{scenario}`"),
    }
}

/// Returns the machine and the build on which the figures depend.
fn machine_info() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let build = if cfg!(debug_assertions) { "debug" } else { "release" };
    format!("{cores} cores, {build} build, version {}", env!("CARGO_PKG_VERSION"))
}

fn format_number(value: Option<f64>) -> String {
    value.map_or_else(|| "-".into(), |value| format!("{value:.3}"))
}

fn table(rows: &[Row]) -> Table {
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN).set_header([
        "scenario",
        "metric",
        "unit",
        "target",
        "measured",
        "baseline",
        "baseline is",
        "met",
    ]);
    for row in rows {
        let met = row.met.map_or("-", |met| if met { "yes" } else { "no" });
        table.add_row([
            row.scenario.clone(),
            row.metric.clone(),
            row.unit.clone(),
            format_number(row.target),
            format_number(Some(row.measured)),
            format_number(row.baseline),
            row.baseline_name.clone().unwrap_or_default(),
            met.to_owned(),
        ]);
    }
    table
}

fn read_report(file: &Path) -> Result<Vec<Row>> {
    let text =
        fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    serde_json::from_str(&text)
        .with_context(|| format!("{} is not a JSON report of this benchmark", file.display()))
}

/// Returns the change of each metric since an earlier report. Metrics that the report lacks are left out.
fn comparison(rows: &[Row], old: &[Row]) -> Table {
    let key = |row: &Row| (row.scenario.clone(), row.metric.clone());
    let old: BTreeMap<_, _> = old.iter().map(|row| (key(row), row.measured)).collect();
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN).set_header(["scenario", "metric", "before", "now", "change"]);
    for row in rows {
        let Some(&before) = old.get(&key(row)) else { continue };
        let change = (row.measured - before) / before * 100.0;
        table.add_row([
            row.scenario.clone(),
            row.metric.clone(),
            format_number(Some(before)),
            format_number(Some(row.measured)),
            format!("{change:+.1}%"),
        ]);
    }
    table
}
