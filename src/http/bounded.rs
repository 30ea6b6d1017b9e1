//! Client connections that bound the bytes of an answer, malformed or not.

use std::io::{self, ErrorKind};
use ureq::{
    Error,
    unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport},
};

/// Bounds the answers on the connections of the connector before it in the chain.
#[derive(Debug)]
pub(super) struct BoundedConnector {
    /// Most bytes of an answer, head and framing included.
    pub(super) limit: u64,
}

/// A connection that fails when an answer exceeds the limit.
#[derive(Debug)]
pub(super) struct Bounded<T> {
    inner: T,
    limit: u64,
    /// Bytes that the answer to the current request may still have.
    left: u64,
}

impl<T: Transport> Connector<T> for BoundedConnector {
    type Out = Bounded<T>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<T>,
    ) -> Result<Option<Bounded<T>>, Error> {
        Ok(chained.map(|inner| Bounded {
            inner,
            limit: self.limit,
            left: self.limit,
        }))
    }
}

impl<T: Transport> Transport for Bounded<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.left = self.limit;
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let before = self.inner.buffers().input().len();
        let is_more = self.inner.await_input(timeout).map_err(plain)?;
        let arrived = self.inner.buffers().input().len().saturating_sub(before);
        match self.left.checked_sub(arrived as u64) {
            Some(left) => self.left = left,
            None => {
                let text = format!("the answer is longer than {} bytes", self.limit);
                return Err(io::Error::new(ErrorKind::InvalidData, text).into());
            }
        }
        Ok(is_more)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    fn is_tls(&self) -> bool {
        self.inner.is_tls()
    }
}

/// The error with a kind that `ureq` does not know: it takes a reset for the orderly end of an answer without
/// a length.
fn plain(error: Error) -> Error {
    match error {
        Error::Io(e) if e.kind() != ErrorKind::TimedOut => io::Error::other(e).into(),
        other => other,
    }
}
