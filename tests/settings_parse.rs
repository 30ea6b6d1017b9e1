//! The settings parser reports every problem with its line, section and key.

use gooseberrytack::{region::Zones, settings::Settings};
use std::time::Duration;

const GOOD: &str = "[host]\nname = h1\ndomain = ibadan\n\n[listen]\ncaller = 127.0.0.1:0\n\
    peer = 127.0.0.1:0\ncontrol = 127.0.0.1:0\n\n[platform]\nlog = http://127.0.0.1:7000\n\
    list = http://127.0.0.1:7001/\n";

fn problems(text: &str) -> Vec<String> {
    let found = Settings::parse("f.ini", text).expect_err("something is wrong");
    found.iter().map(ToString::to_string).collect()
}

#[test]
fn parse_good_has_defaults() {
    let settings = Settings::parse("f.ini", GOOD).expect("valid");
    assert_eq!(&*settings.list, "http://127.0.0.1:7001");
    assert_eq!(settings.bounds.head, 16 * 1024);
    assert_eq!(settings.deadline, Duration::from_secs(60));
}

#[test]
fn parse_all_problems_at_once() {
    let text = GOOD
        .replace("caller = 127.0.0.1:0", "caller = localhost:80")
        .replace("peer = 127.0.0.1:0", "peer = 0.0.0.0:81")
        .replace("name = h1", "name = h 1")
        + "[limits]\nbody_bytes = 12\nbody_byte = 4096\n[limit]\nx = 1\n";
    let found = problems(&text);
    let parts = [
        (
            "line=2 section=host key=name value=\"h 1\"",
            "1 to 64 letters",
        ),
        (
            "line=6 section=listen key=caller value=\"localhost:80\"",
            "IP:PORT",
        ),
        (
            "line=7 section=listen key=peer value=\"0.0.0.0:81\"",
            "that other hosts can connect to",
        ),
        (
            "section=limits key=body_bytes value=\"12\"",
            "from 1024 to 1073741824",
        ),
        (
            "section=limits key=body_byte value=\"4096\"",
            "one of the keys ",
        ),
        ("section=limit key=x value=\"1\"", "one of the sections "),
    ];
    assert_eq!(found.len(), parts.len(), "{found:#?}");
    for (place, allowed) in parts {
        let line = found.iter().find(|l| l.contains(place));
        assert!(
            line.is_some_and(|l| l.contains(allowed)),
            "{place}: {found:#?}"
        );
    }
}

#[test]
fn parse_open_control_wants_token() {
    let open = GOOD.replace("control = 127.0.0.1:0", "control = 10.0.0.1:8082");
    let found = problems(&open);
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(
        found[0].contains("section=listen key=token_sha256"),
        "{found:#?}"
    );
    let digest = "0123456789abcdef".repeat(4);
    let with = |digest: &str| {
        let line = format!("control = 10.0.0.1:8082\ntoken_sha256 = {digest}");
        GOOD.replace("control = 127.0.0.1:0", &line)
    };
    let settings = Settings::parse("f.ini", &with(&digest.to_uppercase())).expect("valid");
    assert_eq!(settings.token.as_deref(), Some(&*digest));
    let found = problems(&with(&digest[1..]));
    assert!(found[0].contains("64 hexadecimal digits"), "{found:#?}");
}

#[test]
fn parse_missing_named() {
    let found = problems("");
    for key in ["name", "domain", "caller", "peer", "control", "log", "list"] {
        let part = format!("key={key} value=\"\"");
        assert!(found.iter().any(|l| l.contains(&part)), "{key}: {found:#?}");
    }
}

#[test]
fn parse_not_ini_has_line() {
    let found = problems("[host]\nname = h1\n[listen\n");
    assert!(found.iter().any(|l| l.contains("line=3")), "{found:#?}");
}

#[test]
fn parse_headroom_off_unless_set() {
    let settings = Settings::parse("f.ini", GOOD).expect("valid");
    assert_eq!(settings.reserve.percent, 0);
    let text = format!("{GOOD}\n[gate]\nheadroom_percent = 97\nbacklog_ms = 5000\n");
    let settings = Settings::parse("f.ini", &text).expect("valid");
    let backlog = std::time::Duration::from_secs(5);
    assert_eq!(
        (settings.reserve.percent, settings.reserve.backlog),
        (97, backlog)
    );
    let found = problems(&text.replace("97", "101"));
    assert!(found[0].contains("key=headroom_percent value=\"101\""));
}

/// Reports of used tokens double the messages of most requests, so they are off unless enabled.
#[test]
fn report_used_off_by_default() {
    let used = |line: &str| {
        let text = format!("{GOOD}[limits]\n{line}\n");
        Settings::parse("f.ini", &text).map(|s| s.report_used)
    };
    assert_eq!(used("body_bytes = 4096").ok(), Some(false));
    assert_eq!(used("report_used = 1").ok(), Some(true));
    let problems = used("report_used = 2").expect_err("neither 0 nor 1");
    assert!(
        problems[0]
            .to_string()
            .contains("key=report_used value=\"2\"")
    );
}

#[test]
fn parse_unread_bound_and_contracts() {
    let settings = Settings::parse("f.ini", GOOD).expect("valid");
    assert!(settings.unread.is_none() && settings.contracts.is_empty());
    let text = GOOD.to_string() + "contracts = a, b-c,\n[limits]\nunread_bytes = 4096\n";
    let settings = Settings::parse("f.ini", &text).expect("valid");
    let unread = settings.unread.expect("a bound");
    assert_eq!(
        (unread.bytes, unread.silence),
        (4096, Duration::from_secs(4))
    );
    assert_eq!(settings.contracts, ["a".into(), "b-c".into()]);
}

/// Guards against a host that does not start, or ignores what was agreed, because of how the list is written.
#[test]
fn parse_contracts_forms() {
    let parse = |line: &str| Settings::parse("f.ini", &(GOOD.to_string() + line));
    let forms = [
        "a,b-c",
        "a, b-c,",
        "a b-c",
        "a  b-c ",
        "[a, b-c]",
        r#"["a","b-c"]"#,
        r#"[ "a", "b-c" ]"#,
        "['a', 'b-c']",
        r#"["a" "b-c"]"#,
    ];
    for form in forms {
        let settings = parse(&format!("contracts = {form}\n")).expect(form);
        assert_eq!(settings.contracts, ["a".into(), "b-c".into()], "{form}");
    }
    let empty = [
        "",
        "contracts =\n",
        "contracts = \n",
        "contracts = []\n",
        "contracts = [ ]\n",
        "contracts = {{contracts}}\n",
        "contracts = ${contracts}\n",
        "contracts = [{{contracts}}]\n",
    ];
    for line in empty {
        let settings = parse(line).expect(line);
        assert!(settings.contracts.is_empty(), "{line}");
    }
    for form in ["a/b", "[a", "a]", r#"["a]"#, "[a'b]", "a;b"] {
        let found = problems(&(GOOD.to_string() + &format!("contracts = {form}\n")));
        assert_eq!(found.len(), 1, "{form}: {found:?}");
        assert!(found[0].contains("key=contracts"), "{form}: {found:?}");
    }
}

#[test]
fn parse_zones_maps_domains_to_regions() {
    // Guards against a failure domain that silently counts as being in no region.
    let parse = |lines: &str| Settings::parse("f.ini", &format!("{GOOD}[zones]\n{lines}"));
    let zones = parse("ibadan = \"sw-nigeria\"\nz-1 = north 2\n\n")
        .expect("valid")
        .zones;
    assert_eq!(zones.region("ibadan").map(|r| &**r), Some("sw-nigeria"));
    assert_eq!(zones.region("z-1").map(|r| &**r), Some("north 2"));
    assert_eq!(zones.region("z-2"), None);
    for none in [parse(""), parse("\n"), Settings::parse("f.ini", GOOD)] {
        assert_eq!(none.expect("valid").zones, Zones::default());
    }
    for line in [
        "ibadan =",
        "ibadan = \"\"",
        "ibadan = a\nibadan = b",
        "i badan = a",
    ] {
        let found = problems(&format!("{GOOD}[zones]\n{line}\n"));
        assert_eq!(found.len(), 1, "{line}: {found:?}");
        assert!(found[0].contains("section=zones"), "{line}: {found:?}");
        assert!(found[0].contains("badan value=\""), "{line}: {found:?}");
    }
}
