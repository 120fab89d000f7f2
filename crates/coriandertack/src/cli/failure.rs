//! Failures with the exit code of the process; docs/OPERATIONS.md has the table.

use {coriandertack_core::code::Code, derive_more::Display};

/// Exit code of a failure on this side, such as a file that cannot be read.
pub const FAILED: u8 = 1;

/// Exit code of a wrong command line or a faulty file.
pub const USAGE: u8 = 2;

/// Exit code of a request that was refused for what it asked.
pub const REFUSED: u8 = 3;

/// Exit code of an object that does not exist.
pub const NOT_FOUND: u8 = 4;

/// Exit code of a version conflict.
pub const CONFLICT: u8 = 5;

/// Exit code of a missing or insufficient token.
pub const NOT_ALLOWED: u8 = 6;

/// Exit code of a request that was not run and can be sent again.
pub const TRY_AGAIN: u8 = 7;

/// Exit code of a change that may have been made.
pub const UNKNOWN: u8 = 8;

/// Why a subcommand failed.
#[derive(Clone, Debug, Display, derive_more::Error)]
#[display("{message}")]
pub struct Failure {
    /// Exit code of the process.
    pub exit: u8,
    /// What happened and what to do.
    pub message: String,
    /// Code of the answer, if there was one.
    pub code: Option<Code>,
    /// Version that the object has, if the answer gave it.
    pub version: Option<u64>,
}

impl Failure {
    /// Returns a failure with its exit code.
    pub fn new(exit: u8, message: impl Into<String>) -> Self {
        Self { exit, message: message.into(), code: None, version: None }
    }

    /// Returns a failure of the command line.
    pub fn usage(message: impl Into<String>) -> Self {
        Self::new(USAGE, message)
    }

    /// Returns the failure of an answer.
    pub fn answered(code: Code, reason: &str, version: Option<u64>) -> Self {
        let reason = match reason {
            "" => String::new(),
            reason if reason == code.text() => String::new(),
            reason => format!(": {reason}"),
        };
        let message = format!("{code}{reason}\n{}", advice(code));
        Self { exit: exit_of(code), message, code: Some(code), version }
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Self::new(FAILED, error.to_string())
    }
}

impl From<anyhow::Error> for Failure {
    fn from(error: anyhow::Error) -> Self {
        Self::new(FAILED, format!("{error:#}"))
    }
}

fn exit_of(code: Code) -> u8 {
    match code {
        Code::NotFound => NOT_FOUND,
        Code::Conflict => CONFLICT,
        Code::Unauthenticated | Code::Forbidden => NOT_ALLOWED,
        Code::TooManyRequests => TRY_AGAIN,
        code if code.http_status() < 500 => REFUSED,
        code if code.guarantees_not_run() => TRY_AGAIN,
        _ => UNKNOWN,
    }
}

/// Says what to do about a code.
fn advice(code: Code) -> &'static str {
    match code {
        Code::Unauthenticated => "set CORIANDERTACK_TOKEN to the token of an operator or a team",
        Code::Forbidden => "use the token of an operator",
        Code::NotFound => "list the objects with `coriandertack get`; a team sees only its own",
        Code::Conflict => "look at the object with `coriandertack describe` and try again",
        Code::PositionTooOld => "read the objects again, then watch with `--from now`",
        Code::QuotaExceeded => "make the work smaller, or ask for a larger quota",
        Code::Impossible => "make the tasks smaller than the largest worker",
        Code::KeyReused => "give another `key` to other work",
        Code::TooManyRequests => "wait a second and try again",
        Code::OutcomeUnknown | Code::Internal => {
            "look whether the change was made before you try again; a job with a `key` can be sent again"
        }
        code if code.http_status() >= 500 => "nothing was changed; try again, or use another VM",
        _ => "correct the request; docs/RESULT-CODES.md describes the code",
    }
}
