//! Stand-ins and hosts as child processes.

use crate::wait_for;
use serde_json::Value;
use std::{
    env, fs,
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
};

/// A child process; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Lines printed so far, on both outputs.
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts the program `bin` as the stand-in `kind`; returns it with its address.
    ///
    /// # Panics
    /// It does not start.
    pub fn standin(bin: &Path, kind: &str, config: &Value) -> (Self, SocketAddr) {
        let mut command = Command::new(bin);
        command.args([kind, "--config", &config.to_string()]);
        let process = Self::start(command, bin);
        let line = process.wait_line(kind, |_| true);
        (process, line.parse().expect("the address of a stand-in"))
    }

    /// Starts the daemon `bin` with the settings `text`; returns it with the addresses of its
    /// ports for callers and for operators.
    ///
    /// # Panics
    /// It does not start.
    pub fn host(bin: &Path, text: &str) -> (Self, SocketAddr, SocketAddr) {
        let name = format!("gooseberrytack-{:016x}.ini", rand::random::<u64>());
        let file = env::temp_dir().join(name);
        fs::write(&file, text).expect("the settings file is written");
        let mut command = Command::new(bin);
        command.arg(&file).env("RUST_LOG", "info");
        let process = Self::start(command, bin);
        let line = process.wait_line("the daemon", |l| addr_after(l, "caller=").is_some());
        let _ = fs::remove_file(&file);
        let addr = |name| addr_after(&line, name).expect("the address of a port");
        (process, addr("caller="), addr("control="))
    }

    fn start(mut command: Command, bin: &Path) -> Self {
        let spawned = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn();
        let mut child = spawned.unwrap_or_else(|e| {
            panic!(
                "{}: {e}; run `cargo build --workspace` first",
                bin.display()
            )
        });
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        collect_lines(child.stdout.take(), &lines);
        collect_lines(child.stderr.take(), &lines);
        Self { child, lines }
    }

    /// The lines that the process printed so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("lines").clone()
    }

    /// Kills the process, by SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop, by SIGTERM.
    ///
    /// # Panics
    /// The signal cannot be sent.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Suspends the process until `resume`, by SIGSTOP.
    ///
    /// # Panics
    /// The signal cannot be sent.
    pub fn pause(&self) {
        self.signal("STOP");
    }

    /// Lets a paused process run again, by SIGCONT.
    ///
    /// # Panics
    /// The signal cannot be sent.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(sent.is_ok_and(|s| s.success()), "SIG{name} was not sent");
    }

    /// Waits for the end of the process; returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().ok().and_then(|s| s.code())
    }

    fn wait_line(&self, what: &str, wanted: impl Fn(&str) -> bool) -> String {
        let mut found = None;
        wait_for(what, || {
            found = self.lines().into_iter().find(|l| wanted(l));
            found.is_some()
        });
        found.unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn collect_lines(from: Option<impl Read + Send + 'static>, lines: &Arc<Mutex<Vec<String>>>) {
    let lines = lines.clone();
    thread::spawn(move || {
        for line in from.into_iter().flat_map(|f| BufReader::new(f).lines()) {
            lines.lock().expect("lines").extend(line);
        }
    });
}

/// The address after `name` in a log line.
fn addr_after(line: &str, name: &str) -> Option<SocketAddr> {
    let rest = &line[line.find(name)? + name.len()..];
    let end = rest.find(|c: char| c != '.' && c != ':' && !c.is_ascii_digit());
    rest[..end.unwrap_or(rest.len())].parse().ok()
}
