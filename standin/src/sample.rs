//! Inputs of routing decisions, for benchmarks.

use gooseberrytack::{
    gate::SlotRequest,
    route::{Availability, Candidate},
    wire::Class,
};

/// The server number `i`; its load and spare slots differ from those of the next one.
pub fn candidate(i: usize) -> Candidate {
    Candidate {
        name: format!("s{i}").into(),
        is_near: i.is_multiple_of(12),
        load: (i % 7) as f32 / 7.0,
        spare: (i % 5) as i32,
        is_limited: false,
        expected: None,
        is_full: false,
        availability: Availability::Available,
    }
}

/// An online request for a slot.
pub fn slot_request(id: &str) -> SlotRequest {
    SlotRequest {
        id: id.into(),
        holder: "h".into(),
        workspace: "w".into(),
        model: "m".into(),
        adapter: None,
        class: Class::Online,
        cost: 100,
        since: 0,
    }
}
