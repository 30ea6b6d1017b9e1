//! Periodic tasks of a simulated host: list, log and slots.

use super::*;

impl Fleet {
    pub(super) fn tick(&mut self, i: usize) {
        if !self.active(|f| matches!(f, Fault::CutList(j) if *j == i)) {
            self.use_list(i);
        }
        if !self.log_cut(i) {
            let began = self.now;
            let start = self.hosts[i].start;
            let late = self.rng.random_range(1_000..100_000);
            self.push(
                began + late,
                Event::ReadDone(i, start, began, self.log.len()),
            );
        }
    }

    pub(super) fn use_list(&mut self, i: usize) {
        let host = &self.hosts[i];
        let standing = if host.stopping {
            HostStatus::Leaving
        } else {
            HostStatus::Live
        };
        let listed = Listed {
            peer: host.peer.clone(),
            status: standing,
            announced: 0,
        };
        self.listed
            .insert(host.peer.name.to_string(), (listed, self.now));
        let now = self.local(i);
        let shown = self.frozen.clone().unwrap_or_else(|| self.list_now());
        self.history.push((self.now, shown));
        let due = self.now.saturating_sub(self.lag);
        let at = self.history.partition_point(|(t, _)| *t <= due).max(1) - 1;
        let host = &mut self.hosts[i];
        host.announced = Some(now);
        host.list.read(&self.history[at].1, now);
        if host.list.seen(&host.peer.name).is_none() {
            host.lender.proof.note_unlisted(now);
        }
        if at > 5000 {
            self.history.drain(..at);
        }
    }

    /// A read of the log that began at `began` and saw `head` records.
    pub(super) fn read_done(&mut self, i: usize, began: Micros, head: usize) {
        let passed = Duration::from_micros(self.now - began);
        let now = self.local(i);
        let host = &mut self.hosts[i];
        while host.next < head {
            host.homes
                .apply(pos(host.next as u64, 0), &self.log[host.next]);
            host.next += 1;
        }
        host.fresh = Some(now.saturating_sub(passed * 1001 / 1000));
        if host.stopping {
            return;
        }
        for w in 0..self.workspaces.len() {
            self.give_up(i, w);
            for s in 0..self.slots(w) {
                self.sync(i, w, s);
                self.claim(i, w, s);
            }
        }
    }

    /// Releases misplaced slots; some releases are lost and written again later.
    pub(super) fn give_up(&mut self, i: usize, w: usize) {
        let now = self.local(i);
        let host = &self.hosts[i];
        let ring = Ring::new(host.list.live(&host.peer, false));
        let mut workspace = self.workspaces[w].clone();
        if self.policy != Policy::Escrow {
            workspace.burst = 1;
        }
        let held = host.homes.slots(&workspace.name);
        let numbers = misplaced(&ring, &workspace, held, &host.peer.name);
        let host = &mut self.hosts[i];
        for number in numbers {
            host.lender.release_one(&workspace.name, number, now);
        }
        let homes = &host.homes;
        let due = host.lender.releases_due(now, |record| match record {
            Record::Release {
                workspace,
                slot,
                epoch,
                ..
            } => homes.slot(workspace, *slot).epoch == *epoch,
            Record::Claim { .. } => false,
        });
        for record in due {
            let outcome = match self.rng.random_range(0..4) {
                0 => AppendOutcome::NotTaken,
                _ if self.log_cut(i) => AppendOutcome::NotTaken,
                1 => AppendOutcome::Unknown,
                _ => {
                    self.log.push(record.clone());
                    AppendOutcome::Taken(pos(self.log.len() as u64, 0))
                }
            };
            self.hosts[i].lender.note_written(&record, &outcome);
        }
    }

    pub(super) fn slots(&self, w: usize) -> u32 {
        match self.policy {
            Policy::Escrow => slots(self.workspaces[w].burst),
            _ => 1,
        }
    }

    pub(super) fn share(&self, w: usize, s: u32) -> Share {
        let workspace = &self.workspaces[w];
        match self.policy {
            Policy::Escrow => share(workspace, s),
            _ => Share {
                rate: u64::from(workspace.rate) * 999_000,
                burst: workspace.burst,
            },
        }
    }

    pub(super) fn places(&self, i: usize, w: usize) -> Vec<Place> {
        let host = &self.hosts[i];
        let ring = Ring::new(host.list.live(&host.peer, host.stopping));
        let mut workspace = self.workspaces[w].clone();
        if self.policy != Policy::Escrow {
            workspace.burst = 1;
        }
        place(&ring, &workspace, host.homes.slots(&workspace.name))
    }

    pub(super) fn sync(&mut self, i: usize, w: usize, s: u32) -> bool {
        let now = self.local(i);
        let share = self.share(w, s);
        let host = &mut self.hosts[i];
        let slot = host.homes.slot(&self.workspaces[w].name, s);
        let mine = slot.host.as_ref() == Some(&host.peer.name);
        if let Some(fresh) = host.fresh {
            host.lender.proof.note_log_read(fresh);
        }
        if let Some(at) = host.announced {
            host.lender.proof.note_announced(at);
        }
        host.lender
            .sync(&self.workspaces[w].name, s, &slot, mine, share, now);
        mine
    }

    pub(super) fn claim(&mut self, i: usize, w: usize, s: u32) {
        let now = self.local(i);
        let host = &mut self.hosts[i];
        let slot = host.homes.slot(&self.workspaces[w].name, s);
        let list = &mut host.list;
        let mut gone = |h: &str| list.gone_for(h, now).is_some_and(|g| g >= HOLD);
        let free = slot.host.as_ref().is_none_or(|h| gone(h));
        if !free || self.log_cut(i) {
            return;
        }
        let place = self.places(i, w).get(s as usize).cloned();
        let host = &self.hosts[i];
        if matches!(place, Some(Place::Vacant(p)) if p.name == host.peer.name) {
            let workspace = &self.workspaces[w];
            self.log.push(Record::Claim {
                workspace: workspace.name.clone(),
                slot: s,
                host: host.peer.name.clone(),
                replaces: slot.epoch,
                burst: workspace.burst,
            });
        }
    }
}
