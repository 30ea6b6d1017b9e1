//! Incremental decoder for the body of an HTTP answer.

/// Longest line with a chunk size or a trailer field.
const LINE_MAX_BYTES: usize = 256;
/// Most bytes of trailer fields after the last chunk.
const TRAILER_MAX_BYTES: usize = 8 * 1024;

/// How the end of a body is found (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// After this number of bytes.
    Length(u64),
    /// After the last chunk, of size zero, and its trailer.
    Chunked,
    /// At the orderly end of the connection.
    Close,
}

/// Decoder of a body that arrives in parts.
#[derive(Debug, Clone)]
pub struct Body {
    state: State,
}

#[derive(Debug, Clone)]
enum State {
    Length(u64),
    Close,
    /// In the line with the size of a chunk; its bytes so far.
    Size(Vec<u8>),
    /// In a chunk; number of bytes left.
    Chunk(u64),
    /// In the line end after a chunk; number of bytes left.
    After(u8),
    /// In a trailer line; its bytes so far and the number of bytes left for the trailer.
    Trailer(Vec<u8>, usize),
    Done,
}

/// The chunked coding is invalid or has too long a line or trailer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadChunk;

impl Body {
    /// Decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(n) => State::Length(n),
            Framing::Chunked => State::Size(Vec::new()),
            Framing::Close => State::Close,
        };
        Self { state }
    }

    /// Whether the last byte has arrived.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Records the orderly end of the connection; `true` if the body is complete.
    pub fn end(&mut self) -> bool {
        if matches!(self.state, State::Close) {
            self.state = State::Done;
        }
        self.is_complete()
    }

    /// Decodes bytes from the connection and appends those of the body to `out`. Bytes after the end
    /// of the body belong to no answer and are dropped.
    ///
    /// # Errors
    /// The chunked coding is invalid.
    pub fn feed(&mut self, mut bytes: &[u8], out: &mut Vec<u8>) -> Result<(), BadChunk> {
        while !bytes.is_empty() {
            let used = self.step(bytes, out)?;
            if used == 0 {
                break;
            }
            bytes = &bytes[used..];
        }
        Ok(())
    }

    /// Decodes some of `bytes` and returns how many; zero after the end.
    fn step(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, BadChunk> {
        match &mut self.state {
            State::Done => Ok(0),
            State::Close => {
                out.extend_from_slice(bytes);
                Ok(bytes.len())
            }
            State::Length(left) => {
                let used = bytes.len().min(*left as usize);
                out.extend_from_slice(&bytes[..used]);
                *left -= used as u64;
                if *left == 0 {
                    self.state = State::Done;
                }
                Ok(used)
            }
            State::Chunk(left) => {
                let used = bytes.len().min(*left as usize);
                out.extend_from_slice(&bytes[..used]);
                *left -= used as u64;
                if *left == 0 {
                    self.state = State::After(2);
                }
                Ok(used)
            }
            State::After(left) => {
                let want = if *left == 2 { b'\r' } else { b'\n' };
                if bytes[0] != want {
                    return Err(BadChunk);
                }
                *left -= 1;
                if *left == 0 {
                    self.state = State::Size(Vec::new());
                }
                Ok(1)
            }
            State::Size(line) => {
                let (used, is_line) = take_line(line, bytes)?;
                if is_line {
                    self.state = match chunk_size(line)? {
                        0 => State::Trailer(Vec::new(), TRAILER_MAX_BYTES),
                        n => State::Chunk(n),
                    };
                }
                Ok(used)
            }
            State::Trailer(line, left) => {
                let (used, is_line) = take_line(line, bytes)?;
                *left = left.checked_sub(used).ok_or(BadChunk)?;
                if is_line {
                    self.state = match line.is_empty() {
                        true => State::Done,
                        false => State::Trailer(Vec::new(), *left),
                    };
                }
                Ok(used)
            }
        }
    }
}

/// Appends to `line` up to the line end; returns the bytes used and whether the line is complete.
fn take_line(line: &mut Vec<u8>, bytes: &[u8]) -> Result<(usize, bool), BadChunk> {
    let end = bytes.iter().position(|b| *b == b'\n');
    let used = end.map_or(bytes.len(), |at| at + 1);
    line.extend_from_slice(&bytes[..end.unwrap_or(used)]);
    if line.len() > LINE_MAX_BYTES {
        return Err(BadChunk);
    }
    if end.is_some() {
        line.pop_if(|b| *b == b'\r');
    }
    Ok((used, end.is_some()))
}

fn chunk_size(line: &[u8]) -> Result<u64, BadChunk> {
    let text = std::str::from_utf8(line).map_err(|_| BadChunk)?;
    let digits = text.split(';').next().unwrap_or("").trim();
    let hex = digits.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(digits, 16)
        .ok()
        .filter(|_| hex)
        .ok_or(BadChunk)
}
