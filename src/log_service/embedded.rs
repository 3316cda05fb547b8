//! Platform plug-in `embedded`: runs the stand-in platform in this process, for the demo and
//! examples.

use std::sync::Arc;

use async_trait::async_trait;
use serde_json::Value;

use super::{
    AppendLog, InstanceList, ListedInstance, LogPage, Platform, PlatformError, PlatformPlugin,
    PlatformResult,
};
use crate::kernel::clock::SystemClock;
use crate::standin::platform::{CallError, PlatformCore};

inventory::submit! {
    PlatformPlugin {
        name: "embedded",
        connect: |_| Ok(connect(Arc::new(PlatformCore::new(Arc::new(SystemClock::default()))))),
    }
}

/// Adapts the stand-in platform to the platform traits.
struct EmbeddedPlatform(Arc<PlatformCore>);

/// Returns a connection to a platform in this process.
#[must_use]
pub fn connect(core: Arc<PlatformCore>) -> Platform {
    let platform = Arc::new(EmbeddedPlatform(core));
    Platform {
        log: platform.clone(),
        instances: platform,
    }
}

impl From<CallError> for PlatformError {
    fn from(refusal: CallError) -> Self {
        match refusal {
            CallError::ReplyLost => Self::NoAnswer(refusal.to_string()),
            CallError::Outage | CallError::RateLimited => Self::Refused(refusal.to_string()),
        }
    }
}

#[async_trait]
impl AppendLog for EmbeddedPlatform {
    async fn append(&self, stream: &str, record: Value) -> PlatformResult<u64> {
        Ok(self.0.append(stream, record)?)
    }

    async fn read(&self, stream: &str, from_offset: u64) -> PlatformResult<LogPage> {
        Ok(self.0.read(stream, from_offset)?)
    }
}

#[async_trait]
impl InstanceList for EmbeddedPlatform {
    async fn list(&self) -> PlatformResult<Vec<ListedInstance>> {
        Ok(self.0.list()?)
    }

    async fn announce(&self, instance: &ListedInstance) -> PlatformResult<()> {
        Ok(self.0.announce(instance)?)
    }
}
