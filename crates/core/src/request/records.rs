//! Merges parts that consist of fixed-size records into the greatest records, in descending
//! order. A part is the answer of one shard.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Size of a record in bytes.
pub const RECORD_BYTES: usize = 16;

/// A record of a part; records are compared byte by byte.
pub type PartRecord = [u8; RECORD_BYTES];

/// Selects the greatest records of many unordered parts, with a heap that is no larger than
/// the answer.
#[derive(Debug)]
pub struct RecordMerge {
    /// Maximum number of records in the answer.
    top: usize,
    /// The greatest records so far; the smallest of them is at the top of the heap.
    greatest: BinaryHeap<Reverse<PartRecord>>,
}

impl RecordMerge {
    /// Creates a merge that selects the greatest `top` records.
    pub fn new(top: usize) -> RecordMerge {
        RecordMerge {
            top,
            greatest: BinaryHeap::new(),
        }
    }

    /// Adds the records of a part. Trailing bytes that do not fill a record are ignored.
    /// Equal records are all counted.
    pub fn take(&mut self, part: &[u8]) {
        let (records, _) = part.as_chunks::<RECORD_BYTES>();
        for record in records {
            self.add_record(record);
        }
    }

    fn add_record(&mut self, record: &PartRecord) {
        if self.greatest.len() < self.top {
            self.greatest.push(Reverse(*record));
            return;
        }
        if let Some(mut smallest) = self.greatest.peek_mut() {
            if *record > smallest.0 {
                *smallest = Reverse(*record);
            }
        }
    }

    /// Returns the selected records as concatenated bytes, greatest first.
    pub fn finish(self) -> Vec<u8> {
        let sorted = self.greatest.into_sorted_vec();
        sorted.iter().flat_map(|record| record.0).collect()
    }
}
