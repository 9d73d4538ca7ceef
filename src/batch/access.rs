//! Which jobs a caller may see, cancel and hand in again.
//!
//! Clients that know nothing of one another may choose the same ID for their jobs. A job belongs to the queue at
//! which it was submitted, and to the customer that submitted it.

use super::document::{Document, Queue};
use super::job::Job;

/// A caller whose request names a queue of the document in force, with what its key shows.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// The document in force.
    pub document: &'a Document,
    /// Queue that the request names.
    pub queue: &'a Queue,
    /// Name of the customer; empty without a known key, which only an open queue permits.
    pub customer: &'a str,
}

impl Caller<'_> {
    /// Whether a job is the caller's. Callers of an open queue, and those whose jobs came through one
    /// before it needed keys, can't be told apart.
    pub fn owns(&self, job: &Job) -> bool {
        let is_known = self.queue.is_open || job.customer.is_empty();
        self.is_of_queue(job) && (is_known || job.customer == self.customer)
    }

    /// Whether a job was submitted at the queue that the caller names. The address decides, since callers
    /// know a queue by it; names need not be unique. The name is what is left once no queue has the
    /// job's address any more, or if a job of an earlier version has none.
    pub fn is_of_queue(&self, job: &Job) -> bool {
        if self.queue.is_at(&job.address) {
            return true;
        }
        let has_moved = !self.document.queues.iter().any(|queue| queue.is_at(&job.address));
        has_moved && job.queue == self.queue.name
    }
}
