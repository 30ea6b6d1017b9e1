//! Decides what the end of a connection means: the end of an event stream that has neither a length nor chunks,
//! the request's deadline, or a failure of the server.

use super::{
    attempt::Abort,
    dispatch::{Run, Sink},
};
use crate::{
    error::{Fail, Kind},
    gate::Slot,
};
use std::time::Duration;

/// Time before the deadline in which an end is taken for that of a server that stopped there.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// A server stops at the deadline that it was told, which says nothing about its health.
pub(super) fn stopped_at_deadline() -> Abort {
    let text = "the backend server ended the answer at its deadline";
    Abort::Final(Fail::new(Kind::ExpiredRunning, text))
}

impl<S: Sink> Run<'_, S> {
    /// Whether a connection that ends now may have been ended because of the deadline.
    pub(super) fn is_at_deadline(&self) -> bool {
        self.host.now() + DEADLINE_MARGIN >= self.work.deadline
    }

    /// Fails if the stream is not whole whose connection the server ended between two events, `has_events` of
    /// which it sent.
    pub(super) fn check_unframed_end(
        &mut self,
        slot: &Slot,
        has_events: bool,
    ) -> Result<(), Abort> {
        let (id, server, last) = (&*slot.id, &*slot.server, self.pos);
        tracing::info!(id, server, last, has_events, "unframed_stream_ended");
        if self.is_at_deadline() {
            return Err(stopped_at_deadline());
        }
        if has_events {
            return Ok(());
        }
        self.empty_ends += 1;
        // A request runs for one event at least. One that resumes after its last event gets none, from a
        // second server as well.
        match self.pos > 0 && !self.was_partial && self.empty_ends > 1 {
            true => Ok(()),
            false => {
                self.may_have_restarted = true;
                Err(self.lost("the answer ended before its first event", false))
            }
        }
    }
}
