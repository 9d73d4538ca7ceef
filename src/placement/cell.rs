//! Buddy allocation of accelerators within one worker.

use super::mask;

/// Returns the aligned blocks of `count` accelerators that lie wholly within `allowed`.
///
/// A block starts at a multiple of the next power of two, so blocks never overlap and a freed block
/// merges with its buddy. A count of 0 gives one empty block.
pub fn blocks(allowed: u32, total: u32, count: u32) -> impl Iterator<Item = u32> {
    let alignment = count.next_power_of_two().max(1);
    let end = if count == 0 { 1 } else { total };
    (0..end).step_by(alignment as usize).filter_map(move |start| {
        let block = mask(count).checked_shl(start)?;
        let fits = start + count <= total && block & !allowed == 0;
        fits.then_some(block)
    })
}

/// Sums the free accelerators of all larger aligned blocks that contain `block`.
///
/// The sum is low where the enclosing blocks are already in use, so the block with the lowest sum
/// splits the least free space.
pub fn enclosing_free(free: u32, total: u32, block: u32) -> u32 {
    if block == 0 {
        return 0;
    }
    let mut free_accelerators = 0;
    let mut size = block.count_ones().next_power_of_two() * 2;
    while size <= total.next_power_of_two() && size <= 32 {
        let start = block.trailing_zeros() / size * size;
        let parent = mask(size).checked_shl(start).unwrap_or(0);
        free_accelerators += (parent & free).count_ones();
        size *= 2;
    }
    free_accelerators
}
