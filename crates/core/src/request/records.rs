//! Merging parts of fixed-size records: the greatest ones, greatest first.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Size of a record in bytes.
pub const RECORD_BYTES: usize = 16;

/// One record, compared byte by byte.
pub type PartRecord = [u8; RECORD_BYTES];

/// Keeps the greatest records of many unordered parts, in a heap no larger
/// than the answer.
#[derive(Debug)]
pub struct RecordMerge {
    top: usize,
    kept: BinaryHeap<Reverse<PartRecord>>,
}

impl RecordMerge {
    /// Returns a merge that keeps the greatest `top` records.
    pub fn new(top: usize) -> RecordMerge {
        RecordMerge {
            top,
            kept: BinaryHeap::new(),
        }
    }

    /// Takes the records of a part. Bytes at its end that do not fill a
    /// record are no record. Equal records all count.
    pub fn take(&mut self, part: &[u8]) {
        let (records, _) = part.as_chunks::<RECORD_BYTES>();
        for record in records {
            self.take_record(record);
        }
    }

    fn take_record(&mut self, record: &PartRecord) {
        if self.kept.len() < self.top {
            self.kept.push(Reverse(*record));
            return;
        }
        if let Some(mut least) = self.kept.peek_mut() {
            if *record > least.0 {
                *least = Reverse(*record);
            }
        }
    }

    /// Returns the records, greatest first, one after the other.
    pub fn finish(self) -> Vec<u8> {
        let sorted = self.kept.into_sorted_vec();
        sorted.iter().flat_map(|record| record.0).collect()
    }
}
