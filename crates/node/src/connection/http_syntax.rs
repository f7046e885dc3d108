//! Elements of the grammar of HTTP: RFC 9110 (fields) and RFC 9112 (messages of HTTP/1.1).
//!
//! Whatever the grammar does not allow is rejected, also where the RFCs let a recipient be
//! lenient: an answer that was damaged on its way must not pass for another one.

/// Returns whether `byte` is a `tchar`, of which names consist (RFC 9110, 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns whether `byte` may stand in text: `HTAB`, `SP`, `VCHAR` or `obs-text` (RFC 9110, 5.5).
fn is_text_byte(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}

/// Returns whether `text` may be a value or a reason phrase.
pub fn is_text(text: &[u8]) -> bool {
    text.iter().copied().all(is_text_byte)
}

/// Returns whether `text` is a `token`.
pub fn is_token(text: &[u8]) -> bool {
    !text.is_empty() && text.iter().copied().all(is_token_byte)
}

/// Removes the blanks (`OWS`) around a value.
pub fn trim_blanks(text: &[u8]) -> &[u8] {
    let is_visible = |byte: &u8| *byte != b' ' && *byte != b'\t';
    let Some(start) = text.iter().position(is_visible) else {
        return &[];
    };
    let end = text
        .iter()
        .rposition(is_visible)
        .map_or(start, |last| last + 1);
    &text[start..end]
}

/// Parses `1*DIGIT`. Returns `None` for any other text, also with a sign or blanks, and if the
/// number is too large.
pub fn parse_digits(text: &[u8]) -> Option<usize> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// Splits a `field-line` without its line end into name and value (RFC 9112, 5). Returns `None`
/// if the line is no field.
pub fn split_field_line(line: &[u8]) -> Option<(&str, &[u8])> {
    let colon = line.iter().position(|byte| *byte == b':')?;
    let (name, value) = (&line[..colon], trim_blanks(&line[colon + 1..]));
    if !is_token(name) || !is_text(value) {
        return None;
    }
    Some((std::str::from_utf8(name).ok()?, value))
}

/// Parses the line that begins a chunk, without its line end, and returns the size of the chunk
/// (RFC 9112, 7.1). Returns `None` if the line is invalid or the size too large.
pub fn parse_chunk_line(line: &[u8]) -> Option<u64> {
    let is_digit = |byte: &u8| byte.is_ascii_hexdigit();
    let end = line
        .iter()
        .position(|byte| !is_digit(byte))
        .unwrap_or(line.len());
    let (digits, extensions) = line.split_at(end);
    // An empty text and numbers that are too large are errors of the conversion.
    let size = u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
    are_chunk_extensions(extensions).then_some(size)
}

/// Returns whether `text` is `chunk-ext`: `*( BWS ";" BWS name [ BWS "=" BWS value ] )`, in which
/// a value is a token or a quoted string (RFC 9112, 7.1.1).
fn are_chunk_extensions(mut text: &[u8]) -> bool {
    while !text.is_empty() {
        let Some(named) = skip_blanks(text).strip_prefix(b";") else {
            return false;
        };
        let Some(after_name) = skip_token(skip_blanks(named)) else {
            return false;
        };
        text = after_name;
        if let Some(value) = skip_blanks(after_name).strip_prefix(b"=") {
            let value = skip_blanks(value);
            let Some(after_value) = skip_token(value).or_else(|| skip_quoted_string(value)) else {
                return false;
            };
            text = after_value;
        }
    }
    true
}

/// Returns `text` without the blanks that it begins with.
fn skip_blanks(text: &[u8]) -> &[u8] {
    let blanks = text
        .iter()
        .take_while(|byte| **byte == b' ' || **byte == b'\t');
    &text[blanks.count()..]
}

/// Returns `text` without the token that it begins with, if it begins with one.
fn skip_token(text: &[u8]) -> Option<&[u8]> {
    let length = text.iter().take_while(|byte| is_token_byte(**byte)).count();
    (length > 0).then(|| &text[length..])
}

/// Returns `text` without the quoted string that it begins with, if it begins with one
/// (RFC 9110, 5.6.4).
fn skip_quoted_string(text: &[u8]) -> Option<&[u8]> {
    let mut rest = text.strip_prefix(b"\"")?;
    loop {
        let (byte, after) = rest.split_first()?;
        rest = match byte {
            b'"' => return Some(after),
            b'\\' => {
                let (quoted, after) = after.split_first()?;
                is_text_byte(*quoted).then_some(after)?
            }
            _ => is_text_byte(*byte).then_some(after)?,
        };
    }
}
