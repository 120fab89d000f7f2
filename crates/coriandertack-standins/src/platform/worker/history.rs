//! The runs that a worker has had, as a test judges them.

use tokio::time::Instant;

/// A run in the worker's history.
#[derive(Clone, Debug)]
pub struct RecordedRun {
    /// Id of the worker.
    pub worker: String,
    /// Start of the worker's incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Id of the task.
    pub task: String,
    /// Number of the attempt to run the task.
    pub attempt: u64,
    /// Whether the start had been sent to a former incarnation, and was carried out late.
    pub late: bool,
    /// Time of the start.
    pub began: Instant,
    /// Time of the end, or `None` while the run is active.
    pub ended: Option<Instant>,
    /// Why the run ended, or `running` while it is active.
    pub cause: &'static str,
    /// How long the run takes, in milliseconds.
    pub run_ms: u64,
    /// Whether a list contained the end. The response may have been lost on its connection.
    pub listed: bool,
    /// Whether the end was acknowledged before the worker's lease expired. Only then is the end final:
    /// what a silent worker finished may run again once its lease has expired.
    pub acknowledged: bool,
    /// Acknowledgement that made the worker forget the end before any list contained it.
    pub forgotten_by: Option<Acknowledgement>,
}

/// What a request for a list acknowledged, and which incarnations it met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// Number of the last end that it acknowledges.
    pub acked_through: u64,
    /// Its fencing token.
    pub token: u64,
    /// Start of the incarnation that was at the address when the request was sent.
    pub sent_to: u64,
    /// Start of the incarnation that carried it out.
    pub born: u64,
}
