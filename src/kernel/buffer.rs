//! A growing buffer whose spare capacity stays small.

use std::io::{self, Write};

/// Capacity up to which a buffer doubles, in bytes.
const MAX_DOUBLED_CAPACITY: usize = 64 << 10;
/// Divisor of the capacity by which a larger buffer grows: what is written once and kept, or sent in
/// many copies, would otherwise take up to twice its size.
const GROWTH_DIVISOR: usize = 8;

/// Writes to the end of a vector.
#[derive(Debug)]
pub struct Buffer<'a>(pub &'a mut Vec<u8>);

impl Write for Buffer<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let needed = self.0.len() + bytes.len();
        let capacity = self.0.capacity();
        if needed > capacity && capacity >= MAX_DOUBLED_CAPACITY {
            let grown = needed.max(capacity + capacity / GROWTH_DIVISOR);
            self.0.reserve_exact(grown - self.0.len());
        }
        self.0.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
