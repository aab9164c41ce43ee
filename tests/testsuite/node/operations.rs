//! The engineers' page lists every log line and metric, and no others; the
//! log neither blocks nor grows.

use std::collections::BTreeSet;
use std::io::Write;
use std::path::Path;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use chiverelay_gateway::GaugeValues;
use chiverelay_gateway::Metrics;
use chiverelay_gateway::log_writer;

type Line = (String, String);

fn sources(dir: &Path, text: &mut String) {
    for entry in std::fs::read_dir(dir).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, text);
        } else if path.extension().is_some_and(|e| e == "rs") {
            text.push_str(&std::fs::read_to_string(&path).expect("a source file"));
        }
    }
}

/// Reads part and text of every log line that is written.
fn lines_in_code() -> BTreeSet<Line> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut text = String::new();
    sources(&root.join("crates/gateway/src"), &mut text);
    sources(&root.join("platform/src"), &mut text);
    let mut found = BTreeSet::new();
    for level in ["log::info!(", "log::warn!(", "log::error!("] {
        for call in text.split(level).skip(1) {
            let (_, rest) = call.split_once("target: \"").expect("a part");
            let (part, rest) = rest.split_once('"').expect("a part's end");
            // The text stands at the end, behind the fields.
            let ends = rest
                .match_indices(");")
                .map(|(at, _)| rest[..at].trim_end());
            let mut texts = ends.filter_map(|args| args.strip_suffix('"'));
            let last = texts.next().expect("a text at the end");
            let (_, said) = last.rsplit_once('"').expect("a text");
            found.insert((part.to_owned(), said.to_owned()));
        }
    }
    found
}

/// Reads the rows of a table under a heading.
fn rows(heading: &str) -> Vec<Vec<String>> {
    let page = include_str!("../../../docs/OPERATIONS.md");
    let (_, section) = page.split_once(heading).expect("a heading");
    let lines = section.lines().skip_while(|l| !l.starts_with('|')).skip(2);
    let cells = |line: &str| -> Vec<String> {
        let cells = line.trim_matches('|').split('|');
        cells
            .map(|cell| cell.trim().trim_matches('`').to_owned())
            .collect()
    };
    lines
        .take_while(|l| l.starts_with('|'))
        .map(cells)
        .collect()
}

#[test]
fn the_page_lists_every_log_line() {
    let page: BTreeSet<Line> = rows("## Log lines")
        .into_iter()
        .map(|row| (row[0].clone(), row[1].clone()))
        .collect();
    let code = lines_in_code();
    let missing: Vec<_> = code.difference(&page).collect();
    let left_over: Vec<_> = page.difference(&code).collect();
    assert!(missing.is_empty(), "not on the page: {missing:#?}");
    assert!(left_over.is_empty(), "not in the code: {left_over:#?}");
}

#[test]
fn the_page_lists_every_metric() {
    let page: BTreeSet<String> = rows("## Metrics")
        .into_iter()
        .map(|r| r[0].clone())
        .collect();
    let metrics = Metrics::new();
    metrics.create_all_series();
    let text = metrics.render(&GaugeValues::default());
    let helps = text.lines().filter_map(|l| l.strip_prefix("# HELP "));
    let code: BTreeSet<String> = helps
        .filter_map(|l| l.split(' ').next())
        .map(str::to_owned)
        .collect();
    assert_eq!(page, code);
}

/// A destination that nobody reads: it blocks until the test ends.
struct Unread(mpsc::Receiver<()>);

impl Write for Unread {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        match self.0.recv() {
            Ok(()) | Err(_) => Err(std::io::ErrorKind::BrokenPipe.into()),
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A destination that is closed.
struct Closed;

impl Write for Closed {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        Err(std::io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Writes ten times what the queue holds and returns the time that took.
fn flood(queue: &mut impl Write) -> Duration {
    let started = Instant::now();
    for n in 0..40_960 {
        let line = format!("{{\"n\":{n}}}\n");
        queue
            .write_all(line.as_bytes())
            .expect("the queue takes lines");
    }
    started.elapsed()
}

#[test]
fn an_output_that_nobody_reads_drops_lines_and_holds_up_nobody() {
    let (tx, rx) = mpsc::channel();
    let (mut queue, counts) = log_writer::start_queue_writer(Unread(rx)).expect("a queue");
    let took = flood(&mut queue);
    assert!(counts.dropped() >= 30_000, "{} dropped", counts.dropped());
    assert!(took < Duration::from_secs(5), "{took:?}");
    drop(tx);
}

/// Failure: lines that wait for the writer were bounded by number only, and long
/// ones took the memory of the instance.
#[test]
fn long_lines_that_nobody_reads_take_little_memory() {
    let (tx, rx) = mpsc::channel();
    let (mut queue, counts) = log_writer::start_queue_writer(Unread(rx)).expect("a queue");
    let line = vec![b'a'; 16 * 1024];
    for _ in 0..4096 {
        queue.write_all(&line).expect("the queue takes lines");
    }
    let kept = (4096 - counts.dropped()) * line.len() as u64;
    assert!(kept <= 4 * 1024 * 1024, "{kept} bytes kept");
    drop(tx);
}

#[test]
fn an_output_that_is_closed_counts_its_lines_as_dropped() {
    let (mut queue, counts) = log_writer::start_queue_writer(Closed).expect("a queue");
    flood(&mut queue);
    let until = Instant::now() + Duration::from_secs(10);
    while counts.dropped() < 40_960 && Instant::now() < until {
        std::thread::yield_now();
    }
    assert_eq!((counts.written(), counts.dropped()), (0, 40_960));
}

#[test]
fn an_output_that_is_read_gets_every_line_within_the_queue() {
    let (tx, rx) = mpsc::channel::<Vec<u8>>();
    struct Reader(mpsc::Sender<Vec<u8>>);
    impl Write for Reader {
        fn write(&mut self, data: &[u8]) -> std::io::Result<usize> {
            self.0.send(data.to_vec()).map_err(std::io::Error::other)?;
            Ok(data.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let (mut queue, counts) = log_writer::start_queue_writer(Reader(tx)).expect("a queue");
    for n in 0..1000 {
        queue.write_all(format!("{n}\n").as_bytes()).expect("taken");
    }
    let mut read = String::new();
    while read.lines().count() < 1000 {
        let data = rx
            .recv_timeout(Duration::from_secs(10))
            .expect("lines come");
        read.push_str(&String::from_utf8_lossy(&data));
    }
    let want: Vec<String> = (0..1000).map(|n| n.to_string()).collect();
    assert_eq!(read.lines().collect::<Vec<_>>(), want);
    assert_eq!(counts.dropped(), 0);
}

#[test]
fn the_timeline_reads_the_logs_of_instances() {
    let dir = tempfile::TempDir::new().expect("a folder");
    let line = |ms: u64, instance: &str, id: &str, more: &str| {
        format!(
            "  0.1 {instance} {{\"ms\":{ms},\"instance\":\"{instance}\",\"part\":\"request\",\
             \"text\":\"answered\",\"id\":\"{id}\",\"level\":\"INFO\"{more}}}\n"
        )
    };
    let one = [
        line(5, "one", "r-1", ",\"to\":\"i-7\""),
        line(9, "one", "r-2", ",\"account\":\"shop\""),
        "not a log line {\n".to_owned(),
    ];
    let two = [line(7, "two", "r-1", ",\"peer\":\"target i-8\"")];
    let path = |name: &str, text: String| {
        let path = dir.path().join(name);
        std::fs::write(&path, text).expect("written");
        path.display().to_string()
    };
    let (one, two) = (path("one.log", one.concat()), path("two.log", two.concat()));
    let lines = |more: &[&str]| {
        let mut args = vec!["timeline", "--log", &one, "--log", &two];
        args.extend(more);
        let output = support::process::output("chiverelay", &args);
        assert!(output.status.success(), "{output:?}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    let story = lines(&["--request", "r-1"]);
    let order: Vec<&str> = story.lines().filter_map(|l| l.split("  ").nth(1)).collect();
    assert_eq!(order, ["one", "two"], "{story}");
    assert_eq!(lines(&["--target", "i-8"]).lines().count(), 1);
    assert_eq!(lines(&["--account", "shop"]).lines().count(), 1);
    assert_eq!(lines(&["--at", "one"]).lines().count(), 2);
    assert_eq!(lines(&["--from", "6", "--to", "8"]).lines().count(), 1);
}
