//! The platform's stand-ins in the test's own process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_standin::registry::Registry;
use chiverelay_standin::store::Store;
use chiverelay_store as store;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

/// Opens a listener on a free port.
pub async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    (listener, address)
}

/// A running stand-in store.
#[derive(Debug)]
pub struct RunningStore {
    /// Its state and faults.
    pub state: Arc<Store>,
    /// Its address.
    pub address: SocketAddr,
    _guard: DropGuard,
}

impl RunningStore {
    /// Starts an empty store.
    pub async fn start() -> Self {
        let state = Arc::new(Store::default());
        let (listener, address) = listener().await;
        let cancel = CancellationToken::new();
        tokio::spawn(chiverelay_standin::store::serve(
            Arc::clone(&state),
            listener,
            cancel.clone(),
        ));
        Self {
            state,
            address,
            _guard: cancel.drop_guard(),
        }
    }

    /// Returns a client whose calls end within `timeout`.
    pub fn client(&self, timeout: Duration) -> store::Store {
        let client = store::Store::new(self.address, store::Budget::default(), timeout);
        client.gate().set_fleet(1);
        client
    }
}

/// A running stand-in registry.
#[derive(Debug)]
pub struct RunningRegistry {
    /// Its state and faults.
    pub state: Arc<Registry>,
    /// Its address.
    pub address: SocketAddr,
    _guard: DropGuard,
}

impl RunningRegistry {
    /// Starts an empty registry whose list is behind by `lag`.
    pub async fn start(lag: Duration) -> Self {
        let state = Arc::new(Registry::new(lag));
        let (listener, address) = listener().await;
        let cancel = CancellationToken::new();
        tokio::spawn(chiverelay_standin::registry::serve(
            Arc::clone(&state),
            listener,
            cancel.clone(),
        ));
        Self {
            state,
            address,
            _guard: cancel.drop_guard(),
        }
    }
}
