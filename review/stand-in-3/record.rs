//! `record.txt`: what was sent, answered and run, with the time since the start of the script.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    begun: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let file = File::create(Path::new(folder).join("record.txt")).expect("record.txt");
        Self { file: Mutex::new(file), begun: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.begun.elapsed().as_secs_f64());
        print!("{line}");
        let mut file = self.file.lock().expect("no thread panicked");
        let _ = file.write_all(line.as_bytes());
    }
}
