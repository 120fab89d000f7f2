//! Runs the scenarios on callers' requests: `cargo run --release --example routing -- surge 1`.

#[path = "../src/bench/mod.rs"]
mod bench;

struct Stderr;

impl log::Log for Stderr {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        eprintln!("{}", record.args());
    }

    fn flush(&self) {}
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    log::set_logger(&Stderr).map_err(|error| anyhow::anyhow!("{error}"))?;
    log::set_max_level(log::LevelFilter::Debug);
    let mut args = std::env::args().skip(1);
    let scenario = args.next().unwrap_or_default();
    let seed = args.next().map_or(Ok(1), |text| text.parse())?;
    let rows = match &scenario[..] {
        "surge" => bench::surge::run(seed).await,
        _ => bench::blocking::run(seed).await,
    };
    println!("{}", serde_json::to_string_pretty(&rows)?);
    Ok(())
}
