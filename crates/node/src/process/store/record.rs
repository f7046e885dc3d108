//! Records of a log file, and reading them back after a crash.
//!
//! A record is: length of the body (u32), kind (u8), checksum of these five
//! bytes (u32), checksum of the body (u32), body. Numbers are little-endian,
//! checksums CRC-32.

use std::fmt;

/// First bytes of a log file: a name and the version of the format.
pub const FILE_HEADER: &[u8; 8] = b"WMCTL\x00\x001";
/// Bytes before a record's body.
const RECORD_HEADER_BYTES: usize = 13;
/// Largest body.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Kind of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordKind {
    /// Term and vote.
    HardState,
    /// An entry.
    Entry,
    /// The commit index.
    Commit,
    /// The state up to a place; entries up to it are dropped.
    Snapshot,
    /// Like a snapshot, and all entries are dropped.
    InstalledSnapshot,
    /// The end of what was written and synced together. A tear can only be in
    /// the last batch, in any of its records; that batch is cut as a whole.
    BatchEnd,
}

const KIND_CODES: [(u8, RecordKind); 6] = [
    (1, RecordKind::HardState),
    (2, RecordKind::Entry),
    (3, RecordKind::Commit),
    (4, RecordKind::Snapshot),
    (5, RecordKind::InstalledSnapshot),
    (6, RecordKind::BatchEnd),
];

impl RecordKind {
    fn code(self) -> u8 {
        let mut kinds = KIND_CODES.iter();
        let found = kinds.find(|(_, kind)| *kind == self);
        found.map_or(0, |(code, _)| *code)
    }

    fn from_code(code: u8) -> Option<RecordKind> {
        let mut kinds = KIND_CODES.iter();
        kinds
            .find(|(known, _)| *known == code)
            .map(|(_, kind)| *kind)
    }
}

/// Appends a record to `bytes`.
pub fn append_record(kind: RecordKind, body: &[u8], bytes: &mut Vec<u8>) {
    let start = bytes.len();
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.push(kind.code());
    let header_checksum = crc32fast::hash(&bytes[start..]);
    bytes.extend_from_slice(&header_checksum.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    bytes.extend_from_slice(body);
}

/// Why a file cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FileDamage {
    /// It does not begin as a log file of this format does.
    Header,
    /// A record that others follow cannot be read.
    Record {
        /// Offset of the record in the file.
        offset: usize,
    },
}

impl fmt::Display for FileDamage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileDamage::Header => f.write_str("not a log file of this format, or of a newer one"),
            FileDamage::Record { offset } => {
                write!(
                    f,
                    "damaged record at offset {offset}, with good ones after it"
                )
            }
        }
    }
}

/// A record read back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParsedRecord<'a> {
    /// Its kind.
    pub kind: RecordKind,
    /// Its body.
    pub body: &'a [u8],
    /// Offset in the file.
    pub offset: usize,
}

/// The records of a file, and where the good part ends.
#[derive(Debug)]
pub struct FileRecords<'a> {
    /// The records in order.
    pub records: Vec<ParsedRecord<'a>>,
    /// Length of the good part; what is beyond is a torn tail.
    pub valid_length: usize,
}

/// Reads the records of a file.
///
/// What cannot be read in the last batch is a torn tail: the batch was being
/// written at a crash and nothing was answered on its strength. What cannot be
/// read and has the ends of two batches after it was synced once: damage.
///
/// # Errors
///
/// Fails on damage.
pub fn read_records(bytes: &[u8]) -> Result<FileRecords<'_>, FileDamage> {
    if !bytes.starts_with(FILE_HEADER) {
        return Err(FileDamage::Header);
    }
    let mut records = Vec::new();
    let mut offset = FILE_HEADER.len();
    let mut last_batch_end = None;
    while offset < bytes.len() {
        let Some(record) = parse_record(bytes, offset) else {
            if count_batch_ends(bytes, offset + 1) > 1 {
                return Err(FileDamage::Record { offset });
            }
            break;
        };
        offset += RECORD_HEADER_BYTES + record.body.len();
        records.push(record);
        if record.kind == RecordKind::BatchEnd {
            last_batch_end = Some((records.len(), offset));
        }
    }
    // A file without any batch was written by an older version.
    let (count, valid_length) = last_batch_end.unwrap_or((records.len(), offset));
    records.truncate(count);
    Ok(FileRecords {
        records,
        valid_length,
    })
}

fn parse_record(bytes: &[u8], offset: usize) -> Option<ParsedRecord<'_>> {
    let header = bytes.get(offset..offset + RECORD_HEADER_BYTES)?;
    if crc32fast::hash(&header[..5]) != read_u32(&header[5..9]) {
        return None;
    }
    let length = read_u32(&header[..4]) as usize;
    if length > MAX_BODY_BYTES {
        return None;
    }
    let kind = RecordKind::from_code(header[4])?;
    let body = bytes.get(offset + RECORD_HEADER_BYTES..offset + RECORD_HEADER_BYTES + length)?;
    if crc32fast::hash(body) != read_u32(&header[9..13]) {
        return None;
    }
    Some(ParsedRecord { kind, body, offset })
}

fn count_batch_ends(bytes: &[u8], from: usize) -> usize {
    let records = (from..bytes.len()).filter_map(|offset| parse_record(bytes, offset));
    records
        .filter(|record| record.kind == RecordKind::BatchEnd)
        .count()
}

fn read_u32(bytes: &[u8]) -> u32 {
    let mut array = [0; 4];
    array.copy_from_slice(&bytes[..4]);
    u32::from_le_bytes(array)
}
