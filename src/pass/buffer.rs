//! Memory for answers that are buffered until they are complete.

use crate::http::{Budget, Share};
use std::{
    mem,
    ops::Deref,
    sync::{Arc, Mutex},
};

/// Most bytes of answers that a host buffers at the same time.
const ANSWERS_MAX_BYTES: usize = 8 << 20;
/// Size from which on an answer needs a large buffer.
const SMALL_BYTES: usize = 128 * 1024;
/// Size of a large buffer: the longest body of an answer, and a read beyond it.
const LARGE_BYTES: usize = (4 << 20) + 64 * 1024;
/// Number of large buffers.
const LARGE_MAX: usize = 4;

/// Memory of a host for complete answers. Large buffers are kept and reused: the allocator retains freed
/// ones for each thread, which adds up over the threads.
#[derive(Debug, Clone)]
pub struct Answers {
    budget: Budget,
    large: Arc<Mutex<Large>>,
}

#[derive(Debug, Default)]
struct Large {
    free: Vec<Vec<u8>>,
    /// Number of buffers, free or not.
    count: usize,
}

/// The bytes of an answer so far.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    share: Share,
    /// Where `bytes` comes from if it is a large buffer.
    large: Option<Arc<Mutex<Large>>>,
    answers: Answers,
}

impl Default for Answers {
    fn default() -> Self {
        Self {
            budget: Budget::new(ANSWERS_MAX_BYTES),
            large: Arc::default(),
        }
    }
}

impl Answers {
    /// Share of the memory, of zero bytes.
    pub fn share(&self) -> Share {
        self.budget.share()
    }

    /// An empty buffer.
    pub fn buffer(&self) -> Buffer {
        Buffer {
            bytes: Vec::new(),
            share: self.share(),
            large: None,
            answers: self.clone(),
        }
    }
}

impl Large {
    fn take(&mut self) -> Option<Vec<u8>> {
        if let Some(bytes) = self.free.pop() {
            return Some(bytes);
        }
        let has_room = self.count < LARGE_MAX;
        self.count += usize::from(has_room);
        has_room.then(|| Vec::with_capacity(LARGE_BYTES))
    }
}

impl Buffer {
    /// The vector to which received bytes are to be appended, before [`fits`](Self::fits) is asked.
    pub fn bytes(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Whether the host has memory for the bytes so far.
    pub fn fits(&mut self) -> bool {
        self.share.grow(self.bytes.len())
            && (self.bytes.len() <= SMALL_BYTES || self.large.is_some() || self.enlarge())
    }

    /// Moves the bytes to a large buffer; `false` if there is none.
    fn enlarge(&mut self) -> bool {
        let large = &self.answers.large;
        let Some(mut bytes) = large.lock().expect("large buffers").take() else {
            return false;
        };
        bytes.extend_from_slice(&self.bytes);
        self.bytes = bytes;
        self.large = Some(large.clone());
        true
    }
}

impl Deref for Buffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        self
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        if let Some(large) = &self.large {
            let mut bytes = mem::take(&mut self.bytes);
            bytes.clear();
            large.lock().expect("large buffers").free.push(bytes);
        }
    }
}
