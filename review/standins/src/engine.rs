//! Stand-in for an engine: confirms who it is, and runs what is meant for it.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use crate::wire::{Connection, Head, response};

/// Runs a request; an error closes the connection.
pub type Handler = Arc<dyn Fn(&mut Connection, &Head, &[u8]) -> io::Result<()> + Send + Sync>;

/// Starts an engine on threads of this process.
pub fn start(ip: &str, name: &str, born: u64, handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("port for an engine");
    let address = listener.local_addr().expect("address");
    let name = name.to_owned();
    thread::spawn(move || serve(&listener, &name, born, &handler));
    address
}

/// Serves until the process ends.
pub fn serve(listener: &TcpListener, name: &str, born: u64, handler: &Handler) {
    for stream in listener.incoming().flatten() {
        let (name, handler) = (name.to_owned(), Arc::clone(handler));
        thread::spawn(move || {
            // An error means that the connection has ended.
            let _ = serve_connection(Connection::new(stream), &name, born, &handler);
        });
    }
}

fn serve_connection(
    mut connection: Connection,
    name: &str,
    born: u64,
    handler: &Handler,
) -> io::Result<()> {
    while let Some(head) = connection.read_head()? {
        let (body, is_whole) = connection.read_body(&head);
        if !is_whole {
            return Ok(());
        }
        match head.target() {
            "/api/report" => {
                let report = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"seq_no\":2,\"queued\":0,\"running\":0,\"kv_used\":0,\
                     \"kv_total\":90000,\"handles\":0,\"born\":{born}}}"
                );
                let headers = "content-type: application/json\r\n";
                connection.write(&response("200 OK", headers, report.as_bytes()))?;
            }
            "/health" => {
                let headers = format!("instance-id: {name}\r\n");
                connection.write(&response("200 OK", &headers, b""))?;
            }
            _ if head.get("expect-instance") != name => {
                let headers = format!("instance-id: {name}\r\n");
                connection.write(&response("421 Misdirected Request", &headers, b""))?;
            }
            _ => handler(&mut connection, &head, &body)?,
        }
    }
    Ok(())
}

/// Headers that each answer of a run carries.
pub fn run_headers(head: &Head) -> String {
    format!(
        "attempt-id: {}\r\nresponse-seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n",
        head.get("attempt-id")
    )
}
