//! Packing of documents that are kept and sent whole: a route table names the
//! same services again and again.

use std::io::{Read, Write};

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;

use crate::upstream::MessageError;

/// Largest document that is unpacked, in bytes.
pub const MAX_UNPACKED_BYTES: u64 = 32 * 1024 * 1024;

/// Packs a document.
///
/// # Errors
///
/// Fails if the library does.
pub fn pack(text: &[u8]) -> Result<Vec<u8>, MessageError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text).map_err(pack_error)?;
    encoder.finish().map_err(pack_error)
}

/// Unpacks what [`pack`] returned.
///
/// # Errors
///
/// Fails on what was not packed, and on what would become too large.
pub fn unpack(packed: &[u8]) -> Result<Vec<u8>, MessageError> {
    let mut text = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(MAX_UNPACKED_BYTES + 1);
    decoder.read_to_end(&mut text).map_err(pack_error)?;
    if text.len() as u64 > MAX_UNPACKED_BYTES {
        let message = format!("a document of over {MAX_UNPACKED_BYTES} bytes");
        return Err(MessageError(message));
    }
    Ok(text)
}

fn pack_error(error: std::io::Error) -> MessageError {
    MessageError(format!("could not pack or unpack: {error}"))
}
