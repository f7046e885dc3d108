//! Elements of the grammar of HTTP (RFC 9110).

/// Parses `1*DIGIT`. Returns `None` for any other text, also with a sign or blanks, and if the
/// number is too large.
pub fn parse_digits(text: &[u8]) -> Option<usize> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}
