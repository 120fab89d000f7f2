//! What was sent, answered and run, as lines of `record.txt`.

use std::{fmt::Display, fs::File, io::Write, path::Path, time::Instant};

pub struct Record {
    file: File,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: File::create(path)?, began: Instant::now() })
    }

    pub fn line(&mut self, text: impl Display) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {text}");
        println!("{line}");
        if let Err(error) = writeln!(self.file, "{line}") {
            eprintln!("the record cannot be written: {error}");
        }
    }
}
