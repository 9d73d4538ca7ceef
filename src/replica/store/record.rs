//! Record format of the files: a header with length, durable offset and checksum, then CBOR.
//!
//! The checksum is CRC-32/IEEE. The durable offset is the synced length of the file at the time the
//! record was written. Invalid data before that offset was synced, so it can't be a torn write.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::kernel::buffer::Buffer;

/// Magic bytes at the start of each record. They are used to find later records after invalid data.
const MAGIC: [u8; 4] = *b"EVr1";
/// Magic bytes, length, durable offset and checksum.
const HEADER_BYTES: usize = 20;
/// Offset of the checksum in the header.
const CHECKSUM_OFFSET: usize = 16;
/// Limit on the bytes examined in the search for later records, as a multiple of the file's length.
const SEARCH_LIMIT_FACTOR: usize = 16;

/// A valid record in a file.
#[derive(Clone, Copy, Debug)]
pub(super) struct Record<'a> {
    /// Synced length of the file when the record was written, in bytes.
    pub(super) durable_offset: u64,
    /// Encoded value.
    pub(super) body: &'a [u8],
    /// Length of header and value, in bytes.
    pub(super) total_bytes: usize,
}

/// Cause of invalid data in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// A torn write: no later record shows that the data had been synced.
    Torn,
    /// Damage to data that had been synced, or that is assumed to have been because the search for
    /// later records reached its limit.
    Damaged,
}

impl<'a> Record<'a> {
    /// Parses the record at the start of the bytes. Returns `None` if it is incomplete or invalid.
    pub(super) fn parse(bytes: &'a [u8]) -> Option<Self> {
        let header = bytes.get(..HEADER_BYTES)?;
        if header[..4] != MAGIC {
            return None;
        }
        let body_bytes = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
        let durable_offset = u64::from_le_bytes(header[8..CHECKSUM_OFFSET].try_into().ok()?);
        let expected_checksum = u32::from_le_bytes(header[CHECKSUM_OFFSET..].try_into().ok()?);
        let total_bytes = HEADER_BYTES.checked_add(body_bytes)?;
        let body = bytes.get(HEADER_BYTES..total_bytes)?;
        (checksum(&header[4..CHECKSUM_OFFSET], body) == expected_checksum).then_some(Self {
            durable_offset,
            body,
            total_bytes,
        })
    }

    /// Decodes the value. Returns `None` if it is of another type or version.
    pub(super) fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        ciborium::from_reader(self.body).ok()
    }
}

/// Encodes a value as a record at the end of a buffer.
pub(super) fn encode<T: Serialize>(buffer: &mut Vec<u8>, durable_offset: u64, value: &T) {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    ciborium::into_writer(value, Buffer(buffer)).expect("encoding into memory does not fail");
    let (header, body) = buffer[start..].split_at_mut(HEADER_BYTES);
    let body_bytes = u32::try_from(body.len()).expect("a record is shorter than 4 GiB");
    header[..4].copy_from_slice(&MAGIC);
    header[4..8].copy_from_slice(&body_bytes.to_le_bytes());
    header[8..CHECKSUM_OFFSET].copy_from_slice(&durable_offset.to_le_bytes());
    let record_checksum = checksum(&header[4..CHECKSUM_OFFSET], body);
    header[CHECKSUM_OFFSET..].copy_from_slice(&record_checksum.to_le_bytes());
}

/// Classifies the invalid data at an offset as a torn write or as damage. It is damage if a later
/// record shows that the file had been synced beyond the offset.
pub(super) fn classify(bytes: &[u8], offset: usize) -> Fault {
    let mut budget = bytes.len().saturating_mul(SEARCH_LIMIT_FACTOR);
    let mut start = offset + 1;
    while start + HEADER_BYTES <= bytes.len() {
        if bytes[start..start + 4] != MAGIC {
            start += 1;
            continue;
        }
        let Some(rest) = budget.checked_sub(bytes.len() - start) else { return Fault::Damaged };
        budget = rest;
        if Record::parse(&bytes[start..])
            .is_some_and(|record| record.durable_offset > offset as u64)
        {
            return Fault::Damaged;
        }
        start += 1;
    }
    Fault::Torn
}

fn checksum(header: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(body);
    hasher.finalize()
}
