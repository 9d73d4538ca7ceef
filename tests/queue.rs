//! Request queue and customer limits of an entry.

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

const ONE_SLOT: Conditions = Conditions { capacity: 1, now_ms: 0 };

fn new_queue(max_requests: usize) -> Queue<u64> {
    Queue::new(Bounds { requests: max_requests, bytes: 1_000 })
}

#[test]
fn queue_is_ordered_by_rank_then_deadline() {
    let mut queue = new_queue(10);
    let requests = [(1, 1, 50), (2, 0, 90), (3, 0, 80), (4, 1, 40)];
    for (number, rank, deadline_ms) in requests {
        let ticket = ticket(number, "small", rank, deadline_ms);
        queue.push(ticket, number, ONE_SLOT, &mut Vec::new()).expect("the queue has room");
    }
    let mut order = Vec::new();
    while let Some((_, number)) = queue.pop(|_| true) {
        order.push(number);
    }
    assert_eq!(order, [3, 2, 4, 1]);
    assert_eq!(queue.bytes(), 0);
}

#[test]
fn customers_are_served_in_proportion_to_their_shares() {
    let mut queue = new_queue(1_000);
    for number in 0..80 {
        let customer = if number % 2 == 0 { "large" } else { "small" };
        let ticket = ticket(number, customer, 0, 1_000);
        queue.push(ticket, number, ONE_SLOT, &mut Vec::new()).expect("the queue has room");
    }
    let mut large = 0;
    for _ in 0..40 {
        let (ticket, _) = queue.pop(|_| true).expect("requests wait");
        large += usize::from(ticket.customer == "large");
    }
    assert!((29..=31).contains(&large), "{large} of 40 for shares of 3 to 1");
}

/// Requests whose callers are gone, or that are late, get no slot: their customer is not charged.
#[test]
fn a_customer_is_not_charged_for_requests_that_get_no_slot() {
    let mut queue = new_queue(1_000);
    for number in 0..40 {
        let customer = if number < 20 { "gone" } else { "other" };
        let ticket = ticket(number, customer, 0, 1_000 + number);
        queue.push(ticket, number, ONE_SLOT, &mut Vec::new()).expect("the queue has room");
    }
    let mut order = Vec::new();
    for _ in 0..20 {
        let (ticket, number) = queue.pop(|_| true).expect("requests wait");
        if number < 10 {
            queue.refund(&ticket);
            continue;
        }
        order.push(ticket.customer);
    }
    let served = order.iter().filter(|customer| *customer == "gone").count();
    assert_eq!(served, order.len() / 2, "{order:?}");
}

#[test]
fn full_queue_sheds_the_lowest_rank_and_rejects_more_of_that_rank() {
    let mut queue = new_queue(2);
    let mut shed = Vec::new();
    queue.push(ticket(1, "small", 2, 50), 1, ONE_SLOT, &mut shed).expect("the queue has room");
    queue.push(ticket(2, "small", 1, 50), 2, ONE_SLOT, &mut shed).expect("the queue has room");
    let rejected = queue.push(ticket(3, "small", 2, 10), 3, ONE_SLOT, &mut shed);
    assert_eq!((rejected, shed.len()), (Err(Rejection::Full), 0));
    queue
        .push(ticket(4, "small", 0, 50), 4, ONE_SLOT, &mut shed)
        .expect("the request of rank 2 is shed");
    assert_eq!(shed.iter().map(|(_, number)| *number).collect::<Vec<_>>(), [1]);
    assert_eq!(queue.len(), 2);
}

#[test]
fn requests_that_cannot_meet_their_deadline_are_rejected_on_arrival() {
    let mut queue = new_queue(1_000);
    for _ in 0..100 {
        queue.record_service_time("kind-0", 100, 0);
    }
    let mut accepted = 0;
    for number in 0..50 {
        let ticket = ticket(number, "small", 0, 1_000);
        accepted += u32::from(queue.push(ticket, number, ONE_SLOT, &mut Vec::new()).is_ok());
    }
    // One slot at 100 ms per request: with nine ahead of it, the tenth ends at its deadline.
    assert_eq!(accepted, 10);
}

#[test]
fn old_service_times_do_not_reject_requests_forever() {
    let mut queue = new_queue(1_000);
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
fn limits_are_divided_among_the_live_entries() {
    let limits = Limits { requests_per_second: 12, concurrent: 4, bytes: 100 };
    let limiter = Limiter::default();
    let first = limiter.admit("small", &limits, 2, 20, 0).expect("within all limits");
    let _second = limiter.admit("small", &limits, 2, 20, 0).expect("within all limits");
    let admit = |bytes| limiter.admit("small", &limits, 2, bytes, 0).map(drop);
    assert_eq!(admit(1), Err(Exceeded::Concurrent));
    drop(first);
    assert_eq!(admit(40), Err(Exceeded::Bytes));
    for _ in 0..4 {
        assert_eq!(admit(1), Ok(()));
    }
    assert_eq!(admit(1), Err(Exceeded::Rate));
    assert!(limiter.admit("small", &limits, 2, 1, 1_000).is_ok());
}
