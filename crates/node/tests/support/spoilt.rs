//! Answers of servers in trouble that don't follow the grammar of HTTP/1.1 (RFC 9110, RFC 9112).
//!
//! Each would look complete to a reader that is lenient at the place that the name tells.

/// An answer that is no answer.
#[derive(Debug, Clone, Copy)]
pub struct SpoiltAnswer {
    pub name: &'static str,
    /// What the server writes before it closes the connection. `ID` stands for the header lines
    /// of a valid answer.
    pub text: &'static str,
}

const fn spoilt(name: &'static str, text: &'static str) -> SpoiltAnswer {
    SpoiltAnswer { name, text }
}

/// Answers whose body has a length of two bytes if the spoilt element is passed over.
pub const SPOILT_ANSWERS: &[SpoiltAnswer] = &[
    spoilt(
        "status 000",
        "HTTP/1.1 000 OK\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "status 099",
        "HTTP/1.1 099 OK\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "status 600",
        "HTTP/1.1 600 OK\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "status 999",
        "HTTP/1.1 999 OK\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "status of four digits",
        "HTTP/1.1 2000 OK\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "status of two digits",
        "HTTP/1.1 20 OK\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "status with a sign",
        "HTTP/1.1 +20 OK\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "no blank after the status",
        "HTTP/1.1 200\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "two blanks before the status",
        "HTTP/1.1  200 OK\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "control byte in the reason",
        "HTTP/1.1 200 O\x01K\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "version 2.0",
        "HTTP/2.0 200 OK\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "version in lower case",
        "http/1.1 200 OK\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "empty line before the head",
        "\r\nHTTP/1.1 200 OK\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "another protocol",
        "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "status line ends with LF",
        "HTTP/1.1 200 OK\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "field line ends with LF",
        "HTTP/1.1 200 OK\r\nIDcontent-length: 2\nx: y\r\n\r\nok",
    ),
    spoilt(
        "head ends with LF",
        "HTTP/1.1 200 OK\r\nIDcontent-length: 2\r\n\nok",
    ),
    spoilt(
        "CR within a field",
        "HTTP/1.1 200 OK\r\nIDx: a\rb\r\ncontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "a line without a colon",
        "HTTP/1.1 200 OK\r\nIDgarbage\r\ncontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "a line without a name",
        "HTTP/1.1 200 OK\r\nID: y\r\ncontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "a folded line",
        "HTTP/1.1 200 OK\r\nIDx: y\r\n z\r\ncontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "blank in a name",
        "HTTP/1.1 200 OK\r\nIDx y: z\r\ncontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "blank after a name",
        "HTTP/1.1 200 OK\r\nIDcontent-length : 2\r\n\r\nok",
    ),
    spoilt(
        "tab after a name",
        "HTTP/1.1 200 OK\r\nIDcontent-length\t: 2\r\n\r\nok",
    ),
    spoilt(
        "blank before a name",
        "HTTP/1.1 200 OK\r\n content-length: 2\r\nID\r\nok",
    ),
    spoilt(
        "control byte in a name",
        "HTTP/1.1 200 OK\r\nIDx\x02: z\r\ncontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "delimiter in a name",
        "HTTP/1.1 200 OK\r\nIDx(y): z\r\ncontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "byte over 127 in a name",
        "HTTP/1.1 200 OK\r\nIDx\u{e9}: z\r\ncontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "control byte in a value",
        "HTTP/1.1 200 OK\r\nIDx: a\x01\r\ncontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "NUL in a value",
        "HTTP/1.1 200 OK\r\nIDx: a\0b\r\ncontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "length with a sign",
        "HTTP/1.1 200 OK\r\nIDcontent-length: +2\r\n\r\nok",
    ),
    spoilt(
        "negative length",
        "HTTP/1.1 200 OK\r\nIDcontent-length: -2\r\n\r\nok",
    ),
    spoilt(
        "length in hexadecimal",
        "HTTP/1.1 200 OK\r\nIDcontent-length: 0x2\r\n\r\nok",
    ),
    spoilt(
        "length with a letter",
        "HTTP/1.1 200 OK\r\nIDcontent-length: 2b\r\n\r\nok",
    ),
    spoilt(
        "length with a fraction",
        "HTTP/1.1 200 OK\r\nIDcontent-length: 2.0\r\n\r\nok",
    ),
    spoilt(
        "length with a blank of Unicode",
        "HTTP/1.1 200 OK\r\nIDcontent-length: 2\u{a0}\r\n\r\nok",
    ),
    spoilt(
        "empty length",
        "HTTP/1.1 200 OK\r\nIDcontent-length:\r\n\r\nok",
    ),
    spoilt(
        "list of lengths",
        "HTTP/1.1 200 OK\r\nIDcontent-length: 2, 2\r\n\r\nok",
    ),
    spoilt(
        "two lengths",
        "HTTP/1.1 200 OK\r\nIDcontent-length: 2\r\ncontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "length over all numbers",
        "HTTP/1.1 200 OK\r\nIDcontent-length: 18446744073709551618\r\n\r\nok",
    ),
    spoilt(
        "length in an answer without a body",
        "HTTP/1.1 204 OK\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "coding in an answer without a body",
        "HTTP/1.1 204 OK\r\nIDtransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
    spoilt(
        "unknown coding",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunkedd\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ),
    spoilt(
        "empty coding",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding:\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ),
    spoilt(
        "coding that is not the last one",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked, gzip\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ),
    spoilt(
        "coding applied twice",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n\
         2\r\nok\r\n0\r\n\r\n",
    ),
    spoilt(
        "coding in HTTP/1.0",
        "HTTP/1.0 200 OK\r\nIDtransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ),
    spoilt(
        "length and coding",
        "HTTP/1.1 200 OK\r\nIDcontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
    spoilt(
        "chunk without a size",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked\r\n\r\n2\r\nok\r\n\r\n\r\n",
    ),
    spoilt(
        "blank before a size",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked\r\n\r\n 2\r\nok\r\n0\r\n\r\n",
    ),
    spoilt(
        "blank after a size",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked\r\n\r\n2 \r\nok\r\n0\r\n\r\n",
    ),
    spoilt(
        "size with a sign",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n",
    ),
    spoilt(
        "size in another notation",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n",
    ),
    spoilt(
        "control byte in an extension",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked\r\n\r\n2;a=\x01\r\nok\r\n0\r\n\r\n",
    ),
    spoilt(
        "extension without a name",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked\r\n\r\n2;=b\r\nok\r\n0\r\n\r\n",
    ),
    spoilt(
        "size line ends with LF",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked\r\n\r\n2\nok\r\n0\r\n\r\n",
    ),
    spoilt(
        "data longer than its size",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
    ),
    spoilt(
        "trailer without a colon",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\ngarbage\r\n\r\n",
    ),
    spoilt(
        "control byte in a trailer",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx: \x01\r\n\r\n",
    ),
    spoilt(
        "body cut short",
        "HTTP/1.1 200 OK\r\nIDcontent-length: 3\r\n\r\nok",
    ),
    spoilt(
        "chunks cut short",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
    ),
    spoilt(
        "trailers cut short",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
    ),
];

/// Answers that follow the grammar, with a body of two bytes, although few servers write them
/// so.
pub const UNUSUAL_ANSWERS: &[SpoiltAnswer] = &[
    spoilt(
        "no reason",
        "HTTP/1.1 200 \r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "reason in other letters",
        "HTTP/1.1 200 \u{e9}\t!\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "no blank after the colon",
        "HTTP/1.1 200 OK\r\nIDcontent-length:2\r\n\r\nok",
    ),
    spoilt(
        "blanks around a value",
        "HTTP/1.1 200 OK\r\nIDcontent-length: \t2 \t\r\n\r\nok",
    ),
    spoilt(
        "empty value",
        "HTTP/1.1 200 OK\r\nIDx:\r\ncontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "other letters in a value",
        "HTTP/1.1 200 OK\r\nIDx: \u{e9}\r\ncontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "every sign in a name",
        "HTTP/1.1 200 OK\r\nID!#$%&'*+-.^_`|~9z: y\r\ncontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "length with leading zeros",
        "HTTP/1.1 200 OK\r\nIDcontent-length: 002\r\n\r\nok",
    ),
    spoilt(
        "coding in capitals",
        "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: Chunked\r\n\r\n002\r\nok\r\n000\r\n\r\n",
    ),
    spoilt(
        "extensions of chunks",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked\r\n\r\n\
         1;a\r\no\r\n1 ; b = \"c\\\"\td\" ;e=f\r\nk\r\n0;g\r\nx: y\r\n\r\n",
    ),
    spoilt("body until the close", "HTTP/1.1 200 OK\r\nID\r\nok"),
    spoilt(
        "HTTP/1.0",
        "HTTP/1.0 200 OK\r\nIDcontent-length: 2\r\n\r\nok",
    ),
    spoilt(
        "interim answers",
        "HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n\
         HTTP/1.1 200 OK\r\nIDcontent-length: 2\r\n\r\nok",
    ),
];
