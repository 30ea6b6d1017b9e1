//! The command-line tool for operators.

use argh::FromArgs;
use gooseberrytack::cli::{self, Args, Exit};
use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match Args::from_args(&["gooseberrytack"], &words) {
        Ok(args) => cli::run(args).into(),
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            ExitCode::SUCCESS
        }
        Err(early) => {
            eprintln!("{}", early.output);
            Exit::Usage.into()
        }
    }
}
