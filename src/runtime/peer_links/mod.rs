//! Links between controllers: each dials every other and sends on the
//! connection it dialled. A frame is a length and a MessagePack message.
//!
//! Heartbeats are acknowledged with one byte, the first and then one every two
//! seconds. Without that the sender cannot tell a live link from a half-open one:
//! small frames fit the socket's buffer for minutes after the receiver has closed
//! its end.
//!
//! Messages that wait together are written together: a packet costs more than what
//! most of them hold.

mod frame;
mod receiver;
mod sender;

pub use receiver::accept;
pub use sender::dial;

use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::time::error::Elapsed;

/// A link on which nothing comes for this long is dead: no acknowledgement at the
/// sender, no frame at the receiver.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(8);
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a link ended.
#[derive(Debug, Error)]
enum LinkError {
    #[error("the peer closed the link")]
    Closed,
    #[error("the peer sent or took nothing in time")]
    Silent(#[from] Elapsed),
    #[error(transparent)]
    Socket(#[from] io::Error),
    #[error("a frame of {length_bytes} bytes is too long")]
    FrameTooLong { length_bytes: u32 },
    #[error("cannot encode a message: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("cannot decode a message: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

#[cfg(test)]
mod tests;
