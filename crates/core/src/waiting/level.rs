//! Requests of the same urgency, in the order of fair shares and arrival.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::shares::Accounts;
use super::{Request, Ticket};

/// Place of a request among those of its workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub(super) arrived: Duration,
    /// Number of the request, which orders those that arrive at the same time.
    pub(super) number: u64,
    pub(super) ticket: Ticket,
    pub(super) cost: u64,
}

/// The requests of one workspace, in order of arrival. It is never empty.
#[derive(Debug, Default)]
struct Lane {
    places: VecDeque<Place>,
    /// Sum of the costs of all requests.
    cost: u64,
}

impl Lane {
    fn head(&self) -> Place {
        self.places[0]
    }

    fn tail(&self) -> Place {
        self.places[self.places.len() - 1]
    }
}

/// The requests of one urgency. Only the ends of the lanes have to be compared.
#[derive(Debug, Default)]
pub(super) struct Level {
    lanes: HashMap<u64, Lane>,
    len: usize,
    /// Kept while no request of this urgency waits. Levels have accounts of their own because
    /// their requests do not compete by shares: with a common virtual time, urgent requests would
    /// erase the charges among the others.
    pub(super) accounts: Accounts,
}

impl Level {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn insert(&mut self, workspace: u64, place: Place) {
        let lane = self.lanes.entry(workspace).or_default();
        let at = lane.places.partition_point(|p| *p < place);
        lane.places.insert(at, place);
        lane.cost += place.cost;
        self.len += 1;
    }

    pub(super) fn remove(&mut self, request: &Request, place: Place) {
        let Some(lane) = self.lanes.get_mut(&request.workspace) else { return };
        let Ok(at) = lane.places.binary_search(&place) else { return };
        lane.places.remove(at);
        lane.cost -= place.cost;
        if lane.places.is_empty() {
            self.lanes.remove(&request.workspace);
        }
        self.len -= 1;
    }

    /// The first request in order.
    pub(super) fn first(&self) -> Option<Ticket> {
        let key = |(workspace, lane): (&u64, &Lane)| (self.accounts.start(*workspace), lane.head());
        self.lanes.iter().map(key).min().map(|(_, head)| head.ticket)
    }

    /// The last request in order.
    pub(super) fn last(&self) -> Option<Ticket> {
        let key = |(workspace, lane): (&u64, &Lane)| {
            let (start, tail) = (self.accounts.start(*workspace), lane.tail());
            (start.saturating_add(lane.cost - tail.cost), tail)
        };
        self.lanes.iter().map(key).max().map(|(_, tail)| tail.ticket)
    }
}
