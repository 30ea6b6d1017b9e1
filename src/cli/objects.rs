//! Creates, changes, shows and withdraws objects.

use super::{
    CliError, Exit,
    args::{Change, Create, Drain, Show, Withdraw},
    client::{Hosts, with_query},
    output::{print, print_applied, print_object},
};
use crate::{
    config::{Sort, fields},
    control::{Applied, Listing, ObjectView},
};
use serde_json::{Map, Value, json};

/// A random id for a change whose operator gave none.
pub fn new_change() -> String {
    format!("{:016x}", rand::random::<u64>())
}

pub fn create(hosts: &Hosts, json: bool, args: &Create) -> Result<Exit, CliError> {
    let sort = parse_sort(&args.sort)?;
    let mut body = parse_fields(&args.fields)?;
    let change = args.change.clone().unwrap_or_else(new_change);
    let base = (sort != Sort::Key).then_some("0");
    let params = [
        ("base", base),
        ("change", Some(change.as_str())),
        ("reason", args.reason.as_deref()),
        ("author", args.author.as_deref()),
    ];
    if sort == Sort::Key {
        body.insert("workspace".into(), Value::String(args.name.clone()));
        let path = with_query("/control/keys", &params);
        let issued: Value = hosts.request("POST", &path, &encode(&body))?;
        print(json, &issued, print_key);
        return Ok(Exit::Done);
    }
    let path = with_query(&path_of(sort, &args.name), &params);
    submit(hosts, json, "PUT", &path, &encode(&body), &change)
}

fn print_key(issued: &Value) {
    let text = |name: &str| issued[name].as_str().unwrap_or_default().to_string();
    println!("key={}", text("key"));
    println!("hash={}", text("hash"));
    println!("revision={} change={}", issued["revision"], text("change"));
    println!("The key is shown only once; only its hash is stored.");
}

pub fn change(hosts: &Hosts, json: bool, args: &Change) -> Result<Exit, CliError> {
    let sort = parse_sort(&args.sort)?;
    let new = parse_fields(&args.fields)?;
    let old: ObjectView = hosts.request("GET", &path_of(sort, &args.name), &[])?;
    let change = args.change.clone().unwrap_or_else(new_change);
    let base = args.base.unwrap_or(old.revision).to_string();
    let mut body = fields(&old.declared);
    body.retain(|_, v| !v.is_null());
    body.extend(new);
    let params = [
        ("base", Some(base.as_str())),
        ("change", Some(change.as_str())),
        ("reason", args.reason.as_deref()),
        ("author", args.author.as_deref()),
    ];
    let path = with_query(&path_of(sort, &args.name), &params);
    submit(hosts, json, "PUT", &path, &encode(&body), &change)
}

pub fn show(hosts: &Hosts, json: bool, args: &Show) -> Result<Exit, CliError> {
    match args.target.as_slice() {
        [sort, name] => {
            let view: ObjectView = hosts.request("GET", &path_of(parse_sort(sort)?, name), &[])?;
            print(json, &view, print_object);
        }
        [_, _, extra, ..] => {
            let text = format!("\"{extra}\" is one argument too many; give SORT and NAME");
            return Err(CliError::new(Exit::Usage, text));
        }
        rest => {
            let path = match rest.first() {
                Some(sort) => format!("/control/{}", parse_sort(sort)?.plural()),
                None => "/control/state".into(),
            };
            let listing: Listing = hosts.request("GET", &path, &[])?;
            print(json, &listing, |l| {
                l.objects.iter().for_each(print_object);
                println!("revision={}", l.revision);
            });
        }
    }
    Ok(Exit::Done)
}

pub fn withdraw(hosts: &Hosts, json: bool, args: &Withdraw) -> Result<Exit, CliError> {
    let sort = parse_sort(&args.sort)?;
    let change = args.change.clone().unwrap_or_else(new_change);
    let base = args.base.map(|b| b.to_string());
    let params = [
        ("base", base.as_deref()),
        ("change", Some(change.as_str())),
        ("reason", args.reason.as_deref()),
        ("author", args.author.as_deref()),
    ];
    let path = with_query(&path_of(sort, &args.name), &params);
    submit(hosts, json, "DELETE", &path, &[], &change)
}

pub fn drain(hosts: &Hosts, json: bool, args: &Drain) -> Result<Exit, CliError> {
    let leaving = format!("leaving={}", !args.back);
    let args = Change {
        sort: "server".into(),
        name: args.server.clone(),
        fields: vec![leaving],
        reason: args.reason.clone(),
        author: args.author.clone(),
        change: None,
        base: None,
    };
    change(hosts, json, &args)
}

/// Submits a change and prints its revision.
pub fn submit(
    hosts: &Hosts,
    json: bool,
    method: &str,
    path: &str,
    body: &[u8],
    change: &str,
) -> Result<Exit, CliError> {
    let applied: Applied = hosts
        .request(method, path, body)
        .map_err(|t| repeat_hint(t, change))?;
    print_applied(json, &applied);
    Ok(Exit::Done)
}

/// Adds to an error how to repeat the change safely, where that may help.
fn repeat_hint(mut error: CliError, change: &str) -> CliError {
    if matches!(error.exit, Exit::Unsettled | Exit::Later) {
        error.message += &format!("; to repeat it safely give --change {change}");
    }
    error
}

fn parse_sort(word: &str) -> Result<Sort, CliError> {
    Sort::parse(word).ok_or_else(|| {
        let all: Vec<&str> = Sort::ALL.iter().map(|s| s.as_str()).collect();
        let text = format!("sort \"{word}\" is not one of {}", all.join(", "));
        CliError::new(Exit::Usage, text)
    })
}

fn parse_fields(fields: &[String]) -> Result<Map<String, Value>, CliError> {
    let mut map = Map::new();
    for field in fields {
        let Some((name, value)) = field.split_once('=') else {
            let text = format!("argument \"{field}\" is not of the form field=value");
            return Err(CliError::new(Exit::Usage, text));
        };
        map.insert(name.into(), json!(value));
    }
    Ok(map)
}

fn path_of(sort: Sort, name: &str) -> String {
    let name = name.strip_prefix('/').unwrap_or(name);
    format!("/control/{}/{name}", sort.plural())
}

fn encode(body: &Map<String, Value>) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_default()
}
