//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A run of a task on a runner.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub number: u64,
    pub runner: String,
    /// Text of the job, as the start order held it.
    pub spec: String,
    pub start: Instant,
    pub end: Option<(Instant, &'static str)>,
}

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    runs: Arc<Mutex<Vec<Run>>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, runs: Arc::default(), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().expect("the record is writable");
        let _ = writeln!(file, "{seconds:7.3} {text}");
    }

    pub fn started(&self, task: &str, number: u64, runner: &str, spec: &str) {
        let run = Run {
            task: task.into(),
            number,
            runner: runner.into(),
            spec: spec.into(),
            start: Instant::now(),
            end: None,
        };
        self.line(&format!("runner {runner}: starts {task}, run {number}, {spec}"));
        self.runs.lock().expect("the runs are readable").push(run);
    }

    pub fn ended(&self, task: &str, number: u64, runner: &str, at: Instant, how: &'static str) {
        self.line_at(at, &format!("runner {runner}: {task}, run {number} ends {how}"));
        let mut runs = self.runs.lock().expect("the runs are readable");
        for run in runs.iter_mut() {
            if run.task == task && run.number == number && run.runner == runner {
                run.end = Some((at, how));
            }
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("the runs are readable").clone()
    }
}
