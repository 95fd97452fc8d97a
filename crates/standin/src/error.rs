//! Errors of the stand-ins and the load tool.

use quick_error::quick_error;

quick_error! {
    /// An error with the step that failed and the peer involved.
    #[derive(Debug)]
    pub enum Error {
        /// A command-line option or environment variable is invalid.
        Usage(message: String) {
            display("{message}")
        }
        /// A socket could not be bound or a process could not be started.
        Io(step: &'static str, peer: String, source: std::io::Error) {
            display("{step} {peer}: {source}")
            source(source)
        }
        /// A peer sent an error or an invalid response, or did not respond.
        Peer(step: &'static str, peer: String, message: String) {
            display("{step} {peer}: {message}")
        }
    }
}
