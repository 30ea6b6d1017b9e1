//! Reads an answer that is an event stream, and passes its events back.

use super::{
    attempt::{Abort, Attempt},
    dispatch::{Run, Sink},
    ending::stopped_at_deadline,
    passing::{POLL_INTERVAL, broken},
};
use crate::{
    gate::Slot,
    pass::{Conn, Event, Events, Head, Registration},
    timeline::Happening,
    wire::{Answer, Class, Name, Software},
};

/// Most bytes of consecutive events without id and data.
const EMPTY_EVENTS_MAX_BYTES: usize = 16 * 1024;
/// Start of an HTTP/1 answer, which is no line of an event.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";
/// Longest text of a batch item: the size of a page of results.
const ITEM_TEXT_MAX_BYTES: usize = 1 << 20;

impl<S: Sink> Run<'_, S> {
    pub(super) fn read_events(
        &mut self,
        slot: &Slot,
        attempt: &mut Attempt,
        conn: &mut Conn,
        head: &Head,
        entry: &Registration<'_>,
    ) -> Result<Answer, Abort> {
        let mut events = Events::default();
        // Events without id and data; only what follows shows whether they are part of the answer.
        let mut empty = Vec::new();
        let mut since = self.host.now();
        loop {
            let read = conn.read(POLL_INTERVAL, events.buffer());
            let Some(more) = self.received(read, since, entry)? else {
                continue;
            };
            let mut has_event = false;
            while let Some(mut event) = events
                .pop()
                .map_err(|_| broken("the answer has an invalid event"))?
            {
                if conn.is_unframed() && event.raw.starts_with(STATUS_LINE_START) {
                    return Err(broken("another answer follows the events"));
                }
                if event.is_empty() {
                    empty.append(&mut event.raw);
                    if empty.len() > EMPTY_EVENTS_MAX_BYTES {
                        return Err(broken("the answer has too many events without id and data"));
                    }
                    continue;
                }
                if attempt.first.is_none() {
                    attempt.first = Some(self.host.now());
                    let timeline = &self.host.timeline;
                    timeline.note(Happening::FirstToken, &slot.id, None, &slot.server);
                    self.host.note_answered(&self.segments, &slot.id);
                }
                has_event = true;
                attempt.note_event(self.host);
                if !empty.is_empty() {
                    empty.append(&mut event.raw);
                    event.raw = std::mem::take(&mut empty);
                }
                self.deliver_event(attempt, head, &event)?;
            }
            // Neither bytes of an incomplete event nor comments count as progress.
            if has_event {
                self.places = None;
                since = self.host.now();
            } else if more {
                self.check_progress(since)?;
            }
            if !more {
                if events.is_partial() {
                    if conn.is_unframed() && attempt.first.is_some() && self.is_at_deadline() {
                        return Err(stopped_at_deadline());
                    }
                    self.was_partial = true;
                    self.may_have_restarted = conn.is_unframed() && !entry.is_ended();
                    let text = "the answer ended in the middle of an event";
                    return Err(self.lost(text, entry.is_ended()));
                }
                if conn.is_unframed() {
                    self.check_unframed_end(slot, attempt.first.is_some())?;
                }
                self.sink.begin(head).map_err(Abort::Final)?;
                if !empty.is_empty() {
                    let event = Event {
                        id: None,
                        data: String::new(),
                        raw: empty,
                    };
                    self.sink.event(&event).map_err(Abort::Final)?;
                }
                return Ok(self.answer(slot));
            }
        }
    }

    fn deliver_event(
        &mut self,
        attempt: &Attempt,
        head: &Head,
        event: &Event,
    ) -> Result<(), Abort> {
        self.check_deadline().map_err(Abort::Final)?;
        if let Some(id) = event.id {
            if self.pos.checked_add(1) != Some(id) {
                let text = format!("event {id} came after event {}", self.pos);
                return Err(broken(&text));
            }
            self.pos = id;
            (self.was_partial, self.empty_ends) = (false, 0);
            if self.version.is_none() {
                self.begin_version(&attempt.software);
            }
        } else if self.pos > 0 {
            let text = format!("an event without id came after event {}", self.pos);
            return Err(broken(&text));
        }
        if self.work.class == Class::Batch {
            if !self.text.is_empty() {
                self.text.push('\n');
            }
            self.text += &event.data;
            if self.text.len() > ITEM_TEXT_MAX_BYTES {
                // Another server starts from the beginning.
                self.restart();
                return Err(broken("the text of the item is too long"));
            }
            if !self.text_share.grow(self.text.len()) {
                self.restart();
                return Err(broken("the host's memory for complete answers is used up"));
            }
        }
        self.sink
            .begin(head)
            .and_then(|()| self.sink.event(event))
            .map_err(Abort::Final)
    }

    /// Binds the stream to the software `version` of its first event, which the caller does not have yet.
    fn begin_version(&mut self, version: &Name) {
        self.version = Some(version.clone());
        if self.work.software == Software::Start {
            self.host
                .begin_stream(&self.work.id, &self.work.model, version);
        }
    }
}
