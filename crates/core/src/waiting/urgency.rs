//! Urgency of a request.

/// Route steps per workspace priority in the priorities sent to engines.
const STEPS: u8 = 3;

/// Largest priority that an engine accepts.
const MAX_RANK: u8 = 9;

/// The priorities of a request's workspace and route. Lower is more urgent; the workspace's goes first.
///
/// ```
/// use marjoram_core::waiting::Urgency;
/// assert_eq!(Urgency::new(Some(1), 2).rank(), 5);
/// assert_eq!(Urgency::new(Some(1), 7).rank(), 5);
/// assert_eq!(Urgency::new(None, 2).rank(), 6);
/// assert_eq!(Urgency::new(Some(4), 0).rank(), 9);
/// assert!(Urgency::new(Some(0), 2) < Urgency::new(Some(1), 0));
/// assert!(Urgency::new(None, 1) < Urgency::new(None, 4));
/// assert!(Urgency::new(Some(1), 2) < Urgency::new(None, 2));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency {
    workspace: u8,
    route: u8,
}

impl Urgency {
    /// Creates the urgency of a request whose workspace may have no priority.
    ///
    /// Without one, the route's priority takes its place, as both are on the same scale.
    pub fn new(workspace: Option<u8>, route: u8) -> Self {
        match workspace {
            Some(workspace) => Self { workspace, route },
            None => Self { workspace: route, route: 0 },
        }
    }

    /// The priority to send to an engine, from 0 to 9.
    pub fn rank(self) -> u8 {
        let workspace = self.workspace.saturating_mul(STEPS);
        workspace.saturating_add(self.route.min(STEPS - 1)).min(MAX_RANK)
    }
}
