//! Cuts the body of an event stream into events (HTML standard, section 9.2).

/// Longest event in bytes.
const EVENT_MAX_BYTES: usize = 64 * 1024;

/// A whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one that is a number.
    pub id: Option<u32>,
    /// Its data; lines joined by line feeds.
    pub data: String,
    /// Its bytes, the blank line included.
    pub raw: Vec<u8>,
}

impl Event {
    /// Whether it has nothing for the receiver, as a comment.
    pub fn is_empty(&self) -> bool {
        self.id.is_none() && self.data.is_empty()
    }
}

/// Bytes of an event stream that are not an event yet.
#[derive(Debug, Clone, Default)]
pub struct Events {
    buffer: Vec<u8>,
}

/// The stream has an event that is too long, is not UTF-8 or has an id that is no number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadEvent;

impl Events {
    /// Whether an event was begun and not ended.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Bytes to which more of the body is appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    /// The next whole event.
    ///
    /// # Errors
    /// The event is not valid.
    pub fn pop(&mut self) -> Result<Option<Event>, BadEvent> {
        let Some(end) = blank_line(&self.buffer) else {
            return match self.buffer.len() > EVENT_MAX_BYTES {
                true => Err(BadEvent),
                false => Ok(None),
            };
        };
        let rest = self.buffer.split_off(end);
        let raw = std::mem::replace(&mut self.buffer, rest);
        parse(raw).map(Some)
    }
}

/// Index after the first blank line.
fn blank_line(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(len) = bytes[start..].iter().position(|b| *b == b'\n') {
        let line = &bytes[start..start + len];
        if line.is_empty() || line == b"\r" {
            return Some(start + len + 1);
        }
        start += len + 1;
    }
    None
}

fn parse(raw: Vec<u8>) -> Result<Event, BadEvent> {
    let text = std::str::from_utf8(&raw).map_err(|_| BadEvent)?;
    let mut id = None;
    let mut data: Vec<&str> = Vec::new();
    for line in text.lines() {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => id = Some(value.parse().map_err(|_| BadEvent)?),
            "data" => data.push(value),
            _ => {}
        }
    }
    let data = data.join("\n");
    Ok(Event { id, data, raw })
}
