//! State changes within one job.

use super::{Item, ItemEnd, ItemSpec, ItemState, Job, Outcome, Part, PartRef};
use crate::{fold::Pos, wire::Name};
use std::sync::Arc;

impl Job {
    /// Transfers a part to `host`. Returns the former holder, or `None` if the claim is rejected:
    /// no such part, all items ended, or another epoch than that of `want`.
    pub(super) fn claim(
        &mut self,
        at: Pos,
        host: &Name,
        want: &PartRef,
        clock: u64,
    ) -> Option<Option<Name>> {
        let part = self.parts.get(want.part as usize)?;
        if part.open == 0 || part.epoch != want.epoch {
            return None;
        }
        let part = self.part_mut(want.part);
        let former = part.holder.replace(host.clone());
        part.epoch = at;
        // The former holder may have dispatched the items that it announced.
        let lost: Vec<ItemEnd> = (0..part.items.len() as u32)
            .filter(|i| part.has_intent(*i))
            .map(|index| ItemEnd {
                index,
                outcome: Outcome::Unknown,
            })
            .collect();
        self.end_items(want.part, &lost, clock);
        Some(former)
    }

    /// Ends open items of `part`. Returns whether the part's last open item ended.
    pub(super) fn end_items(&mut self, part: u32, ended: &[ItemEnd], clock: u64) -> bool {
        let mut ends = Vec::with_capacity(ended.len());
        let target = self.part_mut(part);
        for end in ended {
            if target.is_open(end.index) {
                target.items[end.index as usize].state = ItemState::Ended(end.outcome.clone());
                target.open -= 1;
                ends.push(end);
            }
        }
        let is_closed = target.open == 0 && !ends.is_empty();
        if is_closed {
            target.holder = None;
        }
        ends.iter().for_each(|end| self.counts.end(&end.outcome));
        let first = part * self.part_size.max(1);
        let is_result = |o: &Outcome| matches!(o, Outcome::Done { .. } | Outcome::Failed { .. });
        let results = ends.iter().filter(|end| is_result(&end.outcome));
        self.finished.extend(results.map(|end| first + end.index));
        if is_closed && self.counts.open == 0 {
            self.ended = Some(clock);
        }
        is_closed
    }

    /// Marks open items of `part` as announced or not.
    pub(super) fn set_intents(&mut self, part: u32, items: &[u32], is_announced: bool) {
        let part = self.part_mut(part);
        for i in items {
            if let Some(item) = part.items.get_mut(*i as usize)
                && let ItemState::Open { intent, .. } = &mut item.state
            {
                *intent = is_announced;
            }
        }
    }

    /// Cancels every open item. Returns the former holder of each part that was held.
    pub(super) fn cancel(&mut self, at: Pos, clock: u64) -> Vec<Name> {
        self.cancelled = at;
        self.ended = Some(clock);
        let mut holders = Vec::new();
        for part in self.parts.iter_mut().filter(|p| p.open > 0) {
            let part = Arc::make_mut(part);
            holders.extend(part.holder.take());
            part.open = 0;
            for item in &mut part.items {
                if matches!(item.state, ItemState::Open { .. }) {
                    item.state = ItemState::Ended(Outcome::Cancelled);
                    self.counts.end(&Outcome::Cancelled);
                }
            }
        }
        holders
    }

    /// Mutable access to part `index`, which must exist.
    pub(super) fn part_mut(&mut self, index: u32) -> &mut Part {
        Arc::make_mut(&mut self.parts[index as usize])
    }
}

impl Part {
    /// Creates a part without a holder.
    pub(super) fn new(specs: &[&Arc<ItemSpec>]) -> Arc<Self> {
        let items = specs.iter().map(|spec| Item {
            id: spec.id.clone(),
            state: ItemState::Open {
                ask: (*spec).clone(),
                intent: false,
            },
        });
        Arc::new(Self {
            epoch: 0,
            holder: None,
            open: specs.len() as u32,
            items: items.collect(),
        })
    }
}
