//! Handshake of a link, in which both ends prove that they hold the cluster key.

use derive_more::{Display, Error};
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::Message;

use super::bounded::Bounded;
use super::frame::{self, Greeting, Hello, Proof, VERSION, decode, encode};
use crate::state::document::is_name;

/// Result of a handshake.
pub(super) type Result<T> = std::result::Result<T, Failure>;

/// Reason why a link was not established.
#[derive(Debug, Display, Error, derive_more::From)]
pub(super) enum Failure {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Socket(tungstenite::Error),
    /// A frame could not be decoded.
    Decode(frame::Error),
    /// The peer closed the connection.
    #[display("connection closed during the handshake")]
    Closed,
    /// The peer uses another protocol version.
    #[display("peer speaks protocol version {peer_version}, expected {VERSION}")]
    #[from(ignore)]
    Version {
        /// Version of the peer.
        peer_version: u32,
    },
    /// The peer does not hold the cluster key.
    #[display("peer does not hold the cluster key")]
    Key,
    /// The peer has an invalid name or is not the daemon that was dialled.
    #[display("unexpected peer name {name}")]
    #[from(ignore)]
    Name {
        /// Name of the peer.
        name: String,
    },
}

/// An authenticated connection to a peer.
pub(super) struct Connection {
    pub(super) hello: Hello,
    pub(super) socket: WebSocketStream<Bounded>,
}

/// A new connection that is not yet authenticated.
pub(super) struct Handshake {
    pub(super) socket: WebSocketStream<Bounded>,
}

impl Handshake {
    /// Exchanges greetings and proofs and verifies the peer's proof.
    pub(super) async fn authenticate(
        mut self,
        own_hello: &Hello,
        key: &[u8],
    ) -> Result<Connection> {
        let nonce = rand::random();
        let greeting = Greeting { hello: own_hello.clone(), nonce };
        self.send(&encode(&greeting)).await?;
        let peer_greeting: Greeting = decode(&self.receive().await?)?;
        if peer_greeting.hello.version != VERSION {
            return Err(Failure::Version { peer_version: peer_greeting.hello.version });
        }
        let name = &peer_greeting.hello.name;
        // Daemons that use discovery are named after the address of their mesh listener.
        let is_valid_name = is_name(name) || name.parse::<std::net::SocketAddr>().is_ok();
        if !is_valid_name || *name == own_hello.name {
            return Err(Failure::Name { name: name.clone() });
        }
        let mac = greetings_mac(key, &greeting, &peer_greeting).finalize().into_bytes().to_vec();
        self.send(&encode(&Proof { mac })).await?;
        let peer_proof: Proof = decode(&self.receive().await?)?;
        let expected_mac = greetings_mac(key, &peer_greeting, &greeting);
        expected_mac.verify_slice(&peer_proof.mac).map_err(|_| Failure::Key)?;
        self.socket.get_mut().lift_bound();
        Ok(Connection { hello: peer_greeting.hello, socket: self.socket })
    }

    async fn send(&mut self, bytes: &[u8]) -> Result<()> {
        let message = Message::binary(bytes.to_vec());
        Ok(self.socket.send(message).await?)
    }

    async fn receive(&mut self) -> Result<Vec<u8>> {
        match self.socket.next().await {
            Some(Ok(Message::Binary(bytes))) => Ok(bytes.to_vec()),
            Some(Err(e)) => Err(e.into()),
            _ => Err(Failure::Closed),
        }
    }
}

// The signer's greeting comes first, so that a proof reflected to its sender does not verify.
fn greetings_mac(key: &[u8], signer: &Greeting, other: &Greeting) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(&encode(signer));
    mac.update(&encode(other));
    mac
}
