//! Division of an upstream's slots and connections among entries, computed by each entry without
//! coordination.

use sha2::{Digest, Sha256};

/// Share of `total` that belongs to the entry `own` among `entries`.
///
/// All entries get an equal share. The remainder is assigned, one each, to the first entries in the
/// rendezvous hashing order of the upstream, so that remainders are spread over the entries. An
/// entry that is not in `entries` has no share; if `entries` is empty it has all.
pub fn compute_share(total: u32, upstream: &str, entries: &[String], own: &str) -> u32 {
    let count = entries.len() as u32;
    if count == 0 {
        return total;
    }
    if !entries.iter().any(|entry| entry == own) {
        return 0;
    }
    let quotient = total / count;
    let remainder = total % count;
    let own_hash = rendezvous_hash(upstream, own);
    let mut ahead = 0;
    for entry in entries {
        if entry != own && (rendezvous_hash(upstream, entry), entry.as_str()) < (own_hash, own) {
            ahead += 1;
        }
    }
    quotient + u32::from(ahead < remainder)
}

/// Rendezvous hash of an entry for an upstream, identical in every process.
fn rendezvous_hash(upstream: &str, entry: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(upstream.as_bytes());
    hasher.update([0]);
    hasher.update(entry.as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize()[..8]);
    u64::from_le_bytes(prefix)
}
