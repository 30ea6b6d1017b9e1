//! Plays one case against the program of the deploy file. `record.txt` is written as it goes.
//!
//! review-2 CASE FOLDER TEMP: exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod cases;
mod hosts;
mod http;
mod servers;
mod store;

use std::{
    env, fs,
    io::Write,
    path::PathBuf,
    process::exit,
    sync::Mutex,
    time::Instant,
};

/// What was sent, answered and run.
pub struct Record {
    file: Mutex<fs::File>,
    began: Instant,
}

impl Record {
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.began.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder, temp] = &args[..] else {
        eprintln!("review-2 CASE FOLDER TEMP");
        exit(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let file = fs::File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
    let record = Record {
        file: Mutex::new(file),
        began: Instant::now(),
    };
    record.note(&format!("case {case}, trouble {trouble}"));
    exit(cases::run(case, trouble, &PathBuf::from(temp), record.into()))
}
