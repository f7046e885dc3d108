//! Compression (deflate) of documents that are stored and sent as a whole. Route tables
//! compress well because they name the same services many times.

use std::io::{Read, Write};

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;

use crate::upstream::MessageError;

/// Maximum size of a document after decompression, in bytes.
pub const MAX_UNPACKED_BYTES: u64 = 32 * 1024 * 1024;

/// Compresses a document.
///
/// # Errors
///
/// Fails if the compression library fails.
pub fn pack(text: &[u8]) -> Result<Vec<u8>, MessageError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text).map_err(pack_error)?;
    encoder.finish().map_err(pack_error)
}

/// Decompresses the output of [`pack`].
///
/// # Errors
///
/// Fails if `packed` is not valid deflate data, or if the document is larger than
/// [`MAX_UNPACKED_BYTES`].
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
