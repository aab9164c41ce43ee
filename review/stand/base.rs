//! HTTP, JSON and the record of what happened.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// The record of a play, with times in milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|e| {
            eprintln!("{path}: {e}");
            std::process::exit(2);
        });
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.now());
    }
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub struct Message {
    /// Target of a request, or status of a response.
    pub second: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(k, _)| k == name);
        found.next().map(|(_, v)| v.as_str())
    }
}

/// Reads a message; `None` at the end of the connection or if it is broken.
pub fn read_message(input: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if input.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let second = words.nth(1)?.to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message {
        second,
        headers,
        body: Vec::new(),
    };
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            if input.read_line(&mut size).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut part = vec![0; size + 2];
            input.read_exact(&mut part).ok()?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&part[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        message.body = vec![0; length.parse().ok()?];
        let mut body = std::mem::take(&mut message.body);
        input.read_exact(&mut body).ok()?;
        message.body = body;
    }
    Some(message)
}

pub fn write_response(
    out: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> bool {
    let mut head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut data = head.into_bytes();
    data.extend_from_slice(body);
    out.write_all(&data).is_ok()
}

/// What a client got.
#[derive(Clone, Debug)]
pub enum Got {
    Status(u16, Vec<(String, String)>),
    Broken(String),
}

impl Got {
    pub fn status(&self) -> u16 {
        match self {
            Self::Status(status, _) => *status,
            Self::Broken(_) => 0,
        }
    }

    pub fn header(&self, name: &str) -> &str {
        match self {
            Self::Status(_, headers) => {
                let mut found = headers.iter().filter(|(k, _)| k == name);
                found.next().map_or("", |(_, v)| v.as_str())
            }
            Self::Broken(_) => "",
        }
    }

    pub fn text(&self) -> String {
        match self {
            Self::Status(status, _) => status.to_string(),
            Self::Broken(reason) => format!("no answer: {reason}"),
        }
    }
}

/// Sends one request on a new connection and reads its answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout_ms: u64,
) -> Got {
    let timeout = Duration::from_millis(timeout_ms);
    let attempt = || -> Result<Got, String> {
        let connect = timeout.min(Duration::from_secs(1));
        let mut stream = TcpStream::connect_timeout(&to, connect).map_err(|e| e.to_string())?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(timeout));
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut data = head.into_bytes();
        data.extend_from_slice(body);
        stream.write_all(&data).map_err(|e| e.to_string())?;
        let mut input = BufReader::new(stream);
        let got = read_message(&mut input).ok_or("the connection ended")?;
        let status = got.second.parse().map_err(|_| "no status")?;
        Ok(Got::Status(status, got.headers))
    };
    attempt().unwrap_or_else(Got::Broken)
}

pub fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in data.chunks(3) {
        let bytes = [
            part[0],
            *part.get(1).unwrap_or(&0),
            *part.get(2).unwrap_or(&0),
        ];
        let n = u32::from(bytes[0]) << 16 | u32::from(bytes[1]) << 8 | u32::from(bytes[2]);
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= part.len() { digit } else { '=' });
        }
    }
    text
}

/// A JSON value, as far as calls to the store have them.
#[derive(Clone, Debug)]
pub enum Json {
    Other,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Fields(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let chars: Vec<char> = text.chars().collect();
        value(&chars, &mut 0)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Fields(fields) => fields.iter().find(|(k, _)| k == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(n) => *n as u64,
            _ => 0,
        }
    }
}

fn skip(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match *chars.get(*at)? {
        '"' => string(chars, at).map(Json::Text),
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(chars, at);
                match *chars.get(*at)? {
                    ']' => break,
                    ',' => *at += 1,
                    _ => list.push(value(chars, at)?),
                }
            }
            *at += 1;
            Some(Json::List(list))
        }
        '{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(chars, at);
                match *chars.get(*at)? {
                    '}' => break,
                    ',' => *at += 1,
                    _ => {
                        let name = string(chars, at)?;
                        skip(chars, at);
                        *at += 1;
                        fields.push((name, value(chars, at)?));
                    }
                }
            }
            *at += 1;
            Some(Json::Fields(fields))
        }
        _ => {
            let start = *at;
            while chars
                .get(*at)
                .is_some_and(|c| !",]}".contains(*c) && !c.is_whitespace())
            {
                *at += 1;
            }
            let word: String = chars[start..*at].iter().collect();
            Some(word.parse().map_or(Json::Other, Json::Number))
        }
    }
}

fn string(chars: &[char], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut text = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(text),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                text.push(match escaped {
                    'n' => '\n',
                    't' => '\t',
                    other => other,
                });
            }
            c => text.push(c),
        }
    }
}
