//! Small parts that the stand-ins share: HTTP/1.1 over blocking sockets, JSON,
//! base64, addresses, the record and the gateway's processes. Only the standard
//! library is used.

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Result of a case, as the exit code of its program.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

// ---- HTTP ----

pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(k, _)| k == name);
        found.map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut part = [0; 64 * 1024];
        let n = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..n]);
        Ok(n)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> std::io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|l| l.split_once(':'));
                let headers = headers.map(|(k, v)| (k.to_ascii_lowercase(), v.trim().to_owned()));
                return Ok(Some(Message {
                    line,
                    headers: headers.collect(),
                    body: Vec::new(),
                    is_whole: false,
                }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, len: usize) -> std::io::Result<Option<Vec<u8>>> {
        while self.buf.len() < len {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.buf.drain(..len).collect()))
    }

    fn text_line(&mut self) -> std::io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a request or a response with its body. A body that breaks off
    /// leaves `is_whole` false.
    pub fn message(&mut self, is_response: bool) -> std::io::Result<Option<Message>> {
        let Some(mut msg) = self.head()? else {
            return Ok(None);
        };
        let chunked = msg
            .header("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"));
        let length = msg
            .header("content-length")
            .and_then(|v| v.parse::<usize>().ok());
        if chunked {
            loop {
                let Ok(Some(size)) = self.text_line() else {
                    return Ok(Some(msg));
                };
                let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                    return Ok(Some(msg));
                };
                let Ok(Some(part)) = self.exact(size + 2) else {
                    return Ok(Some(msg));
                };
                if size == 0 {
                    msg.is_whole = true;
                    return Ok(Some(msg));
                }
                msg.body.extend_from_slice(&part[..size]);
            }
        }
        match length {
            Some(len) => {
                if let Ok(Some(body)) = self.exact(len) {
                    msg.body = body;
                    msg.is_whole = true;
                }
            }
            None => msg.is_whole = !is_response || msg.status() == 204,
        }
        Ok(Some(msg))
    }
}

/// Writes a response with a JSON body.
pub fn respond_json(stream: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

// ---- JSON ----

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&chars, &mut at)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(t) => t.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(t) => t,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(n) => *n,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(l) => l,
            _ => &[],
        }
    }
}

fn skip(c: &[char], at: &mut usize) {
    while c.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(c: &[char], at: &mut usize) -> Option<Json> {
    skip(c, at);
    match c.get(*at)? {
        '{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip(c, at);
                if c.get(*at)? == &'}' {
                    *at += 1;
                    return Some(Json::Table(table));
                }
                if c.get(*at)? == &',' {
                    *at += 1;
                    continue;
                }
                let Json::Text(key) = value(c, at)? else {
                    return None;
                };
                skip(c, at);
                *at += 1;
                let v = value(c, at)?;
                table.insert(key, v);
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(c, at);
                match c.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *at += 1,
                    _ => list.push(value(c, at)?),
                }
            }
        }
        '"' => {
            *at += 1;
            let mut text = String::new();
            loop {
                match c.get(*at)? {
                    '"' => {
                        *at += 1;
                        return Some(Json::Text(text));
                    }
                    '\\' => {
                        *at += 1;
                        match c.get(*at)? {
                            'n' => text.push('\n'),
                            't' => text.push('\t'),
                            'u' => {
                                let hex: String = c.get(*at + 1..*at + 5)?.iter().collect();
                                text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                                *at += 4;
                            }
                            other => text.push(*other),
                        }
                        *at += 1;
                    }
                    other => {
                        text.push(*other);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let start = *at;
            while c.get(*at).is_some_and(|c| !",]} \r\n\t".contains(*c)) {
                *at += 1;
            }
            let word: String = c[start..*at].iter().collect();
            Some(match word.as_str() {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                number => Json::Number(number.parse().ok()?),
            })
        }
    }
}

pub fn base64(data: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in data.chunks(3) {
        let n = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for i in 0..4 {
            match i <= part.len() {
                true => text.push(char::from(SET[(n >> (18 - 6 * i) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}

// ---- addresses ----

/// Returns the loopback address of machine `n` of this run.
pub fn machine_ip(n: usize) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{}", 64 + pid % 128, pid / 128 % 256, n + 1)
}

pub fn listen(ip: &str) -> TcpListener {
    TcpListener::bind((ip, 0)).expect("a free port")
}

// ---- the record ----

pub struct Record {
    file: Mutex<std::fs::File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = std::fs::File::create(path).expect("the record can be written");
        Self {
            file: Mutex::new(file),
            started: Instant::now(),
        }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line, also to the output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.now());
        self.note(text);
    }

    /// Writes a line.
    pub fn note(&self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{now:8.3} {text}");
    }
}

// ---- the gateway's processes ----

/// The processes that were started and have not been ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends what was started, as the case can't run.
fn give_up(reason: &str) -> ! {
    println!("{reason}");
    for pid in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &pid.to_string()])
            .status();
    }
    std::process::exit(COULD_NOT_RUN);
}

/// Where a machine stands.
pub struct Place<'a> {
    pub zone: &'a str,
    pub region: &'a str,
}

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The programs, their folder and the record's folder.
pub struct Ground {
    pub root: PathBuf,
    pub tmp: PathBuf,
}

impl Ground {
    pub fn new() -> Self {
        let root = PathBuf::from(std::env::var("REPO").expect("REPO names the repository"));
        let tmp = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&tmp).expect("a temporary folder");
        Self { root, tmp }
    }
}

impl Drop for Ground {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.tmp);
        }
    }
}

impl Gateway {
    pub fn start(
        ground: &Ground,
        n: usize,
        name: &str,
        place: &Place<'_>,
        memory_mb: u32,
        store: SocketAddr,
    ) -> Self {
        let ip = machine_ip(n);
        let (zone, region) = (place.zone, place.region);
        let text = format!(
            r#"node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","directory"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [7600,7615]
seeds = []
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","places","tenants","quota","platform"]
[zones]
lima-a = "lima"
arequipa-a = "arequipa"
cusco-a = "cusco"
qc-a = "quebec"
on-a = "ontario"
mar-a = "maritimes"
[listen]
front = "{ip}:8221"
ready = "{ip}:8224"
control = "{ip}:8229"
directory = "{ip}:8220"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {memory_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 1
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 5000
ack_ms = 6000
catch_up_s = 4
drain_ms = 3000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_stretch_ms = 8000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
quota_window_s = 8
quota_overage = 0.1
quota_slack = 190000
cold_overage = 1.5
cold_slack = 3
evacuate_ms = 5000
recovery_s = 12
pass_ms = 600
reuse_window_s = 10
ttl_max_s = 5
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
        );
        let settings = ground.tmp.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("settings can be written");
        let at = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        let mut gateway = Self {
            name: name.to_owned(),
            front: at(8221),
            ready: at(8224),
            settings,
            log: ground.tmp.join(format!("{name}.log")),
            child: None,
        };
        gateway.run(ground);
        gateway
    }

    /// Starts the process, as the deploy file's `run` says.
    pub fn run(&mut self, ground: &Ground) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("a log");
        let child = Command::new("target/release/chiverelay-node")
            .current_dir(&ground.root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CHIVERELAY_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                STARTED.lock().unwrap().push(child.id());
                self.child = Some(child);
            }
            Err(e) => give_up(&format!("the gateway can't be started: {e}")),
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let pid = child.id();
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|started| *started != pid);
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut conn = Conn::new(stream);
        let asked = conn
            .stream
            .write_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        asked.is_ok() && matches!(conn.message(true), Ok(Some(m)) if m.status() == 200)
    }

    /// Waits until the process takes requests.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > until {
                give_up(&format!("{} does not get ready", self.name));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns a field of the process's status in MB: `VmRSS` or `VmHWM`.
    pub fn memory_mb(&self, field: &str) -> f64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with(field)).unwrap_or("");
        let kib = line
            .split_whitespace()
            .nth(1)
            .and_then(|n| n.parse::<f64>().ok());
        kib.unwrap_or(0.0) / 1024.0
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sleeps until a moment of the run.
pub fn sleep_until(record: &Record, at: f64) {
    let left = at - record.now();
    if left > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(left));
    }
}
