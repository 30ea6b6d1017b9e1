//! Begin, end and effects of faults.

use super::*;

impl Fleet {
    pub(super) fn begin(&mut self, f: usize) {
        self.faults[f].1 = true;
        match self.faults[f].0.clone() {
            Fault::Lose(i) => self.hosts[i].up = false,
            Fault::Stop(i) => {
                let now = self.local(i);
                self.hosts[i].stopping = true;
                let records = self.hosts[i].lender.release_all(now);
                if !self.log_cut(i) {
                    self.log.extend(records);
                }
                let name = self.hosts[i].peer.name.to_string();
                if let Some(entry) = self.listed.get_mut(&name) {
                    entry.0.status = HostStatus::Leaving;
                }
            }
            Fault::ListFrozen => self.frozen = Some(self.list_now()),
            Fault::Pause(i) => self.hosts[i].paused = Micros::MAX,
            _ => {}
        }
    }

    pub(super) fn end(&mut self, f: usize) {
        self.faults[f].1 = false;
        match self.faults[f].0.clone() {
            Fault::Lose(i) | Fault::Stop(i) => {
                self.hosts[i] = self.start_host(i);
                self.push(self.now, Event::Tick(i, self.hosts[i].start));
            }
            Fault::ListFrozen => self.frozen = None,
            Fault::Pause(i) => {
                self.hosts[i].paused = 0;
                let late: Vec<_> = std::mem::take(&mut self.queue).into_vec();
                for Reverse((at, n, event)) in late {
                    let at = if at == Micros::MAX { self.now } else { at };
                    self.queue.push(Reverse((at, n, event)));
                }
            }
            _ => {}
        }
    }

    pub(super) fn log_cut(&self, i: usize) -> bool {
        self.active(|f| matches!(f, Fault::LogDown) || matches!(f, Fault::CutLog(j) if *j == i))
    }

    pub(super) fn list_now(&self) -> Vec<Listed> {
        let live = self
            .listed
            .values()
            .filter(|(_, at)| at + LIST_TTL > self.now);
        live.map(|(l, _)| l.clone()).collect()
    }
}
