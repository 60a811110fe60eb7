//! Frames on the links between daemons: a length of four bytes, then the frame in bincode.

use berylpin_core::control::ControlMessage;
use berylpin_core::execute::ExecuteMessage;
use berylpin_core::message::QueryMessage;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest frame accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

const LENGTH_BYTES: usize = 4;

/// What daemons send each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A message about queries.
    Query(QueryMessage),
    /// A message between control threads.
    Control(Box<ControlMessage>),
    /// A message about non-idempotent requests.
    Execute(ExecuteMessage),
}

/// Why bytes are not a frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The length is over the limit.
    #[error("a frame of {0} bytes is over the limit of {MAX_FRAME_BYTES} bytes")]
    TooLong(usize),
    /// The bytes do not decode.
    #[error("malformed frame: {0}")]
    Malformed(#[from] bincode::error::DecodeError),
}

/// Appends a frame to a buffer.
pub fn encode(frame: &Frame, buf: &mut BytesMut) {
    encode_value(frame, buf);
}

/// Appends a value to a buffer, framed like a `Frame`.
pub fn encode_value<T>(value: &T, buf: &mut BytesMut)
where
    T: Serialize,
{
    let start = buf.len();
    buf.put_u32(0);
    let result = bincode::serde::encode_into_std_write(value, &mut buf.writer(), config());
    debug_assert!(result.is_ok(), "a frame always encodes");
    let length = (buf.len() - start - LENGTH_BYTES) as u32;
    buf[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Cuts a stream of bytes into frames.
#[derive(Debug, Default)]
pub struct Decoder {
    buf: BytesMut,
}

impl Decoder {
    /// Takes in bytes that arrived.
    pub fn extend(&mut self, bytes: &Bytes) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next whole frame, if there is one.
    ///
    /// # Errors
    ///
    /// Returns why the bytes are not a frame; the stream is of no use from then on.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        self.next_value()
    }

    /// Returns the next whole value, if there is one.
    ///
    /// # Errors
    ///
    /// Returns why the bytes are no such value; the stream is of no use from then on.
    pub fn next_value<T>(&mut self) -> Result<Option<T>, FrameError>
    where
        T: DeserializeOwned,
    {
        let Some(prefix) = self.buf.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if self.buf.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
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
