//! Re-exports the crate's most used types.

pub use crate::process::instance::{InstanceHandle, InstanceSetup};
pub use crate::settings::model::{
    ClusterSettings, InstanceSettings, KeySource, LogFormat, LogSettings, PeerSettings,
};
