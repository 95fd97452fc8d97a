//! Errors of the stand-ins and the load tool.

use quick_error::quick_error;

quick_error! {
    /// An error naming the step at which it arose and the peer involved.
    #[derive(Debug)]
    pub enum Error {
        /// A command-line option or environment variable is wrong.
        Usage(message: String) {
            display("{message}")
        }
        /// A socket could not be bound or a process not started.
        Io(step: &'static str, peer: String, source: std::io::Error) {
            display("{step} {peer}: {source}")
            source(source)
        }
        /// A peer answered badly or not at all.
        Peer(step: &'static str, peer: String, message: String) {
            display("{step} {peer}: {message}")
        }
    }
}
