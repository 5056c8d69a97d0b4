//! HTTP server of the admin interface.

use std::net::{SocketAddr, TcpListener};

use actix_web::dev::ServerHandle;
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};
use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;

use jackdaw_telemetry::{AdminState, admin_routes};

/// The maximum size of a request body on the admin interface, in bytes.
const BODY_LIMIT_BYTES: usize = 1024 * 1024;

/// Handle of a running admin interface.
pub struct AdminServer {
    /// The address that the server is bound to.
    address: SocketAddr,
    handle: ServerHandle,
}

impl AdminServer {
    /// Binds the address and starts to serve [`admin_routes`] and the additional `routes`.
    ///
    /// # Errors
    ///
    /// Returns `LocalResource` if the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        state: &AdminState,
        routes: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
    ) -> Result<AdminServer, Report<ErrorKind>> {
        let listener = TcpListener::bind(address)
            .change_context(ErrorKind::LocalResource)
            .attach_with(|| format!("failed to bind admin address {address}"))?;
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

    /// Returns the address that the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server without waiting for open connections.
    pub async fn close(self) {
        self.handle.stop(false).await;
    }
}
