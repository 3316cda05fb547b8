//! Client of the platform's log. Every call has a timeout. The type of an error tells what is known
//! after the failed call.

mod http_calls;
mod log_reads;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use async_trait::async_trait;
use parking_lot::Mutex;

use self::http_calls::{PooledClient, build_client};
use self::log_reads::READ_MAX_KB;
use super::names::STORE_APPEND_PATH;
use super::rollouts;
use super::store_records::{
    LogReplay, decode, decode_latest_item, encode_record, rollout_key, suspect_key,
};
use crate::gateway::site_store::{
    MemberEntry, SitePage, SiteSample, SiteStore, SiteStorePlugin, StoreError, StoreResult,
    StoredSuspect, Subject,
};
use crate::kernel::fingerprint::Fingerprint;
use crate::kernel::position::Position;
use crate::kernel::rollout::RolloutStatus;

/// Maximum time until an append is answered. The store works through the appends of a topic one
/// after the other, and rejects those that would wait for more than two seconds.
const APPEND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum size of a sample of a subject's records. A few hundred members fit.
const SAMPLE_MAX_KB: u32 = 32;

inventory::submit! {
    SiteStorePlugin {
        name: "keyed_log",
        connect: |address| Ok(Arc::new(StoreClient::new(address)?))
    }
}

/// Client of the log at one address.
#[derive(Debug)]
pub struct StoreClient {
    client: Mutex<PooledClient>,
    base_url: String,
    /// Latest valid era in a response so far; 0 if no response had one.
    latest_era: AtomicU64,
}

const fn topic(subject: Subject) -> &'static str {
    match subject {
        Subject::Configuration => "keyed.op",
        Subject::Endpoints => "keyed.servers",
        Subject::Members => "keyed.status",
    }
}

impl StoreClient {
    /// Creates a client, which connects on the first call.
    ///
    /// # Errors
    /// Returns an error if the HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> anyhow::Result<Self> {
        let client = PooledClient {
            client: build_client()?,
            number: 0,
        };
        Ok(Self {
            client: Mutex::new(client),
            base_url: format!("http://{address}"),
            latest_era: AtomicU64::new(0),
        })
    }

    /// Appends a record of this instance; with `at`, only if the log ends there. An empty value
    /// deletes the key.
    async fn append_record(
        &self,
        key: &str,
        value: &[u8],
        at: Option<Position>,
    ) -> StoreResult<()> {
        let topic = topic(Subject::Members);
        let condition = at.map_or_else(String::new, |at| format!("&at={}", at.offset()));
        let url = format!(
            "{}{STORE_APPEND_PATH}?topic={topic}&part=0{condition}",
            self.base_url
        );
        let record = encode_record(key, value).map_err(StoreError::Malformed)?;
        let request = |client: &reqwest::Client| client.post(url).body(record);
        self.call(request, APPEND_TIMEOUT).await?;
        Ok(())
    }
}

#[async_trait]
impl SiteStore for StoreClient {
    async fn read_latest(&self, subject: Subject) -> StoreResult<SitePage> {
        if subject != Subject::Configuration
            && let Some(page) = self.replay_log(subject).await?
        {
            return Ok(page);
        }
        self.read_latest_pages(subject).await
    }

    async fn read_sample(&self, subject: Subject) -> StoreResult<SiteSample> {
        if let Some((page, era)) = self.read_log_start(subject, SAMPLE_MAX_KB).await? {
            let mut replay = LogReplay::new(era);
            let is_complete = replay.apply(page) == 0;
            return Ok(SiteSample {
                page: replay.into_page(subject),
                is_complete,
            });
        }
        let (page, era) = self.fetch_latest_page(subject, None).await?;
        let next = Position::new(era, page.end);
        let items = page.items.iter();
        Ok(SiteSample {
            page: SitePage {
                records: items
                    .filter_map(|item| decode_latest_item(subject, item, next))
                    .collect(),
                next,
            },
            is_complete: !page.more,
        })
    }

    async fn read(
        &self,
        subject: Subject,
        from: Position,
        wait: Duration,
    ) -> StoreResult<SitePage> {
        let (page, _) = self.read_log(subject, from, READ_MAX_KB, wait).await?;
        let keyed = page.records;
        let count = u64::try_from(keyed.len()).unwrap_or(u64::MAX);
        let next_positions = (1..).map(|records| from.plus(records));
        let records = next_positions
            .zip(&keyed)
            .filter_map(|(next, record)| {
                decode(subject, &record.key, record.value.as_deref(), next)
            })
            .collect();
        Ok(SitePage {
            records,
            next: from.plus(count),
        })
    }

    async fn announce(&self, member: &MemberEntry) -> StoreResult<()> {
        self.append_record(&member.name, &to_json(member)?, None)
            .await
    }

    async fn write_rollout_status(
        &self,
        status: &RolloutStatus,
        at: Position,
    ) -> StoreResult<bool> {
        let value = rollouts::encode_status(status).map_err(StoreError::Malformed)?;
        let key = rollout_key(&status.service);
        let appended = self.append_record(&key, &value, Some(at)).await;
        match appended {
            Ok(()) => Ok(true),
            Err(StoreError::Conflict) => Ok(false),
            Err(error) => Err(error),
        }
    }

    async fn store_suspect(&self, suspect: &StoredSuspect) -> StoreResult<()> {
        let key = suspect_key(suspect.fingerprint());
        self.append_record(&key, &to_json(suspect)?, None).await
    }

    async fn delete_suspect(&self, fingerprint: Fingerprint) -> StoreResult<()> {
        self.append_record(&suspect_key(fingerprint), &[], None)
            .await
    }
}

fn to_json(value: &impl serde::Serialize) -> StoreResult<Vec<u8>> {
    serde_json::to_vec(value).map_err(|error| StoreError::Malformed(error.to_string()))
}
