//! An answer that the client reads as it arrives.

use super::filter::Filter;
use std::{
    fmt,
    io::{self, BufRead, BufReader, Read},
    net::SocketAddr,
    sync::Arc,
};
use ureq::BodyReader;

/// An answer whose body is read as it arrives. Dropping it closes the connection.
pub struct Stream {
    /// HTTP status code.
    pub status: u16,
    pub(super) reader: BufReader<BodyReader<'static>>,
    pub(super) addr: Option<SocketAddr>,
    pub(super) filter: Arc<Filter>,
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Stream")
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

impl Stream {
    /// Reads the rest of the body, `limit` bytes at most.
    ///
    /// # Errors
    /// The connection failed.
    pub fn rest(&mut self, limit: usize) -> io::Result<String> {
        let mut rest = Vec::new();
        (&mut self.reader)
            .take(limit as u64)
            .read_to_end(&mut rest)?;
        Ok(String::from_utf8_lossy(&rest).into_owned())
    }

    /// Reads a line, without its line feed; `None` at the end of the body.
    ///
    /// # Errors
    /// The connection failed, sent nothing for `Timeouts::quiet`, or the line is longer than `limit`
    /// bytes, lacks its line feed or is not UTF-8.
    pub fn line(&mut self, limit: usize) -> io::Result<Option<String>> {
        let mut line = Vec::new();
        self.filter.check(self.addr)?;
        (&mut self.reader)
            .take(limit as u64 + 1)
            .read_until(b'\n', &mut line)?;
        self.filter.check(self.addr)?;
        if line.len() > limit {
            let text = format!("the line is longer than {limit} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        if line.pop_if(|b| *b == b'\n').is_none() {
            return if line.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        String::from_utf8(line)
            .map(Some)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "the line is not UTF-8"))
    }
}
