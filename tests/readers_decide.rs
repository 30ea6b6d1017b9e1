//! Which connections are closed for slow readers. A host with less memory than its callers leave unread must
//! not run out of it, and callers that read must not pay for those that do not.

use gooseberrytack::http::{Closed, Readers, Slow};
use proptest::prelude::*;
use std::time::Duration;

const KB: usize = 1024;
const LONG: Duration = Duration::from_secs(3600);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ids(closed: &[Closed]) -> Vec<u64> {
    closed.iter().map(|c| c.id).collect()
}

/// Most time that one write waits.
const WRITE_MS: u64 = 250;

/// Records writes that waited for `total` together and of which the reader took nothing.
fn wait(readers: &mut Readers, id: u64, total: u64) {
    for start in (0..total).step_by(WRITE_MS as usize) {
        readers.take(id, 0, ms(WRITE_MS.min(total - start)));
    }
}

#[test]
fn close_silent_reader_below_bound() {
    let mut readers = Readers::new(1000 * KB);
    let silent = readers.add(KB, ms(4000));
    let other = readers.add(KB, ms(4000));
    wait(&mut readers, other, 3000);
    readers.take(other, 1, ms(0));
    wait(&mut readers, other, 1000);
    wait(&mut readers, silent, 3999);
    assert!(readers.close(silent).is_empty());
    readers.take(silent, 0, ms(1));
    let closed = readers.close(silent);
    assert_eq!((closed[0].id, closed[0].cause), (silent, Slow::Silent));
    assert!(readers.close(other).is_empty());
    assert_eq!((closed.len(), readers.held()), (1, KB - 1));
}

/// Guards against closing fast readers after the process did not run for longer than the silence.
#[test]
fn close_after_stall_closes_nobody() {
    let mut readers = Readers::new(KB);
    let all: Vec<u64> = (0..5).map(|_| readers.add(100 * KB, ms(4000))).collect();
    // Each write was delayed for 5 s, of which its timeout, 20 ms, counts.
    readers.take(all[0], 0, ms(20));
    assert!(readers.close(all[0]).is_empty());
    // One that is silent is closed alone, and by itself.
    let mut readers = Readers::new(1000 * KB);
    let all: Vec<u64> = (0..5).map(|_| readers.add(KB, ms(4000))).collect();
    all.iter().for_each(|id| wait(&mut readers, *id, 5000));
    readers.take(all[0], 1, ms(20));
    assert!(readers.close(all[0]).is_empty());
    assert_eq!(ids(&readers.close(all[1])), [all[1]]);
}

#[test]
fn close_bound_slowest_that_holds_most() {
    let mut readers = Readers::new(1000 * KB);
    let small = readers.add(10 * KB, LONG);
    let large = readers.add(600 * KB, LONG);
    let fast = readers.add(900 * KB, LONG);
    wait(&mut readers, small, 1050);
    wait(&mut readers, large, 850);
    wait(&mut readers, fast, 700);
    readers.take(fast, 16 * KB, ms(10));
    wait(&mut readers, fast, 50);
    let closed = readers.close(small);
    assert_eq!(ids(&closed), [large]);
    assert_eq!((closed[0].bytes, closed[0].cause), (600 * KB, Slow::Bound));
    wait(&mut readers, fast, 1000);
    assert!(readers.close(fast).is_empty());
    readers.remove(small);
    readers.remove(fast);
    assert_eq!(readers.held(), 0);
}

#[test]
fn close_bound_spares_fast_readers() {
    let mut readers = Readers::new(KB);
    let fast = readers.add(900 * KB, LONG);
    readers.take(fast, 64 * KB, ms(50));
    wait(&mut readers, fast, 299);
    assert!(readers.close(fast).is_empty());
    wait(&mut readers, fast, 1);
    assert_eq!(ids(&readers.close(fast)), [fast]);
}

#[test]
fn close_bound_reader_of_single_bytes_is_slow() {
    let mut readers = Readers::new(100 * KB);
    let trickle = readers.add(60 * KB, LONG);
    let steady = readers.add(60 * KB, LONG);
    for n in 1..=20 {
        readers.take(trickle, 1, ms(50));
        let taken = if n % 10 == 0 { 16 * KB } else { 0 };
        readers.take(steady, taken, ms(50));
    }
    // 60 KB - 20 and 28 KB wait; a third reader exceeds the bound.
    let third = readers.add(30 * KB, LONG);
    wait(&mut readers, third, 110);
    assert_eq!(ids(&readers.close(third)), [trickle]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever comes, what waits beyond the bound waits for readers that are not slow, and the sum is kept.
    #[test]
    fn close_any_order(steps in prop::collection::vec((0u64..8, 0usize..200_000, 0u64..180), 1..80)) {
        let most = 300_000;
        let mut readers = Readers::new(most);
        // Id, bytes left, and waiting time since a byte was taken.
        let mut open: Vec<(u64, usize, Duration)> = Vec::new();
        for (pick, bytes, pause) in steps {
            let at = pick as usize % open.len().max(1);
            if pick < 3 || open.is_empty() {
                open.push((readers.add(bytes, LONG), bytes, Duration::ZERO));
            } else {
                let taken = bytes.min(open[at].1);
                readers.take(open[at].0, bytes, ms(pause));
                open[at].1 -= taken;
                open[at].2 = if taken > 0 { Duration::ZERO } else { open[at].2 + ms(pause) };
            }
            let closed = ids(&readers.close(open[at].0));
            open.retain(|(id, ..)| !closed.contains(id));
            prop_assert_eq!(readers.held(), open.iter().map(|o| o.1).sum::<usize>());
            prop_assert!(readers.held() <= most || open.iter().all(|o| o.2 < ms(300)));
        }
    }
}
