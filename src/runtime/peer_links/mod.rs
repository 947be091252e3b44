//! Links between controllers. Each controller dials every other one and sends its messages
//! on the connection that it dialled. A frame is a length and a MessagePack message.
//!
//! The receiver acknowledges heartbeats with one byte: the first one, and then at most one
//! every two seconds. Without acknowledgements, the sender cannot distinguish a live link
//! from a half-open one: small frames fit into the socket's buffer for minutes after the
//! receiver has closed its end.
//!
//! Messages that wait at the same time are written together, because a packet costs more
//! than the content of most messages.

mod frame;
mod receiver;
mod sender;

pub use receiver::accept;
pub use sender::dial;

use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::time::error::Elapsed;

/// A link is considered dead when nothing arrives for this long: no acknowledgement at the
/// sender, no frame at the receiver.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(8);
/// A link is also considered dead when a single write to it takes longer than this.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a link ended.
#[derive(Debug, Error)]
enum LinkError {
    #[error("the peer closed the link")]
    Closed,
    #[error("timed out while reading from or writing to the peer")]
    TimedOut(#[from] Elapsed),
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
