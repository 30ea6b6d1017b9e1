//! Keeps a stream on the software version that began it.
//!
//! What backend servers of two software versions write does not fit together, and the servers do not check it. A
//! stream that lost its server goes on within its answer only at servers of the same version, as `route`
//! sees to. A caller may also resume a stream that was cut, at any host. So while several versions of a
//! service are in use, the version of each new stream is recorded in the log before its caller gets the
//! first event, and every host finds it there, also after the loss of all hosts.
//!
//! While only one version is in use, the log has that version, but no streams: a stream without a record has
//! that version. When a second one comes, each host records the streams that it began lately, and gates those of
//! hosts that did not.

mod begun;
mod decide;
mod granted;
mod origins;
mod peers;
mod resolve;
mod versions;

pub use begun::{Begun, Stream};
pub use decide::{Evidence, Origin, decide};
pub use origins::{Origins, Record, Recorded};
pub use peers::{Beginning, Testimony, VersionsCall, VersionsReply, sum_up};
pub use versions::{RESUME_MAX, Usage, Versions};

use crate::clock::Time;
use granted::{GrantedStreams, Joined};
use std::sync::{Mutex, MutexGuard};

/// What one host knows of the versions of streams, besides the folded log.
#[derive(Debug, Default)]
pub struct Resume {
    versions: Mutex<Versions>,
    begun: Mutex<Begun>,
    /// Streams that began at other hosts, with slots that this one granted.
    granted: Mutex<GrantedStreams>,
    /// Services that a version joined whose granted streams are to be compared with the records.
    joined: Mutex<Vec<Joined>>,
    /// When a record last was not appended in time.
    unrecorded: Mutex<Option<Time>>,
}

impl Resume {
    fn versions(&self) -> MutexGuard<'_, Versions> {
        self.versions.lock().expect("software versions")
    }

    fn begun(&self) -> MutexGuard<'_, Begun> {
        self.begun.lock().expect("begun streams")
    }

    fn granted(&self) -> MutexGuard<'_, GrantedStreams> {
        self.granted.lock().expect("granted streams")
    }

    fn joined(&self) -> MutexGuard<'_, Vec<Joined>> {
        self.joined.lock().expect("joined versions")
    }

    fn unrecorded(&self) -> MutexGuard<'_, Option<Time>> {
        self.unrecorded.lock().expect("missing records")
    }
}
