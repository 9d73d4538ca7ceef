//! Workers as the pages describe them. What a task does stands in the payload of its job, as words
//! of the form name=value: `ms` is its run time, `cpu`, `mem` and `gpu` its demand, `gang` the number
//! of tasks of its gang, and `fail=INDEX` makes the task with this index fail.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::http::{Answer, call};
use crate::json::{Value, quote};
use crate::record::Record;

/// A worker drops an answer that comes later than this after the heartbeat was sent.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// A worker drops an answer that is longer than this.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Interval of heartbeats that no answer sets.
const HEARTBEAT_MS: u64 = 1_500;
/// Time for which the tasks of a gang wait for the others.
const GANG_TIMEOUT_MS: u64 = 3_000;
/// Time for which a worker drains before it leaves: `drain_ms` of the site, and a little longer.
const DRAIN_MS: u64 = 4_000;
/// Longest lease that a worker takes.
const MAX_LEASE_MS: u64 = 6_000;
/// Ends in one heartbeat.
const MAX_ENDS: usize = 500;
/// Dropped answers that the record shows one by one.
const MAX_OVERSIZED_LINES: u64 = 5;
/// Size of a worker, as on the sheet of the site.
pub const CAPACITY: [u64; 3] = [64_000, 262_144, 8];

/// A run that a worker has begun.
#[derive(Clone, Debug)]
pub struct Begun {
    pub at_ms: u64,
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub payload: String,
}

/// A run that has ended.
#[derive(Clone, Debug)]
pub struct Ended {
    pub at_ms: u64,
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    /// When `acked_through` reached the end; `None` before.
    pub noted_ms: Option<u64>,
    /// Whether the lease of the worker had lapsed between the end and that.
    pub lapsed_between: bool,
}

#[derive(Default)]
struct Gang {
    present: BTreeSet<String>,
    complete_ms: Option<u64>,
    first_ms: u64,
    // How the first task that ended has ended.
    ended: Option<&'static str>,
}

/// What all workers have done.
#[derive(Default)]
pub struct History {
    pub begun: Vec<Begun>,
    pub ended: Vec<Ended>,
    /// Tasks that run now, by worker.
    pub running: BTreeMap<String, BTreeSet<(String, u64)>>,
    /// Answers that were dropped since they were too long.
    pub oversized: u64,
    /// Address that an answer has named last for further heartbeats.
    pub leader: Option<SocketAddr>,
    gangs: BTreeMap<(String, u64), Gang>,
}

/// The workers, which run until the fleet is dropped.
pub struct Fleet {
    pub history: Arc<Mutex<History>>,
    cuts: BTreeMap<String, Arc<AtomicBool>>,
    leaves: BTreeMap<String, Arc<AtomicBool>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Fleet {
    pub fn empty() -> Self {
        Self {
            history: Arc::default(),
            cuts: BTreeMap::new(),
            leaves: BTreeMap::new(),
            stop: Arc::default(),
            threads: Vec::new(),
        }
    }

    /// Adds workers of a service.
    pub fn add(&mut self, service: &str, count: usize, members: &[SocketAddr], record: &Record) {
        let fleet = self;
        let first = fleet.threads.len();
        for number in first..first + count {
            let id = format!("i-{:08x}", 0x7f3a_9100 + number);
            let is_cut = Arc::new(AtomicBool::new(false));
            fleet.cuts.insert(id.clone(), is_cut.clone());
            let mut worker = Worker {
                id,
                record: record.clone(),
                history: fleet.history.clone(),
                members: members.to_vec(),
                is_cut,
                service: service.into(),
                ..Worker::default_of(record, number)
            };
            fleet.leaves.insert(worker.id.clone(), worker.leaves.clone());
            let stop = fleet.stop.clone();
            fleet.threads.push(std::thread::spawn(move || worker.live(&stop)));
        }
    }

    /// Names of all workers.
    pub fn names(&self) -> Vec<String> {
        self.cuts.keys().cloned().collect()
    }

    /// Makes a worker drain and leave.
    pub fn leave(&self, worker: &str) {
        self.leaves[worker].store(true, Ordering::SeqCst);
    }

    /// Cuts a worker off from all daemons, or joins it again. Its tasks run on.
    pub fn cut(&self, worker: &str, is_cut: bool) {
        self.cuts[worker].store(is_cut, Ordering::SeqCst);
    }

    pub fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().expect("no thread panicked")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

struct Run {
    task: String,
    run: u64,
    begun_ms: u64,
    length_ms: u64,
    demand: [u64; 3],
    gang: Option<u64>,
    fails: Option<u64>,
    fail_ms: u64,
    is_quiet: bool,
}

impl Run {
    fn new(task: String, run: u64, payload: &str, begun_ms: u64) -> Self {
        // The words come first; what follows them is only long.
        let payload: String = payload.chars().take(200).collect();
        let word = |name| word(&payload, name);
        let length_ms = word("ms").unwrap_or(1_000).max(1);
        Self {
            task,
            run,
            begun_ms,
            length_ms,
            demand: ["cpu", "mem", "gpu"].map(|name| word(name).unwrap_or(0)),
            gang: word("gang"),
            fails: word("fail"),
            fail_ms: word("fail_ms").unwrap_or(length_ms),
            is_quiet: word("quiet").is_some(),
        }
    }

    fn index(&self) -> u64 {
        self.task.rsplit('.').next().and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn word(payload: &str, name: &str) -> Option<u64> {
    let mut words = payload.split(' ');
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

struct Worker {
    id: String,
    service: String,
    leaves: Arc<AtomicBool>,
    // When it leaves, once it drains.
    leave_ms: Option<u64>,
    born_ms: u64,
    rack: String,
    record: Record,
    history: Arc<Mutex<History>>,
    members: Vec<SocketAddr>,
    is_cut: Arc<AtomicBool>,
    // Address that an answer has named.
    preferred: Option<SocketAddr>,
    next_member: usize,
    sequence: u64,
    fencing_token: u64,
    lease_until_ms: u64,
    lapses: u64,
    running: Vec<Run>,
    // Number, task, run, how, when, lapses before.
    ended: Vec<(u64, String, u64, &'static str, u64, u64)>,
    next_end: u64,
    // Highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    due_ms: u64,
}

impl Worker {
    fn default_of(record: &Record, number: usize) -> Self {
        let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self {
            id: String::new(),
            service: String::new(),
            leaves: Arc::default(),
            leave_ms: None,
            born_ms: wall.expect("a time after 1970").as_millis() as u64,
            rack: format!("r1-{}", number / 8),
            record: record.clone(),
            history: Arc::default(),
            members: Vec::new(),
            is_cut: Arc::default(),
            preferred: None,
            next_member: number,
            sequence: 0,
            fencing_token: 0,
            lease_until_ms: 0,
            lapses: 0,
            running: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            closed: BTreeMap::new(),
            due_ms: 0,
        }
    }

    fn live(&mut self, stop: &AtomicBool) {
        // Heartbeats are sent by a thread of their own, so that tasks end in time while one waits.
        let (answers_in, answers) = std::sync::mpsc::channel::<(Answer, u64, Vec<u64>)>();
        let mut is_waiting = false;
        while !stop.load(Ordering::SeqCst) {
            let now_ms = self.record.now_ms();
            self.end_runs(now_ms);
            if self.leaves.load(Ordering::SeqCst) && self.leave_ms.is_none() {
                self.record.write(&format!("{} drains, for {DRAIN_MS} ms", self.id));
                self.leave_ms = Some(now_ms + DRAIN_MS);
                self.due_ms = self.due_ms.min(now_ms);
            }
            if !is_waiting && self.leave_ms.is_some_and(|leave_ms| now_ms >= leave_ms) {
                self.depart();
                return;
            }
            if let Ok((answer, sent_ms, listed)) = answers.try_recv() {
                is_waiting = false;
                self.receive(&answer, sent_ms, &listed);
            }
            let now_ms = self.record.now_ms();
            if !is_waiting && now_ms >= self.due_ms {
                is_waiting = true;
                let body = self.heartbeat(now_ms);
                let listed = self.ended.iter().take(MAX_ENDS).map(|end| end.0).collect();
                let count = self.members.len();
                let to = self.preferred.unwrap_or(self.members[self.next_member % count]);
                let path = format!("/instances/{}/heartbeat", self.id);
                let (is_cut, sender) = (self.is_cut.clone(), answers_in.clone());
                std::thread::spawn(move || {
                    let was_cut = is_cut.load(Ordering::SeqCst);
                    let answer = if was_cut {
                        std::thread::sleep(ANSWER_TIMEOUT);
                        Answer::default()
                    } else {
                        call(to, "POST", &path, &[], &body, ANSWER_TIMEOUT)
                    };
                    let is_lost = was_cut || is_cut.load(Ordering::SeqCst);
                    let answer = if is_lost { Answer::default() } else { answer };
                    let _ = sender.send((answer, now_ms, listed));
                });
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    // Says that it leaves, and ends with all that it runs.
    fn depart(&mut self) {
        let body = format!("{{\"born\":{}}}", self.born_ms);
        let path = format!("/instances/{}/deregister", self.id);
        let to = self.preferred.unwrap_or(self.members[0]);
        let status = call(to, "POST", &path, &[], &body, ANSWER_TIMEOUT).status;
        let runs = self.running.len();
        self.record.write(&format!("{} leaves with {runs} tasks: {status}", self.id));
        self.history.lock().expect("no thread panicked").running.remove(&self.id);
    }

    fn heartbeat(&mut self, now_ms: u64) -> String {
        self.sequence += 1;
        let mut running = String::new();
        for run in &self.running {
            let percent = ((now_ms - run.begun_ms) * 100 / run.length_ms).min(99);
            let comma = if running.is_empty() { "" } else { "," };
            running.push_str(&format!("{comma}[\"{}\",{},\"\",{percent},0]", run.task, run.run));
        }
        let mut ended = String::new();
        for (number, task, run, how, ..) in self.ended.iter().take(MAX_ENDS) {
            let comma = if ended.is_empty() { "" } else { "," };
            ended.push_str(&format!("{comma}[{number},\"{task}\",{run},\"{how}\",\"\"]"));
        }
        let [cpu, mem, gpu] = CAPACITY;
        let state = match self.leave_ms {
            Some(at_ms) => {
                format!("\"draining\",\"remaining_ms\":{}", at_ms.saturating_sub(now_ms))
            }
            None => "\"ready\"".into(),
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"127.0.0.1:9\",\"zone\":\"kochi\",\
             \"version\":\"v1\",\"slots\":8,\"state\":{state},\"cold_remaining_ms\":0,\
             \"capacity\":{{\"cpu\":{cpu},\"mem_mb\":{mem},\"gpu\":{gpu}}},\
             \"labels\":[\"a\",{}],\"clock_ms\":{now_ms},\"sequence\":{},\"born\":{},\
             \"running\":[{running}],\"ended\":[{ended}]}}",
            self.service,
            quote(&self.rack),
            self.sequence,
            self.born_ms
        )
    }

    fn receive(&mut self, answer: &Answer, sent_ms: u64, listed: &[u64]) {
        let now_ms = self.record.now_ms();
        let is_oversized = answer.body.len() > MAX_ANSWER_BYTES;
        if is_oversized {
            let mut history = self.history.lock().expect("no thread panicked");
            history.oversized += 1;
            if history.oversized <= MAX_OVERSIZED_LINES {
                let bytes = answer.body.len();
                self.record.write(&format!("{} drops an answer of {bytes} bytes", self.id));
            }
        }
        if answer.status / 100 != 2 || is_oversized {
            self.preferred = None;
            self.next_member += 1;
            self.due_ms = now_ms + 50;
            return;
        }
        let orders = answer.json();
        self.due_ms = now_ms + orders.get("retry_ms").number().unwrap_or(HEARTBEAT_MS);
        if let Ok(address) = orders.get("heartbeat_address").text().parse() {
            self.preferred = Some(address);
            self.history.lock().expect("no thread panicked").leader = Some(address);
        }
        let token = orders.get("fencing_token").number().unwrap_or(0);
        if token < self.fencing_token {
            return;
        }
        self.fencing_token = token;
        let through = orders.get("acked_through").number().unwrap_or(0);
        self.take_note(through, listed, now_ms);
        for row in orders.get("stop").list() {
            let [task, run] = row.list() else { continue };
            self.stop(task.text(), run.number().unwrap_or(0), now_ms);
        }
        let Some(hold_ms) = orders.get("hold_ms").number() else { return };
        self.lease_until_ms = self.lease_until_ms.max(sent_ms + hold_ms.min(MAX_LEASE_MS));
        for row in orders.get("start").list() {
            self.begin(row.list(), now_ms);
        }
    }

    fn take_note(&mut self, through: u64, listed: &[u64], now_ms: u64) {
        let lapses = self.lapses;
        let mut history = self.history.lock().expect("no thread panicked");
        for (number, task, run, _, _, before) in &self.ended {
            if *number > through || !listed.contains(number) {
                continue;
            }
            let end = history.ended.iter_mut().find(|end| {
                end.task == *task && end.run == *run && end.worker == self.id
            });
            if let Some(end) = end {
                end.noted_ms = Some(now_ms);
                end.lapsed_between = lapses > *before;
            }
        }
        drop(history);
        self.ended.retain(|end| end.0 > through || !listed.contains(&end.0));
    }

    fn begin(&mut self, row: &[Value], now_ms: u64) {
        let [task, run, payload, ..] = row else { return };
        let (task, run) = (task.text().to_string(), run.number().unwrap_or(0));
        let is_known = self.running.iter().any(|own| own.task == task && own.run >= run);
        if is_known || self.closed.get(&task).is_some_and(|closed| *closed >= run) {
            return;
        }
        let payload = payload.text();
        let new = Run::new(task.clone(), run, payload, now_ms);
        for (at, capacity) in CAPACITY.iter().enumerate() {
            let used: u64 = self.running.iter().map(|own| own.demand[at]).sum();
            if used + new.demand[at] > *capacity {
                self.close(task, run, "refused", now_ms);
                return;
            }
        }
        let mut history = self.history.lock().expect("no thread panicked");
        history.begun.push(Begun {
            at_ms: now_ms,
            worker: self.id.clone(),
            task: task.clone(),
            run,
            payload: payload.chars().take(60).collect(),
        });
        let own = history.running.entry(self.id.clone()).or_default();
        own.insert((task.clone(), run));
        if new.gang.is_some() {
            let gang = history.gangs.entry(gang_key(&task, run)).or_default();
            if gang.present.is_empty() {
                gang.first_ms = now_ms;
            }
            gang.present.insert(task.clone());
        }
        drop(history);
        if !new.is_quiet {
            self.record.write(&format!("{} begins {task} run {run}", self.id));
        }
        self.running.push(new);
    }

    fn stop(&mut self, task: &str, run: u64, now_ms: u64) {
        let at = self.running.iter().position(|own| own.task == task && own.run == run);
        match at {
            Some(at) => self.end(at, "stopped", now_ms),
            None => {
                let closed = self.closed.entry(task.into()).or_default();
                *closed = (*closed).max(run);
            }
        }
    }

    // Ends the runs whose time has come.
    fn end_runs(&mut self, now_ms: u64) {
        if !self.running.is_empty() && now_ms > self.lease_until_ms {
            let count = self.running.len();
            self.record.write(&format!("{}: the lease lapses with {count} tasks", self.id));
            self.lapses += 1;
            while !self.running.is_empty() {
                self.end(0, "lapsed", now_ms);
            }
        }
        let mut at = 0;
        while at < self.running.len() {
            match self.outcome(&self.running[at], now_ms) {
                Some(how) => self.end(at, how, now_ms),
                None => at += 1,
            }
        }
    }

    fn outcome(&self, run: &Run, now_ms: u64) -> Option<&'static str> {
        let fails = run.fails.is_some_and(|index| index == run.index());
        let mut begun_ms = run.begun_ms;
        if let Some(size) = run.gang {
            let mut history = self.history.lock().expect("no thread panicked");
            let gang = history.gangs.entry(gang_key(&run.task, run.run)).or_default();
            if let Some(how) = gang.ended {
                return Some(if how == "done" { "done" } else { "broken" });
            }
            if gang.present.len() as u64 >= size && gang.complete_ms.is_none() {
                gang.complete_ms = Some(now_ms);
            }
            match gang.complete_ms {
                Some(at_ms) => begun_ms = at_ms,
                None if now_ms > gang.first_ms + GANG_TIMEOUT_MS => return Some("alone"),
                None => return None,
            }
        }
        if fails && now_ms >= begun_ms + run.fail_ms {
            return Some("failed");
        }
        (now_ms >= begun_ms + run.length_ms && !fails).then_some("done")
    }

    fn end(&mut self, at: usize, how: &'static str, now_ms: u64) {
        let run = self.running.remove(at);
        if run.gang.is_some() {
            let mut history = self.history.lock().expect("no thread panicked");
            let gang = history.gangs.entry(gang_key(&run.task, run.run)).or_default();
            gang.ended = gang.ended.or(Some(how));
        }
        if !run.is_quiet {
            self.record.write(&format!("{}: {} run {} ends {how}", self.id, run.task, run.run));
        }
        self.close(run.task, run.run, how, now_ms);
    }

    fn close(&mut self, task: String, run: u64, how: &'static str, now_ms: u64) {
        let mut history = self.history.lock().expect("no thread panicked");
        if let Some(own) = history.running.get_mut(&self.id) {
            own.remove(&(task.clone(), run));
        }
        history.ended.push(Ended {
            at_ms: now_ms,
            worker: self.id.clone(),
            task: task.clone(),
            run,
            how,
            noted_ms: None,
            lapsed_between: false,
        });
        drop(history);
        let closed = self.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(run);
        self.ended.push((self.next_end, task, run, how, now_ms, self.lapses));
        self.next_end += 1;
        self.due_ms = self.due_ms.min(now_ms + 50);
    }
}

fn gang_key(task: &str, run: u64) -> (String, u64) {
    (task.rsplit_once('.').map_or(task, |(step, _)| step).into(), run)
}
