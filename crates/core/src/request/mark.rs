//! Fingerprints that recognise a request when its caller sends it again.
//!
//! Each time a caller sends a request, the request gets a new [`RequestId`]. The
//! fingerprint stays the same, as it is a digest of the content that servers get, and of
//! the caller. Messages and logs call a fingerprint a mark.
//!
//! [`RequestId`]: crate::request::identity::RequestId

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// Separator between the hashed pieces of a request; no piece contains this byte.
const PIECE_END: u8 = 0;

/// Digest of a request's method, host, path with query, and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ContentFingerprint(pub u128);

/// Digest of the caller of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallerFingerprint(pub u64);

/// Fingerprint of a request: its content and its caller.
///
/// The digest is not cryptographic. A caller who constructs two requests with the same
/// fingerprint can only cause their own requests to be refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint {
    /// Digest of the request's content.
    pub content: ContentFingerprint,
    /// Digest of the caller.
    pub caller: CallerFingerprint,
}

impl ContentFingerprint {
    /// Returns the fingerprint of a request's content; `target` is the path with the query.
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
    /// Returns the fingerprint of a caller. `name` is whatever identifies the caller.
    pub fn of(name: &[u8]) -> CallerFingerprint {
        CallerFingerprint(xxh3_64(name))
    }
}

/// Writes 32 hexadecimal digits for the content, a hyphen, and 16 digits for the caller.
impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}-{:016x}", self.content.0, self.caller.0)
    }
}

impl RequestFingerprint {
    /// Parses a fingerprint as [`fmt::Display`] writes it.
    pub fn parse(text: &str) -> Option<RequestFingerprint> {
        let (content, caller) = text.split_once('-')?;
        Some(RequestFingerprint {
            content: ContentFingerprint(u128::from_str_radix(content, 16).ok()?),
            caller: CallerFingerprint(u64::from_str_radix(caller, 16).ok()?),
        })
    }
}
