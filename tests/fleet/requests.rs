//! Requests at a simulated host and the loans that they cause.

use super::*;

impl Fleet {
    pub(super) fn step(&mut self, i: usize, start: u64, w: usize, end: Micros) {
        if self.policy == Policy::Static {
            return self.spend_static(i, w);
        }
        let (now, arrived) = (self.local(i), self.now);
        let mut workspace = self.workspaces[w].clone();
        if self.policy == Policy::Owner {
            workspace.burst = 1;
        }
        let (balance, waiting) = self.balance(i, w);
        let waited = Duration::from_micros(arrived - (end - PATIENCE));
        let step = balance.step(&workspace, *waiting, now.saturating_sub(waited), now);
        match step {
            Step::Spend(token) => {
                let wait = self.rng.random_range(0..=self.hold_max);
                let until = token.until.as_micros() as u64;
                let waited = self.now - (end - PATIENCE);
                self.tallies[w].slowest = self.tallies[w].slowest.max(waited);
                self.push(
                    self.now + wait,
                    Event::Confirm(i, start, w, token.seq, until),
                );
            }
            Step::Ask(mut ask) => {
                if self.policy == Policy::Owner {
                    ask.need = 1;
                    ask.want = 1;
                }
                self.send_ask(i, w, ask);
                self.balance(i, w).1 += 1;
                self.push(self.now + 5_000, Event::Retry(i, start, w, end));
            }
            Step::Later(span) => {
                self.balance(i, w).1 += 1;
                let span = span.as_micros() as u64;
                self.push(self.now + span, Event::Retry(i, start, w, end));
            }
            Step::Refuse { sure, .. } if sure || self.now >= end => {
                self.tallies[w].refused += 1;
                self.tallies[w].refused_at.push(end - PATIENCE);
            }
            Step::Refuse { .. } | Step::Wait => {
                self.balance(i, w).1 += 1;
                self.push(self.now + 5_000, Event::Retry(i, start, w, end));
            }
        }
    }

    pub(super) fn spend_static(&mut self, i: usize, w: usize) {
        let now = self.local(i);
        let hosts = self.hosts.len() as u32;
        let workspace = &self.workspaces[w];
        let burst = workspace.burst / hosts + u32::from((i as u32) < workspace.burst % hosts);
        let share = Share {
            rate: u64::from(workspace.rate) * 999_000 / u64::from(hosts),
            burst,
        };
        let host = &mut self.hosts[i];
        let bucket = host
            .buckets
            .entry(w)
            .or_insert_with(|| gooseberrytack::limit::Bucket::new(share, burst, now, now));
        let (count, _) = bucket.lend(&host.peer.name, self.count, (1, 1), now);
        bucket.report(&host.peer.name, self.count, 1, 0, now);
        self.count += 1;
        if count == 1 {
            self.tallies[w].sent.push(self.now);
        } else {
            self.tallies[w].refused += 1;
        }
    }

    pub(super) fn send_ask(&mut self, i: usize, w: usize, ask: Ask) {
        let place = self.places(i, w).get(ask.slot as usize).cloned();
        let start = self.hosts[i].start;
        self.asks.push((i, start, w, ask, None));
        let id = self.asks.len() - 1;
        let Some(Place::Held(peer) | Place::Vacant(peer)) = place else {
            return self.push(self.now + 1_000, Event::Answered(i, id));
        };
        let to = self.hosts.iter().position(|n| n.peer.name == peer.name);
        let limit = self.now + 300_000;
        match to {
            Some(to) if to == i => self.asked(i, to, id),
            Some(to) if self.reaches(i, to) => {
                self.messages += 2;
                let at = self.now + self.latency();
                self.push(at, Event::Asked(i, to, id));
                self.push(limit, Event::Answered(i, id));
            }
            _ => self.push(limit, Event::Answered(i, id)),
        }
    }

    fn report_used(&mut self, i: usize, w: usize) {
        let now = self.local(i);
        for slot in self.balance(i, w).0.unreported(now) {
            let ask = self.balance(i, w).0.report_used(slot, now);
            let (lost, doubled) = (self.draw_report_fault(), self.draw_report_fault());
            self.faulty_reports.0 += u64::from(lost);
            self.faulty_reports.1 += u64::from(doubled && !lost);
            if lost {
                continue;
            }
            if doubled {
                self.send_ask(i, w, ask.clone());
            }
            self.send_ask(i, w, ask);
        }
    }

    fn draw_report_fault(&mut self) -> bool {
        self.report_faults > 0 && self.rng.random_range(0..100) < self.report_faults
    }

    pub(super) fn reaches(&self, a: usize, b: usize) -> bool {
        !self.active(|f| matches!(f, Fault::CutPeers(j) if *j == a || *j == b))
    }

    pub(super) fn latency(&mut self) -> Micros {
        let slow = self.faults.iter().filter_map(|(f, on)| match f {
            Fault::Slow(most) if *on => Some(*most),
            _ => None,
        });
        let most = slow.max().unwrap_or(3_000);
        self.rng.random_range(500..most.max(501))
    }

    pub(super) fn asked(&mut self, i: usize, to: usize, id: usize) {
        let (_, start, w, ask, _) = self.asks[id].clone();
        self.sync(to, w, ask.slot);
        let now = self.local(to);
        let host = self.hosts[i].peer.name.clone();
        let request = LoanRequest {
            workspace: &self.workspaces[w].name,
            slot: ask.slot,
            host: &host,
            seq: ask.seq,
            need: ask.need,
            want: ask.want,
            reports: &ask.reports,
        };
        if self.hosts[i].start != start {
            return;
        }
        let lender = &mut self.hosts[to].lender;
        lender.report_used = self.report_used;
        let lending = lender.lend(&request, now);
        let lost = self.faults.iter().filter_map(|(f, on)| match f {
            Fault::Lossy(p) if *on => Some(*p),
            _ => None,
        });
        let lost = lost.max().unwrap_or(0);
        if to != i && (!self.reaches(i, to) || self.rng.random_range(0..100) < lost) {
            return;
        }
        self.asks[id].4 = Some(lending);
        let late = if to == i { 0 } else { self.latency() };
        self.push(self.now + late, Event::Answered(i, id));
    }

    pub(super) fn answered(&mut self, i: usize, id: usize) {
        let now = self.local(i);
        let (_, _, w, ask, lending) = self.asks[id].clone();
        // The first answer counts, even if it is the time-out.
        if ask.seq == u64::MAX {
            return;
        }
        self.asks[id].3.seq = u64::MAX;
        let (balance, _) = self.balance(i, w);
        balance.answer(&ask, lending, now);
    }

    pub(super) fn confirm(&mut self, i: usize, w: usize, seq: u64, until: Micros) {
        let now = self.local(i);
        let token = Token {
            seq,
            until: Duration::from_micros(until),
        };
        let (balance, _) = self.balance(i, w);
        if balance.confirm(token, now) {
            if self.report_used {
                self.report_used(i, w);
            }
            self.tallies[w].sent.push(self.now);
            return;
        }
        balance.put_back(token);
        let start = self.hosts[i].start;
        self.step(i, start, w, self.now + PATIENCE);
    }
}
