//! Authentication and authorization.
//!
//! A request carries a bearer token. Only the SHA-256 of a token is stored: those of the operators
//! in the settings of the VM, those of a team in its [`TeamSpec`](coriandertack_core::record::TeamSpec).
//! A token is compared with every known digest in constant time, so that response times reveal nothing
//! about valid tokens.
//!
//! An operator has full access. A team can submit, read and cancel its own jobs, and read its own
//! account and charges. Requests for another team's objects get 4004, as for objects that do not exist,
//! so that their existence is not revealed. Routes reserved for operators answer a team with 4003.

use std::fmt;

use {
    coriandertack_core::{code::Code, state::State},
    derive_more::Display,
    sha2::{Digest, Sha256},
    subtle::ConstantTimeEq,
};

use crate::reply::ApiError;

/// Maximum length of a token in bytes. Longer tokens are refused before they are hashed.
pub const MAX_TOKEN_BYTES: usize = 256;

/// Length of a SHA-256 digest in hexadecimal digits.
pub const DIGEST_CHARS: usize = 64;

/// An operator and the digest of the operator's token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name of the operator as shown in the audit trail.
    pub name: String,
    /// SHA-256 digest of the token in lowercase hexadecimal.
    pub digest: String,
}

/// The authenticated sender of a request to the resource API. Callers of services have no principal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Display)]
pub enum Principal {
    /// An operator, by name.
    #[display("operator:{_0}")]
    Operator(String),
    /// A team, by name.
    #[display("team:{_0}")]
    Team(String),
}

impl Principal {
    /// Returns whether the principal may read and change the jobs and the account of `team`.
    #[must_use]
    pub fn can_access(&self, team: &str) -> bool {
        match self {
            Self::Operator(_) => true,
            Self::Team(own) => own == team,
        }
    }

    /// Returns the team that the principal is restricted to, or `None` for an operator.
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
    pub fn require_operator(&self) -> Result<(), ApiError> {
        match self {
            Self::Operator(_) => Ok(()),
            Self::Team(_) => {
                Err(ApiError::new(Code::Forbidden, "this route requires the token of an operator"))
            }
        }
    }

    /// Checks that the principal may read and change objects of `team`.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::NotFound`] for the token of another team.
    pub fn require_team(&self, team: &str) -> Result<(), ApiError> {
        if self.can_access(team) { Ok(()) } else { Err(Code::NotFound.into()) }
    }
}

/// SHA-256 digest of a token in lowercase hexadecimal.
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

    /// Returns the digest in the hexadecimal form stored in settings and teams.
    #[must_use]
    pub fn as_hex(&self) -> &str {
        &self.0
    }

    fn matches(&self, digest: &str) -> bool {
        self.0.as_bytes().ct_eq(digest.as_bytes()).into()
    }
}

/// Returns whether `text` is a SHA-256 digest in lowercase hexadecimal.
#[must_use]
pub fn is_digest(text: &str) -> bool {
    let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == DIGEST_CHARS && text.bytes().all(is_hex)
}

/// Reads the bearer token of an `Authorization` header and returns its digest.
///
/// # Errors
///
/// Fails with [`Code::Unauthenticated`] if the header is missing, malformed or has a token of invalid length.
pub fn read_token(header: Option<&str>) -> Result<TokenDigest, ApiError> {
    let refuse = |reason: &str| ApiError::new(Code::Unauthenticated, reason);
    let header = header
        .ok_or_else(|| refuse("missing token; send the header `Authorization: Bearer TOKEN`"))?;
    let token = header.strip_prefix("Bearer ").ok_or_else(|| {
        refuse("unsupported authorization scheme; send the header `Authorization: Bearer TOKEN`")
    })?;
    if token.is_empty() || token.len() > MAX_TOKEN_BYTES {
        return Err(refuse(&format!(
            "the token has {} bytes; a token has 1 to {MAX_TOKEN_BYTES} bytes",
            token.len()
        )));
    }
    Ok(TokenDigest::of(token))
}

/// Returns the operator or team that a token belongs to.
///
/// # Errors
///
/// Fails with [`Code::Unauthenticated`] if the token belongs to no operator and no team.
pub fn authenticate(
    digest: &TokenDigest,
    operators: &[Operator],
    state: &State,
) -> Result<Principal, ApiError> {
    let unknown =
        || ApiError::new(Code::Unauthenticated, "the token belongs to no operator or team");
    find(digest, operators, state).ok_or_else(unknown)
}

/// Compares a digest with every known one. It does not stop at a match, to keep the duration constant.
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
