//! The project's programs as processes.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Output;
use std::process::Stdio;
use std::sync::OnceLock;
use std::sync::mpsc;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::Signal;
use rustix::process::WaitOptions;
use rustix::process::kill_process;
use rustix::process::prlimit;
use rustix::process::waitpid;

/// Time in which a process must print a line or end.
const PATIENCE: Duration = Duration::from_secs(30);

/// Builds the programs once and returns the folder they are in.
pub fn programs() -> &'static PathBuf {
    static DIR: OnceLock<PathBuf> = OnceLock::new();
    DIR.get_or_init(|| {
        // The test binary is in `target/PROFILE/deps`.
        let exe = std::env::current_exe().expect("the test has a path");
        let dir = exe
            .ancestors()
            .nth(2)
            .expect("the test is in a target folder");
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--quiet", "--workspace", "--bins"]);
        build.current_dir(env!("CARGO_MANIFEST_DIR"));
        // Build scripts run again if what cargo tells a test stands in their way.
        for (name, _) in std::env::vars() {
            if name.starts_with("CARGO_") && name != "CARGO_HOME" {
                build.env_remove(name);
            }
        }
        build.env("CARGO_TARGET_DIR", dir.parent().expect("a target folder"));
        if dir.ends_with("release") {
            build.arg("--release");
        }
        let status = build.status().expect("cargo runs");
        assert!(status.success(), "the programs don't build");
        dir.to_owned()
    })
}

/// Runs a program to its end.
pub fn output(program: &str, args: &[&str]) -> Output {
    Command::new(programs().join(program))
        .args(args)
        .stdin(Stdio::null())
        .output()
        .expect("the program runs")
}

/// A running program, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    lines: mpsc::Receiver<String>,
}

impl Process {
    /// Starts a program.
    pub fn start(program: &str, args: &[&str]) -> Self {
        let mut command = Command::new(programs().join(program));
        Self::spawn(command.args(args))
    }

    /// Starts a program that logs all that it can into a file.
    pub fn start_logged(program: &str, args: &[&str], log: &Path) -> Self {
        let log = File::create(log).expect("a file for the log");
        let mut command = Command::new(programs().join(program));
        Self::spawn(command.args(args).env("RUST_LOG", "debug").stderr(log))
    }

    /// Starts an instance on the platform, which logs into a file, from today's
    /// program or from another build of it.
    pub fn start_node(
        program: Option<&Path>,
        settings: &Path,
        log: &Path,
        variables: &[(&str, String)],
    ) -> Self {
        let log = File::create(log).expect("a file for the log");
        let todays = || programs().join("chiverelay-node");
        let mut command = Command::new(program.map_or_else(todays, Path::to_owned));
        let child = command
            .env("CHIVERELAY_SETTINGS", settings)
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .expect("the program starts");
        let (_, lines) = mpsc::channel();
        Self { child, lines }
    }

    fn spawn(command: &mut Command) -> Self {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let (tx, lines) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                if tx.send(line).is_err() {
                    return;
                }
            }
        });
        Self { child, lines }
    }

    /// Waits for a line that starts with `word` and returns the rest of it.
    pub fn line(&self, word: &str) -> String {
        loop {
            let line = self
                .lines
                .recv_timeout(PATIENCE)
                .unwrap_or_else(|e| panic!("no line {word:?}: {e}"));
            if let Some(rest) = line.strip_prefix(word) {
                return rest.trim().to_owned();
            }
        }
    }

    /// Returns the process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Lets the process open only so many descriptors beside those it has.
    pub fn limit_further_descriptors(&self, spare: u64) {
        self.limit_descriptors(self.open_descriptors() + spare);
    }

    /// Returns the memory that the process has in use, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        self.status_bytes("VmRSS:")
    }

    /// Returns a size that the system states of the process, in bytes.
    fn status_bytes(&self, name: &str) -> u64 {
        let path = format!("/proc/{}/status", self.id());
        let status = std::fs::read_to_string(path).expect("the process is known");
        let line = status.lines().find_map(|l| l.strip_prefix(name));
        let kib = line.and_then(|l| l.split_whitespace().next());
        let kib: u64 = kib.and_then(|n| n.parse().ok()).expect("a size");
        kib * 1024
    }

    /// Returns the most memory that the process has had in use, in bytes.
    pub fn peak_resident_bytes(&self) -> u64 {
        self.status_bytes("VmHWM:")
    }

    /// Returns the number of descriptors that the process has open.
    pub fn open_descriptors(&self) -> u64 {
        let path = format!("/proc/{}/fd", self.id());
        let open = std::fs::read_dir(path).expect("the process is known");
        open.count() as u64
    }

    /// Limits the descriptors that the process may have open.
    pub fn limit_descriptors(&self, count: u64) {
        let limit = Rlimit {
            current: Some(count),
            maximum: Some(count),
        };
        let pid = Pid::from_child(&self.child);
        let limited = prlimit(Some(pid), Resource::Nofile, limit);
        limited.expect("the process can be limited");
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process can be signalled");
    }

    /// Kills the process without warning.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process ends");
    }

    /// Stops the process in its tracks, and returns once all of it has stopped.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
        let pid = Pid::from_child(&self.child);
        waitpid(Some(pid), WaitOptions::UNTRACED).expect("the process is a child");
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Tells the process that its settings file has changed.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Waits until the process has ended; true if it ended well.
    pub fn wait(&mut self) -> bool {
        self.wait_for_status().success()
    }

    /// Waits until the process has ended, and tells how.
    pub fn wait_for_status(&mut self) -> ExitStatus {
        self.child.wait().expect("the process ends")
    }

    /// Tells whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the process is known")
            .is_none()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
