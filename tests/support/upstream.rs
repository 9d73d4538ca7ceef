//! A small upstream that keeps a journal of what it ran.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use eelgrassvalve::client::Client;
use eelgrassvalve::entry::platform::Acknowledgement;
use eelgrassvalve::routing::connection::REQUEST_NUMBER_HEADER;
use eelgrassvalve::routing::upstream::{Announcement, State};
use http::Method;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// One line of the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ran {
    /// Kind, from the path.
    pub kind: String,
    /// Payload.
    pub payload: Bytes,
}

/// A running stand-in.
pub struct Upstream {
    /// Id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    journal: Arc<Mutex<Vec<Ran>>>,
    announce: Arc<Mutex<Announcement>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Upstream {
    /// Starts an upstream that takes `work` for each request and answers with
    /// `kind:payload`; it announces itself to the entries in turn.
    pub async fn start(id: &str, kinds: &[&str], work: Duration, entries: &[SocketAddr]) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("is bound");
        let journal: Arc<Mutex<Vec<Ran>>> = Arc::default();
        let announce = Arc::new(Mutex::new(Announcement {
            address,
            zone: "zone-1".into(),
            slots: 8,
            connections: 60,
            kinds: kinds.iter().map(|kind| kind.to_string()).collect(),
            incarnation: rand::random::<u32>().into(),
            sequence: 0,
            state: State::Serving,
        }));
        let serving = tokio::spawn(serve(listener, journal.clone(), work));
        let entries = entries.to_vec();
        let announcing = tokio::spawn(keep_announcing(id.into(), entries, announce.clone()));
        let tasks = vec![serving, announcing];
        Self { id: id.into(), address, journal, announce, tasks }
    }

    /// What it ran so far.
    pub fn journal(&self) -> Vec<Ran> {
        self.journal.lock().expect("no holder panics").clone()
    }

    /// How often it ran this payload.
    pub fn count(&self, payload: &str) -> usize {
        self.journal().iter().filter(|ran| ran.payload == payload.as_bytes()).count()
    }

    /// Announces from now on that it is leaving.
    pub fn leave(&self) {
        self.announce.lock().expect("no holder panics").state = State::Leaving;
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn keep_announcing(id: String, entries: Vec<SocketAddr>, announce: Arc<Mutex<Announcement>>) {
    let mut turn = 0;
    loop {
        let message = {
            let mut held = announce.lock().expect("no holder panics");
            held.sequence += 1;
            held.clone()
        };
        let client = Client::new(entries[turn % entries.len()], None);
        let path = format!("/v1/upstreams/{id}/announce");
        let sent = client.json::<Acknowledgement>(Method::POST, &path, &[], Some(&message)).await;
        let wait_ms = match sent {
            Ok(answer) => answer.next_ms,
            Err(_) => {
                turn += 1;
                100
            }
        };
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }
}

async fn serve(listener: TcpListener, journal: Arc<Mutex<Vec<Ran>>>, work: Duration) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let journal = journal.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(request, journal.clone(), work));
            // A broken connection is the other end's affair.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn answer(
    request: http::Request<Incoming>,
    journal: Arc<Mutex<Vec<Ran>>>,
    work: Duration,
) -> Result<http::Response<Full<Bytes>>, Infallible> {
    let kind = request.uri().path().rsplit('/').next().unwrap_or("").to_string();
    let number = request.headers().get(REQUEST_NUMBER_HEADER).cloned();
    let number = number.unwrap_or(http::HeaderValue::from_static(""));
    let Ok(payload) = request.into_body().collect().await else {
        return Ok(http::Response::new(Full::new(Bytes::from_static(b"broken"))));
    };
    let payload = payload.to_bytes();
    let ran = Ran { kind: kind.clone(), payload: payload.clone() };
    journal.lock().expect("no holder panics").push(ran);
    tokio::time::sleep(work).await;
    let mut body = format!("{kind}:").into_bytes();
    body.extend_from_slice(&payload);
    let answer = http::Response::builder()
        .header(REQUEST_NUMBER_HEADER, number)
        .body(Full::new(body.into()));
    Ok(answer.expect("the number is a header value"))
}
