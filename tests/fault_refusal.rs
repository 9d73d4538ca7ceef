//! Refusals of requests that an earlier attempt may have executed.

mod support;

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrassvalve::batch::call::{Answer as BatchAnswer, Request, Target};
use eelgrassvalve::batch::job::{self, Phase, Spec};
use eelgrassvalve::batch::table;
use eelgrassvalve::control::client::Client;
use eelgrassvalve::error::{Code, Error, Result};
use eelgrassvalve::kernel::lock::{Mutex, Rank};
use eelgrassvalve::kernel::timer::Timer;
use eelgrassvalve::mesh::call::{Answer, Call};
use eelgrassvalve::mesh::frame::{Hello, Notice, VERSION};
use eelgrassvalve::mesh::{Handler, Mesh};
use eelgrassvalve::replica::{Message, member::Id};
use eelgrassvalve::state::Command;
use eelgrassvalve::verdict::Verdict;
use rstest::rstest;
use support::{daemon, wait_until};

/// Time that a caller waits for its answer.
const TIMEOUT: Duration = Duration::from_secs(4);

/// What a member does with an attempt.
enum Response {
    Answer(Result<Answer>),
    /// The attempt is not answered, as by a member that is killed.
    Silence,
}

/// Member that responds to calls in a given order.
struct Member(Mutex<VecDeque<Response>>);

impl Handler for Member {
    fn on_replica(&self, _from: Id, _message: Message) {}

    async fn on_call(self: Arc<Self>, _from: String, _call: Call) -> Result<Answer> {
        let response = self.0.lock().pop_front();
        match response {
            Some(Response::Answer(answer)) => answer,
            Some(Response::Silence) | None => std::future::pending().await,
        }
    }

    fn on_notice(&self, _from: &str, _notice: Notice) {}

    fn on_link(&self, _peer: &Hello) {}
}

struct Daemon {
    address: SocketAddr,
    mesh: Mesh,
    client: Client,
}

impl Daemon {
    async fn start(is_control: bool, responses: Vec<Response>, peers: &[SocketAddr]) -> Self {
        let address = daemon::free_address();
        let settings = daemon::settings(address);
        let hello = Hello {
            version: VERSION,
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            id: Id(address.port().into()),
            incarnation: 1,
            is_entry: !is_control,
            is_control,
        };
        let (mesh, timer) = (Mesh::new(hello), Timer::system());
        let handler = Arc::new(Member(Mutex::new(Rank::Leader, responses.into())));
        let peers: BTreeSet<SocketAddr> = peers.iter().copied().collect();
        let started =
            mesh.start_discovery(&settings, timer.clone(), handler, move || peers.clone());
        started.await.expect("the daemon listens");
        let client = Client::new(&settings, timer, mesh.clone(), None);
        Self { address, mesh, client }
    }
}

/// Calls a member that responds to the attempts in this order.
async fn call_member(call: Call, responses: Vec<Response>) -> Result<Answer> {
    let member = Daemon::start(true, responses, &[]).await;
    let entry = Daemon::start(false, Vec::new(), &[member.address]).await;
    wait_until("a link to the member", || async {
        (!entry.mesh.control_peers().is_empty()).then_some(())
    })
    .await;
    entry.client.call(call, TIMEOUT).await
}

fn target() -> Target {
    Target { host: "host".into(), path: "/queue/00000000000000a1".into(), key: Some("key".into()) }
}

fn batch(request: Request) -> Call {
    Call::Batch(Box::new(request))
}

fn submit() -> Call {
    batch(Request::Submit { target: target(), spec: Ok(Spec::default()) })
}

fn refuse(code: Code) -> Response {
    Response::Answer(Err(Error::not_run(code, "refused")))
}

fn no_quorum() -> Response {
    Response::Answer(Err(Error::may_have_run(Code::NoQuorum, "the outcome is unknown")))
}

/// Guards against the refusal of a job that runs: the leader stores the job and dies, its key is taken
/// away, and the next leader refuses the second attempt.
#[rstest]
#[case::unknown_key(submit(), no_quorum(), Code::Unauthorized)]
#[case::unknown_key_after_silence(submit(), Response::Silence, Code::Unauthorized)]
#[case::removed_queue(submit(), no_quorum(), Code::NotFound)]
#[case::too_large_for_the_workers(submit(), no_quorum(), Code::OverLimit)]
#[case::malformed(submit(), no_quorum(), Code::BadRequest)]
#[case::no_document(submit(), Response::Silence, Code::NoLease)]
#[case::cancel(batch(Request::Cancel(target())), no_quorum(), Code::Unauthorized)]
#[case::document(batch(Request::Publish(Arc::default())), no_quorum(), Code::Unsatisfiable)]
#[case::command(
    Call::Propose(Command::Batch(table::Command::Cancel(job::Id(1)))),
    no_quorum(),
    Code::Conflict
)]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_after_an_unanswered_attempt_does_not_claim_that_nothing_ran(
    #[case] call: Call,
    #[case] first: Response,
    #[case] code: Code,
) {
    let error = call_member(call, vec![first, refuse(code)]).await.expect_err("a refusal");
    assert_eq!((error.verdict, error.code), (Verdict::MayHaveRun, code));
}

/// An attempt that certainly changed nothing leaves the refusal of the next one as it is.
#[rstest]
#[case::first_attempt(submit(), Vec::new())]
#[case::after_a_redirect(submit(), vec![Response::Answer(Ok(Answer::Redirect(None)))])]
#[case::after_a_lost_leader(submit(), vec![refuse(Code::NotLeader)])]
#[case::read_after_silence(batch(Request::Status(target())), vec![Response::Silence])]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_after_attempts_without_effect_is_definite(
    #[case] call: Call,
    #[case] mut responses: Vec<Response>,
) {
    responses.push(refuse(Code::Unauthorized));
    let error = call_member(call, responses).await.expect_err("a refusal");
    assert_eq!((error.verdict, error.code), (Verdict::NotRun, Code::Unauthorized));
}

/// The job is stored: a later attempt that finds it is answered with its phase.
#[tokio::test(flavor = "multi_thread")]
async fn answer_after_an_unanswered_attempt_stands() {
    let phase = || Answer::Batch(Box::new(BatchAnswer::Phase(Phase::Queued)));
    let responses = vec![Response::Silence, Response::Answer(Ok(phase()))];
    assert_eq!(call_member(submit(), responses).await, Ok(phase()));
}
