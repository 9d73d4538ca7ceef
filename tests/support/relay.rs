//! A TCP relay whose directions can be cut or slowed without closing a connection, and whose
//! connections can be dropped.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Direction of bytes through a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the dialling end.
    Forward,
    /// To the dialling end.
    Backward,
}

/// A running relay.
pub struct Relay {
    /// Address to dial.
    pub address: SocketAddr,
    forward: watch::Sender<bool>,
    backward: watch::Sender<bool>,
    delay: watch::Sender<Duration>,
    dropped: watch::Sender<()>,
    task: JoinHandle<()>,
}

/// What a connection watches.
#[derive(Clone)]
struct Weather {
    forward: watch::Receiver<bool>,
    backward: watch::Receiver<bool>,
    delay: watch::Receiver<Duration>,
    dropped: watch::Receiver<()>,
}

impl Relay {
    /// Starts a relay to an address; both directions are open.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("is bound");
        let (forward, forward_open) = watch::channel(true);
        let (backward, backward_open) = watch::channel(true);
        let (delay, delayed) = watch::channel(Duration::ZERO);
        let (dropped, drops) = watch::channel(());
        let weather = Weather {
            forward: forward_open,
            backward: backward_open,
            delay: delayed,
            dropped: drops,
        };
        let task = tokio::spawn(accept(listener, target, weather));
        Self { address, forward, backward, delay, dropped, task }
    }

    /// Delays whatever arrives, in either direction.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.send_replace(delay);
    }

    /// Closes every open connection.
    pub fn drop_connections(&self) {
        self.dropped.send_replace(());
    }

    /// Opens or cuts a direction. Bytes of a cut direction wait and arrive late.
    pub fn set_open(&self, direction: Direction, open: bool) {
        match direction {
            Direction::Forward => self.forward.send_replace(open),
            Direction::Backward => self.backward.send_replace(open),
        };
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, weather: Weather) {
    loop {
        let Ok((near, _)) = listener.accept().await else { continue };
        let mut weather = weather.clone();
        weather.dropped.mark_unchanged();
        tokio::spawn(async move {
            let Ok(far) = TcpStream::connect(target).await else { return };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            let Weather { forward, backward, delay, mut dropped } = weather;
            // The end of either direction ends both.
            tokio::select! {
                () = pump(near_read, far_write, forward, delay.clone()) => {}
                () = pump(far_read, near_write, backward, delay) => {}
                _ = dropped.changed() => {}
            }
        });
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut open: watch::Receiver<bool>,
    delay: watch::Receiver<Duration>,
) {
    let mut buffer = [0; 16 << 10];
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        let delay = *delay.borrow();
        tokio::time::sleep(delay).await;
        // The sender is gone with the relay.
        if length == 0 || open.wait_for(|open| *open).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
