//! Applies records to the state.

use super::{
    Commit, Counts, Holder, ItemEnd, ItemSpec, Job, PIECES_MAX, Part, PartRef, Piece, Record,
    State, Tombstone, UPLOAD_AGE_MS, Upload,
};
use crate::{
    fold::{Fold, Pos},
    wire::Name,
};
use std::sync::Arc;

impl Fold for State {
    type Record = Record;
    const STREAM: &'static str = "jobs";

    fn group(rec: &Record) -> Option<&str> {
        match rec {
            Record::Piece { upload, .. } => Some(upload),
            Record::Commit(commit) => Some(&commit.upload),
            _ => None,
        }
    }

    fn apply(&mut self, at: Pos, rec: &Record) {
        self.at = at;
        match rec {
            Record::Piece {
                upload,
                index,
                asks: specs,
            } => self.add_piece(upload, *index, specs),
            Record::Commit(commit) => self.commit(at, commit),
            Record::Claim { host, parts } => self.claim(at, host, parts),
            Record::Beat { host } => self.touch_holder(at, host),
            Record::Intents { host, part, items } => {
                self.touch_holder(at, host);
                self.announce(host, part, items);
            }
            Record::Outcomes { host, part, ended } => {
                self.touch_holder(at, host);
                self.end_items(at, host, part, ended);
            }
            Record::Release { host, part, unrun } => {
                self.touch_holder(at, host);
                self.release(at, host, part, unrun);
            }
            Record::Cancel { job } => self.cancel(at, job),
            Record::Delete { job } => self.delete(at, job),
            Record::Tick {
                after,
                millis,
                keep,
            } => self.tick(at, *after, *millis, *keep),
        }
    }
}

impl State {
    fn add_piece(&mut self, id: &Name, index: u32, specs: &[Arc<ItemSpec>]) {
        if index >= PIECES_MAX {
            return;
        }
        let found = self.uploads.binary_search_by(|u| u.id.cmp(id));
        let at = found.unwrap_or_else(|at| {
            let upload = Upload {
                id: id.clone(),
                began: self.clock,
                pieces: Vec::new(),
            };
            self.uploads.insert(at, Arc::new(upload));
            at
        });
        let pieces = &mut Arc::make_mut(&mut self.uploads[at]).pieces;
        if let Err(at) = pieces.binary_search_by_key(&index, |p| p.index) {
            let specs = specs.to_vec();
            pieces.insert(at, Piece { index, specs });
        }
    }

    fn commit(&mut self, at: Pos, commit: &Commit) {
        let Ok(found) = self.uploads.binary_search_by(|u| u.id.cmp(&commit.upload)) else {
            return;
        };
        let taken = self.jobs.binary_search_by(|j| j.id.cmp(&commit.job));
        let (Err(slot), false) = (taken, self.is_deleted(&commit.job)) else {
            self.uploads.remove(found);
            return;
        };
        let pieces = &self.uploads[found].pieces;
        let items: usize = pieces.iter().map(|p| p.specs.len()).sum();
        if pieces.len() != commit.pieces as usize || items != commit.items as usize || items == 0 {
            return;
        }
        let specs: Vec<&Arc<ItemSpec>> = pieces.iter().flat_map(|p| &p.specs).collect();
        let part_size = commit.part_size.max(1);
        let job = Job {
            id: commit.job.clone(),
            workspace: commit.workspace.clone(),
            digest: commit.digest.clone(),
            at,
            cancelled: 0,
            ended: None,
            counts: Counts {
                open: commit.items,
                ..Counts::default()
            },
            part_size,
            parts: specs.chunks(part_size as usize).map(Part::new).collect(),
            finished: Vec::new(),
        };
        self.jobs.insert(slot, Arc::new(job));
        self.uploads.remove(found);
    }

    fn claim(&mut self, at: Pos, host: &Name, parts: &[PartRef]) {
        let clock = self.clock;
        for part in parts {
            let Some(job) = self.job_mut(&part.job) else {
                continue;
            };
            let Some(former) = job.claim(at, host, part, clock) else {
                continue;
            };
            let is_closed = job.parts[part.part as usize].open == 0;
            if let Some(name) = former {
                self.adjust_parts(&name, at, -1);
            }
            if !is_closed {
                self.adjust_parts(host, at, 1);
            }
        }
        self.touch_holder(at, host);
    }

    fn announce(&mut self, host: &Name, part: &PartRef, items: &[u32]) {
        if self.held(host, part).is_none() {
            return;
        }
        if let Some(job) = self.job_mut(&part.job) {
            job.set_intents(part.part, items, true);
        }
    }

    fn end_items(&mut self, at: Pos, host: &Name, part: &PartRef, ended: &[ItemEnd]) {
        if self.held(host, part).is_none() {
            return;
        }
        let clock = self.clock;
        if let Some(job) = self.job_mut(&part.job)
            && job.end_items(part.part, ended, clock)
        {
            self.adjust_parts(host, at, -1);
        }
    }

    fn release(&mut self, at: Pos, host: &Name, part: &PartRef, unrun: &[u32]) {
        if self.held(host, part).is_none() {
            return;
        }
        if let Some(job) = self.job_mut(&part.job) {
            job.set_intents(part.part, unrun, false);
            job.part_mut(part.part).holder = None;
            self.adjust_parts(host, at, -1);
        }
    }

    fn cancel(&mut self, at: Pos, id: &Name) {
        let clock = self.clock;
        let Some(job) = self.job_mut(id) else {
            return;
        };
        if job.counts.open == 0 {
            return;
        }
        let holders = job.cancel(at, clock);
        for host in holders {
            self.adjust_parts(&host, at, -1);
        }
    }

    fn delete(&mut self, at: Pos, id: &Name) {
        let Ok(found) = self.jobs.binary_search_by(|j| j.id.cmp(id)) else {
            return;
        };
        let job = self.jobs.remove(found);
        for host in job.parts.iter().filter_map(|p| p.holder.as_ref()) {
            self.adjust_parts(host, at, -1);
        }
        if let Err(slot) = self.tombstones.binary_search_by(|t| t.id.cmp(id)) {
            let tombstone = Tombstone {
                id: id.clone(),
                clock: self.clock,
            };
            self.tombstones.insert(slot, tombstone);
        }
    }

    fn tick(&mut self, at: Pos, after: Pos, millis: u64, keep: u64) {
        if after != self.last_tick {
            return;
        }
        self.last_tick = at;
        self.clock = self.clock.saturating_add(millis);
        let now = self.clock;
        let is_old = |since: u64, age: u64| now.saturating_sub(since) >= age;
        self.jobs
            .retain(|j| j.ended.is_none_or(|e| !is_old(e, keep)));
        self.tombstones.retain(|t| !is_old(t.clock, keep));
        self.uploads.retain(|u| !is_old(u.began, UPLOAD_AGE_MS));
    }

    /// Sets `at` as the position of the last record of `host`, if it holds parts.
    fn touch_holder(&mut self, at: Pos, host: &Name) {
        if let Ok(found) = self.holders.binary_search_by(|h| h.name.cmp(host)) {
            self.holders[found].last = at;
        }
    }

    fn adjust_parts(&mut self, host: &Name, at: Pos, change: i32) {
        let found = self.holders.binary_search_by(|h| h.name.cmp(host));
        let i = found.unwrap_or_else(|i| {
            let holder = Holder {
                name: host.clone(),
                last: at,
                parts: 0,
            };
            self.holders.insert(i, holder);
            i
        });
        let parts = &mut self.holders[i].parts;
        *parts = parts.saturating_add_signed(change);
        if *parts == 0 {
            self.holders.remove(i);
        }
    }

    fn job_mut(&mut self, id: &Name) -> Option<&mut Job> {
        let found = self.jobs.binary_search_by(|j| j.id.cmp(id)).ok()?;
        self.jobs.get_mut(found).map(Arc::make_mut)
    }
}
