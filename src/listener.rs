//! An HTTP/1.1 listener that limits heads, bodies and connections, and that completes the requests
//! in progress before it stops.

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

/// Delay before accepting again after a failure, such as running out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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

/// Serves until the stop signal is set and every request in progress is answered.
///
/// # Errors
/// If the address can't be bound.
pub async fn serve<S: Service>(
    address: SocketAddr,
    limits: Limits,
    service: Arc<S>,
    stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    serve_handler(address, limits, Arc::new(Adapter { service, limits }), stop).await
}

/// As [`serve`], for a handler.
///
/// # Errors
/// If the address can't be bound.
pub async fn serve_handler<H: Handler>(
    address: SocketAddr,
    limits: Limits,
    handler: Arc<H>,
    stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let mut stopping = stop.clone();
    loop {
        let accepted = tokio::select! {
            result = listener.accept() => result,
            () = wait_for_stop(&mut stopping) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            tracing::warn!(%address, "connection closed: the limit of open connections is reached");
            continue;
        };
        let (handler, stop) = (handler.clone(), stop.clone());
        tokio::spawn(async move {
            serve_connection(stream, limits, handler, stop).await;
            drop(permit);
        });
    }
    drop(listener);
    // Every connection releases its permit once its last request is answered.
    let _ = permits.acquire_many(limits.max_connections as u32).await;
    Ok(())
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which stops the listener too.
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    limits: Limits,
    handler: Arc<H>,
    mut stop: watch::Receiver<bool>,
) {
    // Responses are small, so Nagle's algorithm would only delay them.
    let _ = stream.set_nodelay(true);
    let is_stopping = stop.clone();
    let service = service_fn(move |request: Request<Incoming>| {
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
    // The responses of pipelined requests are not aggregated: hyper would then keep back the one to
    // a malformed head, since bytes of the request are left.
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_for_stop(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "connection closed with an error");
    }
}

async fn read_and_answer<S: Service>(
    service: &S,
    limits: Limits,
    request: Request<Incoming>,
) -> Response<Bytes> {
    let (head, body) = request.into_parts();
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return empty_response(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let collect_body = Limited::new(body, limits.max_body_bytes).collect();
    let bytes = match tokio::time::timeout(limits.body_timeout, collect_body).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return empty_response(StatusCode::PAYLOAD_TOO_LARGE);
        }
        Ok(Err(_)) => return empty_response(StatusCode::BAD_REQUEST),
        Err(_) => return empty_response(StatusCode::REQUEST_TIMEOUT),
    };
    service.answer(Request::from_parts(head, bytes)).await
}

/// Builds a response without a body.
pub fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}
