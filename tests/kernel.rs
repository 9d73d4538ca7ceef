//! Kernel: lock order, timer service and plug-in registry.

use std::time::Duration;

use eelgrassvalve::kernel::lock::{Mutex, Rank};
use eelgrassvalve::kernel::plugin;
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
