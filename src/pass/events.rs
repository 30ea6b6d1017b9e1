//! Parser for event streams (HTML standard, section 9.2).

/// Longest event, the blank line included.
const EVENT_MAX_BYTES: usize = 64 * 1024;

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Number in its `id` field; `None` without such a field.
    pub id: Option<u32>,
    /// Its `data` lines, joined by line feeds.
    pub data: String,
    /// Its bytes as received, the blank line included.
    pub raw: Vec<u8>,
}

impl Event {
    /// Whether it has neither id nor data, such as a comment.
    pub fn is_empty(&self) -> bool {
        self.id.is_none() && self.data.is_empty()
    }
}

/// Parser of an event stream; holds the bytes that are not parsed yet.
#[derive(Debug, Clone, Default)]
pub struct Events {
    buffer: Vec<u8>,
}

/// An event is too long, is not UTF-8 or has an id that is not a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadEvent;

impl Events {
    /// Whether the bytes end in the middle of an event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The buffer to which received bytes are to be appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    /// Removes the next complete event; `None` if more bytes are needed.
    ///
    /// # Errors
    /// The event is invalid.
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

/// Index after the first blank line, the end of the first event.
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
