//! A runner as the platform's pages describe it. The text of a job gives the length of its tasks in
//! milliseconds and the number of their accelerators, as in `8000x1`; tasks of length 0 run until they
//! are stopped. With a `!` after it, the job is hopeless: its tasks fail after that time. What follows
//! a `#` has no meaning.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::json::Json;
use crate::record::Record;

/// A runner drops a response that comes later than this.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);
/// Time after the end of a task until the next heartbeat.
const END_BEAT: Duration = Duration::from_millis(50);
/// Usual time between heartbeats.
const BEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Accelerators of a runner.
const ACCELERATORS: u64 = 8;

struct Task {
    name: String,
    run: u64,
    start: Instant,
    length: Duration,
    accelerators: u64,
    is_hopeless: bool,
}

/// Handle of a runner on a thread of its own.
pub struct Runner {
    pub id: String,
    pub born_ms: u64,
    crash: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

struct State {
    id: String,
    born_ms: u64,
    service: String,
    members: Vec<SocketAddr>,
    // Position of the member that is called, unless a response named another address.
    member: usize,
    named_address: Option<SocketAddr>,
    record: Record,
    crash: Arc<AtomicBool>,
    born: Instant,
    sequence: u64,
    fence: u64,
    lease_until: Option<Instant>,
    running: Vec<Task>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    // Highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    is_acknowledged: bool,
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Runner {
    pub fn start(id: &str, service: &str, members: &[SocketAddr], record: &Record) -> Self {
        let crash = Arc::new(AtomicBool::new(false));
        let born_ms = wall_ms();
        let mut state = State {
            id: id.into(),
            born_ms,
            service: service.into(),
            members: members.to_vec(),
            member: 0,
            named_address: None,
            record: record.clone(),
            crash: crash.clone(),
            born: Instant::now(),
            sequence: 0,
            fence: 0,
            lease_until: None,
            running: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            closed: BTreeMap::new(),
            is_acknowledged: false,
        };
        let thread = std::thread::spawn(move || state.run());
        Self { id: id.into(), born_ms, crash, thread: Some(thread) }
    }

    /// Ends the runner without a message, as a crash does.
    pub fn crash(&mut self) {
        self.crash.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.crash();
    }
}

impl State {
    fn run(&mut self) {
        self.record.line(&format!("runner {}: up, born {}", self.id, self.born_ms));
        while !self.crash.load(Ordering::SeqCst) {
            let wait = self.beat();
            let until = Instant::now() + wait;
            while Instant::now() < until && !self.crash.load(Ordering::SeqCst) {
                let count = self.ended.len();
                self.advance();
                if self.ended.len() > count {
                    std::thread::sleep(END_BEAT);
                    break;
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        let now = Instant::now();
        for task in std::mem::take(&mut self.running) {
            self.record.ended(&task.name, task.run, &self.id, now, "with its runner");
        }
        self.record.line(&format!("runner {}: down", self.id));
    }

    // Ends the tasks that are done, and all of them when the lease has expired.
    fn advance(&mut self) {
        let now = Instant::now();
        let mut at = 0;
        while at < self.running.len() {
            let task = &self.running[at];
            let done = (!task.length.is_zero()).then(|| task.start + task.length);
            let lapse = self.lease_until.unwrap_or(now);
            let how = if task.is_hopeless { "failed" } else { "done" };
            match done {
                Some(done) if done <= now && done <= lapse => self.end(at, done, how),
                _ if lapse <= now => self.end(at, lapse, "lapsed"),
                _ => at += 1,
            }
        }
    }

    fn end(&mut self, at: usize, time: Instant, how: &'static str) {
        let task = self.running.remove(at);
        self.record.ended(&task.name, task.run, &self.id, time, how);
        self.list_end(task.name, task.run, how);
    }

    fn list_end(&mut self, name: String, run: u64, how: &'static str) {
        let closed = self.closed.entry(name.clone()).or_default();
        *closed = run.max(*closed);
        self.ended.push((self.next_end, name, run, how));
        self.next_end += 1;
    }

    // Sends a heartbeat and follows the orders in the response. Returns the time until the next one.
    fn beat(&mut self) -> Duration {
        self.advance();
        self.sequence += 1;
        let running: Vec<String> = self.running.iter().map(running_row).collect();
        let ended: Vec<String> = self
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"127.0.0.1:8080\",\"zone\":\"kochi\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{},\
             \"capacity\":{{\"cpu\":64000,\"mem_mb\":262144,\"gpu\":{ACCELERATORS}}},\
             \"labels\":[\"a\",\"r1-1\"],\"clock_ms\":{},\"sequence\":{},\
             \"running\":[{}],\"ended\":[{}]}}",
            self.service,
            self.born_ms,
            self.born.elapsed().as_millis(),
            self.sequence,
            running.join(","),
            ended.join(",")
        );
        let to = self.named_address.unwrap_or(self.members[self.member]);
        let path = format!("/instances/{}/heartbeat", self.id);
        let sent = Instant::now();
        let answer = http::call(to, "POST", &path, &[], &body, ANSWER_LIMIT);
        self.advance();
        if answer.status / 100 != 2 || sent.elapsed() > ANSWER_LIMIT {
            self.named_address = None;
            self.member = (self.member + 1) % self.members.len();
            return Duration::from_millis(100);
        }
        if !self.is_acknowledged {
            self.record.line(&format!("runner {}: first heartbeat acknowledged", self.id));
            self.is_acknowledged = true;
        }
        self.follow(&answer.body, sent);
        answer.body.get("retry_ms").number().map_or(BEAT_INTERVAL, Duration::from_millis)
    }

    fn follow(&mut self, answer: &Json, sent: Instant) {
        if let Ok(address) = answer.get("heartbeat_address").text().parse() {
            self.named_address = Some(address);
        }
        let fence = answer.get("fencing_token").number().unwrap_or(0);
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        if let Some(acknowledged) = answer.get("acked_through").number() {
            self.ended.retain(|(number, ..)| *number > acknowledged);
        }
        for row in answer.get("stop").rows() {
            let (name, run) = (row_text(row, 0), row_number(row, 1));
            match self.running.iter().position(|task| task.name == name && task.run == run) {
                Some(at) => self.end(at, Instant::now(), "stopped"),
                None => {
                    let closed = self.closed.entry(name).or_default();
                    *closed = run.max(*closed);
                }
            }
        }
        let Some(hold_ms) = answer.get("hold_ms").number() else { return };
        let until = sent + Duration::from_millis(hold_ms);
        self.lease_until = Some(self.lease_until.map_or(until, |known| known.max(until)));
        for row in answer.get("start").rows() {
            self.start(row_text(row, 0), row_number(row, 1), &row_text(row, 2));
        }
    }

    fn start(&mut self, name: String, run: u64, spec: &str) {
        if self.running.iter().any(|task| task.name == name && task.run == run) {
            return;
        }
        let is_closed = self.closed.get(&name).is_some_and(|closed| run <= *closed);
        let spec = spec.split('#').next().unwrap_or("");
        let is_hopeless = spec.ends_with('!');
        let figures = spec.trim_end_matches('!');
        let (length_ms, accelerators) = figures.split_once('x').unwrap_or((figures, "1"));
        let accelerators = accelerators.parse().unwrap_or(1);
        let used: u64 = self.running.iter().map(|task| task.accelerators).sum();
        if is_closed || used + accelerators > ACCELERATORS {
            self.record.line(&format!("runner {}: refuses {name}, run {run}", self.id));
            self.list_end(name, run, "refused");
            return;
        }
        self.record.started(&name, run, &self.id, spec);
        let length = Duration::from_millis(length_ms.parse().unwrap_or(0));
        let start = Instant::now();
        self.running.push(Task { name, run, start, length, accelerators, is_hopeless });
    }
}

fn running_row(task: &Task) -> String {
    let percent = if task.length.is_zero() {
        100
    } else {
        (task.start.elapsed().as_millis() * 100 / task.length.as_millis()).min(99)
    };
    format!("[\"{}\",{},\"\",{percent},0]", task.name, task.run)
}

fn row_text(row: &Json, at: usize) -> String {
    row.rows().get(at).map_or("", Json::text).to_string()
}

fn row_number(row: &Json, at: usize) -> u64 {
    row.rows().get(at).and_then(Json::number).unwrap_or(0)
}
