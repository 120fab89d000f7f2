//! The output of log lines, in processes of their own: this program runs itself, with a pipe or a device as its standard
//! output.

use std::{
    collections::BTreeSet,
    env,
    fs::File,
    io::{BufRead, BufReader, pipe},
    process::{Child, Command, Stdio, exit},
    thread::sleep,
    time::{Duration, Instant},
};

use {coriandertackd::fleet::output, log::LevelFilter, tokio::net::unix::pipe as async_pipe};

/// Variable with the number of lines that the child process logs, and the pause after each 60 of them, in milliseconds.
const CHILD_VARIABLE: &str = "CORIANDERTACK_TEST_LINES";

/// Length of a log line of a leader that starts and ends tasks.
const LINE_BYTES: usize = 170;

/// Lines that a leader under load logs in 100 ms.
const BURST_LINES: usize = 60;

/// Logs numbered lines, and tells on standard error how many of them the metric counts as lost.
#[test]
fn child_process() {
    let Ok(parameters) = env::var(CHILD_VARIABLE) else { return };
    let (lines, pause_ms) = parameters.split_once(' ').unwrap();
    let pause = Duration::from_millis(pause_ms.parse().unwrap());
    let flush = output::init(LevelFilter::Info).unwrap();
    for number in 0..lines.parse().unwrap() {
        log::info!(target: "coriandertackd", "event=numbered number={number} {:.<70}", "");
        if number % BURST_LINES == BURST_LINES - 1 {
            sleep(pause);
        }
    }
    drop(flush);
    eprintln!("lost={}", output::lost_lines());
    // The test runner would write to the same output.
    exit(0);
}

fn start_child(lines: usize, pause_ms: u64, out: impl Into<Stdio>) -> Child {
    let mut command = Command::new(env::current_exe().unwrap());
    command.args(["--exact", "child_process", "--nocapture", "--test-threads=2"]);
    command.env(CHILD_VARIABLE, format!("{lines} {pause_ms}"));
    command.stdout(out).stderr(Stdio::piped()).spawn().unwrap()
}

/// Waits for the child, and returns how many lines it counted as lost.
fn counted_lines(child: Child) -> u64 {
    let output = child.wait_with_output().unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    let count = errors.lines().find_map(|line| line.strip_prefix("lost="));
    count.unwrap_or_else(|| panic!("the child failed: {errors}")).parse().unwrap()
}

/// What a reader has received.
#[derive(Debug, Default)]
struct Received {
    numbers: BTreeSet<usize>,
    /// Sum of the counts in `event=log_lines_lost`.
    lost: u64,
    /// Lines that are torn, joined or empty.
    damaged: Vec<String>,
}

fn receive(reader: impl BufRead) -> Received {
    let mut received = Received::default();
    // The child's test runner prints an empty line and the number of tests first.
    for line in reader.lines().skip(2) {
        let line = line.unwrap();
        let number = line.split_once("number=").and_then(|(_, rest)| rest.split(' ').next());
        let whole = line.starts_with("time=") && line.ends_with("....") && line.len() < LINE_BYTES;
        if let Some(count) = line.strip_prefix("event=log_lines_lost count=") {
            received.lost += count.parse::<u64>().unwrap();
        } else if let Some(number) = number.filter(|_| whole) {
            received.numbers.insert(number.parse().unwrap());
        } else {
            received.damaged.push(line);
        }
    }
    received
}

/// Guards against lines that are lost, torn or out of order although the buffer has room, while the reader pauses for
/// three seconds at the rate of a leader under load, and against lines that a planned stop leaves in the buffer.
#[test]
fn reader_that_pauses_receives_all_lines() {
    const LINES: usize = 2_400;
    let (reader, writer) = pipe().unwrap();
    let child = start_child(LINES, 100, writer);
    sleep(Duration::from_secs(3));
    let received = receive(BufReader::new(reader));
    assert_eq!(received.damaged, Vec::<String>::new());
    assert_eq!(received.numbers.len(), LINES);
    assert_eq!((received.lost, counted_lines(child)), (0, 0));
}

/// Guards against a count that differs from the number of lost lines, against lines that are torn or joined where others
/// are lost, and against a loss that no line tells if nothing is logged after it.
#[test]
fn lost_lines_are_counted_in_the_log_and_the_metric() {
    const LINES: usize = 20_000;
    let (reader, writer) = pipe().unwrap();
    let child = start_child(LINES, 0, writer);
    sleep(Duration::from_secs(2));
    let received = receive(BufReader::new(reader));
    assert_eq!(received.damaged, Vec::<String>::new());
    assert!(received.lost > 0, "the buffer has held all lines");
    assert_eq!(received.numbers.len() as u64 + received.lost, LINES as u64);
    assert_eq!(counted_lines(child), received.lost);
}

/// Guards against a log that ends for good when a pipe that does not block is full for a moment.
#[tokio::test]
async fn full_pipe_that_does_not_block_loses_no_lines() {
    const LINES: usize = 2_400;
    let (sender, receiver) = async_pipe::pipe().unwrap();
    let writer = sender.into_nonblocking_fd().unwrap();
    let child = start_child(LINES, 10, writer);
    sleep(Duration::from_secs(2));
    let reader = File::from(receiver.into_blocking_fd().unwrap());
    let received = receive(BufReader::new(reader));
    assert_eq!(received.damaged, Vec::<String>::new());
    assert_eq!(received.numbers.len(), LINES);
    assert_eq!((received.lost, counted_lines(child)), (0, 0));
}

/// Guards against lines that nothing counts after the reader has closed the pipe.
#[test]
fn lines_that_the_output_refuses_are_counted() {
    const LINES: usize = 1_200;
    let (reader, writer) = pipe().unwrap();
    let child = start_child(LINES, 100, writer);
    let mut lines = BufReader::new(reader).lines();
    assert!(lines.any(|line| line.unwrap().contains("number=0 ")));
    drop(lines);
    let lost = counted_lines(child);
    // The pipe has taken the first lines, and what is logged until the reader has closed it.
    assert!(lost >= LINES as u64 / 2, "{lost} of {LINES} lines are counted");
}

/// Guards against lines that wait in the buffer until another line follows, and measures how long a line waits. A process
/// that is killed loses what its last lines have waited for.
#[test]
fn lines_are_written_without_further_lines() {
    let (reader, writer) = pipe().unwrap();
    let mut child = start_child(BURST_LINES, 60_000, writer);
    let mut lines = BufReader::new(reader).lines().map(Result::unwrap);
    let is_last = |line: &String| line.contains(&format!("number={} ", BURST_LINES - 1));
    let began = Instant::now();
    assert!(lines.any(|line| is_last(&line)), "the last line is missing");
    let waited = began.elapsed();
    println!("the last line was readable {waited:?} after the start of the process");
    assert!(waited < Duration::from_secs(30), "only written after {waited:?}");
    child.kill().unwrap();
    child.wait().unwrap();
}
