//! What was sent, answered and run, in the order in which the stand-ins saw it.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Milliseconds since the start of the script; also the steady clock of the workers.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let mut file = self.file.lock().expect("no thread panicked");
        let _ = writeln!(file, "{:>7} ms  {line}", self.now_ms());
    }
}
