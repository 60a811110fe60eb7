//! Frames on the links between daemons: a big-endian length prefix of four bytes, then the message
//! in bincode.

use berylpin_core::control::ControlMessage;
use berylpin_core::execute::ExecuteMessage;
use berylpin_core::message::QueryMessage;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum length of a frame without its prefix, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// The length of the length prefix, in bytes.
const PREFIX_BYTES: usize = 4;

/// A message between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A message about queries.
    Query(QueryMessage),
    /// A message between control threads.
    Control(Box<ControlMessage>),
    /// A message about non-idempotent requests.
    Execute(ExecuteMessage),
}

/// An error in a stream of frames.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The length in the prefix exceeds [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLong(usize),
    /// The bytes do not decode to a message.
    #[error("malformed frame: {0}")]
    Malformed(#[from] bincode::error::DecodeError),
}

/// Encodes a frame and appends it to a buffer.
pub fn encode(frame: &Frame, buf: &mut BytesMut) {
    encode_value(frame, buf);
}

/// Encodes a value of any type like a [`Frame`] and appends it to a buffer.
pub fn encode_value<T>(value: &T, buf: &mut BytesMut)
where
    T: Serialize,
{
    let start = buf.len();
    buf.put_u32(0);
    let result = bincode::serde::encode_into_std_write(value, &mut buf.writer(), config());
    debug_assert!(result.is_ok(), "encoding a frame failed");
    let length = (buf.len() - start - PREFIX_BYTES) as u32;
    buf[start..start + PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Splits a stream of bytes into frames.
#[derive(Debug, Default)]
pub struct Decoder {
    buf: BytesMut,
}

impl Decoder {
    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &Bytes) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next frame; `None` if it has not been received completely.
    ///
    /// # Errors
    ///
    /// Returns an error if the next bytes are not a valid frame; the rest of the stream cannot be
    /// decoded then.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        self.next_value()
    }

    /// Returns the next value; `None` if it has not been received completely.
    ///
    /// # Errors
    ///
    /// Returns an error if the next bytes are not a valid value of the type; the rest of the stream
    /// cannot be decoded then.
    pub fn next_value<T>(&mut self) -> Result<Option<T>, FrameError>
    where
        T: DeserializeOwned,
    {
        let Some(prefix) = self.buf.first_chunk::<PREFIX_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if self.buf.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buf.advance(PREFIX_BYTES);
        let body = self.buf.split_to(length);
        let (value, _) = bincode::serde::decode_from_slice(&body, config())?;
        Ok(Some(value))
    }
}

fn config() -> bincode::config::Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    bincode::config::Limit<MAX_FRAME_BYTES>,
> {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

#[cfg(test)]
mod tests;
