//! The platform's stand-ins in the test's own process.

use std::future::Future;
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

/// A stand-in that runs until this is dropped.
#[derive(Debug)]
pub struct Running<S> {
    /// Its state and faults.
    pub state: Arc<S>,
    /// Its address.
    pub address: SocketAddr,
    _guard: DropGuard,
}

/// A running stand-in store.
pub type RunningStore = Running<Store>;

/// A running stand-in registry.
pub type RunningRegistry = Running<Registry>;

impl<S> Running<S> {
    async fn serve<F, R>(state: S, serve: F) -> Self
    where
        F: FnOnce(Arc<S>, TcpListener, CancellationToken) -> R,
        R: Future<Output = ()> + Send + 'static,
    {
        let state = Arc::new(state);
        let (listener, address) = listener().await;
        let cancel = CancellationToken::new();
        tokio::spawn(serve(Arc::clone(&state), listener, cancel.clone()));
        Self {
            state,
            address,
            _guard: cancel.drop_guard(),
        }
    }
}

impl Running<Store> {
    /// Starts an empty store.
    pub async fn start() -> Self {
        Self::serve(Store::default(), chiverelay_standin::store::serve).await
    }

    /// Returns a client whose calls end within `timeout`.
    pub fn client(&self, timeout: Duration) -> store::Store {
        let client = store::Store::new(self.address, store::Budget::default(), timeout);
        client.gate().set_fleet(1);
        client
    }
}

impl Running<Registry> {
    /// Starts an empty registry whose list is behind by `lag`.
    pub async fn start(lag: Duration) -> Self {
        Self::serve(Registry::new(lag), chiverelay_standin::registry::serve).await
    }
}
