//! Reading and writing of HTTP/1.1 messages.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The head of a message and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the word of the first line at an index.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }
}

/// Reads messages with a stated length or in chunks from a stream.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buf: Vec::new() }
    }

    /// Reads more bytes; returns false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 65536];
        let len = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(len > 0)
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let rest = self.buf.split_off(len);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|window| window == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the next message; `None` if the stream ends before it.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        if self.buf.is_empty() && !self.fill()? {
            return Ok(None);
        }
        let mut message = Message { first_line: self.take_line()?, ..Message::default() };
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        if chunked {
            loop {
                let size = self.take_line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("0").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.take(size)?;
                self.take_line()?;
                if size == 0 {
                    break;
                }
                message.body.extend_from_slice(&chunk);
            }
        } else if let Some(len) = message.header("content-length").and_then(|v| v.parse().ok()) {
            message.body = self.take(len)?;
        }
        Ok(Some(message))
    }
}

/// Writes a response with a stated length.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n{headers}\r\n", body.len())
            .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
