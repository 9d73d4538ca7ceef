//! An HTTP/1.1 listener that bounds heads, bodies and connections and stops without cutting a
//! request off.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

/// Wait before accepting again after a failure, such as no free descriptor.
const PAUSE: Duration = Duration::from_millis(50);

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time within which a client must send a request's head, idle time on a kept connection
    /// included.
    pub head_timeout: Duration,
    /// Time within which it must send the body.
    pub body_timeout: Duration,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Connections at once.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(20),
            body_timeout: Duration::from_secs(5),
            max_body_bytes: 1 << 20,
            max_connections: 2_000,
        }
    }
}

/// What answers requests.
pub trait Service: Send + Sync + 'static {
    /// Answers one request whose body has arrived whole.
    fn answer(&self, request: Request<Bytes>) -> impl Future<Output = Response<Bytes>> + Send;
}

/// What handles requests whose bodies are still on their way; it limits them itself.
pub trait Handler: Send + Sync + 'static {
    /// Body of its answers.
    type Body: Body<Data = Bytes, Error: Into<BoxError>> + Send + 'static;

    /// Answers one request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + Send;
}

/// Error of a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

// Hands a service its requests once their bodies have arrived whole.
struct Whole<S> {
    service: Arc<S>,
    limits: Limits,
}

impl<S: Service> Handler for Whole<S> {
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        respond(&*self.service, self.limits, request).await.map(Full::new)
    }
}

/// Serves until the stop signal is set and every request in progress is answered.
///
/// # Errors
/// Where the address can't be bound.
pub async fn serve<S: Service>(
    address: SocketAddr,
    limits: Limits,
    service: Arc<S>,
    stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    serve_handler(address, limits, Arc::new(Whole { service, limits }), stop).await
}

/// As [`serve`], for a handler.
///
/// # Errors
/// Where the address can't be bound.
pub async fn serve_handler<H: Handler>(
    address: SocketAddr,
    limits: Limits,
    handler: Arc<H>,
    stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let slots = Arc::new(Semaphore::new(limits.max_connections));
    let mut stopping = stop.clone();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            () = set(&mut stopping) => break,
        };
        let Ok((stream, _)) = stream else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            tracing::warn!(%address, "connection refused: as many as allowed are open");
            continue;
        };
        let (handler, stop) = (handler.clone(), stop.clone());
        tokio::spawn(async move {
            connection(stream, limits, handler, stop).await;
            drop(slot);
        });
    }
    drop(listener);
    // Every connection gives its slot back once its last request is answered.
    let _ = slots.acquire_many(limits.max_connections as u32).await;
    Ok(())
}

async fn set(stop: &mut watch::Receiver<bool>) {
    // A sender that is gone has no more to say: then the listener stops too.
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn connection<H: Handler>(
    stream: TcpStream,
    limits: Limits,
    handler: Arc<H>,
    mut stop: watch::Receiver<bool>,
) {
    // Answers are small; waiting to fill a packet would only delay them.
    let _ = stream.set_nodelay(true);
    let is_stopping = stop.clone();
    let answer = service_fn(move |request: Request<Incoming>| {
        let (handler, is_stopping) = (handler.clone(), is_stopping.clone());
        async move {
            let mut response = handler.handle(request).await;
            if *is_stopping.borrow() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(limits.head_timeout).pipeline_flush(true);
    let served = builder.serve_connection(TokioIo::new(stream), answer);
    tokio::pin!(served);
    let ended = tokio::select! {
        ended = served.as_mut() => ended,
        () = set(&mut stop) => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "connection ended");
    }
}

async fn respond<S: Service>(
    service: &S,
    limits: Limits,
    request: Request<Incoming>,
) -> Response<Bytes> {
    let (head, body) = request.into_parts();
    let whole = Limited::new(body, limits.max_body_bytes).collect();
    let bytes = match tokio::time::timeout(limits.body_timeout, whole).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return empty_response(StatusCode::PAYLOAD_TOO_LARGE);
        }
        Ok(Err(_)) => return empty_response(StatusCode::BAD_REQUEST),
        Err(_) => return empty_response(StatusCode::REQUEST_TIMEOUT),
    };
    service.answer(Request::from_parts(head, bytes)).await
}

/// An answer without a body.
pub fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}
