//! Crowds of callers, beside those whose requests are sent one after another.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::node::KeptConnection;
use support::node::call::Call;
use support::node::site::KEY;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::SLACK;
use super::callers;
use super::callers::PATHS;
use super::world::Soak;

/// Time in which the callers of a crowd come, in ms.
const ARRIVAL_MS: u64 = 600;

/// Time that a crowd stays, in ms.
const STAY_MS: std::ops::Range<u64> = 1000..3000;

/// Longest pause of a caller between two requests, in ms.
const MAX_PAUSE_MS: u64 = 400;

/// Connections that one caller leaves open before it closes the oldest.
const OPEN_PER_CALLER: usize = 3;

/// Size of a large body, within the limit of the configuration.
const BODY_BYTES: usize = 60_000;

/// Share of a large body that is sent before the pause.
const FIRST_BYTES: usize = 40_000;

/// Longest time after which a caller leaves, in ms.
const MAX_PATIENCE_MS: u64 = 80;

/// What the callers of a crowd do.
#[derive(Clone, Copy, Debug)]
enum Habit {
    /// They send requests, each on a new connection.
    Ask,
    /// They connect, and send nothing.
    Idle,
    /// They send a large body with a pause in it.
    Upload,
    /// They leave before the answer.
    Leave,
}

const HABITS: [Habit; 6] = [
    Habit::Ask,
    Habit::Ask,
    Habit::Ask,
    Habit::Idle,
    Habit::Upload,
    Habit::Leave,
];

/// Has a crowd come over all instances, and waits until it has left.
pub(super) async fn come(soak: &Soak, rng: &mut StdRng) {
    let habit = HABITS[rng.random_range(0..HABITS.len())];
    let crowd = soak.next_crowd();
    let until = Instant::now() + Duration::from_millis(rng.random_range(STAY_MS));
    let callers = (0..soak.size.crowd).map(|n| {
        let one = Member {
            soak,
            id: format!("crowd-{crowd}-{n}"),
            rng: StdRng::seed_from_u64(rng.next_u64()),
        };
        one.run(habit, until)
    });
    let callers: Vec<_> = callers.collect();
    futures_util::future::join_all(callers).await;
}

/// A caller of a crowd.
struct Member<'a> {
    soak: &'a Soak,
    id: String,
    rng: StdRng,
}

impl Member<'_> {
    async fn run(mut self, habit: Habit, until: Instant) {
        let arrival = self.rng.random_range(0..ARRIVAL_MS);
        tokio::time::sleep(Duration::from_millis(arrival)).await;
        match habit {
            Habit::Ask => self.ask(until).await,
            Habit::Idle => self.idle(until).await,
            Habit::Upload => self.upload().await,
            Habit::Leave => self.leave(until).await,
        }
    }

    fn front(&mut self) -> (usize, SocketAddr) {
        let at = self.rng.random_range(0..self.soak.fronts.len());
        let front = self.soak.fronts[at].lock();
        (at, *front.expect("no panic under the lock"))
    }

    fn path(&mut self) -> &'static str {
        PATHS[self.rng.random_range(0..PATHS.len())]
    }

    /// Sends requests, each on a new connection, and leaves the connections
    /// open.
    async fn ask(&mut self, until: Instant) {
        let mut open = std::collections::VecDeque::new();
        let mut n = 0;
        while Instant::now() < until {
            n += 1;
            let id = format!("{}-{n}", self.id);
            let path = self.path();
            let (at, front) = self.front();
            let (seen, conn) = callers::ask_on_new_connection(at, front, &id, path).await;
            let pause = seen.retry_after().unwrap_or_default();
            self.soak.note_seen(seen);
            open.extend(conn);
            if open.len() > OPEN_PER_CALLER {
                open.pop_front();
            }
            let longest = Duration::from_millis(MAX_PAUSE_MS);
            let least = Duration::from_millis(self.rng.random_range(20..MAX_PAUSE_MS));
            tokio::time::sleep(pause.clamp(least, longest)).await;
        }
    }

    async fn connect(&mut self) -> Option<TcpStream> {
        let (_, front) = self.front();
        let connecting = tokio::time::timeout(SLACK, TcpStream::connect(front));
        connecting.await.ok()?.ok()
    }

    /// Connects, and keeps the connections without use.
    async fn idle(&mut self, until: Instant) {
        let mut open = Vec::new();
        for _ in 0..OPEN_PER_CALLER {
            open.push(self.connect().await);
        }
        tokio::time::sleep_until(until.into()).await;
    }

    /// Sends a large body with a pause in it. The instance may refuse it and
    /// close the connection at any time.
    async fn upload(&mut self) {
        let Some(mut stream) = self.connect().await else {
            return;
        };
        let head = format!(
            "POST /status/1 HTTP/1.1\r\nhost: desk.example\r\nrequest-id: {}\r\n\
             authorization: Bearer {KEY}\r\nrequest-deadline: 3000\r\n\
             content-length: {BODY_BYTES}\r\n\r\n",
            self.id
        );
        let body = vec![b'a'; BODY_BYTES];
        let pause = Duration::from_millis(self.rng.random_range(300..1500));
        let sending = async {
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&body[..FIRST_BYTES]).await?;
            tokio::time::sleep(pause).await;
            stream.write_all(&body[FIRST_BYTES..]).await
        };
        if sending.await.is_ok() {
            tokio::time::sleep(pause).await;
        }
    }

    /// Sends requests and leaves before their answers.
    async fn leave(&mut self, until: Instant) {
        let mut n = 0;
        while Instant::now() < until {
            n += 1;
            let id = format!("{}-left-{n}", self.id);
            let call = Call::new(&id, self.path()).key(KEY);
            let call = call.body(Bytes::from_static(&[b'a'; 4096]));
            let (_, front) = self.front();
            let patience = Duration::from_millis(self.rng.random_range(0..MAX_PATIENCE_MS));
            let asking = async {
                let mut conn = KeptConnection::try_open(front).await.ok()?;
                conn.exchange(&call).await.ok()
            };
            // It has left if the time is over.
            let _ = tokio::time::timeout(patience, asking).await;
            let pause = self.rng.random_range(20..MAX_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }
}
