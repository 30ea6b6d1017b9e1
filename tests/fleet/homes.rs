//! The periodic work of a simulated host: list, log, slots.

use super::*;

impl Fleet {
    pub(super) fn tick(&mut self, i: usize) {
        if !self.active(|f| matches!(f, Fault::CutList(j) if *j == i)) {
            self.use_list(i);
        }
        if !self.log_cut(i) {
            let began = self.now;
            let start = self.nodes[i].start;
            let late = self.rng.random_range(1_000..100_000);
            self.push(
                began + late,
                Event::ReadDone(i, start, began, self.log.len()),
            );
        }
    }

    pub(super) fn use_list(&mut self, i: usize) {
        let node = &self.nodes[i];
        let standing = if node.stopping {
            HostStatus::Leaving
        } else {
            HostStatus::Live
        };
        let listed = Listed {
            peer: node.peer.clone(),
            status: standing,
            announced: 0,
        };
        self.listed
            .insert(node.peer.name.to_string(), (listed, self.now));
        let now = self.local(i);
        let shown = self.frozen.clone().unwrap_or_else(|| self.list_now());
        self.history.push((self.now, shown));
        let due = self.now.saturating_sub(self.lag);
        let at = self.history.partition_point(|(t, _)| *t <= due).max(1) - 1;
        let node = &mut self.nodes[i];
        node.announced = Some(now);
        node.list.read(&self.history[at].1, now);
        if node.list.seen(&node.peer.name).is_none() {
            node.lender.proof.missing(now);
        }
        if at > 5000 {
            self.history.drain(..at);
        }
    }

    /// A read of the log that began at `began` and saw `head` records.
    pub(super) fn read_done(&mut self, i: usize, began: Micros, head: usize) {
        let passed = Duration::from_micros(self.now - began);
        let now = self.local(i);
        let node = &mut self.nodes[i];
        while node.next < head {
            node.homes
                .apply(pos(node.next as u64, 0), &self.log[node.next]);
            node.next += 1;
        }
        node.fresh = Some(now.saturating_sub(passed * 1001 / 1000));
        if node.stopping {
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

    /// Gives up misplaced slots; some of the releases are lost and written again later.
    pub(super) fn give_up(&mut self, i: usize, w: usize) {
        let now = self.local(i);
        let node = &self.nodes[i];
        let ring = Ring::new(node.list.live(&node.peer, false));
        let mut workspace = self.workspaces[w].clone();
        if self.policy != Policy::Escrow {
            workspace.burst = 1;
        }
        let held = node.homes.slots(&workspace.name);
        let numbers = misplaced(&ring, &workspace, held, &node.peer.name);
        let node = &mut self.nodes[i];
        for number in numbers {
            node.lender.give_up(&workspace.name, number, now);
        }
        let homes = &node.homes;
        let due = node.lender.due(now, |record| match record {
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
            self.nodes[i].lender.written(&record, &outcome);
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
        let node = &self.nodes[i];
        let ring = Ring::new(node.list.live(&node.peer, node.stopping));
        let mut workspace = self.workspaces[w].clone();
        if self.policy != Policy::Escrow {
            workspace.burst = 1;
        }
        place(&ring, &workspace, node.homes.slots(&workspace.name))
    }

    pub(super) fn sync(&mut self, i: usize, w: usize, s: u32) -> bool {
        let now = self.local(i);
        let share = self.share(w, s);
        let node = &mut self.nodes[i];
        let slot = node.homes.slot(&self.workspaces[w].name, s);
        let mine = slot.host.as_ref() == Some(&node.peer.name);
        if let Some(fresh) = node.fresh {
            node.lender.proof.log(fresh);
        }
        if let Some(at) = node.announced {
            node.lender.proof.announced(at);
        }
        node.lender
            .sync(&self.workspaces[w].name, s, &slot, mine, share, now);
        mine
    }

    pub(super) fn claim(&mut self, i: usize, w: usize, s: u32) {
        let now = self.local(i);
        let node = &mut self.nodes[i];
        let slot = node.homes.slot(&self.workspaces[w].name, s);
        let list = &mut node.list;
        let mut gone = |h: &str| list.gone_for(h, now).is_some_and(|g| g >= HOLD);
        let free = slot.host.as_ref().is_none_or(|h| gone(h));
        if !free || self.log_cut(i) {
            return;
        }
        let place = self.places(i, w).get(s as usize).cloned();
        let node = &self.nodes[i];
        if matches!(place, Some(Place::Vacant(p)) if p.name == node.peer.name) {
            let workspace = &self.workspaces[w];
            self.log.push(Record::Claim {
                workspace: workspace.name.clone(),
                slot: s,
                host: node.peer.name.clone(),
                replaces: slot.epoch,
                burst: workspace.burst,
            });
        }
    }
}
