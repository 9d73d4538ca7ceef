//! Verdict of a proposal when another leader commits a different entry at its index.

mod support;

use std::sync::Arc;
use std::time::Duration;

use eelgrassvalve::control::Group;
use eelgrassvalve::error::Error;
use eelgrassvalve::kernel::lock::{Mutex, Rank};
use eelgrassvalve::kernel::timer::Timer;
use eelgrassvalve::mesh::Mesh;
use eelgrassvalve::mesh::frame::{Hello, VERSION, encode};
use eelgrassvalve::replica::member::{Id, Members};
use eelgrassvalve::replica::store::Store;
use eelgrassvalve::replica::{Body, Bytes, Entry, Message, Payload, Snapshot, Timing};
use eelgrassvalve::settings::Settings;
use eelgrassvalve::state::{Command, Machine, worker};
use eelgrassvalve::verdict::Verdict;
use rstest::rstest;
use support::cluster::Cluster;
use support::{WAIT_TIMEOUT, wait_until};

/// Index of the only proposal, after the initial snapshot (1) and the no-op of the term (2).
const PROPOSAL_INDEX: u64 = 3;

/// Term in which the member leads, after that of the leader that handed over to it.
const LEADER_TERM: u64 = 2;

fn start_group(cluster: &Cluster, timer: Timer) -> Group {
    cluster.write_settings(0, &|peer| peer.mesh());
    let settings = Settings::load(&cluster.settings_path(0)).expect("the settings are valid");
    let folder = cluster.data_folder(0);
    let (mut store, _) = Store::open(&folder).expect("the data folder opens");
    let id = store.id();
    let mut members = Members::default();
    for (number, id) in [id, Id(2), Id(3)].into_iter().enumerate() {
        members.voters.insert(id, format!("host-{}", number + 1));
    }
    let snapshot = Snapshot { index: 1, members, ..Snapshot::default() };
    store.save_snapshot(&snapshot, &[]).expect("the snapshot is saved");
    drop(store);
    let (store, saved) = Store::open(&folder).expect("the data folder opens");
    let hello = Hello {
        version: VERSION,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        id,
        incarnation: 1,
        is_entry: true,
        is_control: true,
    };
    let machine = Arc::new(Mutex::new(Rank::StateMachine, Machine::default()));
    Group::start(&settings, timer, Mesh::new(hello), store, saved, machine)
}

async fn start_leader(cluster: &Cluster) -> Group {
    start_leader_with_timer(cluster, Timer::system()).await
}

async fn start_leader_with_timer(cluster: &Cluster, timer: Timer) -> Group {
    let group = start_group(cluster, timer);
    // A member campaigns at once only when the leader hands over to it.
    let entries = Vec::new();
    let heartbeat = Body::Append { prev_index: 1, prev_term: 0, entries, commit: 1, sent_ms: 0 };
    group.receive(Id(2), Message { term: 1, body: heartbeat });
    group.receive(Id(2), Message { term: 1, body: Body::Campaign });
    let vote = Body::Answer { pre: false, granted: true };
    group.receive(Id(2), Message { term: LEADER_TERM, body: vote });
    wait_until("the group to lead", || async { group.status().is_leader.then_some(()) }).await;
    group
}

async fn last_index(group: &Group) -> u64 {
    let members = group.status().members;
    members.iter().find(|member| member.name == "host-1").map_or(0, |member| member.matched)
}

fn conflicting_entries() -> Body {
    let noop = |index| Entry { index, term: LEADER_TERM + 1, payload: Payload::Noop };
    let entries = vec![noop(2), noop(PROPOSAL_INDEX)];
    Body::Append { prev_index: 1, prev_term: 0, entries, commit: PROPOSAL_INDEX, sent_ms: 0 }
}

fn conflicting_snapshot() -> Body {
    let piece = Bytes::from(encode(&Machine::default()));
    let head = Snapshot { index: PROPOSAL_INDEX, term: LEADER_TERM + 1, ..Snapshot::default() };
    let length = piece.0.len() as u64;
    Body::Chunk { head, offset: 0, piece, length, sent_ms: 0 }
}

#[rstest]
#[case::overwritten_by_an_entry(conflicting_entries(), Verdict::NotRun)]
#[case::covered_by_a_snapshot(conflicting_snapshot(), Verdict::MayHaveRun)]
#[tokio::test(flavor = "multi_thread")]
async fn proposal_of_a_deposed_leader_gets_a_verdict(#[case] body: Body, #[case] verdict: Verdict) {
    let cluster = Cluster::new(1, 1);
    let group = start_leader(&cluster).await;

    let command = worker::Command::Drain { worker: "worker-1".into(), draining: true };
    let proposal = group.propose(Command::Worker(command), WAIT_TIMEOUT);
    let depose = async {
        wait_until("the proposal in the log", || async {
            (last_index(&group).await == PROPOSAL_INDEX).then_some(())
        })
        .await;
        group.receive(Id(3), Message { term: LEADER_TERM + 1, body });
    };
    let joined = tokio::time::timeout(WAIT_TIMEOUT / 2, async { tokio::join!(proposal, depose) });
    let (answer, ()) = joined.await.expect("an answer before the proposal times out");
    let Error { verdict: returned, message, .. } =
        answer.expect_err("the proposal is not committed");
    assert_eq!(returned, verdict, "{message}");
}

/// A leader that was suspended between a decision and its proposal may lead a later term when it
/// resumes.
#[rstest]
#[case::earlier_term(LEADER_TERM - 1, false)]
#[case::this_term(LEADER_TERM, true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_decision_of_an_earlier_term_is_not_proposed(#[case] term: u64, #[case] expected: bool) {
    let cluster = Cluster::new(1, 1);
    let group = start_leader(&cluster).await;
    let command = worker::Command::Drain { worker: "worker-1".into(), draining: true };
    let command = Command::Worker(command);
    let proposal = group.propose_in_term(command, term, Duration::from_millis(300));
    let error = proposal.await.expect_err("no quorum answers");
    let verdict = if expected { Verdict::MayHaveRun } else { Verdict::NotRun };
    assert_eq!(error.verdict, verdict, "{}", error.message);
}

#[tokio::test(flavor = "multi_thread")]
async fn read_at_a_leader_without_a_quorum_is_refused() {
    let cluster = Cluster::new(1, 1);
    let group = start_leader(&cluster).await;
    let error = group.read().await.expect_err("no quorum answers");
    assert_eq!(error.verdict, Verdict::NotRun);
    wait_until("the leader to step down", || async { (!group.status().is_leader).then_some(()) })
        .await;
}

fn heartbeat_after_noop() -> Body {
    let entries = Vec::new();
    Body::Append { prev_index: 2, prev_term: LEADER_TERM, entries, commit: 2, sent_ms: 0 }
}

// The leader's noop is stored at a quorum, whose answer gives it a lease.
async fn grant_lease(group: &Group, timer: &Timer) {
    let answer = Body::Appended { index: 2, matches: true, sent_ms: timer.now_ms() };
    group.receive(Id(2), Message { term: LEADER_TERM, body: answer });
    wait_until("a read", || async { group.read().await.ok() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_read_under_a_lease_does_not_wait_for_the_replica() {
    let cluster = Cluster::new(1, 1);
    let timer = Timer::system();
    let group = start_leader_with_timer(&cluster, timer.clone()).await;
    grant_lease(&group, &timer).await;
    // The replica's thread answers the first read before it publishes its lease.
    wait_until("a read that doesn't wait", || async { completes_at_once(&group).then_some(()) })
        .await;
}

// Whether a read completes at its first poll, without the replica's thread.
fn completes_at_once(group: &Group) -> bool {
    let read = std::pin::pin!(group.read());
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    matches!(read.poll(&mut context), std::task::Poll::Ready(Ok(())))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_read_after_the_lease_needs_a_quorum() {
    let cluster = Cluster::new(1, 1);
    let timer = Timer::system();
    let group = start_leader_with_timer(&cluster, timer.clone()).await;
    grant_lease(&group, &timer).await;
    // No member answers any more, so that the lease runs out while this member still leads.
    let lease_ms = Timing::default().election_ms;
    timer.sleep(Duration::from_millis(lease_ms)).await;
    assert!(group.is_leader());
    group.read().await.expect_err("no quorum confirms the leader");
}

#[rstest]
#[case::by_a_leader(Id(3), LEADER_TERM + 1, heartbeat_after_noop())]
#[case::by_a_vote(Id(3), LEADER_TERM + 1, Body::Answer { pre: false, granted: false })]
#[tokio::test(flavor = "multi_thread")]
async fn a_deposed_leader_serves_no_read(#[case] from: Id, #[case] term: u64, #[case] body: Body) {
    let cluster = Cluster::new(1, 1);
    let timer = Timer::system();
    let group = start_leader_with_timer(&cluster, timer.clone()).await;
    grant_lease(&group, &timer).await;
    group.receive(from, Message { term, body });
    wait_until("the member to follow", || async { (!group.is_leader()).then_some(()) }).await;
    group.read().await.expect_err("the member does not lead");
}
