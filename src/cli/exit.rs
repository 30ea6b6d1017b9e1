//! How the tool ends.

use serde::Serialize;
use std::process::ExitCode;

/// Exit codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Exit {
    /// Done.
    Done = 0,
    /// A fault of the tool or of a host.
    Failed = 1,
    /// The command line or a file is not valid.
    Usage = 2,
    /// The change would break something; nothing was changed.
    Refused = 3,
    /// Another change won; nothing was changed.
    Conflict = 4,
    /// No host could be reached.
    Unreachable = 5,
    /// Nothing was changed, because the log is down or the host is not ready; come back later.
    Later = 6,
    /// Whether the change was made is not known; ask again with the same change id.
    Unsettled = 7,
    /// Not every live host reported the revision in time.
    NotEverywhere = 8,
    /// There is no such object.
    NotFound = 9,
    /// The declarations differ from what is in force.
    Differs = 10,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// Why a command was not done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CliError {
    /// How the tool ends.
    pub exit: Exit,
    /// What went wrong and what to try.
    pub message: String,
}

impl CliError {
    /// CliError with a message.
    pub fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self {
            exit,
            message: message.into(),
        }
    }

    /// Prints the trouble to standard error and returns how to end.
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
