//! The error table is complete and consistent.

use gooseberrytack::error::{Fail, Kind, Ran};
use std::{collections::BTreeSet, time::Duration};

#[test]
fn row_codes_unique() {
    let codes: BTreeSet<_> = Kind::ALL.iter().map(|k| k.row().code).collect();
    assert_eq!(codes.len(), Kind::ALL.len());
}

#[test]
fn row_all_in_order() {
    assert!(Kind::ALL.windows(2).all(|w| w[0] < w[1]));
    assert_eq!(
        Kind::ALL[Kind::ALL.len() - 1],
        Kind::Internal,
        "the last kind of the enum"
    );
    assert_eq!(
        Kind::Internal as usize + 1,
        Kind::ALL.len(),
        "a kind is missing from ALL"
    );
}

#[test]
fn row_refusal_says_when() {
    for kind in Kind::ALL {
        let row = kind.row();
        if matches!(row.status, 429 | 503) {
            assert!(
                row.after.is_some(),
                "{kind:?} may be tried again and must say when"
            );
        }
        if matches!(row.status, 400 | 403 | 404 | 405 | 413 | 415 | 429 | 431) {
            assert_eq!(row.ran, Ran::No, "{kind:?}");
        }
    }
}

#[test]
fn fail_names_field() {
    let fail = Fail::field("max_tokens", "0 is not in 1..=4096");
    assert_eq!(&*fail.text, "field \"max_tokens\": 0 is not in 1..=4096");
    assert_eq!(fail.field.as_deref(), Some("max_tokens"));
    let later = Fail::new(Kind::RateLimited, "over rate").retry_after(Duration::from_millis(250));
    assert_eq!(later.retry_delay(), Some(Duration::from_millis(250)));
}
