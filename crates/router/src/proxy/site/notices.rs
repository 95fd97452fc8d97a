//! Announcements that this host has yet to send of engines that change their
//! weights.

use std::cell::RefCell;

use marjoram_core::announce::Announcements;
use tokio::sync::Notify;

/// Queue of announcements, and its notifications.
#[derive(Debug, Default)]
pub struct Notices {
    /// What is announced, and when.
    pub announcements: RefCell<Announcements>,
    /// Notified when an announcement has been added.
    pub added: Notify,
    /// Notified when a message has been sent.
    pub sent: Notify,
}
