//! Entry VM.

fn main() {}
