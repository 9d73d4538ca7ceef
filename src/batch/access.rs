//! Which jobs a caller may see, cancel and hand in again.
//!
//! Clients that know nothing of one another may choose the same ID for their jobs. A job belongs to the queue at
//! which it was submitted, and to the customer that submitted it.

use std::hash::{DefaultHasher, Hasher};
use std::io::{self, Write};

use super::document::{Document, Queue};
use super::job::{Job, Spec, Step};

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

    /// Whether a specification is that of a job that the caller hands in again. Others that number their
    /// jobs alike may use the same queue and key.
    pub fn repeats(&self, job: &Job, spec: &Spec) -> bool {
        self.owns(job) && is_same(job, spec)
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

// Whether a job was submitted with a specification, as far as an ended job keeps its own.
fn is_same(job: &Job, spec: &Spec) -> bool {
    if job.outcome.is_none() {
        return job.spec == *spec;
    }
    let is_same_step =
        |(own, other): (&Step, &Step)| *own == Step { after: own.after.clone(), ..other.clone() };
    job.spec.schedule == spec.schedule
        && job.spec.steps.len() == spec.steps.len()
        && job.spec.steps.iter().zip(&spec.steps).all(is_same_step)
}

/// Digest of a specification, to compare it with another one once it has been given away.
pub fn digest(spec: &Spec) -> u64 {
    let mut digest = Digest(DefaultHasher::new());
    // The only error is that of the writer, which has none.
    let _ = ciborium::into_writer(spec, &mut digest);
    digest.0.finish()
}

struct Digest(DefaultHasher);

impl Write for Digest {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
