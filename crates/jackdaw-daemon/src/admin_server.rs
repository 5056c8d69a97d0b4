//! HTTP server of the operators' interface.

use std::net::{SocketAddr, TcpListener};

use actix_web::dev::ServerHandle;
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};
use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;

use jackdaw_telemetry::{AdminState, admin_routes};

/// The most bytes of a request to the operators' interface.
const BODY_LIMIT_BYTES: usize = 1024 * 1024;

/// Handle of a running operators' interface.
pub struct AdminServer {
    /// The address.
    address: SocketAddr,
    /// The server.
    handle: ServerHandle,
}

impl AdminServer {
    /// Binds the address and serves [`admin_routes`] with the process's own routes beside them.
    ///
    /// # Errors
    ///
    /// `LocalResource` where the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        state: &AdminState,
        routes: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
    ) -> Result<AdminServer, Report<ErrorKind>> {
        let listener = TcpListener::bind(address)
            .change_context(ErrorKind::LocalResource)
            .attach_with(|| format!("admin address {address}"))?;
        let address = listener.local_addr().change_context(ErrorKind::LocalResource)?;
        let state = state.clone();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(actix_web::web::PayloadConfig::new(BODY_LIMIT_BYTES))
                .configure(admin_routes(state.clone()))
                .configure(routes.clone())
        })
        .workers(1)
        .disable_signals()
        .listen(listener)
        .change_context(ErrorKind::LocalResource)?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(AdminServer { address, handle })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server.
    pub async fn close(self) {
        self.handle.stop(false).await;
    }
}
