//! What a request asks for, by which it is known when it comes again.
//!
//! Each attempt of a caller has an identity of its own. The mark is the same for
//! all of them: it is made of what servers are given to work on.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// What stands between two pieces of a request in its digest: no piece has it.
const PIECE_END: u8 = 0;

/// Digest of method, host, path with query, and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ContentFingerprint(pub u128);

/// Digest of who asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallerFingerprint(pub u64);

/// What a request asks for, and who asks.
///
/// The digest is no cryptographic one: whoever makes two requests with one mark
/// can have his own refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint {
    /// What is asked for.
    pub content: ContentFingerprint,
    /// Who asks.
    pub caller: CallerFingerprint,
}

impl ContentFingerprint {
    /// Returns the mark of a request; `target` is its path with the query.
    pub fn of(method: &str, host: &str, target: &str, body: &[u8]) -> ContentFingerprint {
        let mut digest = Xxh3::new();
        for piece in [method, host, target] {
            digest.update(piece.as_bytes());
            digest.update(&[PIECE_END]);
        }
        digest.update(body);
        ContentFingerprint(digest.digest128())
    }
}

impl CallerFingerprint {
    /// Returns the mark of a caller, by whatever names it.
    pub fn of(name: &[u8]) -> CallerFingerprint {
        CallerFingerprint(xxh3_64(name))
    }
}

/// 32 hexadecimal digits for what is asked, a dash, and 16 for who asks.
impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}-{:016x}", self.content.0, self.caller.0)
    }
}

impl RequestFingerprint {
    /// Reads a mark as [`fmt::Display`] writes it.
    pub fn parse(text: &str) -> Option<RequestFingerprint> {
        let (content, caller) = text.split_once('-')?;
        Some(RequestFingerprint {
            content: ContentFingerprint(u128::from_str_radix(content, 16).ok()?),
            caller: CallerFingerprint(u64::from_str_radix(caller, 16).ok()?),
        })
    }
}
