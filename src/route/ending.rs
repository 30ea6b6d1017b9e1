//! Decides whether the end of a connection is the end of an event stream that has neither a length nor chunks.

use super::{
    attempt::Abort,
    dispatch::{Run, Sink},
};
use crate::gate::Slot;

impl<S: Sink> Run<'_, S> {
    /// Fails if the stream is not whole whose connection the server ended between two events, `has_events` of
    /// which it sent.
    pub(super) fn check_unframed_end(
        &mut self,
        slot: &Slot,
        has_events: bool,
    ) -> Result<(), Abort> {
        let (id, server, last) = (&*slot.id, &*slot.server, self.pos);
        tracing::info!(id, server, last, has_events, "unframed_stream_ended");
        if has_events {
            return Ok(());
        }
        self.empty_ends += 1;
        // A request runs for one event at least. One that resumes after its last event gets none, from a
        // second server as well.
        match self.pos > 0 && !self.was_partial && self.empty_ends > 1 {
            true => Ok(()),
            false => Err(self.lost("the answer ended before its first event", false)),
        }
    }
}
