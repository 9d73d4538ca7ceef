//! Queue and limits of an entry.

use eelgrassvalve::routing::limit::{Exceeded, Limiter};
use eelgrassvalve::routing::queue::{Bounds, Conditions, Queue, Rejection, Ticket};
use eelgrassvalve::state::document::Limits;

fn ticket(number: u64, customer: &str, rank: u8, deadline_ms: u64) -> Ticket {
    Ticket {
        number,
        kind: format!("kind-{rank}"),
        customer: customer.into(),
        rank,
        share: if customer == "large" { 3 } else { 1 },
        bytes: 10,
        deadline_ms,
    }
}

const ROOM: Conditions = Conditions { capacity: 1, now_ms: 0 };

fn queue(requests: usize) -> Queue<u64> {
    Queue::new(Bounds { requests, bytes: 1_000 })
}

#[test]
fn the_queue_goes_by_rank_then_deadline() {
    let mut queue = queue(10);
    let rows = [(1, 1, 50), (2, 0, 90), (3, 0, 80), (4, 1, 40)];
    for (number, rank, deadline_ms) in rows {
        let ticket = ticket(number, "small", rank, deadline_ms);
        queue.push(ticket, number, ROOM, &mut Vec::new()).expect("there is room");
    }
    let mut order = Vec::new();
    while let Some((_, number)) = queue.pop(|_| true) {
        order.push(number);
    }
    assert_eq!(order, [3, 2, 4, 1]);
    assert_eq!(queue.bytes(), 0);
}

#[test]
fn customers_are_served_by_their_shares() {
    let mut queue = queue(1_000);
    for number in 0..80 {
        let customer = if number % 2 == 0 { "large" } else { "small" };
        let ticket = ticket(number, customer, 0, 1_000);
        queue.push(ticket, number, ROOM, &mut Vec::new()).expect("there is room");
    }
    let mut large = 0;
    for _ in 0..40 {
        let (ticket, _) = queue.pop(|_| true).expect("requests wait");
        large += usize::from(ticket.customer == "large");
    }
    assert!((29..=31).contains(&large), "{large} of 40 for a share of 3 to 1");
}

#[test]
fn a_full_queue_sheds_the_lowest_rank_and_refuses_its_like() {
    let mut queue = queue(2);
    let mut shed = Vec::new();
    queue.push(ticket(1, "small", 2, 50), 1, ROOM, &mut shed).expect("there is room");
    queue.push(ticket(2, "small", 1, 50), 2, ROOM, &mut shed).expect("there is room");
    let refused = queue.push(ticket(3, "small", 2, 10), 3, ROOM, &mut shed);
    assert_eq!((refused, shed.len()), (Err(Rejection::Full), 0));
    queue.push(ticket(4, "small", 0, 50), 4, ROOM, &mut shed).expect("rank 2 gives way");
    assert_eq!(shed.iter().map(|(_, number)| *number).collect::<Vec<_>>(), [1]);
    assert_eq!(queue.len(), 2);
}

#[test]
fn what_cannot_meet_its_deadline_is_refused_early() {
    let mut queue = queue(1_000);
    for _ in 0..100 {
        queue.record_service_time("kind-0", 100, 0);
    }
    let mut taken = 0;
    for number in 0..50 {
        let ticket = ticket(number, "small", 0, 1_000);
        taken += u32::from(queue.push(ticket, number, ROOM, &mut Vec::new()).is_ok());
    }
    // One slot of 100 ms: nine wait, the tenth would end at its deadline.
    assert_eq!(taken, 10);
}

#[test]
fn a_slow_past_does_not_refuse_for_ever() {
    let mut queue = queue(1_000);
    for _ in 0..100 {
        queue.record_service_time("kind-0", 5_000, 0);
    }
    let push = |queue: &mut Queue<u64>, now_ms| {
        let ticket = ticket(1, "small", 0, now_ms + 1_000);
        queue.push(ticket, 1, Conditions { capacity: 1, now_ms }, &mut Vec::new())
    };
    assert_eq!(push(&mut queue, 0), Err(Rejection::Late { wait_ms: 0 }));
    assert_eq!(push(&mut queue, 5_000), Ok(()));
}

#[test]
fn limits_are_divided_by_the_live_entries() {
    let limits = Limits { requests_per_second: 12, concurrent: 4, bytes: 100 };
    let limiter = Limiter::default();
    let first = limiter.admit("small", &limits, 2, 20, 0).expect("within all limits");
    let _second = limiter.admit("small", &limits, 2, 20, 0).expect("within all limits");
    let refused = |bytes| limiter.admit("small", &limits, 2, bytes, 0).map(drop);
    assert_eq!(refused(1), Err(Exceeded::Concurrent));
    drop(first);
    assert_eq!(refused(40), Err(Exceeded::Bytes));
    for _ in 0..4 {
        assert_eq!(refused(1), Ok(()));
    }
    assert_eq!(refused(1), Err(Exceeded::Rate));
    assert!(limiter.admit("small", &limits, 2, 1, 1_000).is_ok());
}
