//! The operators' records: the configuration and the announced weights versions.
//! Both change rarely, so the store is asked to wait for new ones.

use std::rc::Rc;
use std::time::Duration;

use marjoram_core::catalog::Catalog;
use marjoram_platform::catalog;
use marjoram_platform::store::{self, Record};

use super::Sink;
use crate::proxy::announced;
use crate::proxy::site::Site;

#[derive(Default)]
pub(super) struct Operators {
    /// The records have been listed once, so those that are read from now on are
    /// new.
    listed: bool,
}

impl Sink for Operators {
    const TOPIC: &'static str = store::OPERATORS;

    fn pause(_site: &Site) -> Option<Duration> {
        None
    }

    fn record(&mut self, site: &Site, record: &Record, _offset: Option<u64>) {
        let Some(value) = &record.value else { return };
        if record.key == catalog::CONFIG_KEY {
            return configure(site, value);
        }
        match catalog::parse_weights(&record.key, value) {
            Some(Ok(weights)) => {
                apply_announced_weights(site, &weights.model, weights.version, self.listed, "store")
            }
            Some(Err(error)) => {
                tracing::error!(target: "config", key = record.key, %error, "cannot parse record");
            }
            None => {}
        }
    }

    fn complete(&mut self, _site: &Rc<Site>, _keys: &[String]) {
        self.listed = true;
    }
}

fn configure(site: &Site, record: &[u8]) {
    match catalog::parse(record) {
        Ok(new) => apply_configuration(site, new, "store"),
        Err(error) => {
            let kept = site.catalog.load().as_ref().map(|c| c.version);
            tracing::error!(target: "config", %error, kept,
                "cannot parse configuration; keeping the one in force");
        }
    }
}

/// Puts a configuration received from `source` in force, unless the current one
/// is at least as new.
pub fn apply_configuration(site: &Site, new: Catalog, source: &str) {
    let known = site.catalog.load().as_ref().map(|c| c.version);
    if known.is_some_and(|known| new.version <= known) {
        tracing::debug!(target: "config", version = new.version, known,
            "ignoring a configuration that is not newer");
        return;
    }
    tracing::info!(target: "config", version = new.version, before = known, source,
        routes = new.routes().count(), "configuration in force");
    site.set_catalog(new);
}

/// Processes an announced weights version. `fresh` is set if it was announced just
/// now, not before this process started.
pub fn apply_announced_weights(site: &Site, model: &str, version: u64, fresh: bool, source: &str) {
    let is_new = {
        let mut all = site.announced_weights.borrow_mut();
        let versions = all.entry(model.to_string()).or_default();
        match fresh {
            true => versions.record_announced(version, site.now()),
            false => versions.record_existing(version, site.now()),
        }
    };
    if is_new {
        tracing::info!(target: "weights", model, version, source, "new weights version announced");
        if fresh {
            announced::queue_write(site, model);
        }
        site.rollout_check.notify_one();
    }
}
