//! Messages between hosts and gates.

use crate::{peer, size, workspace};
use gooseberrytack::{
    gate::{
        Acquire, Admission, Counts, CountsReply, HeldSlot, Release, ReleasedSlot, Renew,
        SlotRequest, Verdict,
    },
    share::Tag,
    wire::{Class, Name},
};
use std::time::Duration;

/// HTTP heads of a request and its answer in bytes, as for loans.
const HEADS: usize = 98 + 58;

/// A virtual time of some months.
const TAG: Tag = 1 << 45;

/// Sizes of a grant, a release and a renewal of one slot, with their answers.
pub fn sizes() {
    println!("\n| message | request bytes | answer bytes | with HTTP |");
    println!("|---|---|---|---|");
    let server: Name = "server-0001".into();
    let ask = SlotRequest {
        id: "host-00001.00000000/0000001.1".into(),
        holder: peer(1).name,
        workspace: workspace(1).name,
        model: "model".into(),
        adapter: None,
        class: Class::Online,
        cost: 360,
        since: 0,
    };
    let counts = Counts {
        online: 60,
        slots: 100,
        ..Counts::default()
    };
    let acquire = Acquire {
        server: server.clone(),
        request: ask.clone(),
        served: TAG,
        wait: Duration::from_millis(500),
        force: false,
    };
    let answer = Admission::Answered {
        verdict: Verdict::Granted,
        counts,
        level: TAG,
    };
    let noted = CountsReply {
        counts: vec![counts],
    };
    let done = ReleasedSlot {
        server: server.clone(),
        id: ask.id.clone(),
        used: 360,
    };
    let release = Release { slots: vec![done] };
    let renew = Renew {
        slots: vec![HeldSlot {
            server,
            request: ask,
        }],
    };
    row("grant", size(&acquire), size(&answer));
    row("release", size(&release), size(&noted));
    row("renewal", size(&renew), size(&noted));
}

fn row(what: &str, request: usize, answer: usize) {
    println!(
        "| {what} | {request} | {answer} | {} |",
        request + answer + HEADS
    );
}
