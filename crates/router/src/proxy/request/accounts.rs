//! Queries the accounts of outstanding large prompts before an engine is chosen.

use marjoram_core::backlog::MAX_QUERIED;
use marjoram_core::place;
use marjoram_core::switches::Mechanism;

use super::Exchange;
use crate::proxy::backlog;

impl Exchange {
    /// Whether other hosts are told of this request's sends, and it is placed by their accounts: a large
    /// prompt for a coordinated service.
    pub(super) fn is_reported(&self) -> bool {
        let prompt = self.request.asked.prompt.as_ref();
        prompt.is_some_and(|p| p.input >= place::LARGE_PROMPT)
            && self.site.has(Mechanism::BacklogAccounts)
            && self.site.coordination(&self.service).is_some()
    }

    /// Queries the accounts of the engines that are compared for this request, if it is placed by them.
    pub(super) async fn query_backlog(&self) {
        if !self.is_reported() {
            return;
        }
        self.accounts.borrow_mut().clear();
        let engines = self.engines_to_compare(MAX_QUERIED);
        let accounts = backlog::query(&self.site, &self.service, engines).await;
        for (key, account) in &accounts {
            if let (Some(upstream), Some(throughput)) =
                (self.site.fleet.by_key(*key), account.throughput)
            {
                upstream.reported_throughput.set(Some(f64::from(throughput)));
            }
        }
        *self.accounts.borrow_mut() = accounts;
    }
}
