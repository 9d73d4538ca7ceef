//! A TCP relay that can block or delay either direction without closing connections, and that can
//! close all connections.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Direction of data through a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the target.
    Forward,
    /// From the target to the client.
    Backward,
}

/// A running relay; dropping it stops it.
pub struct Relay {
    /// Address that clients dial.
    pub address: SocketAddr,
    forward: watch::Sender<bool>,
    backward: watch::Sender<bool>,
    delay: watch::Sender<Duration>,
    dropped: watch::Sender<()>,
    task: JoinHandle<()>,
}

/// Settings of the relay, as seen by its connections.
#[derive(Clone)]
struct Conditions {
    forward: watch::Receiver<bool>,
    backward: watch::Receiver<bool>,
    delay: watch::Receiver<Duration>,
    dropped: watch::Receiver<()>,
}

impl Relay {
    /// Starts a relay to the target address with both directions open.
    pub async fn start(target: SocketAddr) -> Self {
        let listener =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let (forward, forward_receiver) = watch::channel(true);
        let (backward, backward_receiver) = watch::channel(true);
        let (delay, delay_receiver) = watch::channel(Duration::ZERO);
        let (dropped, dropped_receiver) = watch::channel(());
        let conditions = Conditions {
            forward: forward_receiver,
            backward: backward_receiver,
            delay: delay_receiver,
            dropped: dropped_receiver,
        };
        let task = tokio::spawn(accept(listener, target, conditions));
        Self { address, forward, backward, delay, dropped, task }
    }

    /// Delays each piece of data, in both directions.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.send_replace(delay);
    }

    /// Closes every open connection.
    pub fn drop_connections(&self) {
        self.dropped.send_replace(());
    }

    /// Opens or blocks a direction. Data of a blocked direction is held until the direction opens.
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

async fn accept(listener: TcpListener, target: SocketAddr, conditions: Conditions) {
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        let mut conditions = conditions.clone();
        conditions.dropped.mark_unchanged();
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else { return };
            let (client_reader, client_writer) = client.into_split();
            let (server_reader, server_writer) = server.into_split();
            let Conditions { forward, backward, delay, mut dropped } = conditions;
            // When either direction ends, both connections are closed.
            tokio::select! {
                () = copy_data(client_reader, server_writer, forward, delay.clone()) => {}
                () = copy_data(server_reader, client_writer, backward, delay) => {}
                _ = dropped.changed() => {}
            }
        });
    }
}

async fn copy_data(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut open: watch::Receiver<bool>,
    delay: watch::Receiver<Duration>,
) {
    let mut buffer = [0; 16 << 10];
    loop {
        let Ok(length) = reader.read(&mut buffer).await else { return };
        let delay = *delay.borrow();
        tokio::time::sleep(delay).await;
        // `wait_for` fails once the relay has been dropped.
        if length == 0 || open.wait_for(|open| *open).await.is_err() {
            return;
        }
        if writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
