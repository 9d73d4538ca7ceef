//! Records in files: a header with length, durable offset and checksum, then CBOR.
//!
//! The checksum is CRC-32/IEEE. The durable offset says how much of the file was synced when the
//! record was written: a fault before that offset can't be a torn write.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// First bytes of each record, by which records after a fault are found.
const MARK: [u8; 4] = *b"EVr1";
/// Mark, length, durable offset and checksum.
const HEADER_BYTES: usize = 20;
/// Where the checksum stands in the header.
const SUM_AT: usize = 16;
/// Bytes that may be checked in search of later records, in multiples of the file's length.
const SEARCH_EFFORT: usize = 16;

/// A record found in a file.
#[derive(Clone, Copy, Debug)]
pub(super) struct Record<'a> {
    /// Synced length of the file when the record was written.
    pub(super) durable: u64,
    /// Encoded value.
    pub(super) body: &'a [u8],
    /// Bytes of header and value.
    pub(super) length: usize,
}

/// What a fault in a file means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// Nothing after it shows that it was ever synced.
    Torn,
    /// It was synced and is damaged.
    Damaged,
}

impl<'a> Record<'a> {
    /// The record at the start of the bytes; `None` where they hold no whole one.
    pub(super) fn take(bytes: &'a [u8]) -> Option<Self> {
        let header = bytes.get(..HEADER_BYTES)?;
        if header[..4] != MARK {
            return None;
        }
        let size = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
        let durable = u64::from_le_bytes(header[8..SUM_AT].try_into().ok()?);
        let sum = u32::from_le_bytes(header[SUM_AT..].try_into().ok()?);
        let length = HEADER_BYTES.checked_add(size)?;
        let body = bytes.get(HEADER_BYTES..length)?;
        (checksum(&header[4..SUM_AT], body) == sum).then_some(Self { durable, body, length })
    }

    /// The value; `None` where it is of another type or version.
    pub(super) fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        ciborium::from_reader(self.body).ok()
    }
}

/// Appends a record to a buffer.
pub(super) fn push<T: Serialize>(buffer: &mut Vec<u8>, durable: u64, value: &T) {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    ciborium::into_writer(value, &mut *buffer).expect("a record encodes into memory");
    let (header, body) = buffer[start..].split_at_mut(HEADER_BYTES);
    let size = u32::try_from(body.len()).expect("a record is shorter than 4 GiB");
    header[..4].copy_from_slice(&MARK);
    header[4..8].copy_from_slice(&size.to_le_bytes());
    header[8..SUM_AT].copy_from_slice(&durable.to_le_bytes());
    let sum = checksum(&header[4..SUM_AT], body);
    header[SUM_AT..].copy_from_slice(&sum.to_le_bytes());
}

/// Tells a torn write from damage, at an offset that holds no whole record.
pub(super) fn judge(bytes: &[u8], offset: usize) -> Fault {
    let mut effort = bytes.len().saturating_mul(SEARCH_EFFORT);
    let mut at = offset + 1;
    while at + HEADER_BYTES <= bytes.len() {
        if bytes[at..at + 4] != MARK {
            at += 1;
            continue;
        }
        let Some(rest) = effort.checked_sub(bytes.len() - at) else { return Fault::Damaged };
        effort = rest;
        if Record::take(&bytes[at..]).is_some_and(|record| record.durable > offset as u64) {
            return Fault::Damaged;
        }
        at += 1;
    }
    Fault::Torn
}

fn checksum(header: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(body);
    hasher.finalize()
}
