//! An HTTP/1.1 listener that limits heads, bodies and connections, and that completes the requests
//! in progress before it stops. The memory that its connections hold comes from a budget.

mod budget;
mod entry;
pub mod ledger;
mod parts;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};

pub use budget::Budget;
use budget::Lease;
use stream::Stream;

/// Delay before accepting again after a failure, such as running out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for a request that was refused, to make room, to be answered before its connection is closed.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after which a client that was refused for lack of memory may try again, in seconds.
const RETRY_AFTER_S: &str = "1";
/// Budget of a listener that shares none.
const DEFAULT_BUDGET_BYTES: usize = 64 << 20;

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for a client to send the head of a request, including the idle time before it on a
    /// persistent connection.
    pub head_timeout: Duration,
    /// Maximum size of the head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Time for a client to send the body of a request.
    pub body_timeout: Duration,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum concurrent connections.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(20),
            max_head_bytes: 64 << 10,
            body_timeout: Duration::from_secs(5),
            max_body_bytes: 1 << 20,
            max_connections: 2_000,
        }
    }
}

/// Answers requests whose bodies have been read in full.
pub trait Service: Send + Sync + 'static {
    /// Answers one request.
    fn answer(&self, request: Request<Bytes>) -> impl Future<Output = Response<Bytes>> + Send;
}

/// Answers requests whose bodies have not been read yet; the handler limits the bodies itself.
pub trait Handler: Send + Sync + 'static {
    /// Body of the responses.
    type Body: Body<Data = Bytes, Error: Into<BoxError>> + Send + 'static;

    /// Answers one request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + Send;
}

/// Error of a response body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

// Reads the whole body of each request within the limits and passes it to a service.
struct Adapter<S> {
    service: Arc<S>,
    limits: Limits,
}

impl<S: Service> Handler for Adapter<S> {
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        read_and_answer(&*self.service, self.limits, request).await.map(Full::new)
    }
}

/// Serves until the stop signal is set and every request in progress is answered, with a budget of
/// its own.
///
/// # Errors
/// If the address can't be bound.
pub async fn serve<S: Service>(
    address: SocketAddr,
    limits: Limits,
    service: Arc<S>,
    stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    Listener::new(address, limits).serve(service, stop).await
}

/// A listener that is not bound yet.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    limits: Limits,
    name: &'static str,
    is_reserved: bool,
    budget: Budget,
}

impl Listener {
    /// Creates a listener with a budget of its own.
    pub fn new(address: SocketAddr, limits: Limits) -> Self {
        let budget = Budget::new(DEFAULT_BUDGET_BYTES);
        Self { address, limits, name: "http", is_reserved: false, budget }
    }

    /// Sets the name that logs and metrics use.
    #[must_use]
    pub fn name(mut self, name: &'static str) -> Self {
        self.name = name;
        self
    }

    /// Accepts connections also when the budget is used up by those of other listeners, for health
    /// checks and metrics.
    #[must_use]
    pub fn reserved(mut self) -> Self {
        self.is_reserved = true;
        self
    }

    /// Sets the budget, which the listeners of a process share.
    #[must_use]
    pub fn budget(mut self, budget: Budget) -> Self {
        self.budget = budget;
        self
    }

    /// Serves until the stop signal is set and every request in progress is answered.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn serve<S: Service>(
        self,
        service: Arc<S>,
        stop: watch::Receiver<bool>,
    ) -> std::io::Result<()> {
        let limits = self.limits;
        self.serve_handler(Arc::new(Adapter { service, limits }), stop).await
    }

    /// As [`Listener::serve`], for a handler.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn serve_handler<H: Handler>(
        self,
        handler: Arc<H>,
        stop: watch::Receiver<bool>,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        let max_connections = self.limits.max_connections;
        let id = self.budget.add_listener(self.name, max_connections, self.is_reserved);
        // Every connection holds a sender until its last request is answered.
        let (open_sender, mut open_receiver) = mpsc::channel::<()>(1);
        let mut stopping = stop.clone();
        loop {
            let accepted = tokio::select! {
                result = listener.accept() => result,
                () = wait_for_stop(&mut stopping) => break,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok((lease, evicted)) = self.budget.open(id, peer.ip()) else {
                let address = self.address;
                tracing::warn!(%address, "connection closed: the limit of open connections is reached");
                continue;
            };
            let (handler, stop, open) = (handler.clone(), stop.clone(), open_sender.clone());
            let limits = self.limits;
            tokio::spawn(async move {
                serve_connection(stream, limits, handler, lease, evicted, stop).await;
                drop(open);
            });
        }
        drop((listener, open_sender));
        let _ = open_receiver.recv().await;
        Ok(())
    }
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which stops the listener too.
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    limits: Limits,
    handler: Arc<H>,
    lease: Arc<Lease>,
    evicted: oneshot::Receiver<()>,
    mut stop: watch::Receiver<bool>,
) {
    // Responses are small, so Nagle's algorithm would only delay them.
    let _ = stream.set_nodelay(true);
    let stream = TokioIo::new(Stream::new(stream, lease.clone()));
    let is_stopping = stop.clone();
    let request_lease = lease.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let (handler, lease) = (handler.clone(), request_lease.clone());
        let is_stopping = is_stopping.clone();
        async move {
            lease.yield_to_evicted().await;
            lease.begin();
            request.extensions_mut().insert(lease.clone());
            let mut response = handler.handle(request).await;
            let must_close = lease.end(response.body().size_hint().lower() as usize);
            if must_close || *is_stopping.borrow() {
                close_after(&mut response);
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    // The responses of pipelined requests are not aggregated: hyper would then keep back the one to
    // a malformed head, since bytes of the request are left.
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes);
    let connection = builder.serve_connection(stream, service);
    tokio::pin!(connection);
    let serve = async {
        let result = tokio::select! {
            result = connection.as_mut() => result,
            () = wait_for_stop(&mut stop) => {
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        };
        if let Err(error) = result {
            tracing::debug!(%error, "connection closed with an error");
        }
    };
    tokio::pin!(serve);
    tokio::select! {
        () = serve.as_mut() => {}
        _ = evicted => {
            if lease.refuse() {
                let _ = tokio::time::timeout(REFUSAL_TIMEOUT, serve).await;
            }
        }
    }
}

async fn read_and_answer<S: Service>(
    service: &S,
    limits: Limits,
    request: Request<Incoming>,
) -> Response<Bytes> {
    let (mut head, body) = request.into_parts();
    let Some(lease) = head.extensions.remove::<Arc<Lease>>() else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE);
    };
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return refuse(StatusCode::PAYLOAD_TOO_LARGE);
    }
    if body.is_end_stream() {
        return service.answer(Request::from_parts(head, Bytes::new())).await;
    }
    lease.begin_body();
    let read = tokio::select! {
        read = tokio::time::timeout(limits.body_timeout, read_body(&lease, body, limits.max_body_bytes)) => read,
        () = lease.wait_until_refused() => Ok(Err(StatusCode::SERVICE_UNAVAILABLE)),
    };
    match read {
        Ok(Ok(bytes)) => service.answer(Request::from_parts(head, bytes)).await,
        Ok(Err(status)) => refuse(status),
        Err(_) => refuse(StatusCode::REQUEST_TIMEOUT),
    }
}

// Copies the body into one buffer: the pieces that arrive keep the whole buffers alive into which
// they were read.
async fn read_body(
    lease: &Lease,
    mut body: Incoming,
    max_bytes: usize,
) -> std::result::Result<Bytes, StatusCode> {
    let max_length = body.size_hint().upper().map_or(max_bytes, |upper| upper as usize);
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
        let Ok(piece) = frame.into_data() else { continue };
        length += piece.len();
        if length > max_bytes {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let appended = lease.append(&piece, max_length);
        appended.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    }
    let body = lease.take_body().map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    Ok(body.into())
}

// Response to a request that is not executed. The rest of its body is not read.
fn refuse(status: StatusCode) -> Response<Bytes> {
    let mut response = empty_response(status);
    close_after(&mut response);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let after = HeaderValue::from_static(RETRY_AFTER_S);
        response.headers_mut().insert(header::RETRY_AFTER, after);
    }
    response
}

fn close_after<B>(response: &mut Response<B>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

/// Builds a response without a body.
pub fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}
