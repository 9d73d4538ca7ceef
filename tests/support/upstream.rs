//! A small upstream that records the requests it has run.

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

/// A request that the upstream has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Kind, from the request path.
    pub kind: String,
    pub payload: Bytes,
}

/// A running upstream; dropping it stops it.
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    executions: Arc<Mutex<Vec<Execution>>>,
    announcement: Arc<Mutex<Announcement>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Upstream {
    /// Starts an upstream that handles each request in `work_duration` and responds with
    /// `kind:payload`. It announces itself to one entry and goes to the next one on an error.
    pub async fn start(
        id: &str,
        kinds: &[&str],
        work_duration: Duration,
        entries: &[SocketAddr],
    ) -> Self {
        let listener =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let executions: Arc<Mutex<Vec<Execution>>> = Arc::default();
        let announcement = Arc::new(Mutex::new(Announcement {
            address,
            zone: "zone-1".into(),
            slots: 8,
            connections: 60,
            kinds: kinds.iter().map(|kind| kind.to_string()).collect(),
            incarnation: rand::random::<u32>().into(),
            sequence: 0,
            state: State::Serving,
        }));
        let server_task = tokio::spawn(serve(listener, executions.clone(), work_duration));
        let entries = entries.to_vec();
        let announcer_task =
            tokio::spawn(announce_periodically(id.into(), entries, announcement.clone()));
        let tasks = vec![server_task, announcer_task];
        Self { id: id.into(), address, executions, announcement, tasks }
    }

    /// Requests run so far. A request counts once its body has been read.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.lock().expect("the mutex is not poisoned").clone()
    }

    /// Number of times that it ran this payload.
    pub fn count(&self, payload: &str) -> usize {
        self.executions().iter().filter(|execution| execution.payload == payload.as_bytes()).count()
    }

    /// Reports the state `leaving` from the next announcement on.
    pub fn leave(&self) {
        self.announcement.lock().expect("the mutex is not poisoned").state = State::Leaving;
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn announce_periodically(
    id: String,
    entries: Vec<SocketAddr>,
    announcement: Arc<Mutex<Announcement>>,
) {
    let mut entry_index = 0;
    loop {
        let message = {
            let mut current = announcement.lock().expect("the mutex is not poisoned");
            current.sequence += 1;
            current.clone()
        };
        let client = Client::new(entries[entry_index % entries.len()], None);
        let path = format!("/v1/upstreams/{id}/announce");
        let result = client.json::<Acknowledgement>(Method::POST, &path, &[], Some(&message)).await;
        let wait_ms = match result {
            Ok(response) => response.next_ms,
            Err(_) => {
                entry_index += 1;
                100
            }
        };
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }
}

async fn serve(
    listener: TcpListener,
    executions: Arc<Mutex<Vec<Execution>>>,
    work_duration: Duration,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let executions = executions.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                handle_request(request, executions.clone(), work_duration)
            });
            // The client reports connection errors.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn handle_request(
    request: http::Request<Incoming>,
    executions: Arc<Mutex<Vec<Execution>>>,
    work_duration: Duration,
) -> Result<http::Response<Full<Bytes>>, Infallible> {
    let kind = request.uri().path().rsplit('/').next().unwrap_or("").to_string();
    let number = request.headers().get(REQUEST_NUMBER_HEADER).cloned();
    let number = number.unwrap_or(http::HeaderValue::from_static(""));
    let Ok(payload) = request.into_body().collect().await else {
        return Ok(http::Response::new(Full::new(Bytes::from_static(b"broken"))));
    };
    let payload = payload.to_bytes();
    let execution = Execution { kind: kind.clone(), payload: payload.clone() };
    executions.lock().expect("the mutex is not poisoned").push(execution);
    tokio::time::sleep(work_duration).await;
    let mut body = format!("{kind}:").into_bytes();
    body.extend_from_slice(&payload);
    let response = http::Response::builder()
        .header(REQUEST_NUMBER_HEADER, number)
        .body(Full::new(body.into()));
    Ok(response.expect("the request number is a valid header value"))
}
