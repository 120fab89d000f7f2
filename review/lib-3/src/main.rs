//! The scripts of the third review: `review-3 CASE PROGRAM FOLDER`. Exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run. With `TROUBLE=0`, a case leaves its disruption out.

mod backlog;
mod budget;
mod cluster;
mod hold;
mod ids;
mod record;
mod twice;

use std::{env, path::PathBuf, process::ExitCode, time::Duration};

use record::Record;

/// Upper bound of a case's duration.
const LIMIT: Duration = Duration::from_secs(115);

/// Whether the rule held, or why the case could not run.
type Verdict = Result<bool, String>;

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(program), Some(folder)) =
        (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: review-3 CASE PROGRAM FOLDER");
        return ExitCode::from(2);
    };
    let (program, folder) = (PathBuf::from(program), PathBuf::from(folder));
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    record
        .line(format!("case {case}, {} disruption", if trouble { "with the" } else { "without" }));
    let work = async {
        match case.as_str() {
            "hold" => hold::run(&program, trouble, &mut record).await,
            "backlog" => backlog::run(&program, trouble, &mut record).await,
            "twice" => twice::run(&program, trouble, &mut record).await,
            "budget" => budget::run(&program, trouble, &mut record).await,
            "ids" => ids::run(&program, trouble, &mut record).await,
            _ => Err("unknown case".to_owned()),
        }
    };
    let verdict = match tokio::time::timeout(LIMIT, work).await {
        Ok(verdict) => verdict,
        Err(_) => Err("time limit".to_owned()),
    };
    match verdict {
        Ok(true) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
