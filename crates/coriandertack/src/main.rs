//! CLI.

fn main() {}
