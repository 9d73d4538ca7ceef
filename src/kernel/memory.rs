//! Behaviour of the system's allocator.

/// Size from which on a block is mapped by itself and given back to the system when it is freed, in
/// bytes. By default the first large block that is freed raises it, and later ones leave holes in the
/// heap that the process keeps.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MAPPED_BLOCK_BYTES: libc::c_int = 256 << 10;
/// Free bytes at the end of the heap that are kept, so that it doesn't grow and shrink all the time.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const KEPT_BYTES: libc::c_int = 256 << 10;

/// Makes the allocator give large blocks back to the system when they are freed. To be called before
/// any thread is started.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
#[allow(unsafe_code)]
pub fn release_large_blocks() {
    // SAFETY: `mallopt` takes plain integers and changes parameters of the allocator only.
    let is_set = unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES) != 0
            && libc::mallopt(libc::M_TRIM_THRESHOLD, KEPT_BYTES) != 0
    };
    if !is_set {
        tracing::warn!("the allocator keeps its default parameters");
    }
}

/// Does nothing: other allocators have other parameters.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn release_large_blocks() {}
