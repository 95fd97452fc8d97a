//! Errors of the core crate.

use quick_error::quick_error;

quick_error! {
    /// Error from parsing ids, configuration or records.
    #[derive(Debug)]
    pub enum Error {
        /// A text could not be parsed as the named kind.
        Parse(kind: &'static str, text: String, why: &'static str) {
            display("cannot read {text:?} as {kind}: {why}")
        }
        /// A configuration record refers to something not defined before it.
        Unknown(kind: &'static str, name: String) {
            display("unknown {kind} {name:?}")
        }
        /// A configuration record could not be decoded.
        Record(offset: u64, source: serde_json::Error) {
            display("configuration record at offset {offset} is malformed: {source}")
            source(source)
        }
    }
}
