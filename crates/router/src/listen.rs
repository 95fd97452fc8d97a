//! Listening sockets.

use std::net::SocketAddr;

use marjoram_core::host::RECEIVE_BUFFER;
use tokio::net::{TcpListener, TcpSocket};

use crate::error::Error;

/// Listens on `addr`; `backlog` new connections may wait to be accepted. The sockets of accepted connections receive [`RECEIVE_BUFFER`] bytes before
/// they are read.
pub fn listen(addr: SocketAddr, backlog: u32) -> Result<TcpListener, Error> {
    let bind = |e| Error::Bind(addr.to_string(), e);
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let socket = socket.map_err(bind)?;
    socket.set_reuseaddr(true).map_err(bind)?;
    // Accepted connections inherit it. The kernel doubles the value for its own use.
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER as u32) {
        tracing::debug!(target: "listen", %addr, %error, "failed to set the receive buffer");
    }
    socket.bind(addr).map_err(bind)?;
    socket.listen(backlog).map_err(bind)
}
