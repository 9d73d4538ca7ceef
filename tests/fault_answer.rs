//! Answers to calls of a daemon that has restarted meanwhile.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassvalve::error::Result;
use eelgrassvalve::kernel::timer::Timer;
use eelgrassvalve::mesh::call::{Answer, Call};
use eelgrassvalve::mesh::frame::{Hello, Notice, VERSION};
use eelgrassvalve::mesh::{Handler, Mesh};
use eelgrassvalve::replica::{Message, member::Id};
use rstest::rstest;
use support::{daemon, wait_until};
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// Name of the daemon that calls, restarts and calls again.
const CALLER: &str = "127.0.0.9:7000";
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for answers to arrive that nobody waits for.
const ANSWER_TRANSIT: Duration = Duration::from_millis(100);

/// Member that answers calls with the ID that they name, each once it is released.
struct Member {
    received: watch::Sender<BTreeSet<String>>,
    released: watch::Receiver<BTreeSet<String>>,
}

impl Handler for Member {
    fn on_replica(&self, _from: Id, _message: Message) {}

    async fn on_call(self: Arc<Self>, _from: String, call: Call) -> Result<Answer> {
        let Call::Explain { id } = call else { return Ok(Answer::Done) };
        self.received.send_modify(|ids| _ = ids.insert(id.clone()));
        let mut released = self.released.clone();
        let _ = released.wait_for(|ids| ids.contains(&id)).await;
        Ok(Answer::Text(id))
    }

    fn on_notice(&self, _from: &str, _notice: Notice) {}

    fn on_link(&self, _peer: &Hello) {}
}

struct Daemon {
    address: SocketAddr,
    mesh: Mesh,
}

impl Daemon {
    /// Starts a daemon; one with a peer calls it.
    async fn start(
        name: Option<&str>,
        incarnation: u64,
        peer: Option<SocketAddr>,
        handler: Member,
    ) -> Self {
        let address = daemon::free_address();
        let settings = daemon::settings(address);
        let hello = Hello {
            version: VERSION,
            name: name.map_or(address.to_string(), Into::into),
            zone: "zone".into(),
            id: Id(incarnation),
            incarnation,
            is_entry: peer.is_some(),
            is_control: peer.is_none(),
        };
        let mesh = Mesh::new(hello);
        let peers: BTreeSet<SocketAddr> = peer.into_iter().collect();
        let timer = Timer::system();
        let handler = Arc::new(handler);
        let started = mesh.start_discovery(&settings, timer, handler, move || peers.clone());
        started.await.expect("the daemon listens");
        Self { address, mesh }
    }

    /// Starts an incarnation of the caller, and waits for its link to the member.
    async fn start_caller(incarnation: u64, member: SocketAddr) -> Mesh {
        let (received, _) = watch::channel(BTreeSet::new());
        let (_, released) = watch::channel(BTreeSet::new());
        let handler = Member { received, released };
        let caller = Self::start(Some(CALLER), incarnation, Some(member), handler).await;
        wait_until("a link to the member", || async {
            caller.mesh.is_linked(&member.to_string()).then_some(())
        })
        .await;
        caller.mesh
    }
}

fn explain(id: &str) -> Call {
    Call::Explain { id: id.into() }
}

/// Guards against an answer to a call of the process before: numbers of calls start anew with each process, so
/// that a caller was shown the state of another job.
#[rstest]
#[case::one_call(1)]
#[case::many_calls(200)]
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_daemon_gets_only_answers_to_its_own_calls(#[case] calls: usize) {
    let (received, mut calls_received) = watch::channel(BTreeSet::new());
    let (release, released) = watch::channel(BTreeSet::new());
    let member = Daemon::start(None, 1, None, Member { received, released }).await;
    let (address, name) = (member.address, member.address.to_string());

    // The former process has a runtime of its own, so that all its sockets close with it.
    let process = Runtime::new().expect("a runtime");
    let former_name = name.clone();
    process.spawn(async move {
        let mesh = Daemon::start_caller(1, address).await;
        for at in 0..calls {
            let (mesh, name) = (mesh.clone(), former_name.clone());
            tokio::spawn(async move {
                let _ = mesh.call(&name, explain(&format!("former-{at}")), CALL_TIMEOUT).await;
            });
        }
        std::future::pending::<()>().await;
    });
    let all_received = calls_received.wait_for(|ids| ids.len() == calls);
    assert!(all_received.await.is_ok(), "the member lives");
    process.shutdown_background();
    wait_until("the end of the former link", || async {
        (!member.mesh.is_linked(CALLER)).then_some(())
    })
    .await;

    let caller = Daemon::start_caller(2, address).await;
    let mut answers = Vec::new();
    for at in 0..calls {
        let (mesh, name) = (caller.clone(), name.clone());
        answers.push(tokio::spawn(async move {
            let id = format!("current-{at}");
            (id.clone(), mesh.call(&name, explain(&id), CALL_TIMEOUT).await)
        }));
    }
    let all_received = calls_received.wait_for(|ids| ids.len() == 2 * calls);
    assert!(all_received.await.is_ok(), "the member lives");
    // The former calls are answered first.
    for process in ["former", "current"] {
        release.send_modify(|ids| ids.extend((0..calls).map(|at| format!("{process}-{at}"))));
        tokio::time::sleep(ANSWER_TRANSIT).await;
    }
    for answer in answers {
        let (id, answer) = answer.await.expect("the call ends");
        assert_eq!(answer, Ok(Answer::Text(id)));
    }
}
