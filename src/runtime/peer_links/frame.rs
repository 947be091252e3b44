//! Frames: the length of a message as a big-endian number of four bytes, followed by the
//! message in MessagePack.

use super::LinkError;
use crate::peers::Message;
use tokio::io::{AsyncRead, AsyncReadExt};

const LENGTH_BYTES: usize = 4;
const MAX_MESSAGE_BYTES: u32 = 2 << 20;

/// Appends the frame of a message to `bytes`. A message that is too long for its receiver is left
/// out, since the receiver would drop the link and with it all other messages.
pub(super) fn append(bytes: &mut Vec<u8>, message: &Message) -> Result<(), LinkError> {
    let start = bytes.len();
    bytes.extend([0; LENGTH_BYTES]);
    rmp_serde::encode::write(bytes, message)?;
    let length = bytes.len() - start - LENGTH_BYTES;
    let Some(length) = u32::try_from(length).ok().filter(|&length| length <= MAX_MESSAGE_BYTES) else {
        tracing::error!(bytes = length, "left out a message to a peer that is too long");
        bytes.truncate(start);
        return Ok(());
    };
    bytes[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

/// Reads the length of the next message, in bytes. Fails if it is too long.
pub(super) async fn read_length(frames: &mut (impl AsyncRead + Unpin)) -> Result<u32, LinkError> {
    let length_bytes = frames.read_u32().await?;
    if length_bytes > MAX_MESSAGE_BYTES {
        return Err(LinkError::FrameTooLong { length_bytes });
    }
    Ok(length_bytes)
}

/// Reads a message of the given length.
pub(super) async fn read_message(
    frames: &mut (impl AsyncRead + Unpin),
    length_bytes: u32,
) -> Result<Message, LinkError> {
    let mut body = vec![0; length_bytes as usize];
    frames.read_exact(&mut body).await?;
    Ok(rmp_serde::from_slice(&body)?)
}
