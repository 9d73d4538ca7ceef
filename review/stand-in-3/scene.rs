//! A small deployment with runners, and calls that are written into the record.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::config::SERVICE;
use crate::http::Response;
use crate::json::Json;
use crate::record::Record;
use crate::runner::{Needs, Runner, Spans, Watch};
use crate::system::{Call, System};

pub struct Scene<'a> {
    pub system: System,
    pub watch: Arc<Watch>,
    pub needs: Needs,
    pub spans: Spans,
    record: &'a Record,
    runners: Vec<JoinHandle<()>>,
}

impl<'a> Scene<'a> {
    /// Starts the processes and hands in the first configuration; `None` if that isn't acknowledged.
    pub fn start(record: &'a Record, document: &str) -> Option<Self> {
        let system = System::start(3, 2);
        let (watch, needs, spans) = (Arc::default(), Needs::default(), Spans::default());
        let scene = Self { system, watch, needs, spans, record, runners: Vec::new() };
        scene.put_config(document).then_some(scene)
    }

    /// Sends a configuration until it is acknowledged.
    pub fn put_config(&self, document: &str) -> bool {
        let response = self.system.put_config(document);
        self.record.line(&format!("operator: POST /config/put -> {}", response.status));
        response.status == 200
    }

    /// Adds runners whose tasks take `run_for`, and waits until they can have work.
    pub fn add_runners(&mut self, count: usize, run_for: Duration) {
        self.add_runners_of(SERVICE, count, run_for);
    }

    /// As [`Scene::add_runners`], for a service.
    pub fn add_runners_of(&mut self, service: &str, count: usize, run_for: Duration) {
        let first = self.runners.len();
        for at in first..first + count {
            let runner = Runner::new(at, service, &self.system.control, run_for);
            let runner = runner.needs(&self.needs).spans(&self.spans).watch(&self.watch);
            self.runners.push(runner.spawn());
        }
        self.record.line(&format!("{count} runners of {service} started"));
        std::thread::sleep(Duration::from_secs(3));
    }

    /// A client's call, sent again at another daemon after no response, a 502 or a 504.
    pub fn call(&self, who: &str, call: &Call<'_>) -> Response {
        let until = Instant::now() + Duration::from_secs(10);
        for attempt in 0.. {
            let response = self.system.call(attempt, call);
            let (method, host, path) = (call.method, call.host, call.path);
            let (status, body) = (response.status, &response.body);
            self.record.line(&format!("{who}: {method} {host}{path} -> {status} {body}"));
            let is_clear = !matches!(status, 0 | 502 | 504);
            if is_clear || Instant::now() >= until {
                return response;
            }
        }
        unreachable!("the loop ends by its time")
    }

    /// State of a job, as its client sees it.
    pub fn state(&self, who: &str, call: &Call<'_>) -> String {
        let response = self.call(who, &Call { method: "GET", body: "", ..*call });
        match response.status {
            200 => Json::parse(&response.body).get("state").text().to_string(),
            status => status.to_string(),
        }
    }

    /// Tasks of a job of which a run was begun.
    pub fn tasks_begun(&self, job: &str) -> BTreeSet<String> {
        let starts = self.watch.starts.lock().expect("no thread panicked");
        let of_job = starts.iter().filter(|start| start.task.starts_with(job));
        of_job.map(|start| start.task.clone()).collect()
    }

    /// Writes all starts into the record.
    pub fn record_starts(&self) {
        let starts = self.watch.starts.lock().expect("no thread panicked");
        for start in starts.iter() {
            let (task, run, runner) = (&start.task, start.run, &start.runner);
            self.record.line(&format!("{runner}: began {task}, run {run}"));
        }
    }
}

impl Drop for Scene<'_> {
    fn drop(&mut self) {
        self.watch.is_over.store(true, Ordering::Relaxed);
        for runner in self.runners.drain(..) {
            let _ = runner.join();
        }
    }
}
