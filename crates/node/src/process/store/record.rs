//! Encoding of log file records, and reading them back after a crash.
//!
//! A record consists of the body's length (u32), its kind (u8), a checksum of
//! these five bytes (u32), a checksum of the body (u32), and the body. Numbers
//! are little-endian, checksums are CRC-32.

use std::fmt;

/// First bytes of a log file: the format's name and its version.
pub const FILE_HEADER: &[u8; 8] = b"WMCTL\x00\x001";
/// Size in bytes of a record without its body.
const RECORD_HEADER_BYTES: usize = 13;
/// Largest accepted record body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Kind of a log file record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordKind {
    /// The replica's term and vote.
    HardState,
    /// An entry of the replicated log.
    Entry,
    /// Index of the last committed log entry.
    Commit,
    /// The control state up to a log position. Entries up to that position are
    /// dropped; later entries stay.
    Snapshot,
    /// A snapshot that replaces all entries, including later ones.
    InstalledSnapshot,
    /// End of a batch of records that were written and synced together. A crash
    /// can damage only the last batch, in any of its records, so the reader
    /// drops that batch as a whole.
    BatchEnd,
}

/// Code of each record kind in the file.
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

/// Encodes a record and appends it to `bytes`.
pub fn append_record(kind: RecordKind, body: &[u8], bytes: &mut Vec<u8>) {
    let start = bytes.len();
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.push(kind.code());
    let header_checksum = crc32fast::hash(&bytes[start..]);
    bytes.extend_from_slice(&header_checksum.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    bytes.extend_from_slice(body);
}

/// Why a log file cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FileDamage {
    /// The file does not begin with [`FILE_HEADER`].
    Header,
    /// A record cannot be read although synced batches follow it.
    Record {
        /// Offset of the record in the file, in bytes.
        offset: usize,
    },
}

impl fmt::Display for FileDamage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileDamage::Header => f.write_str("not a log file, or its format is newer"),
            FileDamage::Record { offset } => {
                write!(
                    f,
                    "damaged record at offset {offset}, with valid batches after it"
                )
            }
        }
    }
}

/// A record parsed from a log file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParsedRecord<'a> {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Encoded value of the record.
    pub body: &'a [u8],
    /// Offset of the record in the file, in bytes.
    pub offset: usize,
}

/// The valid records of a log file.
#[derive(Debug)]
pub struct FileRecords<'a> {
    /// The records in the order they were written.
    pub records: Vec<ParsedRecord<'a>>,
    /// Length in bytes of the valid part of the file. The bytes after it are a
    /// torn tail, from a batch that a crash interrupted.
    pub valid_length: usize,
}

/// Reads the records of a log file.
///
/// An unreadable record in the last batch is a torn tail: a crash interrupted
/// the write, and the replica had not yet answered anybody based on the batch.
/// An unreadable record that two or more batch ends follow must have been
/// synced earlier, so the file is damaged.
///
/// # Errors
///
/// Fails if the header is wrong or the file is damaged.
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
    // Older versions wrote no batch ends. All readable records of such a file
    // are valid.
    let (count, valid_length) = last_batch_end.unwrap_or((records.len(), offset));
    records.truncate(count);
    Ok(FileRecords {
        records,
        valid_length,
    })
}

/// Returns the record at `offset`, if a complete record with valid checksums is
/// there.
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

/// Returns the number of valid batch ends at any offset from `from` on.
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
