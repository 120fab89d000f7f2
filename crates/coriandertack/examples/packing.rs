//! Prints the rows of the packing experiment for some seeds, one JSON object a line.

#[path = "../src/bench/mod.rs"]
mod bench;

fn main() -> anyhow::Result<()> {
    let seeds: Vec<u64> =
        std::env::args().skip(1).map(|text| text.parse()).collect::<Result<_, _>>()?;
    for seed in seeds {
        for row in bench::packing::run(seed) {
            println!("{}", serde_json::to_string(&row)?);
        }
    }
    Ok(())
}
