//! The call between borrowers and lenders, and how a lender answers it.

use super::{Lending, LoanRequest, PROOF_MAX, Place, Record, Report, Slot, place, share};
use crate::{
    clock::Time,
    config::Workspace,
    kernel::{Call, Host},
    member::is_same_host,
    timeline::Happening,
    wire::Name,
};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Time after which a claim that did not appear in the log is repeated.
const CLAIM_RETRY: Duration = Duration::from_secs(1);

/// Asks the host that holds a slot, or should claim it, for a loan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Borrow {
    /// Workspace whose tokens are lent.
    pub workspace: Name,
    /// Number of the slot.
    pub slot: u32,
    /// Borrowing host.
    pub host: Name,
    /// Number of the loan at the borrowing host.
    pub seq: u64,
    /// Tokens that waiting requests need now.
    pub need: u32,
    /// Tokens wanted: `need`, and those borrowed ahead of demand.
    pub want: u32,
    /// Reports of the earlier loans from the slot.
    pub reports: Vec<Report>,
}

impl Call for Borrow {
    type Reply = Lending;
    const PATH: &'static str = "/peer/limit/borrow";
}

/// Answers a loan request from the slots of this host, and claims the slot if this host does not
/// hold it but should.
pub(super) fn lend_local(host: &Arc<Host>, ask: &Borrow) -> Lending {
    let Some(workspace) = host.config.view(|s| s.workspace(&ask.workspace).cloned()) else {
        return Lending::NotHeld;
    };
    let slot = sync(host, &workspace, ask.slot);
    if slot.host.as_ref() != Some(&host.me.name) {
        claim(host, &workspace, ask.slot, &slot);
        return Lending::NotHeld;
    }
    let request = LoanRequest {
        workspace: &ask.workspace,
        slot: ask.slot,
        host: &ask.host,
        seq: ask.seq,
        need: ask.need,
        want: ask.want,
        reports: &ask.reports,
    };
    let mut lender = host.limits.lender.lock().expect("lender");
    lender.lend(&request, host.now())
}

/// Updates the lender from the log's state of one slot, and returns that state.
pub(super) fn sync(host: &Host, workspace: &Workspace, number: u32) -> Slot {
    // Take the time of the last read before the state, so that the state is at least as new.
    let fresh = host.homes.progress().caught_up;
    let slot = host.homes.view(|h| h.slot(&workspace.name, number));
    let is_mine = slot.host.as_ref() == Some(&host.me.name);
    let declared = share(&host.limits.division(host, workspace).lent, number);
    let mut lender = host.limits.lender.lock().expect("lender");
    if let Some(began) = fresh {
        lender.proof.note_log_read(began);
    }
    if let Some(began) = host.members.announced() {
        lender.proof.note_announced(began);
    }
    let name = &workspace.name;
    let is_new = lender.sync(name, number, &slot, is_mine, declared, host.now());
    drop(lender);
    if is_new {
        let note = format!("slot={number}");
        host.timeline
            .note(Happening::ShareMoved, name, Some(slot.epoch), &note);
    }
    slot
}

/// Claims a slot without a live holder if this host should take it.
pub(super) fn claim(host: &Host, workspace: &Workspace, number: u32, slot: &Slot) {
    let now = host.now();
    let is_restart = slot
        .host
        .as_ref()
        .is_some_and(|holder| is_same_host(holder, &host.me.name));
    let is_free = slot
        .host
        .as_ref()
        .is_none_or(|holder| is_restart || host.members.is_gone(holder, now));
    let read = host.homes.progress().caught_up;
    let is_fresh = read.is_some_and(|f| now.saturating_sub(f) < PROOF_MAX);
    if !is_free || !is_fresh || host.is_stopping() {
        return;
    }
    if !is_restart && !is_assigned(host, workspace, number) {
        return;
    }
    if host.limits.note_claim(workspace, number, slot.epoch, now) {
        host.homes.submit(&Record::Claim {
            workspace: workspace.name.clone(),
            slot: number,
            host: host.me.name.clone(),
            replaces: slot.epoch,
            burst: workspace.burst,
        });
    }
}

fn is_assigned(host: &Host, workspace: &Workspace, number: u32) -> bool {
    let ring = host.members.ring();
    let places = host
        .homes
        .view(|h| place(&ring, workspace, h.slots(&workspace.name)));
    let place = places.get(number as usize);
    matches!(place, Some(Place::Vacant(p)) if p.name == host.me.name)
}

/// A claim made by this host within `CLAIM_RETRY`.
#[derive(Debug, Clone)]
pub(super) struct RecentClaim {
    workspace: Name,
    slot: u32,
    epoch: u64,
    at: Time,
}

impl super::Limits {
    /// Records a claim; `false` if the same one was made within `CLAIM_RETRY`.
    fn note_claim(&self, workspace: &Workspace, slot: u32, epoch: u64, now: Time) -> bool {
        let mut claims = self.claims.lock().expect("claims");
        claims.retain(|c| now.saturating_sub(c.at) < CLAIM_RETRY);
        let known = claims
            .iter()
            .any(|c| c.slot == slot && c.epoch == epoch && c.workspace == workspace.name);
        if !known {
            claims.push(RecentClaim {
                workspace: workspace.name.clone(),
                slot,
                epoch,
                at: now,
            });
        }
        !known
    }
}
