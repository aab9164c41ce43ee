//! The store as one instance sees it, with other addresses of targets.
//!
//! A target has one address in the store. What stands between it and just one
//! instance needs an address that only this one is told.

use std::net::SocketAddr;
use std::sync::Arc;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use chiverelay_http as http;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::Value;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::caller;

/// Addresses of targets, and those that stand for them.
pub type Replaced = Vec<(SocketAddr, SocketAddr)>;

/// A view of a store.
#[derive(Debug)]
pub struct StoreView {
    /// Where it listens.
    pub address: SocketAddr,
    _guard: DropGuard,
}

impl StoreView {
    /// Starts a view of the store at an address.
    pub async fn start(store: SocketAddr, replaced: Replaced) -> Self {
        let (listener, address) = crate::platform::listener().await;
        let stop = CancellationToken::new();
        let replaced = Arc::new(replaced);
        tokio::spawn(http::serve(listener, stop.clone(), move |req| {
            let replaced = Arc::clone(&replaced);
            async move { pass(store, &replaced, req).await }
        }));
        Self {
            address,
            _guard: stop.drop_guard(),
        }
    }
}

async fn pass(
    store: SocketAddr,
    replaced: &Replaced,
    req: Request<Incoming>,
) -> Response<http::Body> {
    let (parts, body) = req.into_parts();
    let Ok(body) = body.collect().await else {
        return http::empty_response(StatusCode::BAD_REQUEST);
    };
    let req = Request::from_parts(parts, Full::new(body.to_bytes()));
    let Ok(answer) = caller::exchange(store, req).await else {
        return http::empty_response(StatusCode::BAD_GATEWAY);
    };
    let body = match serde_json::from_slice::<Value>(&answer.body) {
        Ok(mut document) => {
            for list in ["items", "events"] {
                replace(&mut document[list], replaced);
            }
            document.to_string().into_bytes()
        }
        Err(_) => answer.body.to_vec(),
    };
    let mut resp = Response::new(http::full_body(body));
    *resp.status_mut() = answer.status;
    *resp.headers_mut() = answer.headers;
    resp.headers_mut().remove("content-length");
    resp
}

fn replace(items: &mut Value, replaced: &Replaced) {
    for item in items.as_array_mut().into_iter().flatten() {
        let value = item["value"].as_str().unwrap_or_default();
        let Ok(value) = BASE64_STANDARD.decode(value) else {
            continue;
        };
        let mut text = String::from_utf8_lossy(&value).into_owned();
        for (from, to) in replaced {
            text = text.replace(&format!("\"{from}\""), &format!("\"{to}\""));
        }
        if text.as_bytes() != value {
            item["value"] = BASE64_STANDARD.encode(text).into();
        }
    }
}
