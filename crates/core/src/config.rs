//! Operator configuration, as read from the log service's `config` stream.
//!
//! Operators publish [`Record`]s; each record's log offset is its version. A
//! [`Config`] applies records strictly in offset order and never goes back: a
//! record at or below the current offset is ignored, so replaying the stream or
//! receiving a record twice changes nothing, and all routers that have read up to
//! the same offset have the same configuration. An invalid record (such as a
//! workspace that names an unknown template) is rejected: the offset advances,
//! the configuration stays as it was. A record beyond a gap is not applied, so a
//! configuration is always the exact result of some prefix of the stream.
//!
//! The log service keeps records for a limited time, so routers also store
//! snapshots there: a serialised [`Config`], which is the complete result of the
//! stream up to its offset. [`Config::restore`] applies a snapshot only if it is
//! ahead, so a stale snapshot never reverts a configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Error;
use crate::ids::{ModelVersion, Offset, WorkspaceId};
use crate::params::Params;
use crate::policy::PolicyName;

/// One operator record in the `config` stream.
///
/// ```
/// use marjoram_core::config::Record;
/// let text = r#"{"kind":"template","name":"checks","policy":"prefix-aware"}"#;
/// let record: Record = serde_json::from_str(text).unwrap();
/// assert!(matches!(record, Record::Template { .. }));
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Record {
    /// Defines or replaces a template; workspaces based on it change with it.
    Template {
        /// The template's name.
        name: String,
        /// The routing policy to use.
        policy: PolicyName,
        /// Its routing parameters.
        #[serde(default)]
        params: Params,
    },
    /// Creates or replaces a workspace based on a template.
    Workspace {
        /// The workspace.
        id: WorkspaceId,
        /// Name of a template defined earlier in the stream.
        template: String,
        /// Overrides of the template's parameters.
        #[serde(default)]
        params: Params,
    },
    /// Removes a workspace; its requests are refused from then on.
    Remove {
        /// The workspace.
        id: WorkspaceId,
    },
    /// Sets the weights version that every engine is to serve from now on.
    Weights {
        /// Version of the weights; a version below the current one is rejected.
        version: ModelVersion,
    },
}

/// A template as configured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Template {
    /// The routing policy to use.
    pub policy: PolicyName,
    /// Its routing parameters.
    pub params: Params,
}

/// A workspace as configured, before its template is resolved.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of its template.
    pub template: String,
    /// Overrides of the template's parameters.
    pub params: Params,
}

/// What request processing needs of a workspace: its policy and parameters.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Routing {
    /// The policy to use.
    pub policy: PolicyName,
    /// The parameters, with overrides applied.
    pub params: Params,
}

/// Result of passing a record to [`Config::apply`].
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// The record changed the configuration.
    Accepted,
    /// The record was at or below the current offset.
    Stale,
    /// Records between the current offset and this one are missing; nothing
    /// changed. The caller must read again from `expected`.
    Gap {
        /// The offset that must be applied next.
        expected: Offset,
    },
    /// The record was invalid; the configuration is unchanged.
    Rejected(String),
}

/// The current configuration: templates and workspaces as of an offset.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Config {
    /// Offset of the last record processed, whether accepted or rejected.
    pub offset: Option<Offset>,
    /// Templates by name.
    pub templates: BTreeMap<String, Template>,
    /// Workspaces by id.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Weights version that every engine is to serve, once an operator has set
    /// one.
    #[serde(default)]
    pub weights: Option<ModelVersion>,
    #[serde(skip)]
    routing: Arc<BTreeMap<WorkspaceId, Routing>>,
}

impl Config {
    /// An empty configuration, before any record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies `record`, read at `offset`, if it is the next one expected.
    ///
    /// ```
    /// use marjoram_core::config::{Applied, Config, Record};
    /// use marjoram_core::ids::Offset;
    /// let mut config = Config::new();
    /// let record = serde_json::from_str::<Record>(
    ///     r#"{"kind":"template","name":"t","policy":"maglev"}"#).unwrap();
    /// assert_eq!(config.apply(Offset(0), &record), Applied::Accepted);
    /// assert_eq!(config.apply(Offset(0), &record), Applied::Stale);
    /// ```
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Applied {
        if let Some(out_of_order) = self.check(offset) {
            return out_of_order;
        }
        self.offset = Some(offset);
        let outcome = match record {
            Record::Template { name, policy, params } => {
                let template = Template { policy: *policy, params: *params };
                self.templates.insert(name.clone(), template);
                Applied::Accepted
            }
            Record::Workspace { template, .. } if !self.templates.contains_key(template) => {
                Applied::Rejected(Error::Unknown("template", template.clone()).to_string())
            }
            Record::Workspace { id, template, params } => {
                let workspace = Workspace { template: template.clone(), params: *params };
                self.workspaces.insert(id.clone(), workspace);
                Applied::Accepted
            }
            Record::Remove { id } if !self.workspaces.contains_key(id) => {
                Applied::Rejected(Error::Unknown("workspace", id.to_string()).to_string())
            }
            Record::Remove { id } => {
                self.workspaces.remove(id);
                Applied::Accepted
            }
            Record::Weights { version } if Some(*version) < self.weights => {
                Applied::Rejected(format!("weights version {version} is below the current version"))
            }
            Record::Weights { version } => {
                self.weights = Some(*version);
                Applied::Accepted
            }
        };
        if outcome == Applied::Accepted {
            self.routing = Arc::new(self.resolve());
        }
        outcome
    }

    /// Skips the record at `offset`, which could not be decoded.
    pub fn skip(&mut self, offset: Offset, why: String) -> Applied {
        if let Some(out_of_order) = self.check(offset) {
            return out_of_order;
        }
        self.offset = Some(offset);
        Applied::Rejected(why)
    }

    /// Replaces the configuration with `snapshot` if that is ahead; returns
    /// whether it was.
    ///
    /// ```
    /// use marjoram_core::config::Config;
    /// use marjoram_core::ids::Offset;
    /// let mut ahead = Config::new();
    /// ahead.offset = Some(Offset(9));
    /// let mut config = Config::new();
    /// assert!(config.restore(ahead.clone()));
    /// assert!(!config.restore(ahead));
    /// assert_eq!(config.expected(), Offset(10));
    /// ```
    pub fn restore(&mut self, snapshot: Config) -> bool {
        let ahead = snapshot.offset > self.offset;
        if ahead {
            *self = snapshot;
            self.routing = Arc::new(self.resolve());
        }
        ahead
    }

    /// The offset that must be applied next.
    pub fn expected(&self) -> Offset {
        self.offset.map(|o| Offset(o.0 + 1)).unwrap_or(Offset(0))
    }

    /// Returns `Stale` or `Gap` if `offset` is not the next one expected.
    fn check(&self, offset: Offset) -> Option<Applied> {
        let expected = self.expected();
        match offset {
            o if o < expected => Some(Applied::Stale),
            o if o > expected => Some(Applied::Gap { expected }),
            _ => None,
        }
    }

    /// Policy and parameters of every workspace; cheap to clone.
    pub fn routing(&self) -> Arc<BTreeMap<WorkspaceId, Routing>> {
        self.routing.clone()
    }

    fn resolve(&self) -> BTreeMap<WorkspaceId, Routing> {
        let resolve = |(id, ws): (&WorkspaceId, &Workspace)| {
            let template = self.templates.get(&ws.template)?;
            let params = template.params.with_overrides(ws.params);
            Some((id.clone(), Routing { policy: template.policy, params }))
        };
        self.workspaces.iter().filter_map(resolve).collect()
    }
}
