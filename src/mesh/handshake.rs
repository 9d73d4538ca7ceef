//! Handshake of a link: both ends prove that they hold the cluster key.

use derive_more::{Display, Error};
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::Message;

use super::frame::{Greeting, Hello, Malformed, Proof, VERSION, decode, encode};
use crate::state::document::is_name;

/// Result of a handshake.
pub(super) type Result<T> = std::result::Result<T, Refused>;

/// Why a link was not made.
#[derive(Debug, Display, Error, derive_more::From)]
pub(super) enum Refused {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Socket(tungstenite::Error),
    /// A frame could not be read.
    Malformed(Malformed),
    /// The connection closed early.
    #[display("closed during the handshake")]
    Closed,
    /// The other end speaks another version.
    #[display("speaks version {theirs}, not {VERSION}")]
    #[from(ignore)]
    Version {
        /// Its version.
        theirs: u32,
    },
    /// The other end does not hold the cluster key.
    #[display("does not hold the cluster key")]
    Key,
    /// The other end is not who was expected.
    #[display("is {name}, which is not expected here")]
    #[from(ignore)]
    Name {
        /// Its name.
        name: String,
    },
}

/// A connection whose ends know each other.
pub(super) struct Ready {
    pub(super) hello: Hello,
    pub(super) socket: WebSocketStream<TcpStream>,
}

/// A fresh connection, before either end is known.
pub(super) struct Connecting {
    pub(super) socket: WebSocketStream<TcpStream>,
}

impl Connecting {
    /// Greets, checks the other end's proof and gives the own one.
    pub(super) async fn shake(mut self, own: &Hello, key: &[u8]) -> Result<Ready> {
        let nonce = rand::random();
        let greeting = Greeting { hello: own.clone(), nonce };
        self.send(&encode(&greeting)).await?;
        let theirs: Greeting = decode(&self.receive().await?)?;
        if theirs.hello.version != VERSION {
            return Err(Refused::Version { theirs: theirs.hello.version });
        }
        let name = &theirs.hello.name;
        // Daemons that find one another by address go by it.
        let is_valid = is_name(name) || name.parse::<std::net::SocketAddr>().is_ok();
        if !is_valid || *name == own.name {
            return Err(Refused::Name { name: name.clone() });
        }
        let mac = sign(key, &greeting, &theirs).finalize().into_bytes().to_vec();
        self.send(&encode(&Proof { mac })).await?;
        let proof: Proof = decode(&self.receive().await?)?;
        let expected = sign(key, &theirs, &greeting);
        expected.verify_slice(&proof.mac).map_err(|_| Refused::Key)?;
        Ok(Ready { hello: theirs.hello, socket: self.socket })
    }

    async fn send(&mut self, bytes: &[u8]) -> Result<()> {
        let message = Message::binary(bytes.to_vec());
        Ok(self.socket.send(message).await?)
    }

    async fn receive(&mut self) -> Result<Vec<u8>> {
        match self.socket.next().await {
            Some(Ok(Message::Binary(bytes))) => Ok(bytes.to_vec()),
            Some(Err(e)) => Err(e.into()),
            _ => Err(Refused::Closed),
        }
    }
}

// The signer's greeting goes first, so that a proof can't be sent back to its maker.
fn sign(key: &[u8], signer: &Greeting, other: &Greeting) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(&encode(signer));
    mac.update(&encode(other));
    mac
}
