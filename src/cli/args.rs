//! Command-line arguments. The doc comments are the help texts.

use argh::FromArgs;
use std::net::SocketAddr;

/// Operates a fleet of gooseberrytack hosts.
///
/// Exit codes: 0 done, 1 failed or, for check, findings, 2 invalid command line or file, 3 refused, 4 conflicting change,
/// 5 no host reachable, 6 log down or overloaded: try later, 7 outcome unknown: repeat with the
/// same --change, 8 not in force everywhere in time, 9 not found, 10 declarations differ.
#[derive(FromArgs, Debug)]
pub struct Args {
    /// operators' port of a host, as IP:PORT; may be repeated: the next is tried if one is down
    #[argh(option)]
    pub host: Vec<SocketAddr>,
    /// file with the operators' token
    #[argh(option)]
    pub token: Option<String>,
    /// print results and errors as JSON
    #[argh(switch)]
    pub json: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Command to run.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Creates an object.
    Create(Create),
    /// Changes an object.
    Change(Change),
    /// Shows objects.
    Show(Show),
    /// Withdraws an object.
    Withdraw(Withdraw),
    /// Drains a backend server, or puts it back into service.
    Drain(Drain),
    /// Applies a file of declarations.
    Apply(Apply),
    /// Compares a file of declarations with the configuration in force.
    Diff(Diff),
    /// Reviews a file of declarations.
    Check(Check),
    /// Waits for a revision to be in force everywhere.
    Wait(Wait),
    /// Shows the merged timeline of all hosts.
    Timeline(Timeline),
    /// Shows the status of every live host.
    Status(Status),
    /// Shows or cancels batch jobs.
    Jobs(Jobs),
}

/// Create an object: create SORT NAME field=value ... (create key WORKSPACE label=TEXT issues a key
/// and shows it once).
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "create")]
pub struct Create {
    /// workspace, key, model, server, route, default or exception
    #[argh(positional)]
    pub sort: String,
    /// name; for a key the workspace, for an exception OBJECT/SETTING
    #[argh(positional)]
    pub name: String,
    /// fields as field=value; lists with commas
    #[argh(positional)]
    pub fields: Vec<String>,
    /// reason of the change; required where it makes an exception
    #[argh(option)]
    pub reason: Option<String>,
    /// author of the change, "operator" by default
    #[argh(option)]
    pub author: Option<String>,
    /// id of the change; repeat a command whose outcome is unknown with the same id
    #[argh(option)]
    pub change: Option<String>,
}

/// Change fields of an object; the others stay as they are.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "change")]
pub struct Change {
    /// workspace, model, server, route, default or exception
    #[argh(positional)]
    pub sort: String,
    /// name
    #[argh(positional)]
    pub name: String,
    /// fields as field=value; lists with commas
    #[argh(positional)]
    pub fields: Vec<String>,
    /// reason of the change; required where it makes an exception
    #[argh(option)]
    pub reason: Option<String>,
    /// author of the change, "operator" by default
    #[argh(option)]
    pub author: Option<String>,
    /// id of the change; repeat a command whose outcome is unknown with the same id
    #[argh(option)]
    pub change: Option<String>,
    /// revision of the object that the change is made against, the present one by default
    #[argh(option)]
    pub base: Option<u64>,
}

/// Show all objects of a sort, or one.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// SORT and NAME: workspace, key, model, server, route, default or exception; all if left out
    #[argh(positional)]
    pub target: Vec<String>,
}

/// Withdraw an object with its exceptions; a key stops working within seconds.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "withdraw")]
pub struct Withdraw {
    /// workspace, key, model, server, route, default or exception
    #[argh(positional)]
    pub sort: String,
    /// name; for a key its hash
    #[argh(positional)]
    pub name: String,
    /// reason of the change
    #[argh(option)]
    pub reason: Option<String>,
    /// author of the change, "operator" by default
    #[argh(option)]
    pub author: Option<String>,
    /// id of the change; repeat a command whose outcome is unknown with the same id
    #[argh(option)]
    pub change: Option<String>,
    /// revision of the object that the change is made against, the present one by default
    #[argh(option)]
    pub base: Option<u64>,
}

/// Drain a backend server: it gets no new work after a few seconds.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// name of the server
    #[argh(positional)]
    pub server: String,
    /// put the server back into service instead
    #[argh(switch)]
    pub back: bool,
    /// reason of the change
    #[argh(option)]
    pub reason: Option<String>,
    /// author of the change, "operator" by default
    #[argh(option)]
    pub author: Option<String>,
}

/// Show what a file of declarations would change, then make all the changes or none.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// file of declarations (INI)
    #[argh(positional)]
    pub file: String,
    /// also withdraw the objects that the file does not declare, except keys
    #[argh(switch)]
    pub prune: bool,
    /// reason of the change
    #[argh(option)]
    pub reason: Option<String>,
    /// author of the change, "operator" by default
    #[argh(option)]
    pub author: Option<String>,
    /// id of the change; repeat a command whose outcome is unknown with the same id
    #[argh(option)]
    pub change: Option<String>,
}

/// Show what a file of declarations would change; exits with 10 if anything would.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// file of declarations (INI)
    #[argh(positional)]
    pub file: String,
    /// also withdraw the objects that the file does not declare, except keys
    #[argh(switch)]
    pub prune: bool,
}

/// Review a file of declarations without making changes, one line a finding: what would be refused, has no
/// effect or contradicts another limit; with --host also what differs from the configuration in force. Exits
/// with 0 if there is none, 1 if there are any, 2 if the file is not readable.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file of declarations (INI)
    #[argh(positional)]
    pub file: String,
}

/// Wait until every live host reports a revision; list those that do not.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "wait")]
pub struct Wait {
    /// revision, as printed by a change
    #[argh(positional)]
    pub revision: u64,
    /// longest wait in seconds, 20 by default
    #[argh(option, default = "20")]
    pub seconds: u64,
}

/// Show the events of a request, item, job, change or host, merged over all hosts.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "timeline")]
pub struct Timeline {
    /// prefix of the ids of the events
    #[argh(positional)]
    pub id: String,
    /// most events, 1000 by default
    #[argh(option, default = "1000")]
    pub most: usize,
}

/// Show the revision and status of every live host.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Show batch jobs, or one, or cancel one.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "jobs")]
pub struct Jobs {
    /// id of a job; all if left out
    #[argh(positional)]
    pub id: Option<String>,
    /// cancel the job
    #[argh(switch)]
    pub cancel: bool,
}
