//! Urgency of a request, and its level in the order of a queue.

/// Route steps per workspace priority in the priorities sent to engines.
const STEPS: u8 = 3;

/// Largest priority that an engine accepts.
const MAX_RANK: u8 = 9;

/// The priorities of a request's workspace and route. Lower is more urgent.
///
/// ```
/// use marjoram_core::waiting::Urgency;
/// assert_eq!(Urgency::new(Some(1), 2).rank(), 5);
/// assert_eq!(Urgency::new(Some(1), 7).rank(), 5);
/// assert_eq!(Urgency::new(None, 7).rank(), 7);
/// assert_eq!(Urgency::new(Some(4), 0).rank(), 9);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Urgency {
    workspace: Option<u8>,
    route: u8,
}

impl Urgency {
    /// Creates the urgency of a request whose workspace may have no priority.
    pub fn new(workspace: Option<u8>, route: u8) -> Self {
        Self { workspace, route }
    }

    /// The priority to send to an engine, from 0 to 9.
    pub fn rank(self) -> u8 {
        match self.workspace {
            Some(workspace) => {
                workspace.saturating_mul(STEPS).saturating_add(self.route.min(STEPS - 1))
            }
            None => self.route,
        }
        .min(MAX_RANK)
    }

    /// The effective urgency after `steps` steps of ageing, which lower the route's priority only.
    ///
    /// ```
    /// use marjoram_core::waiting::Urgency;
    /// let (urgent, other) = (Urgency::new(Some(0), 2), Urgency::new(Some(1), 2));
    /// assert!(urgent.level(0) < other.level(2));
    /// assert_eq!(other.level(2), other.level(9));
    /// assert!(Urgency::new(None, 4).level(4) < Urgency::new(None, 1).level(0));
    /// ```
    pub fn level(self, steps: u32) -> Level {
        let route = u32::from(self.route).saturating_sub(steps) as u8;
        match self.workspace {
            Some(workspace) => Level { workspace, route },
            None => Level { workspace: route / STEPS, route: route % STEPS },
        }
    }

    /// The fewest steps of ageing that reach `level` or a more urgent one.
    pub(super) fn steps_until(self, level: Level) -> Option<u32> {
        (0..=u32::from(self.route)).find(|steps| self.level(*steps) <= level)
    }

    /// Steps of ageing after which the level stays the same.
    pub(super) fn max_steps(self) -> u32 {
        self.route.into()
    }
}

/// Effective urgency: the workspace's priority goes first, then the route's.
///
/// A request without a workspace priority has its route's priority split into a pair with the same
/// [`Urgency::rank`]. Comparing the routes of such a request and any other request instead would not be
/// transitive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Level {
    workspace: u8,
    route: u8,
}
