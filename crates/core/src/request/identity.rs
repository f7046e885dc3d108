//! Identities of requests and attempts, unique across instances and restarts.

use std::fmt;
use std::str::FromStr;

/// Identity of a caller's request.
///
/// `incarnation` is drawn at random when a process starts; `sequence` counts within the
/// process. The text form is the two numbers in hexadecimal, with a hyphen between them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// Random number of the process that received the request.
    pub incarnation: u64,
    /// Number of the request within the process.
    pub sequence: u64,
}

/// Identity of an attempt, one send of one shard's subquery. Has the same text form as
/// [`RequestId`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Random number of the process that made the attempt.
    pub incarnation: u64,
    /// Number of the attempt within the process.
    pub sequence: u64,
}

/// Error for a text that is not a valid identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseIdentityError;

impl fmt::Display for ParseIdentityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("invalid identity: expected two hexadecimal numbers with a hyphen between them")
    }
}

impl std::error::Error for ParseIdentityError {}

/// Parses the two hexadecimal numbers of an identity.
fn parse_pair(text: &str) -> Result<(u64, u64), ParseIdentityError> {
    let (first, second) = text.split_once('-').ok_or(ParseIdentityError)?;
    let incarnation = u64::from_str_radix(first, 16).map_err(|_| ParseIdentityError)?;
    let sequence = u64::from_str_radix(second, 16).map_err(|_| ParseIdentityError)?;
    Ok((incarnation, sequence))
}

/// Implements `Display` and `FromStr` for an identity type.
macro_rules! identity_text {
    ($name:ident) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}-{:x}", self.incarnation, self.sequence)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdentityError;

            fn from_str(text: &str) -> Result<Self, ParseIdentityError> {
                let (incarnation, sequence) = parse_pair(text)?;
                Ok($name {
                    incarnation,
                    sequence,
                })
            }
        }
    };
}

identity_text!(RequestId);
identity_text!(AttemptId);
