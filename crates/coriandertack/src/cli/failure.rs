//! Errors of subcommands and their exit codes, as listed in docs/OPERATIONS.md.

use {coriandertack_core::code::Code, derive_more::Display};

/// Exit code of a local failure, such as an I/O error, or of an unexpected response.
pub const FAILED: u8 = 1;

/// Exit code of an invalid command line or input file.
pub const USAGE: u8 = 2;

/// Exit code of a request that the server refused because of its content.
pub const REFUSED: u8 = 3;

/// Exit code of an object that does not exist.
pub const NOT_FOUND: u8 = 4;

/// Exit code of a version conflict.
pub const CONFLICT: u8 = 5;

/// Exit code of a missing or insufficient token.
pub const NOT_ALLOWED: u8 = 6;

/// Exit code of a request that was not run and is safe to retry.
pub const RETRYABLE: u8 = 7;

/// Exit code of a request whose outcome is unknown: the change may have been made.
pub const OUTCOME_UNKNOWN: u8 = 8;

/// Error of a subcommand.
#[derive(Clone, Debug, Display, derive_more::Error)]
#[display("{message}")]
pub struct Failure {
    /// Exit code of the process.
    pub exit_code: u8,
    /// What went wrong and what to do about it; empty if the output already tells.
    pub message: String,
    /// Result code of the response, or `None` if no response with a code came.
    pub code: Option<Code>,
    /// Current version of the object, if the response gave it.
    pub version: Option<u64>,
}

impl Failure {
    /// Returns a failure without a result code.
    pub fn new(exit_code: u8, message: impl Into<String>) -> Self {
        Self { exit_code, message: message.into(), code: None, version: None }
    }

    /// Returns a failure that the output of the subcommand already describes.
    pub fn reported(exit_code: u8) -> Self {
        Self::new(exit_code, "")
    }

    /// Returns a failure of an invalid command line or input file.
    pub fn usage(message: impl Into<String>) -> Self {
        Self::new(USAGE, message)
    }

    /// Returns the failure for a response, with advice on its result code.
    pub fn from_response(code: Code, reason: &str, version: Option<u64>) -> Self {
        let reason = match reason {
            "" => String::new(),
            reason if reason == code.text() => String::new(),
            reason => format!(": {reason}"),
        };
        let message = format!("{code}{reason}\n{}", advice(code));
        Self { exit_code: exit_code_of(code), message, code: Some(code), version }
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

fn exit_code_of(code: Code) -> u8 {
    match code {
        Code::NotFound => NOT_FOUND,
        Code::Conflict => CONFLICT,
        Code::Unauthenticated | Code::Forbidden => NOT_ALLOWED,
        Code::TooManyRequests => RETRYABLE,
        code if code.http_status() < 500 => REFUSED,
        code if code.guarantees_not_run() => RETRYABLE,
        _ => OUTCOME_UNKNOWN,
    }
}

/// Returns what the user can do about a result code.
fn advice(code: Code) -> &'static str {
    match code {
        Code::Unauthenticated => "set CORIANDERTACK_TOKEN to the token of an operator or a team",
        Code::Forbidden => "use an operator's token",
        Code::NotFound => "list the objects with `coriandertack get`; a team sees only its own",
        Code::Conflict => "check the current version with `coriandertack describe` and retry",
        Code::PositionTooOld => "list the objects again, then watch with `--from now`",
        Code::QuotaExceeded => "reduce the request or ask an operator for a larger quota",
        Code::Impossible => "reduce the need of each task to fit the largest worker",
        Code::KeyReused => "use a different `key` for different work",
        Code::TooManyRequests => "wait 1 s and retry",
        Code::OutcomeUnknown | Code::Internal => {
            "check whether the change was made before you retry; a job with a `key` is safe to resubmit"
        }
        code if code.http_status() >= 500 => "nothing was changed; retry, or use another VM",
        _ => "correct the request; docs/RESULT-CODES.md describes the code",
    }
}
