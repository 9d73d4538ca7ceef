//! Load: more clients, or larger requests, than the memory of a process can hold.

use std::net::IpAddr;

use eelgrassvalve::listener::ledger::{
    CONNECTION_BYTES, ConnectionId, Ledger, ListenerId, Refusal, SMALL_BYTES,
};
use rstest::rstest;

const MAX_BYTES: usize = 8 << 20;
const MAX_CONNECTIONS: usize = 300;
const BODY_BYTES: usize = 256 << 10;
/// Time after which a silent connection can be closed for another, in milliseconds.
const LATER_MS: u64 = 1_000;

struct Scene {
    ledger: Ledger,
    listener: ListenerId,
    evictions: Vec<(ConnectionId, tokio::sync::oneshot::Receiver<()>)>,
}

impl Scene {
    fn new() -> Self {
        let mut ledger = Ledger::new(MAX_BYTES);
        let listener = ledger.add_listener("test", MAX_CONNECTIONS, false);
        Self { ledger, listener, evictions: Vec::new() }
    }

    fn open(&mut self, peer: u8, now_ms: u64) -> Result<ConnectionId, Refusal> {
        let peer = IpAddr::from([10, 0, 0, peer]);
        let (id, evicted) = self.ledger.open(self.listener, peer, now_ms)?;
        self.evictions.push((id, evicted));
        Ok(id)
    }

    fn send(&mut self, id: ConnectionId, bytes: usize, piece: usize) -> Result<(), Refusal> {
        let piece_bytes = vec![b'x'; piece];
        for _ in 0..bytes / piece {
            self.ledger.append(id, &piece_bytes, BODY_BYTES)?;
            assert!(self.ledger.held_bytes() <= MAX_BYTES);
        }
        Ok(())
    }

    /// A crowd whose clients send bodies that never end.
    fn crowd(&mut self, clients: usize, peer: u8, bytes: usize, piece: usize) -> Vec<ConnectionId> {
        let mut crowd = Vec::new();
        for _ in 0..clients {
            let Ok(id) = self.open(peer, 0) else { continue };
            let _ = self.send(id, bytes, piece);
            crowd.push(id);
        }
        crowd
    }

    fn count_open(&self, crowd: &[ConnectionId]) -> usize {
        crowd.iter().filter(|id| self.ledger.contains(**id)).count()
    }
}

/// Many unfinished bodies, of any size and in any pieces: a small request is served beside them,
/// and a large one that moves is read to its end.
#[rstest]
#[case::large_bodies(200, BODY_BYTES - 1_024, 1_024)]
#[case::bodies_in_one_byte_pieces(200, 20_000, 1)]
#[case::small_bodies(290, SMALL_BYTES, 1_024)]
#[case::nothing_sent(290, 0, 1)]
fn unfinished_bodies_leave_room_for_others(
    #[case] clients: usize,
    #[case] bytes: usize,
    #[case] piece: usize,
    #[values(1, 2)] peer: u8,
) {
    let mut scene = Scene::new();
    scene.crowd(clients, 1, bytes, piece);
    for bytes in [2_048, BODY_BYTES] {
        let id = scene.open(peer, LATER_MS).expect("a connection");
        scene.send(id, bytes, 1_024).expect("room");
        let body = scene.ledger.take_body(id).expect("the body");
        assert_eq!(body.len(), bytes);
        scene.ledger.hold_answer(id, 100, LATER_MS);
        scene.ledger.close(id);
    }
}

/// A worker or an operator that is slower than the crowd, but has an address of its own.
#[test]
fn the_client_that_holds_most_goes_first() {
    let mut scene = Scene::new();
    let slow = scene.open(2, 0).expect("a connection");
    scene.send(slow, BODY_BYTES / 2, 1_024).expect("room");
    let crowd = scene.crowd(100, 1, BODY_BYTES - 1_024, 1_024);
    assert!(scene.ledger.contains(slow));
    assert!(scene.count_open(&crowd) < crowd.len());
    assert_eq!(scene.ledger.append(crowd[0], b"x", BODY_BYTES), Err(Refusal::Evicted));
}

/// Bodies that trickle: a byte is no progress.
#[test]
fn trickling_bodies_go_before_those_that_move() {
    let mut scene = Scene::new();
    let trickling = scene.crowd(10, 1, 64 << 10, 1_024);
    let moving = scene.open(1, 0).expect("a connection");
    scene.send(moving, 64 << 10, 1_024).expect("room");
    for id in &trickling {
        scene.send(*id, 1, 1).expect("room");
    }
    scene.crowd(16, 1, BODY_BYTES - 1_024, 1_024);
    assert!(scene.count_open(&trickling) < trickling.len());
    assert!(scene.ledger.contains(moving));
}

/// Requests that were read in full and wait for their answer: newcomers are refused instead.
#[test]
fn requests_that_are_served_are_never_broken_off() {
    let mut scene = Scene::new();
    let mut served = Vec::new();
    let refusal = loop {
        let id = scene.open(1, 0).expect("a connection");
        match scene.send(id, BODY_BYTES, 1_024) {
            Ok(()) => served.push(id),
            Err(refusal) => break refusal,
        }
        scene.ledger.take_body(id).expect("the body");
    };
    assert_eq!(refusal, Refusal::Full);
    assert_eq!(scene.count_open(&served), served.len());
    assert_eq!(scene.ledger.take_reports()[0].refused, 1);
    scene.ledger.hold_answer(served[0], 0, 0);
    let id = scene.open(1, 0).expect("a connection");
    scene.send(id, BODY_BYTES, 1_024).expect("room");
}

/// Heads that never end, and responses that are not read.
#[test]
fn heads_and_responses_count_too() {
    let mut scene = Scene::new();
    let heads = scene.crowd(150, 1, 0, 1);
    for id in &heads {
        let _ = scene.ledger.hold_head(*id, 60 << 10);
        assert!(scene.ledger.held_bytes() <= MAX_BYTES);
    }
    assert!(scene.count_open(&heads) < heads.len());
    let readers = scene.crowd(100, 1, 0, 1);
    for id in &readers {
        scene.ledger.take_body(*id).expect("an empty body");
        scene.ledger.hold_answer(*id, BODY_BYTES, 0);
        assert!(scene.ledger.held_bytes() <= MAX_BYTES);
    }
    assert!(scene.count_open(&readers) < readers.len());
    scene.ledger.release_answer(*readers.last().expect("a reader"));
}

/// Silent connections up to the limit: the ones that were silent longest give way, but not those
/// that were answered a moment ago.
#[test]
fn silent_connections_give_way_to_new_ones() {
    let mut scene = Scene::new();
    let silent = scene.crowd(MAX_CONNECTIONS, 1, 0, 1);
    assert_eq!(scene.open(1, 0), Err(Refusal::Full));
    scene.ledger.take_body(silent[0]).expect("an empty body");
    scene.ledger.hold_answer(silent[0], 0, LATER_MS);
    scene.open(1, LATER_MS).expect("a connection");
    assert!(scene.ledger.contains(silent[0]));
    assert!(!scene.ledger.contains(silent[1]));
}

/// Connections that always have a request in service, as with pipelined ones: each refused newcomer
/// ends one of them after its answer, and health checks are accepted all the while.
#[test]
fn busy_connections_end_for_refused_ones() {
    let mut scene = Scene::new();
    let health = scene.ledger.add_listener("health", 10, true);
    let busy = scene.crowd(MAX_CONNECTIONS, 1, SMALL_BYTES, 1_024);
    let busy: Vec<_> = busy.into_iter().filter(|id| scene.ledger.take_body(*id).is_ok()).collect();
    assert_eq!(scene.open(2, LATER_MS), Err(Refusal::Full));
    let peer = IpAddr::from([10, 0, 0, 3]);
    scene.ledger.open(health, peer, LATER_MS).expect("a reserved connection");
    assert!(scene.ledger.hold_answer(busy[0], 0, LATER_MS));
    scene.ledger.close(busy[0]);
    assert!(!scene.ledger.hold_answer(busy[1], 0, LATER_MS));
    scene.open(2, LATER_MS).expect("a connection");
}

/// The crowd leaves.
#[test]
fn nothing_is_held_after_the_crowd_has_left() {
    let mut scene = Scene::new();
    let crowd = scene.crowd(200, 1, BODY_BYTES - 1_024, 1_024);
    for id in &crowd {
        scene.ledger.close(*id);
    }
    assert_eq!(scene.ledger.held_bytes(), 0);
    let report = &scene.ledger.take_reports()[0];
    assert_eq!((report.connections, report.held_bytes), (0, 0));
    assert!(report.closed > 0);
}

/// Heartbeats with 500 ended runs from 1,000 workers at once, which a member serves itself, with
/// the least memory that a member has.
#[test]
fn heartbeats_after_a_change_of_leader_fit() {
    const WORKERS: usize = 1_000;
    const HEARTBEAT_BYTES: usize = 42 << 10;
    let mut ledger = Ledger::new((256 << 20) / 3);
    let listener = ledger.add_listener("test", 2 * WORKERS, false);
    for worker in 0..WORKERS {
        let peer = IpAddr::from([10, 1, (worker / 200) as u8, (worker % 200) as u8]);
        let (id, _evicted) = ledger.open(listener, peer, 0).expect("a connection");
        for _ in 0..HEARTBEAT_BYTES / 1_024 {
            ledger.append(id, &[b'x'; 1_024], HEARTBEAT_BYTES).expect("room");
        }
        ledger.take_body(id).expect("the body");
    }
    assert_eq!(ledger.take_reports()[0].refused, 0);
    assert_eq!(ledger.held_bytes(), WORKERS * (HEARTBEAT_BYTES + CONNECTION_BYTES));
}
