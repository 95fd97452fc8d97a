//! Process lifecycle: start, settings reload, shutdown.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use marjoram_core::stop::Stop;
use marjoram_platform::settings;
use tokio::signal::unix::{SignalKind, signal};

use super::leadership::{self, Leadership};
use super::logs::Logs;
use super::options::ProxyOptions;
use super::site::Site;
use super::{
    announced, backlog, cachefeed, callers, entry, follow, logs, notices, peers, poison, quota,
    rate_limits, reach, slot_leases, state_transfer,
};
use crate::error::Error;
use crate::listen::listen;

/// Time between checks of the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time to go on serving after a request to stop: callers cache an
/// answer that names this host for two seconds.
const MIN_STOP: Duration = Duration::from_millis(2_500);

/// A stop is complete once no request has come for this long.
const STOP_QUIET: Duration = Duration::from_millis(600);

/// Safety margin subtracted from the time that a stop may take.
const STOP_MARGIN: Duration = Duration::from_millis(600);

/// Time, within that margin, for answering the requests that are still in progress.
const INTERRUPT_TIME: Duration = Duration::from_millis(250);

/// Time between checks of what is in progress, while the process waits for it to end.
const STOP_INTERVAL: Duration = Duration::from_millis(50);
const INTERRUPT_INTERVAL: Duration = Duration::from_millis(5);

/// Time reserved at the end of a stop for giving up leadership while a rollout is
/// in progress.
const STOP_LEADERSHIP_MARGIN: Duration = Duration::from_millis(1_400);

/// Runs the proxy until it receives a signal to stop.
pub async fn run(options: ProxyOptions) -> Result<(), Error> {
    let logs = logs::init();
    let path = options.settings;
    let host = settings::load(&path).map_err(|e| Error::Settings(path.clone(), e.to_string()))?;
    tracing::info!(target: "run", host = host.name, dc = %host.dc, callers = %host.callers,
        store = %host.store.addr, policy = %options.policy, without = %options.without,
        first_start = host.first_start, "starting");
    let site = Site::new(host, options.policy, options.without);
    let listening = site.settings.load_full();
    let backlog = listening.capacity.accept_backlog();
    let callers_listener = listen(listening.callers, backlog)?;
    let mut status_listeners = Vec::new();
    for addr in [listening.ready, listening.directory].into_iter().flatten() {
        status_listeners.push(listen(addr, backlog)?);
    }
    let metrics = SocketAddr::new(listening.ip, options.metrics_port);
    match listen(metrics, backlog) {
        Ok(listener) => status_listeners.push(listener),
        // Requests are served without metrics too; the state dump is also
        // available on the other listeners.
        Err(error) => tracing::error!(target: "run", %error, "metrics not available"),
    }
    ntex::rt::spawn(callers::serve(site.clone(), callers_listener));
    for listener in status_listeners {
        ntex::rt::spawn(entry::serve(site.clone(), listener, logs.dropped.clone()));
    }
    follow::start(&site);
    ntex::rt::spawn(cachefeed::run(site.clone()));
    ntex::rt::spawn(peers::run(site.clone()));
    ntex::rt::spawn(notices::run(site.clone()));
    ntex::rt::spawn(poison::maintain_records(site.clone()));
    ntex::rt::spawn(announced::maintain_records(site.clone()));
    ntex::rt::spawn(quota::run(site.clone()));
    ntex::rt::spawn(rate_limits::run(site.clone()));
    ntex::rt::spawn(rate_limits::learn(site.clone()));
    ntex::rt::spawn(backlog::run(site.clone()));
    ntex::rt::spawn(slot_leases::run(site.clone()));
    let state_listener = listen(site.peers.record.peers, backlog)?;
    ntex::rt::spawn(state_transfer::serve(site.clone(), state_listener));
    ntex::rt::spawn(reach::run(site.clone()));
    let leadership = leadership::start(&site);
    ntex::rt::spawn(watch_settings(site.clone(), path));
    wait_for_stop().await?;
    stop(&site, &leadership, &logs).await;
    Ok(())
}

async fn wait_for_stop() -> Result<(), Error> {
    let watch = |kind| signal(kind).map_err(|e| Error::Bind("signals".into(), e));
    let (mut term, mut int) = (watch(SignalKind::terminate())?, watch(SignalKind::interrupt())?);
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// Stops without interrupting a request: callers are sent to other hosts first. A
/// leader that is changing engines' weights goes on with that in the meantime.
async fn stop(site: &Rc<Site>, leadership: &Leadership, logs: &Logs) {
    let begun = site.now();
    let end = begun + site.settings.load().bounds.grace.saturating_sub(STOP_MARGIN);
    site.stopping.set(Some(Stop { begun, end }));
    tracing::info!(target: "run", handled = site.handled.count(), "stopping");
    peers::send_heartbeats(site);
    let mut quiet_since = site.now();
    let mut answered = site.counters.requests();
    loop {
        tokio::time::sleep(STOP_INTERVAL).await;
        let now = site.now();
        if !leadership.is_busy() || now + STOP_LEADERSHIP_MARGIN >= end {
            leadership::release(leadership).await;
        }
        let requests = site.counters.requests();
        if site.handled.count() > 0 || site.tunnels.count() > 0 || requests != answered {
            answered = requests;
            quiet_since = now;
        }
        let quiet = now - quiet_since >= STOP_QUIET && now - begun >= MIN_STOP;
        let quiet = quiet && !leadership.is_busy();
        if quiet || now >= end {
            break;
        }
    }
    site.stop.notify_waiters();
    interrupt(site).await;
    for id in site.handled.ids() {
        tracing::warn!(target: "request", id, "request interrupted, the process stops");
    }
    tracing::info!(target: "run", handled = site.handled.count(),
        lines_dropped = logs.dropped.dropped_lines(), "stopped");
}

/// Ends the requests that are still in progress, and waits until that is written.
async fn interrupt(site: &Site) {
    if site.handled.count() == 0 {
        return;
    }
    tracing::warn!(target: "run", handled = site.handled.count(), "requests interrupted");
    // Err: it is set already.
    let _ = site.interrupt.set(());
    let end = site.now() + INTERRUPT_TIME;
    while site.handled.count() > 0 && site.now() < end {
        tokio::time::sleep(INTERRUPT_INTERVAL).await;
    }
}

/// Reloads the settings on SIGHUP, and when the file has changed.
async fn watch_settings(site: Rc<Site>, path: String) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        tracing::error!(target: "run", "cannot listen for SIGHUP; settings will not be reloaded");
        return;
    };
    let mut last_change = changed_at(&path);
    loop {
        let asked = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_INTERVAL) => false,
        };
        let at = changed_at(&path);
        if !asked && at == last_change {
            continue;
        }
        last_change = at;
        match settings::load(&path) {
            Ok(new) if new == **site.settings.load() => {
                tracing::info!(target: "run", asked, "settings reloaded, unchanged");
            }
            Ok(new) => {
                tracing::info!(target: "run", asked, store = %new.store.addr, "settings changed");
                site.settings.store(Arc::new(new));
                site.store_recovered.notify_waiters();
            }
            Err(error) => {
                tracing::error!(target: "run", asked, %error,
                    "cannot load settings; keeping the current ones");
            }
        }
    }
}

fn changed_at(path: &str) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}
