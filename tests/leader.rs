//! How the calls of a daemon wait for a leader of the control members.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use eelgrassvalve::control::leader::Hint;
use eelgrassvalve::kernel::timer::Timer;

/// Calls that wait: the heartbeats of a few hundred workers that were sent to one member.
const CALLS: usize = 300;
/// Steps of the manual clock, of one retry delay each.
const STEPS: usize = 20;

/// Lets every task run until it waits.
async fn settle() {
    for _ in 0..CALLS {
        tokio::task::yield_now().await;
    }
}

/// All members were restarted at the same time, and the calls of a large fleet wait for the election.
/// Their attempts must not load the members more than the election itself.
#[tokio::test]
async fn few_calls_search_for_a_leader_and_all_go_on_once_it_is_found() {
    let (timer, driver) = Timer::manual();
    let hint = Arc::new(Hint::new(timer));
    let attempts = Arc::new(AtomicUsize::new(0));
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..CALLS {
        let (hint, attempts) = (hint.clone(), attempts.clone());
        calls.spawn(async move {
            let mut turn = None;
            while hint.get().is_none() {
                turn = hint.await_turn(turn).await;
                attempts.fetch_add(usize::from(turn.is_some()), Ordering::Relaxed);
            }
        });
    }
    for _ in 0..STEPS {
        settle().await;
        driver.advance(Duration::from_millis(50));
    }
    settle().await;
    let attempted = attempts.load(Ordering::Relaxed);
    assert!((STEPS..=4 * STEPS).contains(&attempted), "{attempted} attempts in a second");

    hint.set("member-1".into());
    tokio::time::timeout(Duration::from_secs(10), calls.join_all()).await.expect("all calls go on");
}

#[tokio::test]
async fn a_call_that_gives_up_leaves_its_turn_to_another() {
    let (timer, driver) = Timer::manual();
    let hint = Arc::new(Hint::new(timer));
    let mut searching = tokio::task::JoinSet::new();
    for _ in 0..4 {
        let hint = hint.clone();
        searching.spawn(async move {
            let _turn = hint.await_turn(None).await;
            std::future::pending::<()>().await;
        });
    }
    settle().await;
    let waiting = tokio::spawn({
        let hint = hint.clone();
        async move { hint.await_turn(None).await.is_some() }
    });
    driver.advance(Duration::from_millis(200));
    settle().await;
    assert!(!waiting.is_finished());
    searching.shutdown().await;
    settle().await;
    driver.advance(Duration::from_millis(200));
    assert!(waiting.await.expect("the call goes on"), "it may search");
}

#[tokio::test]
async fn only_the_daemon_that_failed_is_forgotten() {
    let (timer, _driver) = Timer::manual();
    let hint = Hint::new(timer);
    hint.set("member-2".into());
    hint.forget("member-1");
    assert_eq!(hint.get().as_deref(), Some("member-2"));
    hint.forget("member-2");
    assert_eq!(hint.get(), None);
}
