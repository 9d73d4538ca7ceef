//! A runner: sends heartbeats, follows the orders in the answers, and keeps its leases, as `PROTOCOL.md`
//! says. It rejects what does not fit.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::json::Json;

/// Time after which an answer is dropped.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const CPU: u64 = 64_000;
const MEM_MB: u64 = 262_144;
const GPU: u64 = 8;

/// Run time of tasks that last.
pub const LASTING: Duration = Duration::from_secs(86_400);

/// What a task asks for: thousandths of a core, memory in MB, and accelerators.
pub type Need = (u64, u64, u64);

/// What the tasks of a job ask for, by its ID; a job that isn't listed asks for nothing.
pub type Needs = Arc<Mutex<HashMap<String, Need>>>;

/// How long the tasks of a step run, and how they end then.
#[derive(Clone, Copy)]
pub struct Span {
    pub run_for: Duration,
    pub how: &'static str,
}

/// Spans of single steps, by ID.K.STEP.
pub type Spans = Arc<Mutex<HashMap<String, Span>>>;

/// A start that a runner began on an order.
#[derive(Clone, Debug)]
pub struct Start {
    pub task: String,
    pub run: u64,
    pub runner: String,
}

/// An end of a run, as the runner lists it.
#[derive(Clone, Debug)]
pub struct End {
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    pub runner: String,
    pub at: Instant,
}

/// What all runners have seen.
#[derive(Default)]
pub struct Watch {
    pub starts: Mutex<Vec<Start>>,
    pub ends: Mutex<Vec<End>>,
    /// Where runners were told to send their next heartbeats.
    pub leader: Mutex<Option<SocketAddr>>,
    /// Runs in progress, of all runners.
    pub running: Mutex<BTreeMap<String, usize>>,
    pub is_over: AtomicBool,
}

pub struct Runner {
    id: String,
    service: String,
    rack: String,
    control: Vec<SocketAddr>,
    next: usize,
    run_for: Duration,
    needs: Needs,
    spans: Spans,
    watch: Arc<Watch>,
    born_ms: u128,
    begun: Instant,
    sequence: u64,
    fence: u64,
    lease_until: Instant,
    running: BTreeMap<(String, u64), Instant>,
    highest: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    used: Need,
}

impl Runner {
    pub fn new(at: usize, service: &str, control: &[SocketAddr], run_for: Duration) -> Self {
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
        Self {
            id: format!("i-{:08x}", 0x7f3a_0000 + at),
            service: service.into(),
            rack: format!("r1-{}", at / 8),
            control: control.to_vec(),
            next: at % control.len(),
            run_for,
            needs: Needs::default(),
            spans: Spans::default(),
            watch: Arc::default(),
            born_ms,
            begun: Instant::now(),
            sequence: 0,
            fence: 0,
            lease_until: Instant::now(),
            running: BTreeMap::new(),
            highest: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
            used: Need::default(),
        }
    }

    pub fn needs(mut self, needs: &Needs) -> Self {
        self.needs = needs.clone();
        self
    }

    pub fn spans(mut self, spans: &Spans) -> Self {
        self.spans = spans.clone();
        self
    }

    pub fn watch(mut self, watch: &Arc<Watch>) -> Self {
        self.watch = watch.clone();
        self
    }

    /// Runs until the watch is over.
    pub fn spawn(mut self) -> std::thread::JoinHandle<()> {
        std::thread::spawn(move || {
            while !self.watch.is_over.load(Ordering::Relaxed) {
                let pause_ms = self.beat().unwrap_or(50);
                let wake = Instant::now() + Duration::from_millis(pause_ms);
                // The end of a run brings the next heartbeat forward.
                while Instant::now() < wake && !self.end_runs() {
                    std::thread::sleep(Duration::from_millis(10));
                }
            }
        })
    }

    // Ends runs that are done or whose lease has expired; returns whether there were any.
    fn end_runs(&mut self) -> bool {
        let now = Instant::now();
        let has_lapsed = now >= self.lease_until;
        let over: Vec<(String, u64)> = self
            .running
            .iter()
            .filter(|(run, since)| has_lapsed || now >= **since + self.span(&run.0).run_for)
            .map(|(run, _)| run.clone())
            .collect();
        for run in &over {
            let span = self.span(&run.0);
            let is_over = self.running.get(run).is_some_and(|since| now >= *since + span.run_for);
            self.end(run, if is_over && !has_lapsed { span.how } else { "lapsed" });
        }
        !over.is_empty()
    }

    fn end(&mut self, run: &(String, u64), how: &'static str) {
        if self.running.remove(run).is_none() {
            return;
        }
        let need = self.need(&run.0);
        self.used = (self.used.0 - need.0, self.used.1 - need.1, self.used.2 - need.2);
        self.last_end += 1;
        self.ended.push((self.last_end, run.0.clone(), run.1, how));
        self.count(&run.0, false);
        let (task, runner) = (run.0.clone(), self.id.clone());
        let end = End { task, run: run.1, how, runner, at: Instant::now() };
        self.watch.ends.lock().expect("no thread panicked").push(end);
    }

    fn count(&self, task: &str, is_start: bool) {
        let mut running = self.watch.running.lock().expect("no thread panicked");
        let count = running.entry(task.to_string()).or_default();
        *count = if is_start { *count + 1 } else { count.saturating_sub(1) };
        if *count == 0 {
            running.remove(task);
        }
    }

    // Sends a heartbeat; returns the delay until the next one if it was answered in time.
    fn beat(&mut self) -> Option<u64> {
        self.end_runs();
        self.sequence += 1;
        let sent = Instant::now();
        let mut body = format!(
            "{{\"service\":\"{}\",\"address\":\"127.0.0.1:9\",\"zone\":\"kochi\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{CPU},\"mem_mb\":{MEM_MB},\"gpu\":{GPU}}},\
             \"labels\":[\"a\",\"{}\"],\"clock_ms\":{},\"sequence\":{},\"born\":{},\"running\":[",
            self.service,
            self.rack,
            1_000 + self.begun.elapsed().as_millis(),
            self.sequence,
            self.born_ms
        );
        for (at, ((task, run), since)) in self.running.iter().enumerate() {
            let span = self.span(task).run_for;
            let percent = since.elapsed().as_millis() * 100 / span.as_millis().max(1);
            // A task that lasts is at work after a short startup.
            let percent = if span == LASTING { 100 } else { percent.min(99) };
            let comma = if at > 0 { "," } else { "" };
            let _ = write!(body, "{comma}[\"{task}\",{run},\"\",{percent},0]");
        }
        body.push_str("],\"ended\":[");
        for (at, (number, task, run, how)) in self.ended.iter().take(500).enumerate() {
            let comma = if at > 0 { "," } else { "" };
            let _ = write!(body, "{comma}[{number},\"{task}\",{run},\"{how}\",\"\"]");
        }
        body.push_str("]}");
        let path = format!("/instances/{}/heartbeat", self.id);
        let answer = http::send(&Request {
            to: self.control[self.next],
            method: "POST",
            path: &path,
            headers: &[],
            body: &body,
            within: ANSWER_TIMEOUT,
        });
        if answer.status != 200 || sent.elapsed() > ANSWER_TIMEOUT {
            self.next = (self.next + 1) % self.control.len();
            return None;
        }
        let answer = Json::parse(&answer.body);
        let address = answer.get("heartbeat_address").text().parse().ok();
        if address.is_some() {
            *self.watch.leader.lock().expect("no thread panicked") = address;
        }
        if let Some(at) = address.and_then(|to| self.control.iter().position(|one| *one == to)) {
            self.next = at;
        }
        self.obey(&answer, sent);
        Some(answer.get("retry_ms").number().unwrap_or(50))
    }

    fn obey(&mut self, answer: &Json, sent: Instant) {
        let Some(hold_ms) = answer.get("hold_ms").number() else { return };
        let fence = answer.get("fencing_token").number().unwrap_or(0);
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        self.lease_until = self.lease_until.max(sent + Duration::from_millis(hold_ms));
        let acked = answer.get("acked_through").number().unwrap_or(0);
        self.ended.retain(|(number, ..)| *number > acked);
        for row in answer.get("stop").list() {
            let run = (row.list()[0].text().to_string(), row.list()[1].number().unwrap_or(0));
            let highest = self.highest.entry(run.0.clone()).or_default();
            *highest = run.1.max(*highest);
            self.end(&run, "stopped");
        }
        for row in answer.get("start").list() {
            let run = (row.list()[0].text().to_string(), row.list()[1].number().unwrap_or(0));
            let highest = self.highest.entry(run.0.clone()).or_default();
            if run.1 <= *highest {
                continue;
            }
            *highest = run.1;
            let need = self.need(&run.0);
            if !self.has_room(need) {
                self.last_end += 1;
                self.ended.push((self.last_end, run.0, run.1, "refused"));
                continue;
            }
            self.used =
                (self.used.0 + need.0, self.used.1 + need.1, self.used.2 + need.2);
            self.count(&run.0, true);
            let start = Start { task: run.0.clone(), run: run.1, runner: self.id.clone() };
            self.watch.starts.lock().expect("no thread panicked").push(start);
            self.running.insert(run, Instant::now());
        }
    }

    fn span(&self, task: &str) -> Span {
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        let spans = self.spans.lock().expect("no thread panicked");
        spans.get(step).copied().unwrap_or(Span { run_for: self.run_for, how: "done" })
    }

    fn need(&self, task: &str) -> Need {
        let job = task.split('.').next().unwrap_or("");
        self.needs.lock().expect("no thread panicked").get(job).copied().unwrap_or_default()
    }

    fn has_room(&self, need: Need) -> bool {
        let (cpu, mem_mb, gpu) = self.used;
        cpu + need.0 <= CPU && mem_mb + need.1 <= MEM_MB && gpu + need.2 <= GPU
    }
}
