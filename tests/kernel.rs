//! Kernel: lock order, timer service and plug-in registry.

use std::time::Duration;

use eelgrassvalve::kernel::lock::{Mutex, Rank};
use eelgrassvalve::kernel::plugin;
use eelgrassvalve::kernel::task::{self, Panic};
use eelgrassvalve::kernel::timer::Timer;
use rstest::rstest;

#[rstest]
#[case::in_order(Rank::StateMachine, Rank::Links, true)]
#[case::out_of_order(Rank::Links, Rank::StateMachine, false)]
#[case::same_rank(Rank::Queue, Rank::Queue, false)]
fn lock_order_is_asserted_in_debug_builds(
    #[case] first: Rank,
    #[case] second: Rank,
    #[case] allowed: bool,
) {
    let locked = std::panic::catch_unwind(|| {
        let (outer, inner) = (Mutex::new(first, 1), Mutex::new(second, 2));
        let held = outer.lock();
        *held + *inner.lock()
    });
    assert_eq!(locked.is_ok(), allowed || !cfg!(debug_assertions));
    // A failed attempt must not leave a lock marked as held.
    assert_eq!(*Mutex::new(Rank::StateMachine, 3).lock(), 3);
}

#[test]
fn guards_may_be_dropped_in_any_order() {
    let (first, second) = (Mutex::new(Rank::StateMachine, 1), Mutex::new(Rank::Workers, 2));
    let outer = first.lock();
    let inner = second.lock();
    drop(outer);
    drop(inner);
    let again = first.lock();
    assert_eq!(*again + *second.lock(), 3);
}

#[tokio::test]
async fn manual_timer_advances_only_on_request() {
    let (timer, control) = Timer::manual();
    let mut ticks = timer.interval(Duration::from_millis(100));
    let waiting = tokio::spawn(async move { (ticks.tick().await, ticks.tick().await) });
    tokio::task::yield_now().await;
    assert!(!waiting.is_finished());
    control.advance(Duration::from_millis(350));
    while timer.now_ms() < 350 || !waiting.is_finished() {
        // A late subscriber skips the ticks that it missed.
        control.advance(Duration::from_millis(100));
        tokio::task::yield_now().await;
    }
    let (first, second) = waiting.await.expect("the subscriber does not panic");
    assert!(first >= 350 && second >= first + 100, "{first} {second}");
}

#[test]
fn policies_register_themselves() {
    assert!(plugin::policy_names().contains(&"first-fit"));
    assert!(plugin::build_policy("first-fit").is_some());
    assert!(plugin::build_policy("no-such-policy").is_none());
}

#[rstest]
#[case::text(|| panic!("no room"), "no room")]
#[case::formatted(|| panic!("no room for {}", 3), "no room for 3")]
#[case::without_message(|| std::panic::panic_any(3), "the panic has no message")]
#[tokio::test]
async fn a_panic_of_a_task_is_an_error_with_its_message(#[case] task: fn(), #[case] message: &str) {
    let outcome = task::catch_panic("rounds", async { task() }).await;
    assert_eq!(outcome, Err(Panic { task: "rounds", reason: message.into() }));
}

/// Variable that tells the process that runs the test below to be the one that stops.
const STOPPING_PROCESS: &str = "EELGRASSVALVE_TEST_STOPPING_PROCESS";

/// Without its critical tasks a process would stay a leader that places nothing.
#[rstest]
#[case::task("task")]
#[case::thread("thread")]
fn a_panic_of_a_critical_task_stops_the_process(#[case] kind: &str) {
    if let Ok(kind) = std::env::var(STOPPING_PROCESS) {
        stop_by_panic(&kind);
        return;
    }
    let name = std::thread::current().name().unwrap_or_default().to_string();
    let mut command = std::process::Command::new(std::env::current_exe().unwrap());
    let status = command.arg(name).env(STOPPING_PROCESS, kind).output().unwrap().status;
    assert_eq!(status.code(), Some(task::EXIT_CODE));
}

fn stop_by_panic(kind: &str) {
    if kind == "thread" {
        let run = || task::run_critical("replica", || panic!("no room"));
        let _ = std::thread::spawn(run).join();
        return;
    }
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        task::spawn_critical("rounds", async { panic!("no room") });
        tokio::time::sleep(Duration::from_secs(10)).await;
    });
}
