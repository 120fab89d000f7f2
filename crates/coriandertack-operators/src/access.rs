//! Who may do what.
//!
//! A request carries a bearer token. Only the SHA-256 of a token is stored: those of the operators
//! in the settings of the VM, those of a team in its [`TeamSpec`](coriandertack_core::record::TeamSpec).
//! Every known digest is compared in constant time, so that the time of an answer tells nothing
//! about a token.
//!
//! An operator may do everything. A team may submit, read and cancel its own jobs, and read its own
//! account and charges. What belongs to another team is answered with 4004, as if it did not exist, so
//! that its existence is not revealed. Routes for operators only answer 4003.

use std::fmt;

use {
    coriandertack_core::{code::Code, state::State},
    derive_more::Display,
    sha2::{Digest, Sha256},
    subtle::ConstantTimeEq,
};

use crate::reply::Fault;

/// The most bytes of a token; a longer one is refused before it is hashed.
pub const MAX_TOKEN_BYTES: usize = 256;

/// Hexadecimal digits of a SHA-256.
pub const DIGEST_CHARS: usize = 64;

/// Token of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name of the operator, as the audit trail shows it.
    pub name: String,
    /// SHA-256 of the token in lowercase hexadecimal.
    pub digest: String,
}

/// Who sent a request to the resource API. Callers of services are not meant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Display)]
pub enum Principal {
    /// An operator.
    #[display("operator:{_0}")]
    Operator(String),
    /// A team.
    #[display("team:{_0}")]
    Team(String),
}

impl Principal {
    /// Tells whether the work and the account of `team` may be seen and changed.
    #[must_use]
    pub fn is_over(&self, team: &str) -> bool {
        match self {
            Self::Operator(_) => true,
            Self::Team(own) => own == team,
        }
    }

    /// Returns the team to which the principal is limited.
    #[must_use]
    pub fn team(&self) -> Option<&str> {
        match self {
            Self::Operator(_) => None,
            Self::Team(own) => Some(own),
        }
    }

    /// Checks that the principal is an operator.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Forbidden`] for a team.
    pub fn require_operator(&self) -> Result<(), Fault> {
        match self {
            Self::Operator(_) => Ok(()),
            Self::Team(_) => Err(Fault::new(Code::Forbidden, "this needs an operator's token")),
        }
    }

    /// Checks that the principal may see and change what belongs to `team`.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::NotFound`] otherwise.
    pub fn require_team(&self, team: &str) -> Result<(), Fault> {
        if self.is_over(team) { Ok(()) } else { Err(Code::NotFound.into()) }
    }
}

/// SHA-256 of a token in lowercase hexadecimal.
#[derive(Clone, PartialEq, Eq)]
pub struct TokenDigest(String);

impl fmt::Debug for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenDigest")
    }
}

impl TokenDigest {
    /// Returns the digest of a token.
    #[must_use]
    pub fn of(token: &str) -> Self {
        Self(hex::encode(Sha256::digest(token.as_bytes())))
    }

    /// Returns the hexadecimal form, as settings and teams store it.
    #[must_use]
    pub fn as_hex(&self) -> &str {
        &self.0
    }

    fn matches(&self, digest: &str) -> bool {
        self.0.as_bytes().ct_eq(digest.as_bytes()).into()
    }
}

/// Tells whether `text` has the form of a stored digest.
#[must_use]
pub fn is_digest(text: &str) -> bool {
    let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == DIGEST_CHARS && text.bytes().all(is_hex)
}

/// Reads the token of an `Authorization` header.
///
/// # Errors
///
/// Fails with [`Code::Unauthenticated`] if the header is missing or malformed.
pub fn read_token(header: Option<&str>) -> Result<TokenDigest, Fault> {
    let refuse = |reason: &str| Fault::new(Code::Unauthenticated, reason);
    let header = header.ok_or_else(|| refuse("send `Authorization: Bearer TOKEN`"))?;
    let token = header.strip_prefix("Bearer ").ok_or_else(|| refuse("not a bearer token"))?;
    if token.is_empty() || token.len() > MAX_TOKEN_BYTES {
        return Err(refuse("not a token"));
    }
    Ok(TokenDigest::of(token))
}

/// Finds out who holds a token.
///
/// # Errors
///
/// Fails with [`Code::Unauthenticated`] if nobody does.
pub fn authenticate(
    digest: &TokenDigest,
    operators: &[Operator],
    state: &State,
) -> Result<Principal, Fault> {
    let unknown = || Fault::new(Code::Unauthenticated, "unknown token");
    find(digest, operators, state).ok_or_else(unknown)
}

/// Compares with every known digest, and does not stop at the one that matches.
fn find(digest: &TokenDigest, operators: &[Operator], state: &State) -> Option<Principal> {
    let mut found = None;
    for team in state.teams.values() {
        for known in &team.spec.tokens {
            if digest.matches(known) {
                found = Some(Principal::Team(team.name.clone()));
            }
        }
    }
    for operator in operators {
        if digest.matches(&operator.digest) {
            found = Some(Principal::Operator(operator.name.clone()));
        }
    }
    found
}
