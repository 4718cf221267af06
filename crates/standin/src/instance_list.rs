//! Stand-in for the platform's instance list.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use futures_lite::future::{BoxedLocal, FutureExt};
use http_types::{Method, Request, Response, StatusCode};
use pw_link::prelude::*;
use pw_ring::prelude::*;
use pw_worker::prelude::*;

use crate::reply::json_reply;

/// Instance list that can be replaced with `PUT /v1/instances`.
#[derive(Debug)]
pub struct InstanceList {
    address: SocketAddr,
}

#[derive(Debug, Clone)]
struct ListHandler {
    entries: Rc<RefCell<Vec<InstanceEntry>>>,
}

impl InstanceList {
    /// Starts the service on its own thread with the given list.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound or no thread can be started.
    pub fn start(address: SocketAddr, entries: Vec<InstanceEntry>) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        DutyThread::spawn("standin-list", move |spawner| async move {
            let entries = Rc::new(RefCell::new(entries));
            let handler = Rc::new(ListHandler { entries });
            if let Err(error) = serve_http(listener, spawner, handler).await {
                tracing::error!(%error, "instance list failed");
            }
        })?;
        Ok(Self { address })
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl HttpHandler for ListHandler {
    fn handle(&self, mut request: Request) -> BoxedLocal<Response> {
        let entries = Rc::clone(&self.entries);
        async move {
            match request.method() {
                Method::Get => json_reply(StatusCode::Ok, &*entries.borrow()),
                Method::Put => match request.body_json().await {
                    Ok(list) => {
                        *entries.borrow_mut() = list;
                        Response::new(StatusCode::NoContent)
                    }
                    Err(_) => Response::new(StatusCode::BadRequest),
                },
                _ => Response::new(StatusCode::MethodNotAllowed),
            }
        }
        .boxed_local()
    }
}
