//! Listening sockets.

use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::conn;
use crate::error::Error;

/// Listens on `addr`; `backlog` new connections may wait to be accepted. What accepted
/// connections receive before they are read is limited.
pub fn listen(addr: SocketAddr, backlog: u32) -> Result<TcpListener, Error> {
    let bind = |e| Error::Bind(addr.to_string(), e);
    let socket = conn::new_socket(addr).map_err(bind)?;
    socket.set_reuseaddr(true).map_err(bind)?;
    conn::limit_receive_buffer(&socket);
    socket.bind(addr).map_err(bind)?;
    socket.listen(backlog).map_err(bind)
}
