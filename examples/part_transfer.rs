//! Compares ways to move batch work from an owner that is behind, on a simulated clock.
//!
//! `even`: the parts of a job are assigned once. `claim`: an owner claims the next part when it has
//! none. `small`: as `claim`, with parts of a 64th of the job, within bounds. `two_phase`: as
//! `claim`, and once no part is left, an owner without work first takes items from the one that is
//! furthest behind until both have the same time to go, then both keep the rest in proportion to
//! their rates (Reshape, section 4: catch up, then split by predicted rate); each move costs a
//! record in the log.
//!
//! Prints for each case the time until the job is complete over the ideal time, and the records.

/// Items in a part.
const PART_ITEMS: u64 = 500;
/// Fewest items in a part that is cut by the size of its job.
const PART_MIN_ITEMS: u64 = 20;
/// Step of the simulated clock.
const STEP_MS: u64 = 10;
/// Delay of a claim or a move through the log.
const CLAIM_DELAY_MS: u64 = 100;
/// Fewest items worth a move.
const MOVE_MIN_ITEMS: u64 = 10;

/// How work moves between owners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    Even,
    Claim,
    Small,
    TwoPhase,
}

/// An owner of parts.
#[derive(Debug, Clone, Copy, Default)]
struct Owner {
    /// Items a second.
    rate: u64,
    /// Items left, in thousandths.
    left: u64,
    /// Time until which it waits for the log, in milliseconds.
    busy: u64,
}

/// What a run took.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    /// Time over the ideal time.
    ratio: f64,
    /// Records of claims and moves.
    records: u64,
}

fn main() {
    println!("rates\titems\tway\ttime_over_ideal\trecords");
    for (name, slow) in [("equal", 100), ("one_at_half", 50), ("one_at_tenth", 10)] {
        for items in [10_000, 190_000] {
            for way in [
                Strategy::Even,
                Strategy::Claim,
                Strategy::Small,
                Strategy::TwoPhase,
            ] {
                let out = run(way, slow, items);
                println!(
                    "{name}\t{items}\t{way:?}\t{:.3}\t{}",
                    out.ratio, out.records
                );
            }
        }
    }
}

/// Ten owners at 100 items a second, the first at `slow`.
fn run(way: Strategy, slow: u64, items: u64) -> Outcome {
    let mut owners = [Owner {
        rate: 100,
        ..Owner::default()
    }; 10];
    owners[0].rate = slow;
    let part = if way == Strategy::Small {
        (items / 64).clamp(PART_MIN_ITEMS, PART_ITEMS)
    } else {
        PART_ITEMS
    };
    let mut parts = items.div_ceil(part);
    let mut records = 0;
    if way == Strategy::Even {
        let share = items * 1000 / owners.len() as u64;
        owners.iter_mut().for_each(|o| o.left = share);
        records = parts;
        parts = 0;
    }
    let mut now = 0;
    while parts > 0 || owners.iter().any(|o| o.left > 0) {
        for i in 0..owners.len() {
            if owners[i].left > 0 || owners[i].busy > now {
                continue;
            }
            if parts > 0 {
                parts -= 1;
                records += 1;
                owners[i].left = part * 1000;
                owners[i].busy = now + CLAIM_DELAY_MS;
            } else if way == Strategy::TwoPhase && take_over(&mut owners, i, now) {
                records += 1;
            }
        }
        for owner in owners.iter_mut().filter(|o| o.busy <= now) {
            owner.left = owner.left.saturating_sub(owner.rate * STEP_MS);
        }
        now += STEP_MS;
    }
    let rate: u64 = owners.iter().map(|o| o.rate).sum();
    Outcome {
        ratio: now as f64 * rate as f64 / (items as f64 * 1000.0),
        records,
    }
}

/// Moves items from the owner that is furthest behind to `to`, in proportion to their rates.
fn take_over(owners: &mut [Owner], to: usize, now: u64) -> bool {
    let behind = (0..owners.len()).max_by_key(|i| owners[*i].left / owners[*i].rate);
    let Some(from) = behind.filter(|i| *i != to) else {
        return false;
    };
    let share = owners[from].left * owners[to].rate / (owners[from].rate + owners[to].rate);
    if share < MOVE_MIN_ITEMS * 1000 {
        return false;
    }
    owners[from].left -= share;
    owners[to].left = share;
    owners[to].busy = now + CLAIM_DELAY_MS;
    true
}
