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

#[test]
fn close_silent_reader_below_bound() {
    let mut readers = Readers::new(1000 * KB);
    let silent = readers.add(KB, ms(4000), ms(0));
    let other = readers.add(KB, ms(4000), ms(0));
    readers.take(other, 1, ms(3000));
    assert!(readers.close(ms(3999)).is_empty());
    let closed = readers.close(ms(4000));
    assert_eq!((closed[0].id, closed[0].cause), (silent, Slow::Silent));
    assert_eq!((closed.len(), readers.held()), (1, KB - 1));
}

#[test]
fn close_bound_slowest_that_holds_most() {
    let mut readers = Readers::new(1000 * KB);
    let small = readers.add(10 * KB, LONG, ms(0));
    let large = readers.add(600 * KB, LONG, ms(200));
    let fast = readers.add(900 * KB, LONG, ms(300));
    readers.take(fast, 16 * KB, ms(1000));
    let closed = readers.close(ms(1050));
    assert_eq!(ids(&closed), [large]);
    assert_eq!((closed[0].bytes, closed[0].cause), (600 * KB, Slow::Bound));
    assert!(readers.close(ms(2000)).is_empty());
    readers.remove(small);
    readers.remove(fast);
    assert_eq!(readers.held(), 0);
}

#[test]
fn close_bound_spares_fast_readers() {
    let mut readers = Readers::new(KB);
    let fast = readers.add(900 * KB, LONG, ms(0));
    readers.take(fast, 64 * KB, ms(50));
    assert!(readers.close(ms(149)).is_empty());
    assert_eq!(ids(&readers.close(ms(150))), [fast]);
}

#[test]
fn close_bound_reader_of_single_bytes_is_slow() {
    let mut readers = Readers::new(100 * KB);
    let trickle = readers.add(60 * KB, LONG, ms(0));
    let steady = readers.add(60 * KB, LONG, ms(0));
    for n in 1..=20 {
        readers.take(trickle, 1, ms(n * 50));
        if n % 10 == 0 {
            readers.take(steady, 16 * KB, ms(n * 50));
        }
    }
    // 60 KB - 20 and 28 KB wait; a third reader exceeds the bound.
    readers.add(30 * KB, LONG, ms(1000));
    assert_eq!(ids(&readers.close(ms(1110))), [trickle]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever comes, what waits beyond the bound waits for readers that are not slow, and the sum is kept.
    #[test]
    fn close_any_order(steps in prop::collection::vec((0u64..8, 0usize..200_000, 0u64..60), 1..80)) {
        let (most, mut now) = (300_000, Duration::ZERO);
        let mut readers = Readers::new(most);
        let mut open: Vec<(u64, usize, Duration)> = Vec::new();
        for (pick, bytes, pause) in steps {
            now += ms(pause);
            if pick < 3 || open.is_empty() {
                open.push((readers.add(bytes, LONG, now), bytes, now));
            } else {
                let at = pick as usize % open.len();
                let taken = bytes.min(open[at].1);
                readers.take(open[at].0, bytes, now);
                open[at].1 -= taken;
                if taken > 0 {
                    open[at].2 = now;
                }
            }
            let closed = ids(&readers.close(now));
            open.retain(|(id, ..)| !closed.contains(id));
            prop_assert_eq!(readers.held(), open.iter().map(|o| o.1).sum::<usize>());
            let is_recent = |o: &&(u64, usize, Duration)| now - o.2 < ms(100);
            prop_assert!(readers.held() <= most || open.iter().filter(is_recent).count() == open.len());
        }
    }
}
