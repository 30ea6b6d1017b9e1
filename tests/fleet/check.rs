//! Compares sent requests with the rate and burst.

use super::*;

/// Largest excess of requests in any window over `rate` (a minute) times its length plus `burst`.
pub fn over(sent: &[Micros], rate: u32, burst: u32) -> f64 {
    let mut worst = f64::NEG_INFINITY;
    let mut least = f64::INFINITY;
    for (i, at) in sent.iter().enumerate() {
        let line = i as f64 - f64::from(rate) / 60e6 * *at as f64;
        least = least.min(line);
        worst = worst.max(line + 1.0 - least - f64::from(burst));
    }
    worst
}

/// Requests that a single bucket without faults would admit.
pub fn ideal(arrived: &[Micros], rate: u32, burst: u32) -> u64 {
    let (mut level, mut last, mut count) = (f64::from(burst), 0, 0);
    for at in arrived {
        level = f64::from(burst).min(level + f64::from(rate) / 60e6 * (at - last) as f64);
        last = *at;
        if level >= 1.0 {
            level -= 1.0;
            count += 1;
        }
    }
    count
}
