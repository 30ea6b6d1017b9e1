//! Framing of a server's bytes on their way back through a tunnel.
//!
//! The end of the connection between two hosts does not tell whether the server closed or reset its connection, or
//! whether the host in between ended. A frame is the length of its bytes as a big-endian `u16`, and the bytes.

/// Most bytes in a frame.
pub const FRAME_MAX_BYTES: usize = 16 * 1024;
/// Bytes of the length of a frame.
pub const LENGTH_BYTES: usize = 2;
/// In place of a length: the server closed its connection.
const CLOSED: u16 = 0;
/// In place of a length: the server reset its connection.
const RESET: u16 = u16::MAX;

/// How a server ended its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// In order.
    Closed,
    /// With a reset.
    Reset,
}

impl End {
    /// The bytes that tell the other host.
    pub fn bytes(self) -> [u8; LENGTH_BYTES] {
        match self {
            Self::Closed => CLOSED.to_be_bytes(),
            Self::Reset => RESET.to_be_bytes(),
        }
    }
}

/// The bytes in front of a frame of `size` bytes, `FRAME_MAX_BYTES` at most.
pub fn frame_head(size: usize) -> [u8; LENGTH_BYTES] {
    debug_assert!((1..=FRAME_MAX_BYTES).contains(&size));
    (size as u16).to_be_bytes()
}

/// Decoder of frames that arrive in parts.
#[derive(Debug, Clone, Default)]
pub struct Frames {
    /// First byte of an incomplete length.
    partial: Option<u8>,
    /// Bytes of the current frame that are still to come.
    left: usize,
    end: Option<End>,
}

impl Frames {
    /// Appends the server's bytes in `bytes` to `out`. Ignores what follows the end.
    pub fn feed(&mut self, mut bytes: &[u8], out: &mut Vec<u8>) {
        while self.end.is_none() {
            let size = self.left.min(bytes.len());
            let (data, rest) = bytes.split_at(size);
            out.extend_from_slice(data);
            self.left -= size;
            let Some((byte, rest)) = rest.split_first() else {
                return;
            };
            bytes = rest;
            match self.partial.take() {
                None => self.partial = Some(*byte),
                Some(first) => match u16::from_be_bytes([first, *byte]) {
                    CLOSED => self.end = Some(End::Closed),
                    RESET => self.end = Some(End::Reset),
                    size => self.left = size.into(),
                },
            }
        }
    }

    /// How the server ended its connection; `None` if it has not, or if the other host was lost.
    pub fn end(&self) -> Option<End> {
        self.end
    }
}
