//! Division of an upstream's slots and connections among entries, without a message between them.

use sha2::{Digest, Sha256};

/// The part of `total` that `own` has among `entries`.
///
/// All entries get the same number; what is left over goes to the first in the rendezvous order of
/// this upstream, so that each entry is first for some upstreams. An entry that is not among
/// `entries` has no part; without any entries it has all.
pub fn compute_share(total: u32, upstream: &str, entries: &[String], own: &str) -> u32 {
    let count = entries.len() as u32;
    if count == 0 {
        return total;
    }
    if !entries.iter().any(|entry| entry == own) {
        return 0;
    }
    let even = total / count;
    let left_over = total % count;
    let own_weight = weight(upstream, own);
    let mut ahead = 0;
    for entry in entries {
        if entry != own && (weight(upstream, entry), entry.as_str()) < (own_weight, own) {
            ahead += 1;
        }
    }
    even + u32::from(ahead < left_over)
}

/// Weight of an entry in the rendezvous order of an upstream; the same in every process.
fn weight(upstream: &str, entry: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(upstream.as_bytes());
    hasher.update([0]);
    hasher.update(entry.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize()[..8]);
    u64::from_le_bytes(first)
}
