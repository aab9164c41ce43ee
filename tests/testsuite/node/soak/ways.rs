//! The ways of the instances to the targets of a run, each of which can be cut by
//! itself.

use std::net::SocketAddr;

use support::node::path::Cut;
use support::node::path::TargetPath;
use support::node::store_view::StoreView;

/// The way of an instance to all targets.
#[derive(Debug)]
pub(super) struct Way {
    /// The store as the instance sees it, which names the paths.
    view: StoreView,
    paths: Vec<TargetPath>,
}

impl Way {
    /// Starts a whole way to targets for an instance that reaches the store at an
    /// address.
    pub(super) async fn start(store: SocketAddr, targets: &[SocketAddr]) -> Self {
        let (mut paths, mut replaced) = (Vec::new(), Vec::new());
        for target in targets {
            let path = TargetPath::start(*target).await;
            replaced.push((*target, path.address));
            paths.push(path);
        }
        let view = StoreView::start(store, replaced).await;
        Self { view, paths }
    }

    /// Returns where the instance reaches the store.
    pub(super) fn store(&self) -> SocketAddr {
        self.view.address
    }

    /// Cuts the way, or makes it whole.
    pub(super) fn set(&self, cut: Cut) {
        for path in &self.paths {
            path.set(cut);
        }
    }
}
