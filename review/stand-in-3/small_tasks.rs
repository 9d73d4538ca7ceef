//! Runners that are full of small tasks, and urgent jobs. The platform kills a process that uses more than
//! the memory of its machine, and starts it again.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::config::{Job, Route, SERVICE, Tenant, document};
use crate::record::Record;
use crate::scene::Scene;
use crate::system::{Call, MEMBER_MEMORY_MB, Process, RESTART_DELAY};

const HOST: &str = "nony24.example";
const KEY: Option<&str> = Some("d4a3hwrr6x73d3zji9n7");
const URGENT_IDS: [&str; 4] =
    ["00000000000000a0", "00000000000000a1", "00000000000000a2", "00000000000000a3"];
/// As on the site.
const RUNNERS: usize = 48;
/// A runner of 64 cores holds 1,600 such tasks, and all runners 76,800.
const CPU: u64 = 40;
const MEM_MB: u64 = 100;
const JOBS: usize = 8;
const TASKS_OF_JOB: usize = 10_000;
const RUN: Duration = Duration::from_secs(300);
const URGENT_TASKS: usize = 2_000;
const URGENT_TASKS_WITHOUT_TROUBLE: usize = 20;
/// Time for which the deployment is watched after each urgent job.
const WATCHED: Duration = Duration::from_secs(13);
/// Ends of a process by itself in one day that are a fault.
const ENDS_OF_FAULT: usize = 3;

/// Kills of one member by the platform.
struct Guard {
    member: Arc<Mutex<Process>>,
    kills: AtomicUsize,
    peak_mb: AtomicUsize,
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let routes = [
        Route { name: "r-match", host: HOST, prefix: "/match/", priority: 2, is_anonymous: false, service: SERVICE },
        Route { name: "r-check", host: HOST, prefix: "/check/", priority: 0, is_anonymous: false, service: SERVICE },
    ];
    let tenants = [Tenant { name: "kaje80", key: "d4a3hwrr6x73d3zji9n7" }];
    let Some(mut scene) = Scene::start(record, &document(1, &routes, &tenants)) else {
        return Outcome::CouldNotRun;
    };
    let guards: Vec<Guard> = scene.system.members.iter().map(Guard::new).collect();
    let is_over = AtomicBool::new(false);
    std::thread::scope(|threads| {
        for guard in &guards {
            threads.spawn(|| guard.watch(record, &is_over));
        }
        let outcome = play(record, &mut scene, has_trouble, &guards);
        is_over.store(true, Ordering::Relaxed);
        outcome
    })
}

fn play(record: &Record, scene: &mut Scene<'_>, has_trouble: bool, guards: &[Guard]) -> Outcome {
    scene.add_runners(RUNNERS, RUN);
    let need = (CPU, MEM_MB, 0);
    let job = Job { spec: "match", count: TASKS_OF_JOB, cpu: CPU, mem_mb: MEM_MB, estimate_ms: 60_000 };
    for at in 0..JOBS {
        let id = format!("{:016x}", 0xb0 + at);
        scene.needs.lock().expect("no thread panicked").insert(id.clone(), need);
        let path = format!("/match/{id}");
        let call = Call { method: "POST", host: HOST, path: &path, key: KEY, body: &job.body() };
        if scene.call("tenant", &call).status != 200 {
            return Outcome::CouldNotRun;
        }
    }
    let room = RUNNERS * (64_000 / CPU as usize);
    if !wait_until_running(scene, room) {
        return Outcome::CouldNotRun;
    }
    record.line(&format!("{room} tasks run; all runners are full"));
    let kills = || guards.iter().map(|guard| guard.kills.load(Ordering::Relaxed)).sum::<usize>();
    let kills_before = kills();
    record.line(&format!("members killed for their memory until now: {kills_before}"));
    let count = if has_trouble { URGENT_TASKS } else { URGENT_TASKS_WITHOUT_TROUBLE };
    let job = Job { spec: "check", count, cpu: CPU, mem_mb: MEM_MB, estimate_ms: 2_000 };
    let (mut answered, mut unanswered) = (0, 0);
    for id in URGENT_IDS {
        scene.needs.lock().expect("no thread panicked").insert(id.into(), need);
        let path = format!("/check/{id}");
        let call = Call { method: "POST", host: HOST, path: &path, key: KEY, body: &job.body() };
        scene.call("tenant", &call);
        let until = Instant::now() + WATCHED;
        while Instant::now() < until {
            let question = Call { method: "GET", body: "", ..call };
            let response = scene.system.call(answered + unanswered, &question);
            *(if response.status == 200 { &mut answered } else { &mut unanswered }) += 1;
            std::thread::sleep(Duration::from_secs(1));
        }
        let begun = scene.tasks_begun(id).len();
        record.line(&format!("the urgent job {id}: {begun} of {count} tasks begun"));
    }
    record.line(&format!("questions about them: {answered} answered, {unanswered} not"));
    let ends = scene.watch.ends.lock().expect("no thread panicked");
    let lapsed = ends.iter().filter(|end| end.how == "lapsed").count();
    record.line(&format!("runs that lapsed on their runners: {lapsed}"));
    drop(ends);
    let mut at_fault = 0;
    for guard in guards {
        let kills = guard.kills.load(Ordering::Relaxed);
        let peak_mb = guard.peak_mb.load(Ordering::Relaxed);
        record.line(&format!("a member: peak {peak_mb} MB, killed {kills} times"));
        at_fault += usize::from(kills >= ENDS_OF_FAULT);
    }
    // Fault: on half of the core, processes end by themselves three times in the day.
    if at_fault * 2 >= guards.len() { Outcome::Broken } else { Outcome::Held }
}

fn wait_until_running(scene: &Scene<'_>, tasks: usize) -> bool {
    let until = Instant::now() + Duration::from_secs(45);
    while Instant::now() < until {
        if scene.watch.running.lock().expect("no thread panicked").len() >= tasks {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

impl Guard {
    fn new(member: &Arc<Mutex<Process>>) -> Self {
        Self { member: member.clone(), kills: AtomicUsize::new(0), peak_mb: AtomicUsize::new(0) }
    }

    // A process that uses more than `memory_mb` is killed, and started again after a short delay.
    fn watch(&self, record: &Record, is_over: &AtomicBool) {
        while !is_over.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(20));
            let mut member = self.member.lock().expect("no thread panicked");
            let resident_mb = member.resident_kib() >> 10;
            self.peak_mb.fetch_max(resident_mb as usize, Ordering::Relaxed);
            if resident_mb <= MEMBER_MEMORY_MB {
                continue;
            }
            member.kill();
            let name = member.name.clone();
            drop(member);
            self.kills.fetch_add(1, Ordering::Relaxed);
            record.line(&format!(
                "platform: {name} uses {resident_mb} MB of {MEMBER_MEMORY_MB} MB and is killed"
            ));
            std::thread::sleep(RESTART_DELAY);
            self.member.lock().expect("no thread panicked").start();
        }
    }
}
