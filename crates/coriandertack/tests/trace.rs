//! `trace` on stored log lines: from the ID of a job to the cause of its end, as in docs/OPERATIONS.md.
//!
//! Entry VMs wrote the lines on a recorded day (docs/notes/incidents.md, inc-3536), and on the day of
//! docs/incidents/2026-12-04-crashing-tasks.md.

use std::{fs, path::Path, process::Command};

use expect_test::{Expect, expect};

/// Runs `trace` on all stored log files and returns its last line, which states the cause.
fn cause(id: &str) -> String {
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    let mut files: Vec<_> =
        fs::read_dir(data).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.sort();
    let output = Command::new(env!("CARGO_BIN_EXE_coriandertack"))
        .args(["trace", id])
        .args(files)
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    text.lines().last().unwrap_or_default().to_owned()
}

fn check_cause(id: &str, expected: Expect) {
    expected.assert_eq(&cause(id));
}

/// Guards against log lines that do not show why a job was refused: here the store was unreachable.
#[test]
fn refused_job_is_traced_to_the_store() {
    check_cause(
        "1ca2d431e22e2663",
        expect![[
            r#"cause: refused after 6 ms: the store was unreachable (23 dependency_lost events); the job was not accepted"#
        ]],
    );
}

/// Guards against log lines that do not show which runs of a task failed, and on which workers.
#[test]
fn failed_job_is_traced_to_its_runs() {
    check_cause(
        "8505e84a90715d0e",
        expect![[
            r#"cause: failed at 2026-02-15T17:20:28.757Z: a task failed in each of its 4 allowed runs; runs failed on i-be04581d95, i-3ede835e87, i-be04581d95, i-be04581d95"#
        ]],
    );
}

/// Guards against log lines that do not show that a job failed because its task crashed workers.
#[test]
fn job_that_was_given_up_is_traced_to_its_crashes() {
    check_cause(
        "fbf9eb66ab87c5e4",
        expect![
            "cause: failed at 2026-03-11T10:48:50.978Z: 2 workers crashed under task fbf9eb66ab87c5e4.0.0.0, 2 of them soon after its start; lost on i-c45231e9c7, i-e24692e987"
        ],
    );
}

/// Guards against log lines that do not show the waits and leader takeovers that delayed a job.
#[test]
fn late_job_is_traced_to_its_delays() {
    check_cause(
        "9bf4a313d2349a37",
        expect![[
            r#"cause: completed 571 ms late: the longest wait for a worker was 22 ms, the longest run 17 ms on i-80ba869ba4, 0 runs were repeated, 2 takeovers since its first minute"#
        ]],
    );
}
