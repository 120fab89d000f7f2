//! Numbered result codes.
//!
//! Every answer to a caller or an operator carries one of these codes. docs/RESULT-CODES.md describes the
//! cause and remedy of each, and a test keeps that page in line with this list. The first digit follows the
//! HTTP status classes, so that a reader can tell who has to act.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $text:literal;)*) => {
        /// Result of a request. The meaning of a number never changes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Code {
            $(
                #[doc = concat!("Code ", $number, ": ", $text, ".")]
                #[display("{} {}", $number, $text)]
                $name,
            )*
        }

        impl Code {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the number of the code.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self {
                    $(Self::$name => $number,)*
                }
            }

            /// Returns the HTTP status that is sent with the code.
            #[must_use]
            pub const fn http_status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }

            /// Returns a short description of the code.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

codes! {
    Done = 2000, 200, "done";
    Accepted = 2001, 201, "accepted durably";
    Unchanged = 2004, 200, "nothing to change";
    Malformed = 4000, 400, "malformed request";
    Unauthenticated = 4001, 401, "no valid token";
    Forbidden = 4003, 403, "not allowed for this token";
    NotFound = 4004, 404, "no such object";
    Conflict = 4009, 409, "version conflict";
    PositionTooOld = 4010, 410, "watch position too old";
    TooLarge = 4013, 413, "request too large";
    OutOfRange = 4020, 422, "value out of range";
    TooManyRequests = 4029, 429, "rate limit of the team reached, not run";
    QuotaExceeded = 4030, 422, "work is larger than the team's quota";
    Impossible = 4220, 422, "no worker could ever hold this work";
    KeyReused = 4222, 422, "idempotency key used for another request";
    KeyExpired = 4223, 422, "idempotency key too old, not run";
    Internal = 5000, 500, "internal error";
    OutcomeUnknown = 5002, 504, "outcome unknown, may have run";
    CorruptLog = 5010, 503, "corrupt or unknown record in the log";
    NotReady = 5029, 503, "this VM is not ready, not run";
    LogUnavailable = 5030, 503, "log service unavailable, not run";
    Overloaded = 5031, 503, "overloaded or past its deadline, not run";
    NoUpstream = 5032, 503, "no upstream for this service, not run";
    UpstreamFailed = 5033, 502, "upstream failed";
    Stopping = 5034, 503, "this VM is stopping, not run";
    Fenced = 5035, 503, "this VM has lost its session, not run";
}

impl Code {
    /// Returns whether the code guarantees that the request was not run.
    #[must_use]
    pub const fn guarantees_not_run(self) -> bool {
        !matches!(
            self,
            Self::Done
                | Self::Accepted
                | Self::Unchanged
                | Self::Internal
                | Self::OutcomeUnknown
                | Self::UpstreamFailed
        )
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

impl TryFrom<u16> for Code {
    type Error = UnknownCode;

    fn try_from(number: u16) -> Result<Self, UnknownCode> {
        let found = Self::ALL.iter().copied().find(|code| code.number() == number);
        found.ok_or(UnknownCode { number })
    }
}

impl std::error::Error for Code {}

/// Error for a number that is not a result code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, derive_more::Error)]
#[display("no result code has the number {number}")]
pub struct UnknownCode {
    number: u16,
}
