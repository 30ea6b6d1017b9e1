//! Exit codes and errors of the tool.

use serde::Serialize;
use std::process::ExitCode;

/// Exit code, by which scripts tell why a command failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The tool or a host failed, or a review has findings.
    Failed = 1,
    /// The command line or a file is not valid.
    Usage = 2,
    /// The change would break something; nothing was changed.
    Refused = 3,
    /// The change conflicts with another one; nothing was changed.
    Conflict = 4,
    /// No host could be reached.
    Unreachable = 5,
    /// Nothing was changed, because the log is down or the host is overloaded; try again later.
    Later = 6,
    /// The change may have been made; repeat the command with the same change id.
    Unsettled = 7,
    /// Not every live host reported the revision in time.
    NotEverywhere = 8,
    /// No such object.
    NotFound = 9,
    /// The declarations differ from what is in force.
    Differs = 10,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CliError {
    /// Exit code of the tool.
    pub exit: Exit,
    /// What went wrong and what to try.
    pub message: String,
}

impl CliError {
    /// An error with the message `message`.
    pub fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self {
            exit,
            message: message.into(),
        }
    }

    /// Prints the error to standard error and returns the exit code.
    pub fn report(&self, json: bool) -> Exit {
        if json {
            let text = serde_json::to_string(&serde_json::json!({ "error": self }));
            eprintln!("{}", text.unwrap_or_default());
        } else {
            eprintln!("gooseberrytack: {}", self.message);
        }
        self.exit
    }
}
