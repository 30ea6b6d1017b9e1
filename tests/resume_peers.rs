//! What a host that cannot read the log makes of the answers of others about a stream.

use gooseberrytack::resume::{Beginning, Testimony, Usage, VersionsReply, sum_up};

fn saw_v1() -> Usage {
    Usage {
        versions: vec!["v1".into()],
        is_mixed: false,
        is_covered: true,
    }
}

/// A beginning of a service other than the one that the request's route names.
fn began_at(version: &str) -> Beginning {
    Beginning {
        service: "earlier".into(),
        version: version.into(),
    }
}

fn reply(began: Option<&str>, sole: Option<&str>) -> Option<VersionsReply> {
    Some(VersionsReply {
        began: began.map(began_at),
        sole: sole.map(Into::into),
    })
}

#[test]
fn sum_up_most_saw_the_same() {
    let same = reply(None, Some("v1"));
    assert_eq!(
        sum_up(&[same.clone(), same.clone(), None], &saw_v1()),
        Testimony::Agreed
    );
    assert_eq!(sum_up(&[same.clone(), None], &saw_v1()), Testimony::Unsure);
    assert_eq!(sum_up(&[None, None], &saw_v1()), Testimony::Unsure);
}

#[test]
fn sum_up_alone_agrees() {
    assert_eq!(sum_up(&[], &saw_v1()), Testimony::Agreed);
}

#[test]
fn sum_up_one_saw_another() {
    let same = reply(None, Some("v1"));
    for other in [reply(None, Some("v2")), reply(None, None)] {
        let replies = [same.clone(), same.clone(), other];
        assert_eq!(sum_up(&replies, &saw_v1()), Testimony::Unsure);
    }
}

#[test]
fn sum_up_one_knows_where_it_began() {
    let replies = [None, None, reply(Some("v2"), None)];
    assert_eq!(
        sum_up(&replies, &saw_v1()),
        Testimony::Began(began_at("v2"))
    );
}
