//! Buddy cells of accelerators inside one worker.

use super::mask;

/// Aligned blocks of `count` accelerators that lie wholly in `allowed`.
///
/// A block starts at a multiple of the next power of two, so blocks never overlap and a freed one
/// joins its buddy again. A count of 0 gives one empty block.
pub fn blocks(allowed: u32, total: u32, count: u32) -> impl Iterator<Item = u32> {
    let step = count.next_power_of_two().max(1);
    let last = if count == 0 { 1 } else { total };
    (0..last).step_by(step as usize).filter_map(move |at| {
        let block = mask(count).checked_shl(at)?;
        let fits = at + count <= total && block & !allowed == 0;
        fits.then_some(block)
    })
}

/// How many free accelerators the enclosing blocks of `block` have; fewer breaks up less.
pub fn breakage(free: u32, total: u32, block: u32) -> u32 {
    if block == 0 {
        return 0;
    }
    let mut sum = 0;
    let mut size = block.count_ones().next_power_of_two() * 2;
    while size <= total.next_power_of_two() && size <= 32 {
        let start = block.trailing_zeros() / size * size;
        let parent = mask(size).checked_shl(start).unwrap_or(0);
        sum += (parent & free).count_ones();
        size *= 2;
    }
    sum
}
